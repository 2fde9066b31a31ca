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

// TestFleetBudget lets daemons repeat as much as they may while requests come and
// stop, and daemons restart. It records the most repeats in any window against
// what the fleet may make: the daemons' shares hold, and a whole slack for each
// daemon does not.
func TestFleetBudget(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	tests := []struct {
		name    string
		daemons int
		members int // as each daemon believes
		rate    int // requests a second of all daemons
		restart time.Duration
	}{
		{"five daemons", 5, 5, 90, 0},
		{"five daemons, few requests", 5, 5, 5, 0},
		{"five daemons, restarts", 5, 5, 90, 7 * time.Second},
		{"36 daemons", 36, 36, 45, 0},
		{"naive: the whole slack for each", 5, 0, 90, 0},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			worst := mostRepeats(bounds, test.daemons, test.members, test.rate, test.restart)
			fmt.Fprintf(&b, "%s: within the bound %t\n", test.name, worst <= 0)
		})
	}
	golden.Check(t, "fleetbudget", b.String())
}

// mostRepeats returns by how much the repeats of a window went beyond the bound.
func mostRepeats(bounds Bounds, daemons, members, rate int, restart time.Duration) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	size := func() int { return members }
	own := bounds
	if members == 0 { // undo the daemon's share
		own.Slack = bounds.Slack * fewMembers / slackShare
	}
	fleet := make([]*Repeats, daemons)
	for i := range fleet {
		fleet[i] = NewRepeats(own, size, ramp.SystemClock{})
	}
	var requests, repeats []time.Time
	began := time.Now()
	const steps = 400
	for step := range steps {
		time.Sleep(100 * time.Millisecond)
		if restart > 0 && step%int(restart/(100*time.Millisecond)) == 0 {
			fleet[step%daemons] = NewRepeats(own, size, ramp.SystemClock{})
		}
		for range rate / 10 {
			if step > steps/2 {
				break // the requests stop, the repeats do not
			}
			requests = append(requests, time.Now())
			fleet[random.IntN(daemons)].CountRequest("s")
		}
		for _, d := range fleet {
			for d.Allow("s") {
				repeats = append(repeats, time.Now())
			}
		}
	}
	worst := -1.0
	for at := began; at.Before(time.Now()); at = at.Add(time.Second / 2) {
		asked := max(count(requests, at, bounds.Window), count(requests, at.Add(-bounds.Window/2), bounds.Window),
			count(requests, at.Add(-bounds.Window), bounds.Window))
		worst = max(worst, float64(count(repeats, at, bounds.Window))-bounds.Ratio*float64(asked)-bounds.Slack)
	}
	return worst
}

func count(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// TestHedgeAfter fails when the delay of a hedge does not follow the replies.
func TestHedgeAfter(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		r := NewRepeats(Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, func() int { return 5 }, ramp.SystemClock{})
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
