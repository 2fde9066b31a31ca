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
	// servedHalfLife is the half-life of the results that a served share counts. It
	// covers several requests of a tenant with one request a second.
	servedHalfLife = 3 * time.Second
	priorResults   = 0.5 // requests that count as answered in time before the first one
	// forgottenCount is the number of results, after decay, from which a share is
	// forgotten.
	forgottenCount = 0.1

	occupancyTime = windowTime // over which the occupancy is averaged; shorter than a limit needs to change

	lightHeadroom = 2.0 // multiple of the limit for flows that were not served much more than others
	lightFactor   = 2.5 // multiple of the mean of a pool's flows from which one was served much more

	rankedWaitDivisor   = 4                      // a tenant's request waits for at most 1/4 of its objective
	minRankedRetryAfter = 100 * time.Millisecond // about as long as a replica needs to free capacity
	minRetryShare       = 0.2                    // served share below which the retry delay grows no further
	retrySpread         = 1.0                    // greatest part of a retry delay that is added to it
)

// starvedUrgency is the urgency of a starved flow, which goes before all ranks.
const starvedUrgency = math.MinInt

// servedShare counts the requests of a flow or queue that were answered in time and that
// were not. Old ones decay. It is an immutable value.
type servedShare struct {
	inTime, other float64
	at            time.Time // time of the last result; zero for never
}

// withResult returns the share after one more request was answered in time or not.
func (s servedShare) withResult(inTime bool, now time.Time) servedShare {
	if !s.at.IsZero() {
		kept := s.decay(now)
		s.inTime, s.other = s.inTime*kept, s.other*kept
	}
	s.at = now
	if inTime {
		s.inTime++
	} else {
		s.other++
	}
	return s
}

// decay returns the part of the counts that is left at the given time.
func (s servedShare) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.at)) / float64(servedHalfLife))
}

// forgotten reports whether the counts no longer matter.
func (s servedShare) forgotten(now time.Time) bool {
	return s.at.IsZero() || (s.inTime+s.other)*s.decay(now) < forgottenCount
}

// recent returns the number of requests that were answered in time lately.
func (s servedShare) recent(now time.Time) float64 { return s.inTime * s.decay(now) }

// share returns the share of the requests that were answered in time. priorResults count
// as such beforehand, so that one refusal does not make a flow count as starved.
func (s servedShare) share() float64 {
	return (s.inTime + priorResults) / (s.inTime + s.other + priorResults)
}

// urgency returns the position of the flow's rank in the order of service, lowest first.
// Flows of queries have all the same.
func (sq *serviceQueue) urgency(f *flow) int {
	if f.ranked && f.served.share() < starvedRatio*sq.served.share() {
		return starvedUrgency
	}
	return f.rank
}

// light reports whether the flow was not served much more than others of its rank lately.
func (sq *serviceQueue) light(f *flow, now time.Time) bool {
	sum, flows := 0.0, 0
	for _, g := range sq.flows {
		if g.rank == f.rank {
			sum += g.served.recent(now)
			flows++
		}
	}
	return f.served.recent(now) <= max(1, lightFactor*sum/float64(max(1, flows)))
}

// size returns the limit for requests of the flow. Light flows have more room than others,
// so that those who ask for most yield first at each daemon.
func (sq *serviceQueue) size(f *flow, now time.Time) float64 {
	size := sq.room.sizes[classOf(sq.urgency(f))]
	if sq.light(f, now) {
		return lightHeadroom * size
	}
	return min(size, sq.room.beyond)
}

// fitsRanked reports whether a tenant's request is within the limit of its class. The
// limit may be less than one request: urgent requests of light flows are rounded up, and
// others start alone only while the mean occupancy, of all requests, is within the limit.
func (sq *serviceQueue) fitsRanked(f *flow, cost int, now time.Time) bool {
	size := sq.size(f, now)
	switch {
	case sq.urgency(f) <= 0 && sq.light(f, now):
		return sq.running == 0 || float64(sq.running) < size
	case sq.running == 0:
		return sq.occupancy.with(0, now).mean <= size
	}
	return float64(sq.running+cost) <= size
}

// idleDelay returns the time until a request that waits although nothing is in progress
// may start, and 0 if there is none.
func (sq *serviceQueue) idleDelay(now time.Time) time.Duration {
	if !sq.ranked || sq.running > 0 || sq.waiting == 0 {
		return 0
	}
	return sq.occupancy.with(0, now).delay(sq.room.sizes[lowestClass]) + time.Millisecond
}

// occupancy is the mean of the sub-requests in progress over about occupancyTime. It is an
// immutable value.
type occupancy struct {
	mean float64
	at   time.Time // of the last change; zero for never
}

// with returns the occupancy after the given number was in progress until now.
func (o occupancy) with(running int, now time.Time) occupancy {
	if o.at.IsZero() {
		return occupancy{at: now}
	}
	kept := math.Exp(-float64(now.Sub(o.at)) / float64(occupancyTime))
	return occupancy{mean: o.mean*kept + float64(running)*(1-kept), at: now}
}

// delay returns the time until the mean has fallen to the given value, which is positive,
// while nothing is in progress.
func (o occupancy) delay(mean float64) time.Duration {
	if o.mean <= mean {
		return 0
	}
	return time.Duration(math.Log(o.mean/mean) * float64(occupancyTime))
}

// expectedRankedWait estimates how long a request of a tenant's flow waits: until the
// backlog of the more urgent flows and, in turns, of those of equal urgency is served at
// the present rate. A flow's first request waits for the more urgent flows alone.
func (sq *serviceQueue) expectedRankedWait(f *flow, now time.Time) time.Duration {
	if sq.meanHold <= 0 {
		return 0
	}
	rate := sq.size(f, now) / sq.meanHold.Seconds()
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
	limit    float64       // of the request's class, in sub-requests
	limitAge time.Duration // since the last adjustment of the limit
	running  int           // sub-requests of the pool in progress
	waiting  int           // requests in the pool's queue
	wait     time.Duration // expected at the time of the refusal
	maxWait  time.Duration // longest wait that leaves the request in time
	waited   time.Duration // 0 if it was refused at once
	hold     time.Duration // mean time of the pool's requests
	served   float64       // share of the flow's recent requests that were answered in time
}

// Error implements error.
func (e *overloadError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *overloadError) Unwrap() error { return e.refusal }

// refuseRanked counts a refusal of a tenant's request and returns the error for it.
func (sq *serviceQueue) refuseRanked(f *flow, w *waiter, wait time.Duration, now time.Time) error {
	f.served, sq.served = f.served.withResult(false, now), sq.served.withResult(false, now)
	delay := float64(max(wait, minRankedRetryAfter)) / max(minRetryShare, f.served.share())
	return &overloadError{
		refusal: &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun, RetryAfter: spread(time.Duration(delay))},
		limit:   sq.size(f, now), limitAge: now.Sub(sq.room.windowStart), running: sq.running,
		waiting: sq.waiting, wait: wait, maxWait: w.maxWait, waited: now.Sub(w.queuedAt), hold: sq.meanHold,
		served: f.served.share(),
	}
}

// spread returns the delay with a random part added, so that callers that were refused
// at the same time do not all return at once.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(retrySpread*rand.Float64()*float64(d))
}
