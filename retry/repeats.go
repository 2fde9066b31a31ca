package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Shares of the fleet's bounds that a daemon uses. The rest covers daemons that
// joined, left or restarted within the window.
const (
	ratioShare = 0.85
	slackShare = 0.6
)

const (
	slots      = 20                   // parts of the window that are counted apart
	hedgeRank  = 0.85                 // quantile of replies after which a hedge starts
	startShare = 4                    // part of the objective that a hedge waits while little was observed
	floorHedge = 3 * time.Millisecond // shortest wait before a hedge
	fewMembers = 2                    // daemons that are assumed at least
)

// Bounds are the limits on repeats that hold for all daemons together.
type Bounds struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats in a window besides
	Window time.Duration // sliding; positive
}

// usage counts requests and repeats of a service in the slots of a window. It is
// an immutable value.
type usage struct {
	last     int64 // number of the newest slot
	requests [slots]uint32
	repeats  [slots]uint32
}

// at returns the usage with the slots cleared that have run out.
func (u usage) at(slot int64) usage {
	if slot-u.last >= slots {
		return usage{last: slot}
	}
	for u.last < slot {
		u.last++
		u.requests[u.last%slots], u.repeats[u.last%slots] = 0, 0
	}
	return u
}

// withRequest returns the usage with one more request.
func (u usage) withRequest() usage {
	u.requests[u.last%slots]++
	return u
}

// withRepeat returns the usage with one more repeat.
func (u usage) withRepeat() usage {
	u.repeats[u.last%slots]++
	return u
}

func (u usage) sums() (requests, repeats float64) {
	for i := range u.requests {
		requests += float64(u.requests[i])
		repeats += float64(u.repeats[i])
	}
	return requests, repeats
}

// Repeats keeps a daemon's part of the bounds on repeats: its own requests earn
// it repeats, and it has an equal part of the slack. It implements
// [ramp.RetryBudget].
type Repeats struct {
	clock    ramp.Clock
	bounds   Bounds
	members  func() int // daemons of the fleet
	started  time.Time
	services *ramp.Table[string, usage]
	routes   *ramp.Table[string, times]
}

// times are the observed times of a route. They are an immutable value.
type times struct {
	median quantile
	hedge  quantile
}

// NewRepeats returns a daemon's part of the bounds.
func NewRepeats(bounds Bounds, members func() int, clock ramp.Clock) *Repeats {
	return &Repeats{
		clock: clock, bounds: bounds, members: members, started: clock.Now(),
		services: ramp.NewTable[string, usage](ramp.RankBudgets),
		routes:   ramp.NewTable[string, times](ramp.RankBudgets),
	}
}

func (r *Repeats) slot(now time.Time) int64 {
	return int64(now.Sub(r.started) / (r.bounds.Window / slots))
}

// CountRequest implements [ramp.RetryBudget].
func (r *Repeats) CountRequest(service string) {
	slot := r.slot(r.clock.Now())
	r.services.Update(service, func(u usage) usage { return u.at(slot).withRequest() })
}

// Allow implements [ramp.RetryBudget].
func (r *Repeats) Allow(service string) bool {
	now := r.clock.Now()
	slot, slack := r.slot(now), r.slack(now)
	allowed := false
	r.services.Update(service, func(u usage) usage {
		u = u.at(slot)
		requests, repeats := u.sums()
		if allowed = repeats+1 <= ratioShare*r.bounds.Ratio*requests+slack; allowed {
			return u.withRepeat()
		}
		return u
	})
	return allowed
}

// slack returns the daemon's part of the slack. It grows over the first window,
// since the daemon may have used it before it started again.
func (r *Repeats) slack(now time.Time) float64 {
	age := min(1, float64(now.Sub(r.started))/float64(r.bounds.Window))
	return slackShare * r.bounds.Slack * age / float64(max(fewMembers, r.members()))
}

// HedgeDelay implements [ramp.RetryBudget].
func (r *Repeats) HedgeDelay(route ramp.Route) time.Duration {
	t, _ := r.routes.Get(route.Name)
	if t.hedge.samples < minSamples {
		return max(floorHedge, t.hedge.estimate, route.Objective/startShare)
	}
	return max(floorHedge, t.hedge.estimate)
}

// MedianLatency implements [ramp.RetryBudget].
func (r *Repeats) MedianLatency(route string) time.Duration {
	t, _ := r.routes.Get(route)
	return t.median.estimate
}

// Observe implements [ramp.RetryBudget].
func (r *Repeats) Observe(route string, a ramp.Attempt) {
	r.routes.Update(route, func(t times) times {
		switch a.Outcome {
		case ramp.Merged, ramp.Late:
			t.median = t.median.WithSample(medianRank, a.Elapsed)
			t.hedge = t.hedge.WithSample(hedgeRank, a.Elapsed)
		case ramp.Cancelled, ramp.Expired:
			t.median = t.median.WithBound(medianRank, a.Elapsed)
			t.hedge = t.hedge.WithBound(hedgeRank, a.Elapsed)
		}
		return t
	})
}
