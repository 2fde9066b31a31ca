// Package retry decides on retries and hedges, keeps the fleet's retry budget, and
// decides how long a query waits for stragglers.
package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Budgets, limits and delays of the policy.
const (
	hedgeRatio        = 0.035 // hedges allowed per first attempt
	retryRatio        = 0.05  // retries allowed per first attempt
	burst             = 10    // capacity of either budget in attempts
	maxAttempts       = 5     // attempts per shard, hedges included
	minHedgeDelay     = 2 * time.Millisecond
	defaultHedgeDelay = 30 * time.Millisecond // least delay before a hedge until minSamples were observed
	baseRetryDelay    = 2 * time.Millisecond  // delay before the first retry; doubles
	maxRetryDoublings = 4                     // of the delay before a retry
)

// budget is a token bucket of extra attempts. It is an immutable value.
type budget struct {
	tokens float64 // from 0 to burst
}

// WithCredit returns the budget with ratio tokens added, up to burst.
func (b budget) WithCredit(ratio float64) budget {
	b.tokens = min(b.tokens+ratio, burst)
	return b
}

// WithSpent returns the budget with one token spent. It reports false when there is
// none.
func (b budget) WithSpent() (budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// serviceStats holds the budgets and the latency quantiles of a service. It is an
// immutable value.
type serviceStats struct {
	initialised bool // the budgets were filled
	hedges      budget
	retries     budget
	median      quantile
	tail        quantile
}

// withInitialBurst returns the statistics with both budgets filled if they are new.
func (s serviceStats) withInitialBurst() serviceStats {
	if !s.initialised {
		s.initialised = true
		s.hedges, s.retries = budget{tokens: burst}, budget{tokens: burst}
	}
	return s
}

// WithOutcome returns the statistics after an attempt ended. A cancelled or expired
// attempt would have taken longer, so its time is a lower bound, which counts if it is
// above the estimate.
func (s serviceStats) WithOutcome(a ramp.Attempt) serviceStats {
	if a.Kind == ramp.First && a.Outcome != ramp.NotStarted {
		s.hedges = s.hedges.WithCredit(hedgeRatio)
		s.retries = s.retries.WithCredit(retryRatio)
	}
	switch a.Outcome {
	case ramp.Merged, ramp.Late:
		s.median = s.median.WithSample(medianRank, a.Elapsed)
		s.tail = s.tail.WithSample(tailRank, a.Elapsed)
	case ramp.Cancelled, ramp.Expired:
		s.median = s.median.WithBound(medianRank, a.Elapsed)
		s.tail = s.tail.WithBound(tailRank, a.Elapsed)
	}
	return s
}

// Policy limits retries and hedges to a ratio of the first attempts of each service. It
// implements [ramp.Retrier].
type Policy struct {
	stats *ramp.Table[string, serviceStats] // by service name
}

// NewPolicy returns a policy whose budgets allow a full burst for each service.
func NewPolicy() *Policy {
	return &Policy{stats: ramp.NewTable[string, serviceStats](ramp.RankBudgets)}
}

// HedgeDelay implements [ramp.Retrier]. The delay is the tail latency of the service,
// within which nearly all replies come.
func (p *Policy) HedgeDelay(a ramp.Attempt) (time.Duration, bool) {
	if !a.Query.Operation.Idempotent() || a.Kind == ramp.Hedge {
		return 0, false
	}
	s, _ := p.stats.Get(a.Query.Service)
	if s.tail.samples < minSamples {
		return max(defaultHedgeDelay, s.tail.estimate), true
	}
	return max(minHedgeDelay, s.tail.estimate), true
}

// RetryDelay implements [ramp.Retrier]. It allows no retry when a reply is unlikely
// before the deadline, after maxAttempts, or for an order that may have been sent.
func (p *Policy) RetryDelay(failed ramp.Attempt, earlier int, now time.Time) (time.Duration, bool) {
	if (failed.Sent && !failed.Query.Operation.Idempotent()) || earlier >= maxAttempts {
		return 0, false
	}
	delay := baseRetryDelay << min(max(earlier, 1)-1, maxRetryDoublings)
	s, _ := p.stats.Get(failed.Query.Service)
	expected := delay + s.median.estimate/2
	return delay, now.Add(expected).Before(failed.Query.Deadline)
}

// Allow implements [ramp.Retrier].
func (p *Policy) Allow(a ramp.Attempt) bool {
	allowed := false
	p.stats.Update(a.Query.Service, func(s serviceStats) serviceStats {
		s = s.withInitialBurst()
		if a.Kind == ramp.Hedge {
			s.hedges, allowed = s.hedges.WithSpent()
		} else {
			s.retries, allowed = s.retries.WithSpent()
		}
		return s
	})
	return allowed
}

// Observe implements [ramp.Retrier].
func (p *Policy) Observe(a ramp.Attempt) {
	p.stats.Update(a.Query.Service, func(s serviceStats) serviceStats { return s.withInitialBurst().WithOutcome(a) })
}
