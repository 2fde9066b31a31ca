package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
)

// Sizes of a run.
const (
	shards     = 5
	copies     = 2 // replicas of a shard
	topRecords = 6
	settleTime = 4 * time.Second // time without faults after which bounds hold
	applyBound = 3 * time.Second // for a configuration to be in force
	graceTime  = 6 * time.Second // from SIGTERM to SIGKILL
	timeout    = 900 * time.Millisecond
)

var zones = []string{"z0", "z1", "z2"}

// configWire is the operator's configuration.
type configWire struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"backends"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants,omitempty"`
}

// version is a configuration with the time at which the store acknowledged it.
type version struct {
	number int
	set    []string // services that a gather route queries
	extra  string   // path of a route that only this version has
	acked  time.Time
}

// cluster holds the daemons of one run and the stand-ins and proxies around them.
type cluster struct {
	seed    uint64
	host    string
	dir     string
	binary  string
	ledger  *ledger
	store   *standin.Platform
	server  *http.Server
	claim   net.Listener // held during the run, see claimAddresses
	tenants *tenants     // nil if requests have no keys
	ctx     context.Context

	configuring sync.Mutex // held while a configuration is written, before mutex

	mutex     sync.Mutex // guards the fields below
	started   int        // replicas
	replicas  []*replica
	versions  []version
	config    []byte    // the newest configuration
	lastFault time.Time // when the last fault ended; valid while faults is 0
	faults    int       // active faults
	daemons   []*process
}

// put writes a key to the store as a client other than the daemons.
func (w *cluster) put(key string, value []byte) error {
	client := w.store.For("outside")
	current, _ := client.Get(w.ctx, key) // revision 0 if there is none
	_, err := client.Swap(w.ctx, key, value, current.Revision, "")
	return err
}

// faultFreeFor returns the time since the last fault ended, or 0 while one is active.
func (w *cluster) faultFreeFor() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.faults > 0 {
		return 0
	}
	return time.Since(w.lastFault)
}

// beginFault counts a fault as active until the returned function is called.
func (w *cluster) beginFault() (end func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults++
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.faults--
		w.lastFault = time.Now()
	}
}

// configure writes the next configuration.
func (w *cluster) configure(set []string, extra string) error {
	w.mutex.Lock()
	number := 3
	if n := len(w.versions); n > 0 {
		number = w.versions[n-1].number + 2
	}
	v := version{number: number, set: set, extra: extra}
	w.versions = append(w.versions, v) // may take effect from now on
	at := len(w.versions) - 1
	w.mutex.Unlock()
	route := func(name, path, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "pathPrefix": path, "type": kind, "attempts": 2,
			"timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 200, "priority": 1,
		}
	}
	all, read := route("all", "/all/", "idempotent"), route("read", "/read/", "idempotent")
	all["gather"], all["topK"], all["minCoverage"] = set, topRecords, 0.6
	read["trafficSplit"] = []map[string]any{{"backend": "one", "weight": 3}, {"backend": "two", "weight": 1}}
	once := route("once", "/once/", "non_idempotent")
	once["backend"] = "one"
	config := configWire{Version: number, Routes: []map[string]any{all, read, once}, Limits: map[string]any{
		"maxBodyBytes": 100000, "idleTimeoutMs": 15000,
	}, Tenants: w.tenants.wire()}
	if extra != "" {
		added := route("added", extra, "idempotent")
		added["backend"] = "two"
		config.Routes = append(config.Routes, added)
	}
	for _, s := range append([]string{"one", "two"}, set...) {
		config.Services = append(config.Services, map[string]any{"name": s, "maxConnections": 60})
	}
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.configuring.Lock()
	defer w.configuring.Unlock()
	if err := w.put(platform.ConfigKey, value); err != nil {
		return err
	}
	acked := time.Now()
	w.tenants.acknowledge(acked)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.config = value
	w.versions[at].acked = acked
	return nil
}

// knownVersions returns all configuration versions written so far.
func (w *cluster) knownVersions() []version {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]version(nil), w.versions...)
}

// process is a daemon on its own loopback address.
type process struct {
	cluster      *cluster
	name         string
	ip           string
	zone         string
	store        *proxy     // between the daemon and the store
	peers        *proxy     // between other daemons and this one
	restartLock  sync.Mutex // held from stopping the process until it runs again
	mutex        sync.Mutex // guards the fields below
	cmd          *exec.Cmd
	ended        chan struct{}
	killed       time.Time // when it last got SIGKILL or was stopped
	disturbed    time.Time // when it was last started or signalled
	exitExpected bool      // whether the run stopped it
}

const settingsFile = `nodeName = %q
ip = %q
zone = %q
seeds = [%q, %q]
[bindAddrs]
front = "%[2]s:8104"
readiness = "%[2]s:8108"
control = "%[2]s:8106"
directory = "%[2]s:8100"
[bounds]
graceS = 6
drainMs = 3000
configApplyMs = 3000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 60
ttl_max_s = 5
[platform]
address = %[6]q
`

