package replica

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the adaptive concurrency limit, the circuit breaker and the latency
// estimate.
const (
	latencySmoothing    = 0.1                    // weight of a new sample in the moving average
	baseSmoothing       = 0.002                  // weight of a sample above the base latency
	maxSampleRatio      = 3                      // a sample counts as at most this multiple of the average
	slowRatio           = 3                      // average over base latency above which the limit shrinks
	initialLimit        = 2                      // concurrent attempts at a new replica
	maxLimit            = 1024                   // concurrent attempts at any replica
	shedFactor          = 0.7                    // the limit is multiplied by this when a replica sheds load
	slowFactor          = 0.98                   // the limit is multiplied by this at a slow reply
	breakerThreshold    = 3                      // consecutive failures that open the circuit breaker
	breakerBackoff      = 200 * time.Millisecond // for which a failing replica is avoided at first; doubles
	maxBackoff          = 5 * time.Second        // longest time for which a replica is avoided
	shedBackoff         = 20 * time.Millisecond  // for which a shedding replica is avoided at first; doubles
	maxBackoffDoublings = 8                      // of either backoff
	latencyFade         = 2 * time.Second        // since the last reply or failure, until the expected latency has halved
	assumedLatency      = 10 * time.Millisecond  // latency assumed of a replica without samples
	connectDelay        = 5 * time.Millisecond   // expected delay of a new connection
)

// Load is the state of a replica as observed by this daemon's own attempts. It is an
// immutable value.
type Load struct {
	InFlight    int           // attempts in flight; never negative
	Connections int           // connections that are probably open; never negative
	Limit       float64       // concurrent attempts allowed; at least 1, or 0 for a new replica
	BaseLatency time.Duration // latency without queueing; rises slowly towards higher samples
	Latency     time.Duration // moving average over replies; 0 for none yet
	LastEnded   time.Time     // when the last reply or failure came; not updated by refusals under load
	Failures    int           // consecutive failures
	Sheds       int           // consecutive refusals under load
	AvoidUntil  time.Time     // the replica is avoided until then

	waiters []*waiter // attempts queued for capacity, oldest first; never modified
}

// WithPlaced returns the load with one more attempt in flight.
func (l Load) WithPlaced() Load {
	l.InFlight++
	return l
}

// WithDone returns the load after an attempt ended.
func (l Load) WithDone(a ramp.Attempt, now time.Time) Load {
	atLimit := float64(l.InFlight) >= l.currentLimit()
	l.InFlight = max(0, l.InFlight-1)
	l = l.withConnection(a)
	switch a.Outcome {
	case ramp.Merged, ramp.Late:
		l.Failures, l.Sheds, l.AvoidUntil = 0, 0, time.Time{}
		l = l.withLatency(a.Elapsed, atLimit, now)
	case ramp.NotStarted: // no connection was free
		l.Limit = float64(max(1, l.InFlight))
	case ramp.Shed:
		l.Sheds++
		l.Limit = max(1, l.currentLimit()*shedFactor)
		l.AvoidUntil = now.Add(backoff(shedBackoff, l.Sheds-1, maxBackoff))
	case ramp.Cancelled:
		// A reply that was this late counts as a slow reply and as a failure.
		if a.Sent && l.Latency > 0 && a.Elapsed > maxSampleRatio*l.Latency {
			l = l.withLatency(a.Elapsed, atLimit, now).withFailure(now)
		}
	case ramp.Unreachable, ramp.Expired, ramp.Truncated, ramp.Mismatched, ramp.Failed:
		l = l.withFailure(now)
	}
	return l
}

// withConnection returns the load with the connections that the attempt opened and
// closed.
func (l Load) withConnection(a ramp.Attempt) Load {
	if a.NewConnection {
		l.Connections++
	}
	switch a.Outcome {
	case ramp.Unreachable:
		l.Connections = 0
	case ramp.Cancelled, ramp.Expired, ramp.Truncated, ramp.Mismatched:
		if a.Sent {
			l.Connections = max(0, l.Connections-1)
		}
	}
	return l
}

// withLatency returns the load with a latency sample. The limit grows while replies are
// fast and the limit is reached, and shrinks while they are slow.
func (l Load) withLatency(sample time.Duration, atLimit bool, now time.Time) Load {
	l.LastEnded = now
	if l.Latency == 0 {
		l.BaseLatency, l.Latency, l.Limit = sample, sample, l.currentLimit()
		return l
	}
	l.Latency = ewma(l.Latency, min(sample, maxSampleRatio*l.Latency), latencySmoothing)
	l.BaseLatency = min(sample, ewma(l.BaseLatency, sample, baseSmoothing))
	switch {
	case l.Latency > slowRatio*l.BaseLatency:
		l.Limit = max(1, l.currentLimit()*slowFactor)
	case atLimit:
		l.Limit = min(maxLimit, l.currentLimit()+1/l.currentLimit())
	}
	return l
}

// withFailure returns the load after a failure, which may open the circuit breaker.
func (l Load) withFailure(now time.Time) Load {
	l.Failures++
	l.LastEnded = now
	if l.Failures >= breakerThreshold {
		l.Limit = 1
		l.AvoidUntil = now.Add(backoff(breakerBackoff, l.Failures-breakerThreshold, maxBackoff))
	}
	return l
}

// Avoided reports whether the replica is to be avoided at the given time.
func (l Load) Avoided(now time.Time) bool { return now.Before(l.AvoidUntil) }

// HasCapacity reports whether another attempt fits within the concurrency limit and the
// number of connections. While the circuit breaker is open or half-open, a replica gets
// one attempt at a time until a reply comes.
func (l Load) HasCapacity(connections int) bool {
	if l.Failures >= breakerThreshold {
		return l.InFlight < 1
	}
	return l.InFlight < min(int(l.currentLimit()), connections)
}

// ExpectedLatency returns the expected time until a reply to a new attempt, in
// nanoseconds; the replica with the lowest is the best. The average latency fades with
// time, so that a replica that was slow is tried again.
func (l Load) ExpectedLatency(now time.Time) float64 {
	return l.expectedLatencyAt(float64(l.InFlight+1), now)
}

// expectedLatencyAt returns the expected time until the last reply to a queue of the
// given length, in nanoseconds.
func (l Load) expectedLatencyAt(queue float64, now time.Time) float64 {
	expected := l.fadedLatency(now) * queue
	if l.Connections <= l.InFlight {
		expected += float64(connectDelay)
	}
	return expected * float64(1+l.Failures)
}

// fadedLatency returns the average latency in nanoseconds, faded since the last reply or
// failure, and assumedLatency for a replica without samples.
func (l Load) fadedLatency(now time.Time) float64 {
	if l.Latency == 0 {
		return float64(assumedLatency)
	}
	age := float64(now.Sub(l.LastEnded)) / float64(latencyFade)
	return float64(l.Latency) / (1 + age)
}

// currentLimit returns the concurrency limit, which is initialLimit for a new replica.
func (l Load) currentLimit() float64 {
	if l.Limit == 0 {
		return initialLimit
	}
	return l.Limit
}

// ewma returns the exponentially weighted moving average after a sample.
func ewma(old, sample time.Duration, weight float64) time.Duration {
	return time.Duration(float64(old)*(1-weight) + float64(sample)*weight)
}

// backoff returns base after the given number of doublings, and at most the given time.
func backoff(base time.Duration, doublings int, most time.Duration) time.Duration {
	return min(base<<min(doublings, maxBackoffDoublings), most)
}
