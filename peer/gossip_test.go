package peer

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
)

// network carries gossip between followers in memory, in its wire form, and counts
// the bytes.
type network struct {
	mutex      sync.Mutex
	followers  map[string]*fleet.Follower // by peer address
	bytes      map[string]int             // sent and received, by peer address
	wholeLists bool                       // adds whole lists to every message
}

// link implements [ramp.Peers] for one follower.
type link struct {
	ramp.Peers
	network *network
	from    string // peer address of the follower
}

// Gossip implements [ramp.Peers].
func (l link) Gossip(_ context.Context, to ramp.Daemon, m ramp.GossipMessage) (ramp.GossipMessage, error) {
	l.network.mutex.Lock()
	other := l.network.followers[to.PeerAddress]
	l.network.mutex.Unlock()
	request, err := l.network.transmit(m, l.from, to.PeerAddress)
	if err != nil {
		return ramp.GossipMessage{}, err
	}
	return l.network.transmit(other.HandleGossip(request), to.PeerAddress, l.from)
}

// transmit encodes and decodes the message, and counts its bytes for both ends.
func (n *network) transmit(m ramp.GossipMessage, from, to string) (ramp.GossipMessage, error) {
	if n.wholeLists {
		m.Lists, _ = n.followers[from].Lists.Current()
	}
	message, err := encodeGossip(m, "daemon-secret")
	if err != nil {
		return ramp.GossipMessage{}, err
	}
	n.mutex.Lock()
	size := proto.Size(message)
	n.bytes[from] += size
	n.bytes[to] += size
	n.mutex.Unlock()
	return decodeGossip(message)
}

// emptyInventory knows no VM.
type emptyInventory struct{ ramp.InventoryTracker }

func (emptyInventory) LeavingVMs() []string { return nil }
func (emptyInventory) KnownVMs() []string   { return nil }

// start runs a follower for the daemon self until ctx ends.
func (n *network) start(ctx context.Context, store *standin.Store, self ramp.Daemon, running *sync.WaitGroup) {
	client := store.For(self.ID)
	noVMs := standin.NewStore(ramp.SystemClock{})
	pool, reach := ramp.NewPool(1, 1), fleet.NewReachability()
	f := &fleet.Follower{
		Clock: ramp.SystemClock{}, Log: slog.New(slog.DiscardHandler), Self: self,
		Registry: platform.Registry{Store: client}, VMs: noVMs, Pool: pool,
		Lists: fleet.NewLists(ramp.SystemClock{}, reach), Reachability: reach,
		Registrations: fleet.NewRegistrations(), Members: fleet.NewMembers(self, ramp.SystemClock{}),
		Layouts:              emptyInventory{},
		LeavingAnnouncements: fleet.NewLeavingAnnouncements(),
		Peers:                link{network: n, from: self.PeerAddress},
		Usage:                func() []ramp.Usage { return nil }, OnGossip: func(ramp.GossipMessage) {},
	}
	n.mutex.Lock()
	n.followers[self.PeerAddress] = f
	n.mutex.Unlock()
	running.Go(func() {
		f.Run(ctx)
		pool.Close()
	})
}

// customerLists returns lists with the given number of customers.
func customerLists(version uint64, customers int) ramp.Lists {
	l := ramp.Lists{}.WithVersion(version, fmt.Sprint("edit-", version), "test").WithAllowance(ramp.Allowance{
		Plan: "p", Services: []string{"prisms"}, Share: 1, Prefer: ramp.PreferTail,
		Deadline: time.Second, Latency: time.Second, Coverage: 0.9,
	})
	for i := range customers {
		name := fmt.Sprintf("customer-%04d", i)
		l.Customers = append(l.Customers, ramp.Customer{Name: name, Plan: "p", Key: ramp.HashCredential(name)})
	}
	return l
}

// measurements are the results of one run.
type measurements struct {
	applyTime    time.Duration // longest time until a new version was in force at every daemon
	confirmedAge time.Duration // greatest time since a daemon's lists were confirmed
	meanByteRate int           // mean over the daemons, in bytes per second sent and received
	maxByteRate  int           // of the busiest daemon, in bytes per second sent and received
	storeReads   int           // reads of the store in the whole run
}

