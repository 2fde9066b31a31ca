package fleet_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/replica"
)

// coldDaemon is a daemon that sends requests to a cold replica whenever it may.
type coldDaemon struct {
	self    ramp.Daemon
	members *fleet.Members
	picker  *replica.Picker
	cut     bool // it no longer learns of changes
}

// coldFleet is a fleet whose daemons all have requests for one cold replica.
type coldFleet struct {
	random   *rand.Rand
	daemons  []*coldDaemon
	registry []ramp.Daemon // daemons registered in the store
	routes   *fleet.Routes
	replicas *replica.Instances
	naive    bool
	started  time.Time
	arrivals []time.Duration
}

// equalShares gives each member an equal part of the rate. It implements [ramp.ColdSharer].
type equalShares struct{ members *fleet.Members }

// ColdRate implements [ramp.ColdSharer].
func (s equalShares) ColdRate(_ ramp.Instance, limit ramp.ColdLimit) float64 {
	return limit.Rate / float64(max(1, len(s.members.All())))
}

// start adds a daemon, which knows itself only at first.
func (f *coldFleet) start() {
	n := len(f.registry)
	d := &coldDaemon{self: ramp.Daemon{ID: fmt.Sprintf("d%03d", n), Incarnation: fmt.Sprint("i", n, f.random.Uint32())}}
	d.self.Domain = fmt.Sprint("z", n%3)
	clock := ramp.SystemClock{}
	d.members = fleet.NewMembers(d.self, clock)
	d.members.Replace([]ramp.Daemon{d.self})
	var shares ramp.ColdSharer = fleet.NewColdShares(d.self, d.members, ramp.WarmupBounds{Overshoot: 1.5, Slack: 5},
		func() bool { return true }, func() int { return len(d.members.All()) }, clock)
	if f.naive {
		shares = equalShares{d.members}
	}
	d.picker = replica.NewPicker(f.replicas, d.self.Domain, wholeLimit{}, slog.New(slog.DiscardHandler), clock).
		WithRouting(f.routes, shares)
	f.daemons, f.registry = append(f.daemons, d), append(f.registry, d.self)
}

// announce lets every daemon learn of the registered ones at a time within 2.5 s.
func (f *coldFleet) announce() {
	known := append([]ramp.Daemon(nil), f.registry...)
	for _, d := range f.daemons {
		time.AfterFunc(time.Duration(f.random.Int64N(int64(2500*time.Millisecond))), func() {
			if !d.cut && len(known) >= len(d.members.All())-1 {
				d.members.Replace(known)
			}
		})
	}
}

// run lets all daemons send requests for the given time. A request reaches the replica up to
// 300 ms after it was picked.
func (f *coldFleet) run(length time.Duration) {
	const tick = 40 * time.Millisecond
	for range length / tick {
		for _, d := range f.daemons {
			if i, info, ok := d.picker.Pick(ramp.PickRequest{Service: "s", Limit: 1 << 20}); ok {
				transit := time.Duration(f.random.Int64N(int64(300 * time.Millisecond)))
				f.arrivals = append(f.arrivals, time.Since(f.started)+transit)
				d.picker.Done(ramp.Attempt{Replica: i.Replica, Pick: info}.WithOutcome(ramp.Merged, transit, true))
			}
		}
		time.Sleep(tick)
	}
}

// busiest returns the greatest number of requests that arrived within a second, in any of the
// seconds that start with an arrival.
func (f *coldFleet) busiest() int {
	counts := make(map[time.Duration]int)
	for _, from := range f.arrivals {
		counts[from] = 0
		for _, at := range f.arrivals {
			if at >= from && at < from+time.Second {
				counts[from]++
			}
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// TestColdReplicaGetsFewRequests guards against more requests in any one second than a cold
// replica bears, at any load, while daemons join, start together, or leave unnoticed. The naive
// fleet gives each daemon an equal part of the rate.
func TestColdReplicaGetsFewRequests(t *testing.T) {
	nothing := func(*coldFleet) {}
	join := func(f *coldFleet) {
		for range 3 {
			f.start()
			f.announce()
			f.run(400 * time.Millisecond)
		}
	}
	lose := func(f *coldFleet) { // a daemon is cut off and goes on, until it has no share after 6 s
		f.daemons[0].cut = true
		f.run(6 * time.Second)
		f.daemons, f.registry = f.daemons[1:], f.registry[1:]
		f.announce()
	}
	var b strings.Builder
	for _, test := range []struct {
		name     string
		daemons  int
		rate     float64
		gathered bool
		happens  func(*coldFleet)
		naive    bool
	}{
		{"calm", 5, 24, false, nothing, false},
		{"calm, low rate", 5, 1, false, nothing, false},
		{"calm", 38, 24, false, nothing, false},
		{"calm, parts", 38, 24, true, nothing, false},
		{"calm, low rate", 38, 2, true, nothing, false},
		{"calm", 300, 24, false, nothing, false},
		{"three daemons join", 5, 24, false, join, false},
		{"three daemons join, parts, high rate", 38, 100, true, join, false},
		{"three daemons join", 300, 24, true, join, false},
		{"a daemon is cut off", 5, 24, false, lose, false},
		{"a daemon is cut off, parts, high rate", 38, 100, true, lose, false},
		{"naive", 38, 24, false, nothing, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(test.rate, test.gathered, test.naive)
			for n := range test.daemons { // all start together
				if f.start(); n == test.daemons/2 {
					f.announce()
				}
			}
			f.announce()
			f.run(7 * time.Second)
			test.happens(f)
			f.run(5 * time.Second)
			bound, used := int(test.rate*1.5+5), float64(len(f.arrivals))/time.Since(f.started).Seconds()
			t.Logf("%s, %d daemons, rate %g: %d in a second, bound %d, %.1f/s on average",
				test.name, test.daemons, test.rate, f.busiest(), bound, used)
			fmt.Fprintf(&b, "%s, %d daemons, rate %g: within the bound=%t, used a fifth of the rate=%t\n",
				test.name, test.daemons, test.rate, f.busiest() <= bound, used >= test.rate/5)
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "coldfleet", b.String())
}

func newColdFleet(rate float64, gathered, naive bool) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(1, 2)), routes: fleet.NewRoutes(), naive: naive, started: time.Now(),
		replicas: replica.NewInstances(3*time.Second, ramp.SystemClock{}),
	}
	routing := ramp.Routing{Version: 1, Warmups: map[string]ramp.Warmup{"s": {Duration: time.Minute, Rate: rate}}}
	if gathered {
		routing = routing.WithRoutes([]ramp.Route{{Name: "r", Gather: []string{"s"}}})
	}
	f.routes.Update(routing)
	f.replicas.Update(ramp.Instance{
		Replica: ramp.Replica{ID: "r", Address: "r", Domain: "z0"}, Service: "s", State: ramp.Live, WarmupLeft: time.Hour,
	}, time.Now())
	return f
}
