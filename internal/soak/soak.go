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
)

// Config is a run.
type Config struct {
	Seed    uint64
	Daemons int           // processes
	Callers int           // at once
	Length  time.Duration // of faults and calm together
	Binary  string        // the daemon
	Dir     string        // for settings and logs
}

// Report is what a run found.
type Report struct {
	Seed       uint64
	Checks     map[string]int // made, by name
	Violations []string
	Faults     []string // in the order of their starts
	Asked      int
	Served     int
}

// String returns the report on a line, and one for each violation.
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

// Parts of a run.
const (
	warmUp   = 2 * time.Second
	stormFor = 5 * time.Second
	calmTime = inTouch + 3*time.Second // bounds hold in its last part
	recovery = 6 * time.Second         // within which callers are served again
	lastLook = 2 * time.Second
	named    = 8 // addresses that a daemon names at most
)

// Run plays a seed.
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
	w, err := newWorld(ctx, c.Seed, c.Daemons, c.Binary, dir)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	time.Sleep(warmUp)
	callers := make([]*caller, c.Callers)
	var calling sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{world: w, name: fmt.Sprintf("c%d", i), random: w.random(uint64(100 + i))}
		calling.Go(callers[i].run)
	}
	s := &storm{world: w, random: w.random(1)}
	for end := time.Now().Add(c.Length); time.Now().Before(end); {
		s.blow(stormFor)
		s.change()
		time.Sleep(calmTime)
	}
	time.Sleep(recovery - calmTime%recovery)
	w.lastLook()
	cancel()
	calling.Wait()
	report := Report{Seed: c.Seed, Faults: s.told, Checks: w.ledger.seen, Violations: w.ledger.violations}
	for _, one := range callers {
		report.Asked += one.asked
		report.Served += one.served
	}
	return report, nil
}

// lastLook checks that callers are served when all faults have ended.
func (w *world) lastLook() {
	one := &caller{world: w, name: "last", random: w.random(2)}
	until := time.Now().Add(lastLook)
	for time.Now().Before(until) {
		one.once()
		time.Sleep(20 * time.Millisecond)
	}
	one.hangUp()
	w.ledger.check("recover", 10*one.served >= 9*one.asked,
		"%d of %d requests are served in the end", one.served, one.asked)
	for _, p := range w.daemons {
		addresses, err := p.addresses()
		all := err == nil && len(addresses) == min(len(w.daemons), named)
		w.ledger.check("directory", all, "%s names %v: %v", p.name, addresses, err)
	}
}

// storm makes faults, drawn from the seed.
type storm struct {
	world  *world
	random *rand.Rand
	told   []string
	sets   int  // partitions of the index so far
	reuse  bool // the last replica that left had its address used again
}

// blow makes faults that overlap for a time, and waits until all have ended.
func (s *storm) blow(length time.Duration) {
	var lasting sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		name, fault := s.draw()
		took := time.Duration(500+s.random.IntN(2500)) * time.Millisecond
		s.told = append(s.told, fmt.Sprintf("%s %s", name, took))
		ended := s.world.during()
		lasting.Go(func() {
			fault(took)
			ended()
		})
		time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
	}
	lasting.Wait()
}

// fault is what may happen to the world. It returns when it has ended.
type fault struct {
	name string
	play func(time.Duration)
}

// draw returns a fault by its name.
func (s *storm) draw() (string, func(time.Duration)) {
	w := s.world
	d := w.daemons[s.random.IntN(len(w.daemons))]
	w.mutex.Lock()
	r := w.replicas[s.random.IntN(len(w.replicas))]
	w.mutex.Unlock()
	faults := slices.Concat(w.ofDaemon(d), w.ofStore(d), ofPeers(d), ofReplica(r))
	f := faults[s.random.IntN(len(faults))]
	return f.name, f.play
}

// ofDaemon returns what may happen to a daemon's process.
func (w *world) ofDaemon(d *process) []fault {
	again := func(signal syscall.Signal) func(time.Duration) {
		return func(took time.Duration) {
			d.turn.Lock()
			defer d.turn.Unlock()
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

// ofStore returns what may happen to the store, and to a daemon's way to it.
func (w *world) ofStore(d *process) []fault {
	store := func(f standin.Fault) func(time.Duration) {
		return func(took time.Duration) {
			w.store.SetFault("", f)
			time.Sleep(took)
			w.store.SetFault("", standin.Fault{})
		}
	}
	return []fault{
		{"store refuses " + d.name, through(d.store, mode{refuse: true})},
		{"store silent to " + d.name, through(d.store, mode{mute: true})},
		{"store deaf to " + d.name, through(d.store, mode{deaf: true})},
		{"store far from " + d.name, through(d.store, mode{delay: 100 * time.Millisecond})},
		{"store down", store(standin.Fault{Down: true})},
		{"store slow", store(standin.Fault{Slow: 400 * time.Millisecond})},
		{"store loses replies", store(standin.Fault{Lose: 5})},
	}
}

// ofPeers returns what may happen to the way of other daemons to a daemon.
func ofPeers(d *process) []fault {
	return []fault{
		{"peers refused by " + d.name, through(d.peers, mode{refuse: true})},
		{"peers silent to " + d.name, through(d.peers, mode{mute: true})},
		{"peers deaf to " + d.name, through(d.peers, mode{deaf: true})},
		{"peers far from " + d.name, through(d.peers, mode{delay: 80 * time.Millisecond})},
	}
}

// ofReplica returns what may happen to a replica, and to the way to it.
func ofReplica(r *replica) []fault {
	return []fault{
		{"replica refuses " + r.instance.ID, through(r.proxy, mode{refuse: true})},
		{"replica silent " + r.instance.ID, through(r.proxy, mode{mute: true})},
		{"replica deaf " + r.instance.ID, through(r.proxy, mode{deaf: true})},
		{"replica far " + r.instance.ID, through(r.proxy, mode{delay: 60 * time.Millisecond})},
		{"replica misbehaves " + r.instance.ID, func(took time.Duration) {
			r.behave(1 + int(took)%(behaviour-1))
			time.Sleep(took)
			r.behave(sound)
		}},
	}
}

// through changes for a time what a proxy does.
func through(p *proxy, m mode) func(time.Duration) {
	return func(took time.Duration) {
		p.set(m)
		time.Sleep(took)
		p.set(mode{})
	}
}

// change lets a replica leave for another one, and changes the configuration: the
// changes are checked in the calm that follows.
func (s *storm) change() {
	w := s.world
	set := w.known()[len(w.known())-1].set
	if s.random.IntN(2) == 0 {
		s.sets++
		set = w.shardSet(s.sets)
		for _, service := range append(slices.Clone(set), set...) {
			s.must(w.newReplica(service))
		}
		time.Sleep(time.Second)
	}
	s.must(w.configure(set, fmt.Sprintf("/added%d/", s.random.IntN(1000))))
	w.mutex.Lock()
	r := w.replicas[s.random.IntN(len(w.replicas))]
	w.mutex.Unlock()
	if r.left.IsZero() {
		s.must(w.newReplica(r.instance.Service))
		if s.reuse = !s.reuse; s.reuse {
			s.must(w.reuse(r, "two"))
		} else {
			s.must(r.leave())
		}
	}
	s.told = append(s.told, "configuration, "+r.instance.ID+" leaves")
}

func (s *storm) must(err error) { s.world.ledger.check("change", err == nil, "%v", err) }