// measure runs a fleet in virtual time and changes the lists at the required rate of
// 3,900 changes a day. With wholeLists, every gossip message has the whole lists.
func measure(t *testing.T, daemons, domains int, wholeLists bool) measurements {
	const changes, period = 2, 22 * time.Second
	var result measurements
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := standin.NewStore(ramp.SystemClock{})
		registry := platform.Registry{Store: store}
		n := &network{followers: map[string]*fleet.Follower{}, bytes: map[string]int{}, wholeLists: wholeLists}
		var running sync.WaitGroup
		_ = registry.SwapLists(ctx, customerLists(1, 200), 0)
		for i := range daemons {
			id := fmt.Sprint("d", i)
			n.start(ctx, store, ramp.Daemon{
				ID: id, Incarnation: fmt.Sprintf("%016x", ramp.HashKey(id)), Domain: fmt.Sprint("f", i%domains),
				CallerAddress: fmt.Sprint("127.0.2.1:", i), PeerAddress: fmt.Sprint("127.0.3.1:", i),
			}, &running)
		}
		time.Sleep(10 * time.Second)
		n.mutex.Lock()
		clear(n.bytes)
		n.mutex.Unlock()
		reads := store.Calls().Reads
		for version := uint64(2); version < 2+changes; version++ {
			accepted := time.Now()
			_, revision, _ := registry.Lists(ctx)
			_ = registry.SwapLists(ctx, customerLists(version, 200+int(version)), revision)
			for !n.inForce(version) {
				time.Sleep(50 * time.Millisecond)
			}
			result.applyTime = max(result.applyTime, time.Since(accepted))
			for time.Since(accepted) < period {
				time.Sleep(time.Second)
				result.confirmedAge = max(result.confirmedAge, n.maxConfirmedAge())
			}
		}
		result.storeReads = store.Calls().Reads - reads
		cancel()
		running.Wait()
		for _, b := range n.bytes {
			rate := b / int(period.Seconds()) / changes
			result.maxByteRate = max(result.maxByteRate, rate)
			result.meanByteRate += rate
		}
		result.meanByteRate /= daemons
	})
	return result
}

// inForce reports whether every follower has at least the given version.
func (n *network) inForce(version uint64) bool {
	for _, f := range n.followers {
		if v, _ := f.Lists.Version(); v < version {
			return false
		}
	}
	return true
}

// maxConfirmedAge returns the greatest time since a follower's lists were confirmed.
func (n *network) maxConfirmedAge() time.Duration {
	var oldest time.Duration
	for _, f := range n.followers {
		_, confirmed := f.Lists.Current()
		oldest = max(oldest, time.Since(confirmed))
	}
	return oldest
}

// Bounds that the users require.
const (
	maxLag            = 10 * time.Second // until a change is in force, and since the last confirmation
	maxBytesPerSecond = 2000             // of one daemon
)

var extraSize = flag.Int("daemons", 0, "number of daemons of one more fleet, measured but not bounded")

// TestBoundsNews bounds the time until a change of the lists is in force everywhere
// and the cost of gossip, for fleets of several sizes in four failure domains. For
// comparison it also measures a fleet that gossips whole lists, and one in which every
// daemon watches the store. It runs on one processor, since the runtime of Go 1.26
// otherwise crashes in large synctest bubbles under the race detector.
func TestBoundsNews(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	boundsMet := func(name string, f, base measurements) string {
		t.Logf("%s: %+v", name, f)
		return fmt.Sprintf("in force within 10s: %t, confirmed within 10s: %t, "+
			"at most 2000 bytes/s per daemon: %t, store reads within 1.5 times the base: %t",
			f.applyTime <= maxLag, f.confirmedAge <= maxLag,
			f.maxByteRate <= maxBytesPerSecond, f.storeReads <= base.storeReads*3/2)
	}
	base := measure(t, 16, 4, false)
	expected := boundsMet("daemons=16", base, base)
	for _, daemons := range fleetSizes {
		name := fmt.Sprint("daemons=", daemons)
		if got := boundsMet(name, measure(t, daemons, 4, false), base); got != expected {
			t.Errorf("%s: %s", name, got)
		}
	}
	if *extraSize > 0 {
		t.Log(boundsMet(fmt.Sprint("daemons=", *extraSize), measure(t, *extraSize, 18, false), base))
	}
	golden.Check(t, "bounds", fmt.Sprintf(
		"all fleet sizes: %s\ncomparison, whole lists in every message: %s\ncomparison, every daemon watches: %s\n",
		expected, boundsMet("whole lists", measure(t, 4, 4, true), base),
		boundsMet("every daemon watches", measure(t, 16, 16, false), base)))
}
