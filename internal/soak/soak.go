package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
)

// Config configures a soak run.
type Config struct {
	Seed    uint64
	Daemons int           // processes
	Callers int           // at once
	Length  time.Duration // of phases with and without faults together
	Tenants bool          // requests have keys of tenants with allowances
	Restore bool          // the store is restored from older copies
	Binary  string        // path of the daemon's binary
	Dir     string        // folder for settings and logs
}

// Report is the result of a soak run.
type Report struct {
	Seed       uint64
	Checks     map[string]int // made, by name
	Violations []string
	Faults     []string // in the order in which they started
	Asked      int
	Served     int
}

// String returns a summary line, followed by one line for each of the first ten
// violations and the injected faults.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed=%d asked=%d served=%d violations=%d checks:", r.Seed, r.Asked, r.Served, len(r.Violations))
	for _, name := range slices.Sorted(maps.Keys(r.Checks)) {
		fmt.Fprintf(&b, " %s=%d", name, r.Checks[name])
	}
	for i, v := range r.Violations {
		if i == 10 {
			fmt.Fprintf(&b, "\n  and %d more", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "\n  %s", v)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintf(&b, "\n  faults: %s", strings.Join(r.Faults, ", "))
	}
	return b.String()
}

// Phases and bounds of a run.
const (
	warmUp         = 2 * time.Second
	stormFor       = 5 * time.Second
	calmTime       = settleTime + 3*time.Second // without faults; bounds hold after settleTime
	recovery       = 6 * time.Second            // time for callers to be served again
	finalCheckTime = 2 * time.Second
	maxAddresses   = 8 // maximum number of addresses in a directory response
)

// Run runs the soak test with the faults drawn from one seed.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return Report{}, err
	}
	dir, err := filepath.Abs(c.Dir)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newCluster(ctx, c, dir)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	time.Sleep(warmUp)
	callers := make([]*caller, c.Callers)
	var calling sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{cluster: w, name: fmt.Sprintf("c%d", i), random: w.random(uint64(100 + i))}
		calling.Go(callers[i].run)
	}
	s := &faultInjector{cluster: w, random: w.random(1), copied: w.store.Copy()}
	if c.Restore {
		s.restores = w.random(3)
	}
	for end := time.Now().Add(c.Length); time.Now().Before(end); {
		s.injectFaults(stormFor)
		s.change()
		time.Sleep(calmTime)
	}
	time.Sleep(recovery - calmTime%recovery)
	w.finalChecks()
	cancel()
	calling.Wait()
	w.tenants.checkAllowances(w.ledger)
	report := Report{Seed: c.Seed, Faults: s.history, Checks: w.ledger.seen, Violations: w.ledger.violations}
	for _, one := range callers {
		report.Asked += one.asked
		report.Served += one.served
	}
	return report, nil
}

// finalChecks checks that callers are served when all faults have ended.
func (w *cluster) finalChecks() {
	one := &caller{cluster: w, name: "last", random: w.random(2), liveKey: true}
	until := time.Now().Add(finalCheckTime)
	for time.Now().Before(until) {
		one.sendRequest()
		time.Sleep(20 * time.Millisecond)
	}
	one.disconnect()
	w.ledger.check("recover", 10*one.served >= 9*one.asked,
		"%d of %d requests served after all faults ended", one.served, one.asked)
	for _, p := range w.daemons {
		addresses, err := p.addresses()
		all := err == nil && len(addresses) == min(len(w.daemons), maxAddresses)
		w.ledger.check("directory", all, "%s lists addresses %v, error: %v", p.name, addresses, err)
	}
}

// faultInjector injects faults drawn from the seed.
type faultInjector struct {
	cluster    *cluster
	random     *rand.Rand
	history    []string
	restores   *rand.Rand // draws when the store is restored; nil for never
	copied     standin.Copy
	sets       int // partitions of the index so far
	departures int // replicas that left
}

