package plan

import (
	"math"
	"math/rand/v2"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the order of tenants' requests.
const (
	// starvedRatio is the served share of a flow, as a part of that of its queue, below
	// which it is served first. Tenants must not be served less than a quarter as often
	// as all; the rest is for the time until a starved flow has its turn.
	starvedRatio = 0.3
	// servedHalfLife is the half-life of the decisions that a served share counts. It
	// covers several decisions for a tenant with one request a second.
	servedHalfLife = 3 * time.Second
	// forgottenCount is the number of decisions, after decay, from which a share is
	// forgotten.
	forgottenCount = 0.1

	rankedWaitDivisor   = 4                      // a tenant's request waits for at most 1/4 of its objective
	minRankedRetryAfter = 100 * time.Millisecond // about as long as a replica needs to free capacity
	minRetryShare       = 0.2                    // served share below which the retry delay grows no further
	retrySpread         = 1.0                    // greatest part of a retry delay that is added to it
)

// starvedUrgency is the urgency of a starved flow, which goes before all ranks.
const starvedUrgency = math.MinInt

// servedShare counts the requests of a flow or queue that were admitted and refused. Old
// decisions decay. It is an immutable value.
type servedShare struct {
	admitted, refused float64
	at                time.Time // time of the last decision; zero for never
}

// withDecision returns the share after one more request was admitted or refused.
func (s servedShare) withDecision(admitted bool, now time.Time) servedShare {
	if !s.at.IsZero() {
		kept := s.decay(now)
		s.admitted, s.refused = s.admitted*kept, s.refused*kept
	}
	s.at = now
	if admitted {
		s.admitted++
	} else {
		s.refused++
	}
	return s
}

// decay returns the part of the counts that is left at the given time.
func (s servedShare) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.at)) / float64(servedHalfLife))
}

// forgotten reports whether the counts no longer matter.
func (s servedShare) forgotten(now time.Time) bool {
	return s.at.IsZero() || (s.admitted+s.refused)*s.decay(now) < forgottenCount
}

// share returns the share of the requests that were admitted. One request is counted
// as admitted beforehand, so that a few refusals do not make a flow count as starved.
func (s servedShare) share() float64 { return (s.admitted + 1) / (s.admitted + s.refused + 1) }

// urgency returns the position of the flow's rank in the order of service, lowest first.
// Flows of queries have all the same.
func (sq *serviceQueue) urgency(f *flow) int {
	if f.ranked && f.served.share() < starvedRatio*sq.served.share() {
		return starvedUrgency
	}
	return f.rank
}

// expectedRankedWait estimates how long a request of a tenant's flow waits: until the
// backlog of the more urgent flows and, in turns, of those of equal urgency is served at
// the present rate. A flow's first request waits for the more urgent flows alone.
func (sq *serviceQueue) expectedRankedWait(f *flow) time.Duration {
	rate := sq.throughput()
	if rate <= 0 {
		return 0
	}
	urgency := sq.urgency(f)
	ahead := f.backlog
	for _, g := range sq.flows {
		if g == f || len(g.waiting) == 0 {
			continue
		}
		switch other := sq.urgency(g); {
		case other < urgency:
			ahead += g.backlog
		case other == urgency:
			ahead += min(g.backlog, f.backlog)
		}
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// overloadError is a refusal of a tenant's request with the inputs of the decision.
type overloadError struct {
	refusal  *ramp.RefusedError
	limit    float64       // of the pool, in sub-requests
	limitAge time.Duration // since the last adjustment of the limit
	running  int           // sub-requests of the pool in progress
	waiting  int           // requests in the pool's queue
	wait     time.Duration // expected at the time of the refusal
	maxWait  time.Duration // longest wait that leaves the request in time
	waited   time.Duration // 0 if it was refused at once
	hold     time.Duration // mean time of the pool's requests
	served   float64       // share of the flow's recent requests that were admitted
}

// Error implements error.
func (e *overloadError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *overloadError) Unwrap() error { return e.refusal }

// refuseRanked counts a refusal of a tenant's request and returns the error for it.
func (sq *serviceQueue) refuseRanked(f *flow, w *waiter, wait time.Duration, now time.Time) error {
	f.served, sq.served = f.served.withDecision(false, now), sq.served.withDecision(false, now)
	delay := float64(max(wait, minRankedRetryAfter)) / max(minRetryShare, f.served.share())
	return &overloadError{
		refusal: &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun, RetryAfter: spread(time.Duration(delay))},
		limit:   sq.limit.Size, limitAge: now.Sub(sq.limit.windowStart), running: sq.running,
		waiting: sq.waiting, wait: wait, maxWait: w.maxWait, waited: now.Sub(w.queuedAt), hold: sq.meanHold,
		served: f.served.share(),
	}
}

// spread returns the delay with a random part added, so that callers that were refused
// at the same time do not all return at once.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(retrySpread*rand.Float64()*float64(d))
}
