package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Shares of the fleet's bounds that the daemons use together. The rest is a reserve for
// daemons that joined, left or restarted within the window.
const (
	ownRatioShare = 0.85
	ownSlackShare = 0.6
)

const (
	windowSlots        = 20   // slots of the sliding window
	hedgeRank          = 0.85 // quantile of the route's latency after which a hedge starts
	objectiveDivisor   = 4    // until minSamples replies, a hedge waits at least the objective divided by this
	minRouteHedgeDelay = 3 * time.Millisecond
	minFleetSize       = 2 // daemons that the slack is divided among at least
)

// Bounds limit the extra attempts, which are retries and hedges, of all daemons
// together.
type Bounds struct {
	Ratio  float64       // extra attempts per request
	Slack  float64       // extra attempts per window beyond Ratio
	Window time.Duration // length of the sliding window; positive
}

// windowCounts counts the requests and extra attempts of a service by slot of the
// sliding window. It is an immutable value.
type windowCounts struct {
	newestSlot int64 // number of the newest slot
	requests   [windowSlots]uint32
	extras     [windowSlots]uint32
}

// advancedTo returns the counts with the window moved to the given slot and the slots
// that left it cleared.
func (c windowCounts) advancedTo(slot int64) windowCounts {
	if slot-c.newestSlot >= windowSlots {
		return windowCounts{newestSlot: slot}
	}
	for c.newestSlot < slot {
		c.newestSlot++
		c.requests[c.newestSlot%windowSlots], c.extras[c.newestSlot%windowSlots] = 0, 0
	}
	return c
}

// withRequest returns the counts with one more request.
func (c windowCounts) withRequest() windowCounts {
	c.requests[c.newestSlot%windowSlots]++
	return c
}

// withExtra returns the counts with one more extra attempt.
func (c windowCounts) withExtra() windowCounts {
	c.extras[c.newestSlot%windowSlots]++
	return c
}

// totals returns the sums over the window.
func (c windowCounts) totals() (requests, extras float64) {
	for i := range c.requests {
		requests += float64(c.requests[i])
		extras += float64(c.extras[i])
	}
	return requests, extras
}

// FleetBudget is a daemon's part of the fleet's retry budget: each request that it counts
// earns it a fraction of an extra attempt, and it has an equal part of the slack. It
// implements [ramp.RetryBudget].
type FleetBudget struct {
	clock     ramp.Clock
	bounds    Bounds
	fleetSize func() int // returns the number of daemons in the fleet
	startedAt time.Time
	counts    *ramp.Table[string, windowCounts] // by service name
	latencies *ramp.Table[string, routeLatency] // by route name
}

// routeLatency holds the latency quantiles of a route. It is an immutable value.
type routeLatency struct {
	median     quantile
	hedgeDelay quantile // quantile hedgeRank
}

// NewFleetBudget returns a daemon's part of the fleet's retry budget.
func NewFleetBudget(bounds Bounds, fleetSize func() int, clock ramp.Clock) *FleetBudget {
	return &FleetBudget{
		clock: clock, bounds: bounds, fleetSize: fleetSize, startedAt: clock.Now(),
		counts:    ramp.NewTable[string, windowCounts](ramp.RankBudgets),
		latencies: ramp.NewTable[string, routeLatency](ramp.RankBudgets),
	}
}

// slotAt returns the number of the slot at the given time.
func (r *FleetBudget) slotAt(now time.Time) int64 {
	return int64(now.Sub(r.startedAt) / (r.bounds.Window / windowSlots))
}

// CountRequest implements [ramp.RetryBudget].
func (r *FleetBudget) CountRequest(service string) {
	slot := r.slotAt(r.clock.Now())
	r.counts.Update(service, func(c windowCounts) windowCounts { return c.advancedTo(slot).withRequest() })
}

// Allow implements [ramp.RetryBudget].
func (r *FleetBudget) Allow(service string, share float64) bool {
	now := r.clock.Now()
	slot, slack := r.slotAt(now), r.ownSlack(share, now)
	allowed := false
	r.counts.Update(service, func(c windowCounts) windowCounts {
		c = c.advancedTo(slot)
		requests, extras := c.totals()
		if allowed = extras+1 <= ownRatioShare*r.bounds.Ratio*requests+slack; allowed {
			return c.withExtra()
		}
		return c
	})
	return allowed
}

// ownSlack returns the daemon's part of the slack, of which its share is 0 for an equal
// part. It grows linearly over the first window, since the daemon may have spent its
// part before a restart.
func (r *FleetBudget) ownSlack(share float64, now time.Time) float64 {
	if share == 0 {
		share = 1 / float64(max(minFleetSize, r.fleetSize()))
	}
	age := min(1, float64(now.Sub(r.startedAt))/float64(r.bounds.Window))
	return ownSlackShare * r.bounds.Slack * age * share
}

// HedgeDelay implements [ramp.RetryBudget].
func (r *FleetBudget) HedgeDelay(route ramp.Route) time.Duration {
	l, _ := r.latencies.Get(route.Name)
	if l.hedgeDelay.samples < minSamples {
		return max(minRouteHedgeDelay, l.hedgeDelay.estimate, route.Objective/objectiveDivisor)
	}
	return max(minRouteHedgeDelay, l.hedgeDelay.estimate)
}

// MedianLatency implements [ramp.RetryBudget].
func (r *FleetBudget) MedianLatency(route string) time.Duration {
	l, _ := r.latencies.Get(route)
	return l.median.estimate
}

// Observe implements [ramp.RetryBudget].
func (r *FleetBudget) Observe(route string, a ramp.Attempt) {
	r.latencies.Update(route, func(l routeLatency) routeLatency {
		switch a.Outcome {
		case ramp.Merged, ramp.Late:
			l.median = l.median.WithSample(medianRank, a.Elapsed)
			l.hedgeDelay = l.hedgeDelay.WithSample(hedgeRank, a.Elapsed)
		case ramp.Cancelled, ramp.Expired:
			l.median = l.median.WithBound(medianRank, a.Elapsed)
			l.hedgeDelay = l.hedgeDelay.WithBound(hedgeRank, a.Elapsed)
		}
		return l
	})
}
