package replica

import (
	"math"
	"math/rand/v2"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// limitBurst is the time whose requests a daemon may send to a replica at once under its
// share of the rate limit.
const limitBurst = 500 * time.Millisecond

// Parameters of probes, the requests beyond this daemon's share.
const (
	// probeJitter is the greatest deviation from the interval until the first probe, as a
	// share of it. Daemons that learned of a limit at the same time do not probe at the
	// same time.
	probeJitter = 0.5
	// probeSlotDivisor divides the interval into the time in which a probe may be sent.
	// One that was not sent in it is left out, so that after an idle time the probes of
	// all daemons are not due at once.
	probeSlotDivisor = 10
)

// neverDelay is the delay until a request may be sent under a rate below minRate, which is
// so low that the delay might not fit into a [time.Duration].
const (
	neverDelay = time.Duration(math.MaxInt64)
	minRate    = 1e-6 // requests per second
)

// tokenBucket limits the requests to a replica. It is an immutable value.
type tokenBucket struct {
	rate     float64   // tokens per second
	burst    float64   // greatest number of tokens
	tokens   float64   // at filledAt; at most burst, and below 0 after concurrent requests
	filledAt time.Time // when tokens was last updated
}

// withRate returns the bucket with another rate. A new bucket is empty.
func (b tokenBucket) withRate(rate float64, now time.Time) tokenBucket {
	b = b.refilled(now)
	b.rate, b.burst = rate, max(1, rate*limitBurst.Seconds())
	b.tokens = min(b.tokens, b.burst)
	return b
}

// refilled returns the bucket with the tokens added that accrued until now.
func (b tokenBucket) refilled(now time.Time) tokenBucket {
	if elapsed := now.Sub(b.filledAt); !b.filledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.burst)
	}
	b.filledAt = now
	return b
}

// withTaken returns the bucket with one token less.
func (b tokenBucket) withTaken(now time.Time) tokenBucket {
	b = b.refilled(now)
	b.tokens--
	return b
}

// withReturned returns the bucket after a request that took a token was not sent.
func (b tokenBucket) withReturned(now time.Time) tokenBucket {
	b = b.refilled(now)
	b.tokens = min(b.tokens+1, b.burst)
	return b
}

// delay returns the time until there is a token.
func (b tokenBucket) delay(now time.Time) time.Duration {
	missing := 1 - b.refilled(now).tokens
	switch {
	case missing <= 0:
		return 0
	case b.rate < minRate:
		return neverDelay
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// condition is what a start of a replica last said of itself. It is an immutable value.
type condition struct {
	signals      ramp.Signals // without those that differ in each response
	heardAt      time.Time    // when the signals came; zero for never
	load         reportedLoad // newest load that it reported
	coldUntil    time.Time    // end of its warm-up by the newest response that stated it; zero for none
	cold         tokenBucket  // requests that this daemon may send while it is cold
	leavingSince time.Time    // when it first said that it shuts down, which is final; zero for never
	refusesUntil time.Time    // end of the longest time for which it refused requests in advance; zero for none

	// The fields below are unused without a rate limit.
	share   ramp.LimitShare // this daemon's share of the rate limit
	bucket  tokenBucket     // fills at the rate of share
	probeAt time.Time       // when the next probe is due, and again at each interval after it
}

// reportedLoad is the load that a replica reported. It is old as soon as it is read. It is
// an immutable value.
type reportedLoad struct {
	ramp.ReplicaLoad
	heardAt time.Time // when the response came; zero for none
}

// withSignals returns the condition after a response. The argument share is this daemon's
// share of the rate limit.
func (c condition) withSignals(s ramp.Signals, share ramp.LimitShare, now time.Time) condition {
	next := condition{
		signals: s.Lasting(), heardAt: now, leavingSince: c.leavingSince, refusesUntil: c.refusesUntil,
		load: c.load, coldUntil: c.coldUntil, cold: c.cold,
	}
	if s.Load != nil {
		next.load = reportedLoad{ReplicaLoad: *s.Load, heardAt: now}
	}
	if s.StatesWarmup {
		next.coldUntil = now.Add(s.WarmupLeft)
	}
	if s.Leaving && c.leavingSince.IsZero() {
		next.leavingSince = now
	}
	if until := now.Add(s.RetryAfter); s.RetryAfter > 0 && until.After(c.refusesUntil) {
		next.refusesUntil = until
	}
	if s.Limited {
		next.share, next.bucket = share, c.bucket.withRate(share.Rate, now)
		factor := 1 + probeJitter*(2*rand.Float64()-1)
		next.probeAt = now.Add(time.Duration(factor * float64(share.ProbeInterval)))
	}
	return next
}

// probeDelay returns the time until a probe may be sent.
func (c condition) probeDelay(now time.Time) time.Duration {
	since := now.Sub(c.probeAt)
	if since < 0 {
		return -since
	}
	if since %= c.share.ProbeInterval; since >= c.share.ProbeInterval/probeSlotDivisor {
		return c.share.ProbeInterval - since
	}
	return 0
}

// sendDelay returns the time until the replica accepts another request of this daemon.
func (c condition) sendDelay(now time.Time) time.Duration {
	refused := max(0, c.refusesUntil.Sub(now))
	if !c.signals.Limited {
		return refused
	}
	return max(refused, min(c.bucket.delay(now), c.probeDelay(now)))
}

// withRequest returns the condition after a request was assigned to the replica.
func (c condition) withRequest(now time.Time) condition {
	switch {
	case !c.signals.Limited:
	case c.bucket.delay(now) > 0 && c.probeDelay(now) == 0:
		c.probeAt = now.Add(c.share.ProbeInterval)
	default:
		c.bucket = c.bucket.withTaken(now)
	}
	return c
}

// withUnsent returns the condition after an assigned request was not sent.
func (c condition) withUnsent(now time.Time) condition {
	if c.signals.Limited {
		c.bucket = c.bucket.withReturned(now)
	}
	return c
}

// signalsAge returns the age of the signals, 0 for none.
func (c condition) signalsAge(now time.Time) time.Duration {
	if c.heardAt.IsZero() {
		return 0
	}
	return now.Sub(c.heardAt)
}
