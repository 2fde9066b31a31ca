package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestFleetBudget checks that the daemons together stay within the fleet's bounds when
// each spends all of its budget while requests start and stop and daemons restart. It
// records whether the most extra attempts in any window stay within the bound. As a
// counterexample, a whole slack for each daemon exceeds it.
func TestFleetBudget(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	tests := []struct {
		name    string
		daemons int
		members int // fleet size that each daemon assumes
		rate    int // requests per second of all daemons
		restart time.Duration
		share   func(daemon int) float64 // of the slack; 0 for an equal part
	}{
		{"five daemons", 5, 5, 90, 0, equalShare},
		{"five daemons, few requests", 5, 5, 5, 0, equalShare},
		{"five daemons, restarts", 5, 5, 90, 7 * time.Second, equalShare},
		{"36 daemons", 36, 36, 45, 0, equalShare},
		{"117 daemons, three of them delegates", 117, 117, 45, 0, delegateShare},
		{"117 daemons, three of them delegates, restarts", 117, 117, 45, 3 * time.Second, delegateShare},
		{"naive: whole slack for each daemon", 5, 0, 90, 0, equalShare},
		{"naive: whole slack for each delegate", 117, 117, 45, 0, func(daemon int) float64 {
			return 3 * delegateShare(daemon)
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			excess := maxExcess(bounds, test.daemons, test.members, test.rate, test.restart, test.share)
			fmt.Fprintf(&b, "%s: within the bound %t\n", test.name, excess <= 0)
		})
	}
	golden.Check(t, "fleetbudget", b.String())
}

// equalShare gives each daemon an equal part of the slack.
func equalShare(int) float64 { return 0 }

// delegateShare gives two thirds of the slack to three delegates, and the rest to 117
// daemons.
func delegateShare(daemon int) float64 {
	if daemon < 3 {
		return 2.0 / 3 / 3
	}
	return 1.0 / 3 / 117
}

// maxExcess returns the largest number of extra attempts beyond the bound in any
// window.
func maxExcess(
	bounds Bounds, daemons, members, rate int, restart time.Duration, share func(daemon int) float64,
) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	fleetSize := func() int { return members }
	daemonBounds := bounds
	if members == 0 { // cancel the division among the daemons
		daemonBounds.Slack = bounds.Slack * minFleetSize / ownSlackShare
	}
	fleet := make([]*FleetBudget, daemons)
	for i := range fleet {
		fleet[i] = NewFleetBudget(daemonBounds, fleetSize, ramp.SystemClock{})
	}
	var requests, extras []time.Time
	start := time.Now()
	const steps = 400
	for step := range steps {
		time.Sleep(100 * time.Millisecond)
		if restart > 0 && step%int(restart/(100*time.Millisecond)) == 0 {
			fleet[step%daemons] = NewFleetBudget(daemonBounds, fleetSize, ramp.SystemClock{})
		}
		for range rate / 10 {
			if step > steps/2 {
				break // the requests stop while extra attempts go on
			}
			requests = append(requests, time.Now())
			fleet[random.IntN(daemons)].CountRequest("s")
		}
		for i, d := range fleet {
			for d.Allow("s", share(i)) {
				extras = append(extras, time.Now())
			}
		}
	}
	excess := -1.0
	for at := start; at.Before(time.Now()); at = at.Add(time.Second / 2) {
		earned := max(count(requests, at, bounds.Window), count(requests, at.Add(-bounds.Window/2), bounds.Window),
			count(requests, at.Add(-bounds.Window), bounds.Window))
		excess = max(excess, float64(count(extras, at, bounds.Window))-bounds.Ratio*float64(earned)-bounds.Slack)
	}
	return excess
}

// count returns the number of times within the window that begins at from.
func count(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// TestRouteHedgeDelay guards against a hedge delay that does not follow the latency of
// the replies: it starts at a part of the objective and must move to the quantile.
func TestRouteHedgeDelay(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		r := NewFleetBudget(
			Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, func() int { return 5 }, ramp.SystemClock{})
		route := ramp.Route{Name: "r", Objective: 100 * time.Millisecond}
		is.Equal(r.HedgeDelay(route), 25*time.Millisecond)
		for i := range 2000 {
			elapsed := 10 * time.Millisecond
			if i%20 == 0 {
				elapsed = 130 * time.Millisecond
			}
			r.Observe("r", ramp.Attempt{Outcome: ramp.Merged, Elapsed: elapsed})
		}
		is.True(r.HedgeDelay(route) < 15*time.Millisecond)
		is.True(r.HedgeDelay(route) > 9*time.Millisecond)
	})
}
