package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
)

// Credentials, the name of the service under measurement, and settings of the fleet.
const (
	operatorCredential   = "operator-secret"
	customerKey          = "restorer-key"
	serviceName          = "prisms"
	connectionsPerDaemon = 4 // connections from each daemon to each backend server
	startTimeout         = time.Minute
	settleTime           = 6 * time.Second // lets connections settle between start-up and measurement
)

// fleet is a stand-in platform with backend servers, which run in this process,
// and a set of daemons, each of which runs in its own process.
type fleet struct {
	dir         string // holds the settings files of the daemons
	platform    string // address of the platform
	calls       *callCounter
	server      *http.Server
	daemons     []*daemonProcess
	client      caller.Client
	probeClient *http.Client // without keep-alive: each reading opens a connection
}

// daemonProcess is a running daemon with the addresses of its caller endpoint
// and of its usage probe.
type daemonProcess struct {
	command       *exec.Cmd
	callerAddress string
	probeAddress  string
}

// callCounter wraps the platform's listener and handler. It counts requests, GET
// as reads and all others as writes, and the bytes in both directions.
type callCounter struct {
	net.Listener
	reads, writes, bytes atomic.Int64
	next                 http.Handler
}

// Accept implements [net.Listener] and counts the bytes of the connection.
func (c *callCounter) Accept() (net.Conn, error) {
	connection, err := c.Listener.Accept()
	return &countedConn{Conn: connection, bytes: &c.bytes}, err
}

// countedConn adds the bytes of a connection in both directions to a shared counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// ServeHTTP implements [http.Handler]: it counts the request and passes it on.
func (c *callCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		c.reads.Add(1)
	} else {
		c.writes.Add(1)
	}
	c.next.ServeHTTP(w, r)
}

// fleetSize gives the dimensions of a fleet.
type fleetSize struct {
	services  int // at least 1
	shards    int // per service, with two replicas per shard
	daemons   int
	customers int // entries in the customer list
}