func (p *process) settings() string { return filepath.Join(p.cluster.dir, p.name+".toml") }

// start runs the daemon. Its log goes to a file that every start appends to.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.cluster.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.cluster.binary, "--platform", "--settings", p.settings())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mutex.Lock()
	p.cmd, p.ended, p.exitExpected, p.disturbed = cmd, ended, false, time.Now()
	p.mutex.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mutex.Lock()
		meant := p.exitExpected
		p.mutex.Unlock()
		p.cluster.ledger.check("exit", meant, "%s exited unexpectedly: %v", p.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.disturbed = time.Now()
	switch s {
	case syscall.SIGKILL:
		p.killed, p.exitExpected = time.Now(), true
	case syscall.SIGTERM:
		p.exitExpected = true
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// stop ends the process with a signal, and with SIGKILL after the grace time.
func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	select {
	case <-ended:
	case <-time.After(graceTime):
		p.cluster.ledger.check("grace", s == syscall.SIGKILL, "%s was still running after its grace time", p.name)
		p.signal(syscall.SIGKILL)
		<-ended
	}
	p.mutex.Lock()
	p.killed = time.Now()
	p.mutex.Unlock()
}

// disturbedSince reports whether the process was started, signalled or stopped after a
// time.
func (p *process) disturbedSince(at time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disturbed.After(at) || p.killed.After(at)
}

// newCluster starts stand-ins and daemons. Daemons listen on loopback addresses that
// belong to the seed.
func newCluster(ctx context.Context, c Config, dir string) (*cluster, error) {
	octet := 2 + int(c.Seed%120)
	w := &cluster{
		seed: c.Seed, host: fmt.Sprintf("127.%d.0.1", octet), dir: dir, binary: c.Binary, ledger: newLedger(),
		store: standin.NewPlatform(), ctx: ctx, lastFault: time.Now(),
	}
	if c.Tenants {
		w.tenants = newTenants(time.Now())
	}
	var err error
	if w.claim, err = claimAddresses(w.host); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }() // until it is closed
	for _, s := range append([]string{"one", "one", "one", "two", "two"}, w.shardSet(0)...) {
		if err := w.newReplica(s); err != nil {
			return nil, err
		}
	}
	for _, s := range w.shardSet(0) { // the second copies
		if err := w.newReplica(s); err != nil {
			return nil, err
		}
	}
	if err := w.configure(w.shardSet(0), ""); err != nil {
		return nil, err
	}
	for i := range c.Daemons {
		p := &process{
			cluster: w, name: fmt.Sprintf("d%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", octet, i+1), zone: zones[i%len(zones)],
		}
		if p.store, err = newProxy(w.host, listener.Addr().String()); err != nil {
			return nil, err
		}
		if p.peers, err = newProxy(w.host, p.ip+":8106"); err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, p)
	}
	w.store.RewriteValue = w.throughProxies
	seeds := []any{w.daemons[0].peers.address(), w.daemons[min(1, c.Daemons-1)].peers.address()}
	for _, p := range w.daemons {
		text := fmt.Sprintf(settingsFile, slices.Concat([]any{p.name, p.ip, p.zone}, seeds, []any{p.store.address()})...)
		if w.tenants != nil {
			text = strings.Replace(text, "[platform]", tenantSettings+"[platform]", 1)
		}
		if err := os.WriteFile(p.settings(), []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// claimAddresses keeps the addresses of a run until the listener is closed. Otherwise callers
// of another run with these addresses would be served by the daemons of this one.
func claimAddresses(host string) (net.Listener, error) {
	claim, err := net.Listen("tcp", host+":8104")
	if err != nil {
		return nil, fmt.Errorf("another run uses these addresses: %w", err)
	}
	return claim, nil
}

// throughProxies makes daemons register the proxies in front of them, so that
// others reach them only there.
func (w *cluster) throughProxies(key string, value []byte) []byte {
	if !strings.HasPrefix(key, platform.DaemonPrefix) {
		return value
	}
	for _, p := range w.daemons {
		value = bytes.ReplaceAll(value, []byte(`"`+p.ip+`:8106"`), []byte(`"`+p.peers.address()+`"`))
	}
	return value
}

// shardSet returns the services of the n-th partition of the index.
func (w *cluster) shardSet(n int) []string {
	set := make([]string, 0, shards)
	for i := range shards {
		set = append(set, fmt.Sprintf("s%d-%d", n, i))
	}
	return set
}

// close ends everything that the run started.
func (w *cluster) close() {
	for _, p := range w.daemons {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
		p.store.close()
		p.peers.close()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, r := range w.replicas {
		_ = r.server.Close()
		r.proxy.close()
	}
	_ = w.server.Close()
	_ = w.claim.Close()
}

// random returns a source of random numbers for one part of the run.
func (w *cluster) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, part)) }
