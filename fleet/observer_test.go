package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
)

// numbered translates entries: "config" holds a version, "replica/ID" a replica,
// and the rest is the platform's.
type numbered struct{ platform.Translator }

// Translate implements [ramp.Translator].
func (n numbered) Translate(e ramp.Entry) (ramp.Record, error) {
	id, isReplica := strings.CutPrefix(e.Key, "replica/")
	switch {
	case e.Key == "config":
		version, err := strconv.ParseUint(string(e.Value), 10, 64)
		return ramp.Record{Routing: &ramp.Routing{Version: version}}, err
	case isReplica:
		return ramp.Record{Instance: &ramp.Instance{Replica: ramp.Replica{ID: id}}}, nil
	}
	return n.Translator.Translate(e)
}

// cuts names the daemons that are cut off from the others.
type cuts struct{ ids sync.Map }

func (c *cuts) add(id string) { c.ids.Store(id, true) }

func (c *cuts) has(id string) bool {
	_, cut := c.ids.Load(id)
	return cut
}

// wires connects observers with each other. It implements [ramp.Peers].
type wires struct {
	ramp.Peers
	daemons map[string]*observed
	cut     *cuts
	from    string
}

// Gossip implements [ramp.Peers].
func (w wires) Gossip(_ context.Context, to ramp.Daemon, news ramp.GossipMessage) (ramp.GossipMessage, error) {
	d, there := w.daemons[to.PeerAddress]
	if !there || w.cut.has(to.PeerAddress) || w.cut.has(w.from) {
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Cause: errors.New("cut")}
	}
	return d.Answer(news), nil
}

// observers starts daemons over one store.
func observers(ctx context.Context, store *standin.Store, count int) (map[string]*observed, *cuts) {
	clock := ramp.SystemClock{}
	all, cut := make(map[string]*observed), &cuts{}
	for i := range count {
		id := fmt.Sprintf("d%02d", i)
		self := ramp.Daemon{
			ID: id, Incarnation: id + "i", Domain: "z" + strconv.Itoa(i%2), CallerAddress: id, PeerAddress: id,
		}
		client := store.For(id)
		replicas := &takenReplicas{}
		o := &Observer{
			Clock: clock, Log: slog.New(slog.DiscardHandler), Self: self, Store: client,
			Registry: platform.Registry{Store: client}, Translator: numbered{},
			Peers: wires{daemons: all, cut: cut, from: id}, Pool: ramp.NewPool(4, 64), Mirror: NewMirror(clock),
			Routes: NewRoutes(), Members: NewMembers(self, clock), Replicas: replicas, Bound: 3 * time.Second,
			Seeds:   func() []ramp.Daemon { return []ramp.Daemon{{ID: "d00", PeerAddress: "d00"}} },
			Leaving: make(chan struct{}),
		}
		o.Init()
		all[id] = &observed{Observer: o, replicas: replicas}
	}
	for _, o := range all {
		go func() {
			o.Run(ctx)
			o.Pool.Close()
		}()
	}
	return all, cut
}

// TestObservers plays what may happen between daemons and the store, and records
// within which time each daemon has the newest configuration, and what it knows.
func TestObservers(t *testing.T) {
	down := standin.Fault{Down: true}
	tests := []struct {
		name  string
		count int
		fault func(store *standin.Store, cut *cuts)
	}{
		{"calm, a small fleet", 5, func(*standin.Store, *cuts) {}},
		{"the store turns one away", 5, func(s *standin.Store, _ *cuts) { s.SetFault("d03", down) }},
		{"the store turns all but one away", 5, func(s *standin.Store, _ *cuts) {
			for i := range 4 {
				s.SetFault(fmt.Sprintf("d%02d", i), down)
			}
		}},
		{"one is cut off from all others", 5, func(_ *standin.Store, cut *cuts) { cut.add("d03") }},
		{"calm, a larger fleet", 24, func(*standin.Store, *cuts) {}},
		{"a larger fleet, the watchers of a domain are cut off", 24, func(s *standin.Store, cut *cuts) {
			for i := 0; i < 24; i += 2 {
				id := fmt.Sprintf("d%02d", i)
				if i < 8 {
					cut.add(id)
					s.SetFault(id, down)
				}
			}
		}},
		{"naive: the store turns one away that asks nobody", 5, func(s *standin.Store, cut *cuts) {
			s.SetFault("d03", down)
			cut.add("d03")
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := standin.NewStore(ramp.SystemClock{})
			revision, _ := store.For("operator").Swap(ctx, "config", []byte("1"), 0, "")
			all, cut := observers(ctx, store, test.count)
			time.Sleep(10 * time.Second)
			before := store.Calls()
			test.fault(store, cut)
			time.Sleep(4 * time.Second)
			_, _ = store.For("operator").Swap(ctx, "config", []byte("2"), revision, "")
			time.Sleep(3 * time.Second) // the shortest bound on a configuration
			have := 0
			for _, o := range all {
				if r, _ := o.Routes.Current(); r.Version == 2 {
					have++
				}
			}
			calls := store.Calls().Reads - before.Reads
			fmt.Fprintf(&b, "%s: %d of %d have it, at most one read a second for each watcher: %t\n",
				test.name, have, test.count, calls <= 7*test.count)
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "observers", b.String())
}

// TestObserverSeesRemovals records what a daemon learns of replicas whose entries
// come and go while the store is away.
func TestObserverSeesRemovals(t *testing.T) {
	var b strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := standin.NewStore(ramp.SystemClock{})
		replicas := store.For("replicas")
		lease, _ := replicas.Grant(ctx, 3*time.Second)
		_, _ = replicas.Swap(ctx, "replica/a", []byte("x"), 0, lease)
		_, _ = replicas.Swap(ctx, "replica/b", []byte("x"), 0, "")
		all, _ := observers(ctx, store, 1)
		time.Sleep(time.Second)
		store.SetFault("d00", standin.Fault{Down: true})
		time.Sleep(5 * time.Second)
		store.SetFault("d00", standin.Fault{})
		time.Sleep(time.Second)
		_, _ = replicas.Swap(ctx, "replica/a", []byte("x"), 0, "")
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		for _, line := range all["d00"].replicas.log {
			fmt.Fprintln(&b, line)
		}
		time.Sleep(time.Minute)
	})
	golden.Check(t, "removals", b.String())
}

// mute is peers that never answer.
type mute struct{ ramp.Peers }

// Gossip implements [ramp.Peers].
func (mute) Gossip(ctx context.Context, to ramp.Daemon, _ ramp.GossipMessage) (ramp.GossipMessage, error) {
	<-ctx.Done()
	return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: ctx.Err()}
}

// TestSilentDaemonIsLost fails when the log does not tell that a daemon has gone
// silent.
func TestSilentDaemonIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		self := ramp.Daemon{ID: "a", Incarnation: "a1"}
		o := &Observer{
			Clock: ramp.SystemClock{}, Log: slog.New(slog.NewTextHandler(&log, nil)), Self: self, Peers: mute{},
			Mirror: NewMirror(ramp.SystemClock{}), Members: NewMembers(self, ramp.SystemClock{}),
		}
		o.Init()
		o.exchange(t.Context(), ramp.Daemon{ID: "b", Incarnation: "b1", PeerAddress: "b:1"})
		if !strings.Contains(log.String(), `msg="dependency lost" dependency="daemon b:1"`) {
			t.Errorf("log: %s", log.String())
		}
	})
}
