package stand2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of sites/majak-hledani.toml.
const (
	drainMs     = 3000
	graceS      = 6
	heartbeatMs = 1200
)

// world is a small deployment on loopback addresses.
type world struct {
	store   *store
	dir     string
	address string // of the store
	started time.Time
	mutex   sync.Mutex // guards record and sequence
	record  *os.File
	daemons []*daemon
	trouble bool
}

// daemon is a process of the project.
type daemon struct {
	name, ip, zone string
	front, ready   string
	process        *exec.Cmd
	ended          chan struct{}
}

// newWorld starts the store. The record is written to record.txt in the folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		store: newStore(), dir: dir, started: time.Now(), record: record, trouble: os.Getenv("TROUBLE") != "0",
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store.handler()) }() // until the process ends
	w.note("trouble: %v", w.trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
}

const settings = `nodeName = %[1]q
role = "daemon"
machineClass = "edge"
serves = ["edge","directory","control_plane"]
ip = %[2]q
zone = %[3]q
region = "r"
portRange = [%[4]d,%[5]d]
seeds = [%[6]s]
bootstrap = true
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"%[7]s]
[bindAddrs]
front = "%[2]s:%[4]d"
readiness = "%[2]s:%[8]d"
control = "%[2]s:%[9]d"
directory = "%[2]s:%[10]d"
[limits]
cpuShare = 0.8
cpuCores = 1
memoryMb = 544
maxFds = 8200
linkMbps = 2000.0
[faultTolerance]
machines = 2
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
recoveryS = 12
ttl_max_s = 5
%[11]s[platform]
address = %[12]q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// freePorts returns free ports of an address.
func freePorts(ip string, count int) ([]int, error) {
	ports := make([]int, 0, count)
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// metricsPort is the port of the metrics in the command of the deploy file.
const metricsPort = "9464"

// freeAddress returns a loopback address whose port of the metrics is free.
func freeAddress(host int) (string, error) {
	for i := range 200 {
		ip := fmt.Sprintf("127.0.%d.%d", 10+(os.Getpid()+i)%200, host)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("port %s is in use on all addresses", metricsPort)
}

// addDaemon starts a daemon with the command of the deploy file.
func (w *world) addDaemon(name, zone, contracts, bounds string) (*daemon, error) {
	ip, err := freeAddress(1 + len(w.daemons))
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, zone: zone, ip: ip}
	ports, err := freePorts(d.ip, 4)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settings, name, d.ip, zone, ports[0], ports[0], "", contracts, ports[1], ports[2], ports[3],
		bounds, w.address)
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.front, d.ready = fmt.Sprintf("%s:%d", d.ip, ports[0]), fmt.Sprintf("%s:%d", d.ip, ports[1])
	w.daemons = append(w.daemons, d)
	return d, w.startDaemon(d)
}

func (w *world) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command("target/sycamorerampd", "--platform", "--metrics", metricsPort+"/metrics")
	d.process.Env = append(os.Environ(), "SYCAMORERAMP_SETTINGS="+filepath.Join(w.dir, d.name+".toml"))
	d.process.Stdout, d.process.Stderr = log, log
	if err := d.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), d.process
	d.ended = ended
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	w.note("%s started", d.name)
	return nil
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() error {
	for _, d := range w.daemons {
		ready := false
		for range 100 {
			r, err := http.Get("http://" + d.ready + "/ready")
			if err == nil {
				_ = r.Body.Close()
				if ready = r.StatusCode == http.StatusOK; ready {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ready {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	return nil
}

// close ends the daemons and removes the folder.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.process != nil && d.process.Process != nil {
			_ = d.process.Process.Signal(syscall.SIGKILL) // it may have ended
			<-d.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.record.Close()
}

// arrival is a request at a replica.
type arrival struct {
	id   string
	at   time.Time
	ran  bool
	from string // address of the sender
}

// replica is a stand-in of a replica. Its fields are set before serve.
type replica struct {
	world   *world
	id      string
	service string
	zone    string
	work    time.Duration
	born    int64
	address string

	server   *http.Server
	mutex    sync.Mutex // guards the fields below
	sequence int
	state    string
	silent   bool // writes no beats
	arrivals []arrival
}

// serve starts the replica at the address, or at a free one.
func (r *replica) serve(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.address, r.state = listener.Addr().String(), "ready"
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }() // until it is closed
	r.beat()
	go func() {
		for {
			time.Sleep(heartbeatMs * time.Millisecond)
			r.mutex.Lock()
			silent := r.silent
			r.mutex.Unlock()
			if silent {
				return
			}
			r.beat()
		}
	}()
	return nil
}

// beat writes the replica's entry and returns the store's ack.
func (r *replica) beat() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	return r.world.store.put("servers/"+r.id, map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": "v1", "capacity": 4, "state": r.state,
		"warmupLeftMs": 0, "sequence": r.sequence, "born": r.born,
	})
}

// drain reports that the replica drains, and returns the store's ack.
func (r *replica) drain() time.Time {
	r.mutex.Lock()
	r.state = "draining"
	r.mutex.Unlock()
	return r.beat()
}

// crash ends the replica without a word.
func (r *replica) crash() {
	r.mutex.Lock()
	r.silent = true
	r.mutex.Unlock()
	_ = r.server.Close()
}

func (r *replica) all() []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// ServeHTTP implements [http.Handler].
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mutex.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), ran: true, from: request.RemoteAddr})
	r.mutex.Unlock()
	r.world.note("%s runs %s %s %s", r.id, id, request.Method, request.RequestURI)
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+r.id+"."+id)
	_, _ = w.Write(append([]byte(r.id+" "), body...)) // the daemon may have given up
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int // 0 if the connection ended without an answer
	stamp  string
	after  string // Retry-After
	err    error
}

// client is a caller with connections that are kept open.
type client struct {
	world *world
	http  *http.Client
	key   string
}

func (w *world) newClient() *client {
	return &client{world: w, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
}

// send sends a request once and returns what came back.
func (c *client) send(d *daemon, method, path, id string, budget time.Duration, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = bytes.NewBufferString(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, reader)
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // a request is sent once
	request.Host = "case.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if c.key != "" {
		request.Header.Set("X-Credential", c.key)
	}
	a := answer{id: id, sent: time.Now()}
	response, err := c.http.Do(request)
	if err != nil {
		a.err = err
		c.world.note("%s %s to %s: no answer: %v", method, id, d.name, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	a.status, a.stamp, a.after, a.err = response.StatusCode, response.Header.Get("X-Server-Stamp"),
		response.Header.Get("Retry-After"), err
	c.world.note("%s %s to %s: %d, signature %q, body %q", method, id, d.name, a.status, a.stamp,
		strings.TrimSpace(string(text)))
	return a
}

// route returns a route to one service.
func route(name, path, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": "case.example", "pathPrefix": path, "type": kind, "timeoutMs": timeoutMs,
		"targetLatencyMs": 200, "priority": 1, "attempts": 2, "backend": service,
	}
}

// configure writes a configuration and returns the store's ack.
func (w *world) configure(version int, routes []map[string]any, services []string, more map[string]any) time.Time {
	config := map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	backends := []map[string]any{}
	for _, s := range services {
		backends = append(backends, map[string]any{
			"name": s, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false,
		})
	}
	config["backends"] = backends
	for k, v := range more {
		config[k] = v
	}
	w.note("configuration %d written", version)
	return w.store.put("op/config", config)
}
