//go:build review

package stage

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/standin"
)

// cluster is a small deployment: the stand-in store, replicas and daemons.
type cluster struct {
	prefix   string // of the loopback addresses
	host     string
	dir      string
	store    *standin.Platform
	servers  []*http.Server // of the store
	daemons  []*daemon
	replicas []*replica
	started  int // replicas
	record   *record
}

// newCluster creates an empty store.
func newCluster(r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c := &cluster{
		prefix: fmt.Sprintf("127.%d.%d", 100+pid>>8&0x3f, pid&0xff), dir: dir, store: standin.NewPlatform(), record: r,
	}
	c.host = c.prefix + ".1"
	return c, nil
}

// serveStore serves the store to a daemon at an address of its own.
func (c *cluster) serveStore(d *daemon) (string, error) {
	listener, err := net.Listen("tcp", c.host+":0")
	if err != nil {
		return "", err
	}
	handler := c.store.Handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/kv-watch" {
				d.watches.Add(1)
				defer d.watches.Add(-1)
			}
			handler.ServeHTTP(w, r)
		})}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// put writes a key of the store, as the operator and replicas do. The key is removed when the
// lease ends, unless it is empty.
func (c *cluster) put(key string, value []byte, lease string) error {
	client := c.store.For("outside")
	current, _ := client.Get(context.Background(), key) // revision 0 if there is none
	_, err := client.Swap(context.Background(), key, value, current.Revision, lease)
	return err
}

// route is a route of the operator's configuration.
type route struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"pathPrefix"`
	Type      string   `json:"type"`
	Timeout   int      `json:"timeoutMs"`
	Objective int      `json:"targetLatencyMs"`
	Priority  int      `json:"priority"`
	Attempts  int      `json:"attempts"`
	Service   string   `json:"backend,omitempty"`
	Gather    []string `json:"gather,omitempty"`
	TopK      int      `json:"topK,omitempty"`
	Coverage  float64  `json:"minCoverage,omitempty"`
}

// configure writes a version of the operator's configuration.
func (c *cluster) configure(version int, routes []route, connections map[string]int) error {
	type service struct {
		Name        string `json:"name"`
		HealthPath  string `json:"healthPath"`
		Connections int    `json:"maxConnections"`
		Protocol    string `json:"protocol"`
		TLS         bool   `json:"tls"`
	}
	config := struct {
		Version  int            `json:"version"`
		Routes   []route        `json:"routes"`
		Services []service      `json:"backends"`
		Limits   map[string]int `json:"limits"`
	}{Version: version, Routes: routes, Limits: map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
	for name, n := range connections {
		config.Services = append(config.Services, service{
			Name: name, HealthPath: "/healthz", Connections: n, Protocol: "h1",
		})
	}
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return c.put("op/config", value, "")
}

// startDaemons starts a daemon for each of the zones and waits until they are ready, and in
// touch for contactMs.
func (c *cluster) startDaemons(zones ...string) error {
	var err error
	if c.daemons, err = newDaemons(c.prefix, c.dir, zones, c.serveStore); err != nil {
		return err
	}
	for _, d := range c.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range c.daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(contactTime)
	return nil
}

// contactTime is longer than contactMs in the settings.
const contactTime = 5 * time.Second

// close ends everything that was started. The daemons' logs are removed unless KEEP is set.
func (c *cluster) close() {
	for _, d := range c.daemons {
		d.kill()
	}
	for _, r := range c.replicas {
		_ = r.server.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// run is a request that a replica began to work on.
type run struct {
	replica string
	at      time.Time
}

// record is the file with what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	runs    map[string][]run // by request id
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now(), runs: make(map[string][]run)}, nil
}

// line writes a line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// ran records that a replica began to work on a request.
func (r *record) ran(id, replica string, at time.Time) {
	r.line("run %s at %s", id, replica)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id] = append(r.runs[id], run{replica: replica, at: at})
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.runs[id]...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
