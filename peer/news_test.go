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

// network carries news between followers in memory, as encoded messages, and
// counts their bytes.
type network struct {
	mutex     sync.Mutex
	followers map[string]*fleet.Follower // by peer address
	bytes     map[string]int             // sent and received, by peer address
	whole     bool                       // sends whole lists with all news
}

// link is a follower's end of the network.
type link struct {
	ramp.Peers
	network *network
	from    string
}

func (l link) Gossip(_ context.Context, to ramp.Daemon, news ramp.GossipMessage) (ramp.GossipMessage, error) {
	l.network.mutex.Lock()
	other := l.network.followers[to.PeerAddress]
	l.network.mutex.Unlock()
	request, err := l.network.carry(news, l.from, to.PeerAddress)
	if err != nil {
		return ramp.GossipMessage{}, err
	}
	return l.network.carry(other.Answer(request), to.PeerAddress, l.from)
}

func (n *network) carry(news ramp.GossipMessage, from, to string) (ramp.GossipMessage, error) {
	if n.whole {
		news.Lists, _ = n.followers[from].Lists.Current()
	}
	message, err := encodeNews(news, "daemon-secret")
	if err != nil {
		return ramp.GossipMessage{}, err
	}
	n.mutex.Lock()
	size := proto.Size(message)
	n.bytes[from] += size
	n.bytes[to] += size
	n.mutex.Unlock()
	return decodeNews(message)
}

type quietLayouts struct{ ramp.InventoryTracker }

func (quietLayouts) LeavingVMs() []string { return nil }
func (quietLayouts) KnownVMs() []string   { return nil }

func (n *network) start(ctx context.Context, store *standin.Store, self ramp.Daemon, running *sync.WaitGroup) {
	client := store.For(self.ID)
	noVMs := standin.NewStore(ramp.SystemClock{})
	pool, reach := ramp.NewPool(1, 1), fleet.NewReach()
	f := &fleet.Follower{
		Clock: ramp.SystemClock{}, Log: slog.New(slog.DiscardHandler), Self: self,
		Registry: platform.Registry{Store: client}, VMs: noVMs, Pool: pool,
		Lists: fleet.NewLists(ramp.SystemClock{}, reach), Reach: reach,
		Roster: fleet.NewRoster(), Members: fleet.NewMembers(self, ramp.SystemClock{}), Layouts: quietLayouts{},
		Departures: fleet.NewDepartures(),
		Peers:      link{network: n, from: self.PeerAddress},
		Used:       func() []ramp.Usage { return nil }, Shared: func(ramp.GossipMessage) {},
	}
	n.mutex.Lock()
	n.followers[self.PeerAddress] = f
	n.mutex.Unlock()
	running.Go(func() {
		f.Run(ctx)
		pool.Close()
	})
}

// lists returns lists with so many customers.
func lists(version uint64, customers int) ramp.Lists {
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

// figures are what a run measured.
type figures struct {
	slowest time.Duration // until a version was in force at every daemon
	oldest  time.Duration // age of a confirmation
	mean    int           // bytes a second of a daemon
	most    int           // bytes a second of the busiest daemon
	reads   int           // of the store in the whole run
}

// measure makes changes at the target's rate of 3,900 a day.
func measure(t *testing.T, daemons, domains int, whole bool) figures {
	const changes, period = 2, 22 * time.Second
	var result figures
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := standin.NewStore(ramp.SystemClock{})
		registry := platform.Registry{Store: store}
		n := &network{followers: map[string]*fleet.Follower{}, bytes: map[string]int{}, whole: whole}
		var running sync.WaitGroup
		_ = registry.SwapLists(ctx, lists(1, 200), 0)
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
			_ = registry.SwapLists(ctx, lists(version, 200+int(version)), revision)
			for !n.inForce(version) {
				time.Sleep(50 * time.Millisecond)
			}
			result.slowest = max(result.slowest, time.Since(accepted))
			for time.Since(accepted) < period {
				time.Sleep(time.Second)
				result.oldest = max(result.oldest, n.oldest())
			}
		}
		result.reads = store.Calls().Reads - reads
		cancel()
		running.Wait()
		for _, b := range n.bytes {
			rate := b / int(period.Seconds()) / changes
			result.most = max(result.most, rate)
			result.mean += rate
		}
		result.mean /= daemons
	})
	return result
}

func (n *network) inForce(version uint64) bool {
	for _, f := range n.followers {
		if v, _ := f.Lists.Version(); v < version {
			return false
		}
	}
	return true
}

func (n *network) oldest() time.Duration {
	var oldest time.Duration
	for _, f := range n.followers {
		_, confirmed := f.Lists.Current()
		oldest = max(oldest, time.Since(confirmed))
	}
	return oldest
}

// Bounds of the users' target.
const (
	boundInForce = 10 * time.Second
	boundBytes   = 2000 // a second of a daemon
)

var further = flag.Int("daemons", 0, "one more size of the fleet to measure, not bounded")

// TestBoundsNews bounds how long a change takes and what the exchange of news
// costs, for fleets of several sizes in four failure domains. Beside it stand
// fleets that send whole lists, and fleets in which every daemon watches. It
// runs on one processor: the runtime of Go 1.26 crashes in large bubbles under
// the race detector otherwise.
func TestBoundsNews(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	verdict := func(name string, f, base figures) string {
		t.Logf("%s: %+v", name, f)
		return fmt.Sprintf("in force in 10s: %t, confirmed in 10s: %t, bytes within 2000/s: %t, reads do not grow: %t",
			f.slowest <= boundInForce, f.oldest <= boundInForce, f.most <= boundBytes, f.reads <= base.reads*3/2)
	}
	base := measure(t, 16, 4, false)
	good := verdict("daemons=16", base, base)
	for _, daemons := range sizes {
		name := fmt.Sprint("daemons=", daemons)
		if got := verdict(name, measure(t, daemons, 4, false), base); got != good {
			t.Errorf("%s: %s", name, got)
		}
	}
	if *further > 0 {
		t.Log(verdict(fmt.Sprint("daemons=", *further), measure(t, *further, 18, false), base))
	}
	golden.Check(t, "bounds", fmt.Sprintf("every size: %s\nnaive, whole lists: %s\nnaive, all watch: %s\n", good,
		verdict("whole lists", measure(t, 4, 4, true), base), verdict("all watch", measure(t, 16, 16, false), base)))
}
