package replica

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of what is concluded from outcomes.
const (
	smoothing   = 0.1                    // weight of a new latency in the moving average
	drift       = 0.002                  // weight of a higher latency in the base latency
	clip        = 3                      // one latency counts as at most so many times the average
	tolerance   = 3                      // average latency over base latency that a good limit gives
	firstLimit  = 2                      // attempts at once at a replica that is new
	maxLimit    = 1024                   // attempts at once at any replica
	shedFactor  = 0.7                    // the limit shrinks to this share when a replica sheds load
	slowFactor  = 0.98                   // the limit shrinks to this share at a slow reply
	breakAfter  = 3                      // failures in a row before a replica is avoided
	breakTime   = 200 * time.Millisecond // for which it is avoided at first; doubles
	maxBreak    = 5 * time.Second        // longest time for which it is avoided
	shedTime    = 20 * time.Millisecond  // for which a shedding replica is avoided at first; doubles
	maxDoubling = 8                      // of either time
	fadeTime    = 2 * time.Second        // after which half of the average latency is expected
	neutral     = 10 * time.Millisecond  // latency that is assumed of an unknown replica
	connectTime = 5 * time.Millisecond   // expected delay of a new connection
)

// Load is what a daemon knows of a replica from its own attempts. It is an
// immutable value.
type Load struct {
	Busy     int           // attempts placed and not done; never negative
	Open     int           // connections that are probably open; never negative
	Limit    float64       // attempts that may be placed at once; at least 1, 0 for a new replica
	Base     time.Duration // latency without a queue; drifts towards higher ones
	Latency  time.Duration // moving average over replies
	Seen     time.Time     // when the last attempt ended
	Failures int           // failures in a row
	Sheds    int           // refusals under load in a row
	Avoid    time.Time     // the replica is avoided until then

	queue []*waiter // attempts that wait for room, oldest first; never modified
}

// WithPlaced returns the load with one more attempt.
func (l Load) WithPlaced() Load {
	l.Busy++
	return l
}

// WithDone returns the load after an attempt ended.
func (l Load) WithDone(a ramp.Attempt, now time.Time) Load {
	limited := float64(l.Busy) >= l.limit()
	l.Busy = max(0, l.Busy-1)
	l = l.withConnection(a)
	switch a.Outcome {
	case ramp.Merged, ramp.Late:
		l.Failures, l.Sheds, l.Avoid = 0, 0, time.Time{}
		l = l.withLatency(a.Elapsed, limited, now)
	case ramp.NotStarted: // no connection was left
		l.Limit = float64(max(1, l.Busy))
	case ramp.Shed:
		l.Sheds++
		l.Limit = max(1, l.limit()*shedFactor)
		l.Avoid = now.Add(doubled(shedTime, l.Sheds-1, maxBreak))
	case ramp.Cancelled:
		if a.Sent && l.Latency > 0 && a.Elapsed > clip*l.Latency {
			l = l.withLatency(a.Elapsed, limited, now).withFailure(now)
		}
	case ramp.Unreachable, ramp.Expired, ramp.Truncated, ramp.Mismatched, ramp.Failed:
		l = l.withFailure(now)
	case ramp.Misdirected:
		l = l.withFailure(now)
		l.Avoid = now.Add(maxBreak)
	}
	return l
}

// withConnection counts the connections that the attempt opened and lost.
func (l Load) withConnection(a ramp.Attempt) Load {
	if a.NewConnection {
		l.Open++
	}
	switch a.Outcome {
	case ramp.Unreachable:
		l.Open = 0
	case ramp.Cancelled, ramp.Expired, ramp.Truncated, ramp.Mismatched:
		if a.Sent {
			l.Open = max(0, l.Open-1)
		}
	}
	return l
}

// withLatency takes in a latency. The limit grows while replies come in time
// and the limit is used up, and shrinks while they are slow.
func (l Load) withLatency(sample time.Duration, limited bool, now time.Time) Load {
	l.Seen = now
	if l.Latency == 0 {
		l.Base, l.Latency, l.Limit = sample, sample, l.limit()
		return l
	}
	l.Latency = mix(l.Latency, min(sample, clip*l.Latency), smoothing)
	l.Base = min(sample, mix(l.Base, sample, drift))
	switch {
	case l.Latency > tolerance*l.Base:
		l.Limit = max(1, l.limit()*slowFactor)
	case limited:
		l.Limit = min(maxLimit, l.limit()+1/l.limit())
	}
	return l
}

func (l Load) withFailure(now time.Time) Load {
	l.Failures++
	l.Seen = now
	if l.Failures >= breakAfter {
		l.Limit = 1
		l.Avoid = now.Add(doubled(breakTime, l.Failures-breakAfter, maxBreak))
	}
	return l
}

// Avoided reports whether the replica should get no attempt now.
func (l Load) Avoided(now time.Time) bool { return now.Before(l.Avoid) }

// HasRoom reports whether another attempt may be placed under the limits. A
// replica that failed gets one attempt at a time until a reply comes.
func (l Load) HasRoom(connections int) bool {
	if l.Failures >= breakAfter {
		return l.Busy < 1
	}
	return l.Busy < min(int(l.limit()), connections)
}

// Score is the expected time until a reply. The replica with the lowest one is
// the best. The average latency fades, so that a replica that was slow is tried
// again.
func (l Load) Score(now time.Time) float64 { return l.scoreBehind(float64(l.Busy+1), now) }

// scoreBehind is the expected time until a reply at the end of a queue of the
// given length.
func (l Load) scoreBehind(queue float64, now time.Time) float64 {
	expected := float64(neutral)
	if l.Latency > 0 {
		age := float64(now.Sub(l.Seen)) / float64(fadeTime)
		expected = float64(l.Latency) / (1 + age)
	}
	expected *= queue
	if l.Open <= l.Busy {
		expected += float64(connectTime)
	}
	return expected * float64(1+l.Failures)
}

func (l Load) limit() float64 {
	if l.Limit == 0 {
		return firstLimit
	}
	return l.Limit
}

func mix(old, sample time.Duration, weight float64) time.Duration {
	return time.Duration(float64(old)*(1-weight) + float64(sample)*weight)
}

// doubled returns d doubled so many times, and at most longest.
func doubled(d time.Duration, times int, longest time.Duration) time.Duration {
	return min(d<<min(times, maxDoubling), longest)
}
