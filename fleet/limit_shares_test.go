package fleet_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/replica"
)

// limitedFleet returns the shares of daemons in a number of failure domains, which know each
// other.
func limitedFleet(daemons, domains int) []fleet.LimitShares {
	all := make([]ramp.Daemon, daemons)
	for i := range all {
		all[i] = ramp.Daemon{ID: fmt.Sprint("d", i), Incarnation: fmt.Sprint("i", i), Domain: fmt.Sprint("z", i%domains)}
	}
	shares := make([]fleet.LimitShares, daemons)
	for i := range shares {
		members := fleet.NewMembers(all[i], ramp.SystemClock{})
		members.Replace(all)
		shares[i] = fleet.LimitShares{Self: all[i], Members: members, FleetSize: func() int { return daemons }}
	}
	return shares
}

// TestLimitShares records how limits are divided among daemons.
func TestLimitShares(t *testing.T) {
	tests := []struct {
		daemons, domains int
		limit            float64
		domain           string // of the replica
	}{
		{1, 1, 24, "z0"},
		{1, 1, 24, "elsewhere"},
		{4, 3, 24, "z0"},
		{4, 3, 24, "elsewhere"},
		{4, 3, 2.5, "z0"},
		{4, 3, 0.5, "z0"},
		{4, 3, 0, "z0"},
		{36, 4, 24, "z1"},
		{36, 4, 7.5, "z1"},
		{36, 4, 1, "z1"},
	}
	var b strings.Builder
	for _, test := range tests {
		total, users, local := 0.0, 0, 0.0
		var probe time.Duration
		for _, s := range limitedFleet(test.daemons, test.domains) {
			share := s.Share(ramp.Replica{ID: "r", Domain: test.domain}, test.limit)
			total, probe = total+share.Rate, share.ProbeInterval
			if share.Rate > 0 {
				users++
			}
			if s.Self.Domain == test.domain {
				local += share.Rate
			}
		}
		fmt.Fprintf(&b, "%d daemons in %d domains, limit %g, replica in %s: ",
			test.daemons, test.domains, test.limit, test.domain)
		fmt.Fprintf(&b, "users=%d total=%.2f of its domain=%.2f probes every %s\n",
			users, total, local, probe.Round(100*time.Millisecond))
	}
	golden.Check(t, "limitshares", b.String())
}

// limitTick is the interval at which the daemons of TestLimitOfFleet send requests.
const limitTick = 10 * time.Millisecond

// TestLimitOfFleet checks that daemons together send a replica at most one and a half times
// its limit and 5 requests in any 4 s, and how much of the limit they use, whatever the
// order in which they have requests. The naive fleet uses the whole limit at each daemon.
func TestLimitOfFleet(t *testing.T) {
	steady := func(int) bool { return true }
	tests := []struct {
		name             string
		daemons, domains int
		limit            float64
		busy             func(tick int) bool // whether daemons have requests
		restart          int                 // ticks between two restarts of a daemon; 0 for none
		naive            bool
	}{
		{"4 daemons", 4, 3, 24, steady, 0, false},
		{"4 daemons, low limit", 4, 3, 1.3, steady, 0, false},
		{"4 daemons, limit of 0", 4, 3, 0, steady, 0, false},
		{"36 daemons", 36, 4, 24, steady, 0, false},
		{"36 daemons, low limit", 36, 4, 3, steady, 0, false},
		{"36 daemons, bursts after idle times", 36, 4, 7.5, func(n int) bool { return n%800 > 500 }, 0, false},
		{"36 daemons, restarts", 36, 4, 24, steady, 150, false},
		{"naive: the whole limit for each of 4 daemons", 4, 3, 24, steady, 0, true},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			excess, used := runLimitedFleet(test.daemons, test.domains, test.limit, test.busy, test.restart, test.naive)
			fmt.Fprintf(&b, "%s: within the limit=%t, used at least half of it=%t\n", test.name, excess <= 0, used)
		})
	}
	golden.Check(t, "limitfleet", b.String())
}

// wholeLimit gives each daemon all of a limit. It implements [ramp.LimitSharer].
type wholeLimit struct{}

// Share implements [ramp.LimitSharer].
func (wholeLimit) Share(_ ramp.Replica, limit float64) ramp.LimitShare {
	return ramp.LimitShare{Rate: limit, ProbeInterval: time.Minute}
}

// runLimitedFleet lets daemons send requests to one replica that names its limit in each
// answer. It returns by how much the arrivals of any 4 s, from daemons that were told half a
// second before, exceed what is allowed, and whether half of the limit was used.
func runLimitedFleet(
	daemons, domains int, limit float64, busy func(tick int) bool, restart int, naive bool,
) (excess float64, used bool) {
	const (
		ticks  = 2500
		window = 400 // ticks
		answer = 3   // ticks until the replica answers
		react  = 50  // ticks that a daemon has to follow the limit
	)
	i := ramp.Instance{Replica: ramp.Replica{ID: "r", Address: "r", Domain: "z0"}, Service: "s", State: ramp.Live}
	instances := replica.NewInstances(3*time.Second, ramp.SystemClock{})
	instances.Update(i, time.Now())
	newPicker := func(s fleet.LimitShares) *replica.Picker {
		var shares ramp.LimitSharer = s
		if naive {
			shares = wholeLimit{}
		}
		return replica.NewPicker(instances, s.Self.Domain, shares, slog.New(slog.DiscardHandler), ramp.SystemClock{})
	}
	shares := limitedFleet(daemons, domains)
	pickers, told := make([]*replica.Picker, daemons), make([]int, daemons) // told: tick of the first answer
	for n := range pickers {
		pickers[n], told[n] = newPicker(shares[n]), ticks
	}
	arrivals, total, busyTicks := make([]int, ticks), 0, 0
	for tick := range ticks {
		time.Sleep(limitTick)
		if restart > 0 && tick%restart == restart-1 {
			n := tick / restart % daemons
			pickers[n], told[n] = newPicker(shares[n]), ticks
		}
		if !busy(tick) {
			continue
		}
		busyTicks++
		for n, p := range pickers {
			_, pick, ok := p.Pick(ramp.PickRequest{Service: "s", Limit: 2})
			if !ok {
				continue
			}
			if tick >= told[n]+react {
				arrivals[tick]++
			}
			told[n] = min(told[n], tick+answer)
			total++
			a := ramp.Attempt{Replica: i.Replica, Pick: pick, Signals: &ramp.Signals{Limited: true, RateLimit: limit}}
			time.AfterFunc(answer*limitTick, func() { p.Done(a.WithOutcome(ramp.Merged, answer*limitTick, true)) })
		}
	}
	time.Sleep(time.Second)
	excess = -1
	for start := range ticks - window {
		sum := 0
		for _, n := range arrivals[start : start+window] {
			sum += n
		}
		excess = max(excess, float64(sum)-1.5*limit*window*limitTick.Seconds()-5)
	}
	return excess, float64(total) >= 0.5*limit*float64(busyTicks)*limitTick.Seconds()
}
