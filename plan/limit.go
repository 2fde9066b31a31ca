package plan

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the adaptive concurrency limit.
const (
	windowTime      = 250 * time.Millisecond // shortest time between two adjustments of a limit
	minAttempts     = 16                     // attempts in a window that suffice for an adjustment
	minQueries      = 4                      // queries in a window that suffice for an adjustment
	slowFactor      = 3.0                    // mean hold time over the baseline that counts as queueing
	maxRefusedShare = 0.05                   // share of refused attempts above which replicas count as overloaded
	refusalFactor   = 0.85                   // factor for the limit on overload
	minFactor       = 0.5                    // lowest factor for the limit on queueing
	startFactor     = 4                      // initial limit, in multiples of the floor
	growthShare     = 0.05                   // share of the limit that is added while it is in use
	inUseShare      = 0.8                    // peak, as a share of the limit, from which the limit is in use
	baselineDrift   = 1.01                   // growth of the baseline per window, so that it follows a lasting change
	smoothing       = 0.1                    // weight of a new sample in an exponential moving average
)

// Limit is the adaptive concurrency limit of a service: the number of
// sub-requests that this daemon keeps in flight to its replicas. It is derived
// from the daemon's own queries: it shrinks while replicas refuse attempts or
// while hold times show that queries are queueing, and grows while it is in use
// without either. It is an immutable value.
type Limit struct {
	Size        float64   // in sub-requests, from floor to ceiling
	overshot    bool      // it was decreased at least once; until then it doubles while in use
	floor       float64   // at least 1
	ceiling     float64   // at least floor
	windowStart time.Time // start of the current window
	attempts    int       // ended in the current window
	refused     int       // of the attempts, those refused by a replica or not started
	peak        float64   // most sub-requests running in the current window
	blocked     bool      // a query did not fit in the current window
	single      holdTime  // of reads and orders, which go to one shard
	fanOut      holdTime  // of searches, which go to all shards
}

// holdTime collects the time from admission to end of queries, queueing included.
// It is an immutable value.
type holdTime struct {
	baseline time.Duration // shortest time of the earlier windows, raised by baselineDrift per window; 0 for none yet
	shortest time.Duration // shortest time of the current window; 0 for none yet
	sum      time.Duration // total time of the queries in the current window
	queries  int           // queries in the current window
}

// NewLimit returns a limit of startFactor times the floor, or of the ceiling if
// that is lower.
func NewLimit(floor, ceiling int) Limit {
	return Limit{Size: float64(min(ceiling, startFactor*floor)), floor: float64(floor), ceiling: float64(ceiling)}
}

// WithRunning returns the limit after the number of running sub-requests changed.
func (l Limit) WithRunning(running int) Limit {
	l.peak = max(l.peak, float64(running))
	return l
}

// WithBlocked returns the limit after a query did not fit into it. The limit then
// counts as in use however few sub-requests run: a query with many sub-requests
// may not fit beside another one although most of the limit is free.
func (l Limit) WithBlocked() Limit {
	l.blocked = true
	return l
}

// WithAttempt returns the limit after an attempt ended with the given outcome.
// Attempts that this daemon cancelled are ignored, since they give no evidence
// about the replica.
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

// WithHoldTime returns the limit after a query ran for the given time. FanOut is
// true for a search, which goes to all shards.
func (l Limit) WithHoldTime(fanOut bool, hold time.Duration) Limit {
	if fanOut {
		l.fanOut = l.fanOut.with(hold)
	} else {
		l.single = l.single.with(hold)
	}
	return l
}

// WithAdjustment returns the limit adjusted by the current window, if that has
// lasted for windowTime and has minAttempts attempts or minQueries queries.
func (l Limit) WithAdjustment(now time.Time) Limit {
	enough := l.attempts >= minAttempts || l.single.queries+l.fanOut.queries >= minQueries
	if now.Sub(l.windowStart) < windowTime || !enough {
		return l
	}
	used := l.blocked || l.peak >= l.Size*inUseShare
	factor := min(l.single.factor(), l.fanOut.factor())
	if float64(l.refused) > maxRefusedShare*float64(l.attempts) {
		factor = min(factor, refusalFactor)
	}
	switch {
	case factor < 1:
		l.Size = max(l.floor, min(l.Size, l.peak)*factor)
		l.overshot = true
	case used && !l.overshot:
		l.Size = min(l.ceiling, 2*l.Size)
	case used:
		l.Size = min(l.ceiling, l.Size+max(1, l.Size*growthShare))
	}
	l.single, l.fanOut = l.single.nextWindow(), l.fanOut.nextWindow()
	l.windowStart, l.attempts, l.refused, l.peak, l.blocked = now, 0, 0, 0, false
	return l
}

func (h holdTime) with(hold time.Duration) holdTime {
	h.sum += hold
	h.queries++
	if h.shortest == 0 || hold < h.shortest {
		h.shortest = hold
	}
	return h
}

// factor returns the factor for the limit by the mean hold time of the current
// window: 1, or less, down to minFactor, when queries were queueing.
func (h holdTime) factor() float64 {
	if h.queries < minQueries || h.sum <= 0 {
		return 1
	}
	baseline := h.reference()
	mean := float64(h.sum) / float64(h.queries)
	return max(minFactor, min(1, slowFactor*float64(baseline)/mean))
}

// reference returns the shortest time of this window and, drifted, of earlier ones. It
// is 0 for none yet.
func (h holdTime) reference() time.Duration {
	if h.baseline == 0 || h.shortest == 0 {
		return max(h.baseline, h.shortest)
	}
	return min(h.baseline, h.shortest)
}

// nextWindow returns the hold time for a new window, with the current window
// merged into the baseline.
func (h holdTime) nextWindow() holdTime {
	drifted := time.Duration(float64(h.baseline) * baselineDrift)
	if h.queries == 0 || (h.baseline > 0 && drifted < h.shortest) {
		return holdTime{baseline: drifted}
	}
	return holdTime{baseline: h.shortest}
}