// injectFaults starts overlapping faults for a time and waits until all have ended.
func (s *faultInjector) injectFaults(length time.Duration) {
	var lasting sync.WaitGroup
	begin := func(name string, fault func(time.Duration)) {
		took := time.Duration(500+s.random.IntN(2500)) * time.Millisecond
		s.history = append(s.history, fmt.Sprintf("%s %s", name, took))
		ended := s.cluster.beginFault()
		lasting.Go(func() {
			fault(took)
			ended()
		})
	}
	if keys := s.cluster.ofKeys(s.cluster.daemons[0]); keys != nil {
		f := keys[1+s.random.IntN(len(keys)-1)] // a run has at least one that outlasts the bound
		begin(f.name, f.play)
	}
	if s.restores != nil {
		after := time.Duration(s.restores.IntN(int(length)))
		begin("store restored", func(took time.Duration) {
			time.Sleep(after)
			s.cluster.restore(s.copied, took)
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		begin(s.draw())
		time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
	}
	lasting.Wait()
}

// fault is a fault that can be injected. Its play function returns when the fault has
// ended.
type fault struct {
	name string
	play func(time.Duration)
}

// draw returns the name and the function of a random fault.
func (s *faultInjector) draw() (string, func(time.Duration)) {
	w := s.cluster
	d := w.daemons[s.random.IntN(len(w.daemons))]
	w.mutex.Lock()
	r := w.replicas[s.random.IntN(len(w.replicas))]
	w.mutex.Unlock()
	faults := slices.Concat(w.ofDaemon(d), w.ofStore(d), ofPeers(d), ofReplica(r), w.ofKeys(d))
	f := faults[s.random.IntN(len(faults))]
	return f.name, f.play
}

// ofDaemon returns the faults of a daemon's process.
func (w *cluster) ofDaemon(d *process) []fault {
	again := func(signal syscall.Signal) func(time.Duration) {
		return func(took time.Duration) {
			d.restartLock.Lock()
			defer d.restartLock.Unlock()
			d.stop(signal)
			time.Sleep(took / 4)
			if err := d.start(); err != nil {
				w.ledger.check("start", false, "%s: %v", d.name, err)
			}
		}
	}
	return []fault{
		{"kill " + d.name, again(syscall.SIGKILL)},
		{"stop " + d.name, again(syscall.SIGTERM)},
		{"freeze " + d.name, func(took time.Duration) {
			d.signal(syscall.SIGSTOP)
			time.Sleep(took)
			d.signal(syscall.SIGCONT)
		}},
		{"hang up " + d.name, func(time.Duration) { d.signal(syscall.SIGHUP) }},
	}
}

// ofStore returns the faults of the store and of a daemon's connections to it.
func (w *cluster) ofStore(d *process) []fault {
	store := func(f standin.Fault) func(time.Duration) {
		return func(took time.Duration) {
			w.store.SetFault("", f)
			time.Sleep(took)
			w.store.SetFault("", standin.Fault{})
		}
	}
	return []fault{
		{"store refuses " + d.name, withMode(d.store, mode{refuse: true})},
		{"store silent to " + d.name, withMode(d.store, mode{dropAll: true})},
		{"store deaf to " + d.name, withMode(d.store, mode{dropReplies: true})},
		{"store far from " + d.name, withMode(d.store, mode{delay: 100 * time.Millisecond})},
		{"store down", store(standin.Fault{Down: true})},
		{"store slow", store(standin.Fault{Delay: 400 * time.Millisecond})},
		{"store loses replies", store(standin.Fault{LoseReplies: 5})},
	}
}

// lostWrites is how often each replica writes its entry before the store is restored, so that
// the revisions of the new era stay below those that daemons know.
const lostWrites = 4

// restore takes the store away and brings it back from a copy. Then what the operator and the
// replicas wrote since is written again, in another order.
func (w *cluster) restore(c standin.Copy, away time.Duration) {
	w.mutex.Lock()
	writers := slices.Clone(w.replicas)
	w.mutex.Unlock()
	for range lostWrites {
		for _, r := range writers {
			_ = r.write() // lost in any case
		}
	}
	w.store.SetFault("", standin.Fault{Down: true})
	time.Sleep(away)
	w.store.Restore(c)
	w.store.SetFault("", standin.Fault{})
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.mutex.Lock()
	replicas, config := slices.Clone(w.replicas), w.config
	w.mutex.Unlock()
	slices.Reverse(replicas)
	for _, r := range replicas {
		w.ledger.check("restore", r.write() == nil, "%s was not written again", r.instance.ID)
	}
	w.ledger.check("restore", w.put(platform.ConfigKey, config) == nil, "the configuration was not written again")
}

// ofPeers returns the faults of other daemons' connections to a daemon.
func ofPeers(d *process) []fault {
	return []fault{
		{"peers refused by " + d.name, withMode(d.peers, mode{refuse: true})},
		{"peers silent to " + d.name, withMode(d.peers, mode{dropAll: true})},
		{"peers deaf to " + d.name, withMode(d.peers, mode{dropReplies: true})},
		{"peers far from " + d.name, withMode(d.peers, mode{delay: 80 * time.Millisecond})},
	}
}

// ofReplica returns the faults of a replica and of the connections to it.
func ofReplica(r *replica) []fault {
	return []fault{
		{"replica refuses " + r.instance.ID, withMode(r.proxy, mode{refuse: true})},
		{"replica silent " + r.instance.ID, withMode(r.proxy, mode{dropAll: true})},
		{"replica deaf " + r.instance.ID, withMode(r.proxy, mode{dropReplies: true})},
		{"replica far " + r.instance.ID, withMode(r.proxy, mode{delay: 60 * time.Millisecond})},
		{"replica misbehaves " + r.instance.ID, func(took time.Duration) {
			withBehaviour(r, 1+int(took.Milliseconds())%(behaviourCount-1))(took)
		}},
		{"replica limits requests " + r.instance.ID, withBehaviour(r, limiting)},
		{"replica refuses for a time " + r.instance.ID, withBehaviour(r, refusing)},
	}
}

// withBehaviour returns a function that sets the behaviour of a replica for a time.
func withBehaviour(r *replica, acts int) func(time.Duration) {
	return func(took time.Duration) {
		r.behave(acts)
		time.Sleep(took)
		r.behave(sound)
	}
}

// withMode returns a function that sets the mode of a proxy for a time.
func withMode(p *proxy, m mode) func(time.Duration) {
	return func(took time.Duration) {
		p.set(m)
		time.Sleep(took)
		p.set(mode{})
	}
}

// change replaces a replica and changes the configuration. The effects are checked in
// the phase without faults that follows.
func (s *faultInjector) change() {
	w := s.cluster
	s.copied = w.store.Copy()
	set := w.knownVersions()[len(w.knownVersions())-1].set
	if s.random.IntN(2) == 0 {
		s.sets++
		set = w.shardSet(s.sets)
		for _, service := range append(slices.Clone(set), set...) {
			s.checkChange(w.newReplica(service))
		}
		time.Sleep(time.Second)
	}
	if w.tenants != nil {
		w.tenants.change(float64(5 + s.random.IntN(30)))
	}
	s.checkChange(w.configure(set, fmt.Sprintf("/added%d/", s.random.IntN(1000))))
	w.mutex.Lock()
	r := w.replicas[s.random.IntN(len(w.replicas))]
	w.mutex.Unlock()
	if r.left.IsZero() {
		s.checkChange(w.newReplica(r.instance.Service))
		s.departures++
		switch s.departures % 3 {
		case 0:
			s.checkChange(r.leave())
		case 1:
			s.checkChange(w.reuse(r, "two"))
		default:
			r.leaveQuietly()
		}
	}
	s.history = append(s.history, "configuration, "+r.instance.ID+" leaves")
}

func (s *faultInjector) checkChange(err error) {
	s.cluster.ledger.check("change", err == nil, "%v", err)
}
