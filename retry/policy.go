// Package retry decides on retries and hedges, and on how long a query waits
// for its last shards.
package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of the policy.
const (
	hedgeShare   = 0.035                 // hedges allowed for each first attempt
	retryShare   = 0.05                  // retries allowed for each first attempt
	burst        = 10                    // attempts that either budget can save up
	maxTries     = 5                     // attempts for one shard, hedges included
	minHedge     = 2 * time.Millisecond  // shortest wait before a hedge
	defaultHedge = 30 * time.Millisecond // wait before a hedge while nothing was observed
	retryDelay   = 2 * time.Millisecond  // delay before the first retry; doubles
	maxDoubling  = 4                     // of the delay before a retry
)

// budget is a count of extra attempts that may be made. It is an immutable value.
type budget struct {
	tokens float64 // from 0 to burst
}

func (b budget) WithEarned(share float64) budget {
	b.tokens = min(b.tokens+share, burst)
	return b
}

func (b budget) WithSpent() (budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// record is what may be spent for a service, and its observed latency. It is an
// immutable value.
type record struct {
	opened  bool // the budgets were given their first burst
	hedges  budget
	retries budget
	median  quantile
	tail    quantile
}

// funded returns the record with a full burst in both budgets if it is new.
func (r record) funded() record {
	if !r.opened {
		r.opened = true
		r.hedges, r.retries = budget{tokens: burst}, budget{tokens: burst}
	}
	return r
}

// WithOutcome returns the record after an attempt ended. An attempt that was
// cancelled would have taken longer, so it counts where it is above an estimate.
func (r record) WithOutcome(a ramp.Attempt) record {
	if a.Kind == ramp.First && a.Outcome != ramp.NotStarted {
		r.hedges = r.hedges.WithEarned(hedgeShare)
		r.retries = r.retries.WithEarned(retryShare)
	}
	switch a.Outcome {
	case ramp.Merged, ramp.Late:
		r.median = r.median.WithSample(medianRank, a.Elapsed)
		r.tail = r.tail.WithSample(tailRank, a.Elapsed)
	case ramp.Cancelled, ramp.Expired:
		r.median = r.median.WithBound(medianRank, a.Elapsed)
		r.tail = r.tail.WithBound(tailRank, a.Elapsed)
	}
	return r
}

// Policy bounds extra attempts to a share of the first attempts of each
// service. It implements [ramp.Retrier].
type Policy struct {
	services *ramp.Table[string, record] // by name
}

// NewPolicy returns a policy whose budgets allow one burst for each service.
func NewPolicy() *Policy {
	return &Policy{services: ramp.NewTable[string, record](ramp.RankBudgets)}
}

// HedgeDelay implements [ramp.Retrier]. It waits for the time in which nearly
// all replies of the service come.
func (p *Policy) HedgeDelay(a ramp.Attempt) (time.Duration, bool) {
	if !a.Query.Operation.Idempotent() || a.Kind == ramp.Hedge {
		return 0, false
	}
	r, _ := p.services.Get(a.Query.Service)
	if r.tail.samples < minSamples {
		return max(defaultHedge, r.tail.estimate), true
	}
	return max(minHedge, r.tail.estimate), true
}

// RetryDelay implements [ramp.Retrier]. It gives up when a reply can hardly
// come before the deadline.
func (p *Policy) RetryDelay(failed ramp.Attempt, earlier int, now time.Time) (time.Duration, bool) {
	if (failed.Sent && !failed.Query.Operation.Idempotent()) || earlier >= maxTries {
		return 0, false
	}
	delay := retryDelay << min(max(earlier, 1)-1, maxDoubling)
	r, _ := p.services.Get(failed.Query.Service)
	expected := delay + r.median.estimate/2
	return delay, now.Add(expected).Before(failed.Query.Deadline)
}

// Allow implements [ramp.Retrier].
func (p *Policy) Allow(a ramp.Attempt) bool {
	allowed := false
	p.services.Update(a.Query.Service, func(r record) record {
		r = r.funded()
		if a.Kind == ramp.Hedge {
			r.hedges, allowed = r.hedges.WithSpent()
		} else {
			r.retries, allowed = r.retries.WithSpent()
		}
		return r
	})
	return allowed
}

// Observe implements [ramp.Retrier].
func (p *Policy) Observe(a ramp.Attempt) {
	p.services.Update(a.Query.Service, func(r record) record { return r.funded().WithOutcome(a) })
}
