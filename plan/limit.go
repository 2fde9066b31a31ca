package plan

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of the adaptive limit.
const (
	windowTime    = 250 * time.Millisecond // between two changes of a limit
	windowMin     = 16                     // attempts that a change is judged by, at least
	holdMin       = 4                      // queries that a change is judged by, at least
	slowFactor    = 3.0                    // hold time over the baseline that counts as queueing
	refusedShare  = 0.05                   // share of refused attempts that counts as overload
	decrease      = 0.85                   // factor after refusals
	steepest      = 0.5                    // lowest factor after slow queries
	startFactor   = 4                      // first limit, in floors
	increase      = 0.05                   // share of the limit added when it was in use
	inUse         = 0.8                    // share of the limit that counts as in use
	baselineDrift = 1.01                   // factor for each window, so that a lasting change is learnt
	smoothing     = 0.1                    // weight of a new sample in moving averages
)

// Limit is the number of sub-requests that a service's replicas carry for this
// daemon, as learnt from its own queries: it shrinks while replicas refuse
// attempts or queries take so long that they must be queueing, and grows while
// it is in use without either. It is an immutable value.
type Limit struct {
	Size     float64   // from floor to ceiling
	started  bool      // it was too high once; until then it doubles while in use
	floor    float64   // at least 1
	ceiling  float64   // at least floor
	opened   time.Time // start of the current window
	attempts int       // ended in the current window
	refused  int       // of those, refused by a replica or not started
	peak     float64   // most sub-requests running in the current window
	short    bool      // a query did not fit in the current window
	narrow   holdTime  // of queries with one sub-request
	broad    holdTime  // of queries with more
}

// holdTime is the time that queries take from admission to their end, with all
// queues on the way. It is an immutable value.
type holdTime struct {
	baseline time.Duration // shortest of the earlier windows, drifting upwards; 0 for none yet
	shortest time.Duration // of the current window; 0 for none yet
	sum      time.Duration // over the queries of the current window
	queries  int           // in the current window
}

// NewLimit returns a limit that starts low.
func NewLimit(floor, ceiling int) Limit {
	return Limit{Size: float64(min(ceiling, startFactor*floor)), floor: float64(floor), ceiling: float64(ceiling)}
}

// WithRunning notes how many sub-requests run.
func (l Limit) WithRunning(running int) Limit {
	l.peak = max(l.peak, float64(running))
	return l
}

// WithShort notes that a query did not fit. The limit is then in use, however
// far below it the running queries are: one with many sub-requests may not fit
// beside another even into a limit that is mostly free.
func (l Limit) WithShort() Limit {
	l.short = true
	return l
}

// WithAttempt notes how an attempt ended. Attempts that this daemon gave up say
// nothing about the replica.
func (l Limit) WithAttempt(outcome ramp.Outcome) Limit {
	switch outcome {
	case ramp.Merged, ramp.Late:
		l.attempts++
	case ramp.Shed, ramp.NotStarted:
		l.attempts++
		l.refused++
	}
	return l
}

// WithHeld notes how long a query took that ran, and whether it asked more than
// one shard.
func (l Limit) WithHeld(broad bool, held time.Duration) Limit {
	if broad {
		l.broad = l.broad.with(held)
	} else {
		l.narrow = l.narrow.with(held)
	}
	return l
}

// WithWindow changes the limit when the current window has run its time and
// has enough queries or attempts to judge by.
func (l Limit) WithWindow(now time.Time) Limit {
	enough := l.attempts >= windowMin || l.narrow.queries+l.broad.queries >= holdMin
	if now.Sub(l.opened) < windowTime || !enough {
		return l
	}
	used := l.short || l.peak >= l.Size*inUse
	factor := min(l.narrow.factor(), l.broad.factor())
	if float64(l.refused) > refusedShare*float64(l.attempts) {
		factor = min(factor, decrease)
	}
	switch {
	case factor < 1:
		l.Size = max(l.floor, min(l.Size, l.peak)*factor)
		l.started = true
	case used && !l.started:
		l.Size = min(l.ceiling, 2*l.Size)
	case used:
		l.Size = min(l.ceiling, l.Size+max(1, l.Size*increase))
	}
	l.narrow, l.broad = l.narrow.learnt(), l.broad.learnt()
	l.opened, l.attempts, l.refused, l.peak, l.short = now, 0, 0, 0, false
	return l
}

func (h holdTime) with(held time.Duration) holdTime {
	h.sum += held
	h.queries++
	if h.shortest == 0 || held < h.shortest {
		h.shortest = held
	}
	return h
}

// factor returns by what the limit should change for the mean of the current
// window: 1, or less when the queries must have queued.
func (h holdTime) factor() float64 {
	if h.queries < holdMin || h.sum <= 0 {
		return 1
	}
	baseline := h.shortest
	if h.baseline > 0 {
		baseline = min(h.baseline, h.shortest)
	}
	mean := float64(h.sum) / float64(h.queries)
	return max(steepest, min(1, slowFactor*float64(baseline)/mean))
}

// learnt returns the hold time with the current window taken into the baseline.
func (h holdTime) learnt() holdTime {
	drifted := time.Duration(float64(h.baseline) * baselineDrift)
	if h.queries == 0 || (h.baseline > 0 && drifted < h.shortest) {
		return holdTime{baseline: drifted}
	}
	return holdTime{baseline: h.shortest}
}