// startFleet starts the services and daemons and waits until each daemon returns
// a complete answer to a search of the first service. If it fails after the
// platform was set up, it returns both the fleet, which the caller must stop, and
// the error.
func startFleet(ctx context.Context, z fleetSize) (*fleet, error) {
	cluster := standin.NewCluster(4)
	for n := range z.services {
		s := standin.Service{Name: serviceName, Shards: z.shards, Replicas: 2, Slots: 8, Delay: time.Millisecond}
		if n > 0 {
			s.Name = fmt.Sprintf("%s%d", serviceName, n)
		}
		if err := cluster.Start("127.0.3.1", s); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, platform: listener.Addr().String(), calls: &callCounter{Listener: listener, next: cluster.Handler()},
		client: caller.Client{
			Key: customerKey, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		},
		probeClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f.server = &http.Server{Handler: f.calls, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(f.calls) }() // returns when stop closes the server
	if err := f.applyLists(ctx, z.customers); err != nil {
		return f, err
	}
	for n := range z.daemons {
		if err := f.startDaemon(n+1, z.daemons); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(ctx)
}

// startDaemon starts daemon n, counted from 1. The settings have one seat per
// daemon, and a connection limit that leaves each daemon 4 connections to each
// backend server.
func (f *fleet) startDaemon(n, daemons int) error {
	host := fmt.Sprintf("127.0.4.%d", n)
	m := &daemonProcess{callerAddress: host + ":8100", probeAddress: host + ":8300"}
	file := filepath.Join(f.dir, fmt.Sprintf("d%d.toml", n))
	text := fmt.Sprintf("name = \"d%d\"\ndomain = \"d%d\"\ncaller = %q\npeer = %q\nplatform = %q\n"+
		"secret = \"daemon-secret\"\noperator = %q\nlevel = \"error\"\nseats = %d\nconnections = %d\n",
		n, n%4, m.callerAddress, host+":8200", f.platform, operatorCredential, daemons, connectionsPerDaemon*daemons)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	m.command = exec.CommandContext(context.Background(), os.Args[0],
		"daemon", "--settings", file, "--probe", m.probeAddress)
	m.command.Stderr = os.Stderr
	if err := m.command.Start(); err != nil {
		return err
	}
	f.daemons = append(f.daemons, m)
	return nil
}

// stop kills the daemons, closes the platform and removes the settings files.
func (f *fleet) stop() {
	for _, m := range f.daemons {
		_ = m.command.Process.Kill() // fails if the process has already exited
	}
	for _, m := range f.daemons {
		_ = m.command.Wait()
	}
	_ = f.server.Close()
	_ = os.RemoveAll(f.dir)
}

// applyLists publishes lists with the given number of customers as the next version.
func (f *fleet) applyLists(ctx context.Context, customers int) error {
	var customerText strings.Builder
	fmt.Fprintf(&customerText, "[[customer]]\nname = \"restorer\"\nplan = \"restoration\"\nkey = %q\n", customerKey)
	for n := 1; n < customers; n++ {
		fmt.Fprintf(&customerText, "[[customer]]\nname = \"customer-%d\"\nplan = \"restoration\"\nkey = \"key-%d\"\n", n, n)
	}
	planText := fmt.Sprintf("[[plan]]\nname = \"restoration\"\nservices = [%q]\nshare = 1\nprefer = \"coverage\"\n"+
		"deadline = \"2s\"\nlatency = \"220ms\"\ncoverage = 0.99\n", serviceName)
	lists, err := operator.ParseLists([]byte(customerText.String()), []byte(planText))
	if err != nil {
		return err
	}
	registry := platform.Registry{Store: platform.NewClient(f.platform)}
	current, _, err := registry.Lists(ctx)
	if err != nil {
		return err
	}
	editor := operator.Editor{Registry: registry, Clock: ramp.SystemClock{}}
	_, err = editor.Apply(ctx, lists, current.Version, fmt.Sprint("edit-", current.Version+1), "slopes")
	return err
}

// awaitReady waits until every daemon returns a complete answer, and then for
// settleTime. It fails if they are not ready within startTimeout.
func (f *fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range f.daemons {
		for !f.answersCompletely(ctx, m) {
			if time.Now().After(deadline) {
				return errors.New("daemon at " + m.callerAddress + " returned no complete answer before the start timeout")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// answersCompletely reports whether a search through the daemon succeeds and
// covers every shard.
func (f *fleet) answersCompletely(ctx context.Context, m *daemonProcess) bool {
	answer, err := f.client.Run(ctx, m.callerAddress, caller.Request{Operation: ramp.Search, Service: serviceName})
	return err == nil && answer.Complete
}

// usage returns the current usage of every daemon, in the order of f.daemons.
func (f *fleet) usage(ctx context.Context) ([]usage, error) {
	all := make([]usage, len(f.daemons))
	for i, m := range f.daemons {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.probeAddress, nil)
		if err != nil {
			return nil, err
		}
		response, err := f.probeClient.Do(r)
		if err != nil {
			return nil, err
		}
		err = json.NewDecoder(response.Body).Decode(&all[i])
		response.Body.Close()
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// usageDuring runs the activity and returns what each daemon used meanwhile, and
// how long the activity took.
func (f *fleet) usageDuring(ctx context.Context, activity func() error) ([]usage, time.Duration, error) {
	before, err := f.usage(ctx)
	if err != nil {
		return nil, 0, err
	}
	started := time.Now()
	if err := activity(); err != nil {
		return nil, 0, err
	}
	elapsed := time.Since(started)
	after, err := f.usage(ctx)
	if err != nil {
		return nil, 0, err
	}
	for i := range after {
		after[i] = after[i].minus(before[i])
	}
	return after, elapsed, nil
}

// idleUsage returns what each daemon uses over the duration without any calls,
// and the time measured.
func (f *fleet) idleUsage(ctx context.Context, d time.Duration) ([]usage, time.Duration, error) {
	return f.usageDuring(ctx, func() error {
		time.Sleep(d)
		return nil
	})
}

// sendCalls makes calls numbered from 0 to count-1 on a pool of concurrent
// workers. A worker stops at its first error; sendCalls returns one of the errors.
func (f *fleet) sendCalls(count, concurrency int, call func(n int) error) error {
	numbers := make(chan int, count)
	for n := range count {
		numbers <- n
	}
	close(numbers)
	var workers sync.WaitGroup
	errs := make(chan error, concurrency)
	for range concurrency {
		workers.Go(func() {
			for n := range numbers {
				if err := call(n); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	workers.Wait()
	close(errs)
	return <-errs
}
