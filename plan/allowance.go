package plan

import (
	"math"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parts of the tolerance of an allowance: the requests of a tenant in a window that the
// bound permits beyond its rate and burst. While members restart, up to four daemons may act
// for a tenant in one window besides the one with its account. Their accounts and the local
// allowances of all daemons use the whole tolerance at most, but for the one token with which
// each of them starts.
const (
	partialRateShare  = 1.0 / 6  // of the tolerance: what an account accrues in a window that is not established
	partialBurstShare = 1.0 / 12 // of the tolerance: most tokens of such an account
	localShare        = 1.0 / 6  // of the tolerance: sum of the local allowances of all daemons in a window
	validityShare     = 1.0 / 4  // of the overshoot: time for which tokens of a batch are valid, in windows
)

// tokenRounding is the part of a token by which sums of fractions may fall short of it.
const tokenRounding = 1e-6

// tolerance returns the requests that the bound permits in a window beyond the rate and
// burst.
func tolerance(b ramp.QuotaBounds, rate, burst float64) float64 {
	return b.Overshoot*(rate*b.Window.Seconds()+burst) + b.Slack
}

// localTotal returns the sum of the local allowances of all daemons in a window.
func localTotal(b ramp.QuotaBounds, rate, burst float64) int {
	return int(min(localShare*tolerance(b, rate, burst), b.Slack/2+rate/2))
}

// batchValidity returns the time for which tokens of a batch are valid. Those that are
// used late let more requests into a window than were granted in it, by a part of the
// overshoot.
func batchValidity(b ramp.QuotaBounds) time.Duration {
	return time.Duration(validityShare * b.Overshoot * float64(b.Window))
}

// standing is the position of a daemon for a tenant. It is an immutable value.
type standing struct {
	first      bool      // the daemon ranks first for the tenant among all members
	majority   bool      // it is in contact with the store or a majority of the members
	since      time.Time // earliest time from which the position is known to hold
	generation uint64    // changes when the daemon was paused or has lost the majority
}

// account is the account of a tenant's allowance. It is an immutable value.
//
// An established account grants what the allowance permits in any window: the rate times
// the window and the burst. It does so evenly, by a token bucket that fills with the burst in
// each window besides the rate, so that a tenant that sends too much is not refused for most
// of a window after its first requests. Only one daemon may have an established account,
// except while a departure becomes known: the one that has ranked first among all registered
// members for a window, while it is in contact with the store or a majority. Any other
// account grants a part of the tolerance, so that two daemons that act for one tenant at
// once stay within the bound.
type account struct {
	version     uint64 // version of the configuration that rate and burst are from
	rate        float64
	burst       float64
	tokens      float64   // in the bucket
	refilled    time.Time // last time that tokens were added; zero if the account is new
	firstSince  time.Time // when the daemon began to rank first; zero if it does not
	lostAt      time.Time // when the daemon of an established account ceased to rank first; zero if it does
	established bool
	generation  uint64
	granted     uint64
	refused     uint64
	refusedAt   time.Time // last refusal; zero for none
	exceeding   bool      // the beginning of refusals was reported, and their end was not

	recent  recentGrants // of an established account
	counted bool         // recent and left are in use
	left    float64      // tokens left in the window; below 0 after the allowance was lowered
}

// WithAllowance returns the account with the rate and burst of the given version of the
// configuration unless it has newer ones.
func (a account) WithAllowance(version uint64, rate, burst float64) account {
	if version > a.version || a.refilled.IsZero() {
		a.version, a.rate, a.burst = version, rate, burst
	}
	return a
}

// WithStanding returns the account after the position of the daemon became known. A new
// account has one token and those that accrued while the daemon ranked first.
func (a account) WithStanding(s standing, b ramp.QuotaBounds, now time.Time) account {
	first := s.first && s.majority
	switch {
	case a.refilled.IsZero():
		a.tokens, a.refilled, a.generation = 1, now, s.generation
		if first {
			a.refilled, a.firstSince = s.since, s.since
		}
	case a.generation != s.generation:
		// What accrued during a pause may have been granted by another daemon.
		a.generation, a.refilled, a.established = s.generation, now, false
		a.firstSince, a.lostAt = time.Time{}, time.Time{}
	}
	switch {
	case first:
		a.lostAt = time.Time{}
		if a.firstSince.IsZero() {
			a.firstSince = now
		}
		a.established = a.established || now.Sub(a.firstSince) >= b.Window
	case !s.majority:
		a.established, a.firstSince = false, time.Time{}
	default:
		a.firstSince = time.Time{}
		if a.established && a.lostAt.IsZero() {
			a.lostAt = now
		}
		a.established = a.established && now.Sub(a.lostAt) < b.Window
	}
	return a
}

// WithEstablished returns the account of a daemon that ranks first after the daemon that
// ranked first before it stated that it has no established account.
func (a account) WithEstablished() account {
	a.established = !a.firstSince.IsZero()
	return a
}

// capacity returns the tokens that an established account grants in a window. One more than
// the allowance keeps requests within it from being refused that arrive slightly early.
func (a account) capacity(b ramp.QuotaBounds) float64 {
	return a.rate*b.Window.Seconds() + a.burst + 1
}

// accrual returns the tokens per second that the bucket gets.
func (a account) accrual(b ramp.QuotaBounds) float64 {
	if a.established {
		return a.rate + a.burst/b.Window.Seconds()
	}
	return min(a.rate, partialRateShare*tolerance(b, a.rate, a.burst)/b.Window.Seconds())
}

// size returns the most tokens that the bucket may have.
func (a account) size(b ramp.QuotaBounds) float64 {
	size := a.burst + 1
	if a.established {
		return size
	}
	return min(size, max(1, partialBurstShare*tolerance(b, a.rate, a.burst)))
}

// WithRefill returns the account with the tokens that it may grant now.
func (a account) WithRefill(b ramp.QuotaBounds, now time.Time) account {
	a.counted = a.counted && a.established
	if elapsed := now.Sub(a.refilled); elapsed > 0 {
		a.tokens += a.accrual(b) * elapsed.Seconds()
		a.refilled = now
	}
	a.tokens = min(a.tokens, a.size(b))
	if !a.established {
		return a
	}
	if !a.counted {
		a.recent, a.counted = a.assumedGrants(b, now), true
	}
	a.recent = a.recent.advanced(b.Window, now)
	a.left = a.capacity(b) - a.recent.sum()
	return a
}

// available returns the tokens that may be granted now.
func (a account) available() float64 {
	if a.counted {
		return min(a.tokens, a.left)
	}
	return a.tokens
}

// assumedGrants returns what counts as granted in the last window when the account becomes
// established. Another daemon may have had it until a window after this one ranked first.
func (a account) assumedGrants(b ramp.QuotaBounds, now time.Time) recentGrants {
	if !a.firstSince.IsZero() && now.Sub(a.firstSince) >= 2*b.Window {
		return recentGrants{since: now}
	}
	return newRecentGrants(a.capacity(b)-a.tokens, now)
}

// WithReturned returns the account with tokens that were granted and not used.
func (a account) WithReturned(tokens int, b ramp.QuotaBounds) account {
	a.tokens = min(a.tokens+float64(tokens), a.size(b))
	if a.counted {
		a.recent = a.recent.withReturned(float64(tokens))
		a.left = a.capacity(b) - a.recent.sum()
	}
	return a
}

// WithTaken returns the account without the wanted tokens, or without those that there
// are, and their number.
func (a account) WithTaken(wanted int, now time.Time) (account, int) {
	tokens := min(wanted, int(math.Floor(a.available()+tokenRounding)))
	if tokens <= 0 {
		a.refused++
		a.refusedAt = now
		return a, 0
	}
	a.tokens -= float64(tokens)
	a.granted += uint64(tokens)
	if a.counted {
		a.recent, a.left = a.recent.withGranted(float64(tokens)), a.left-float64(tokens)
	}
	return a, tokens
}

// delay returns the time until the account has a token.
func (a account) delay(b ramp.QuotaBounds) time.Duration {
	var delay time.Duration
	if missing := 1 - a.tokens; missing > 0 {
		delay = time.Duration(math.Ceil(missing / a.accrual(b) * float64(time.Second)))
	}
	if missing := 1 - a.left; a.counted && missing > 0 {
		delay = max(delay, a.recent.delay(missing, b.Window, a.refilled))
	}
	return delay
}

// WithExceeding returns the account after it was checked whether the tenant exceeds its
// allowance, and whether that has changed.
func (a account) WithExceeding(b ramp.QuotaBounds, now time.Time) (account, bool) {
	exceeding := !a.refusedAt.IsZero() && now.Sub(a.refusedAt) < b.Window
	changed := exceeding != a.exceeding
	a.exceeding = exceeding
	return a, changed
}

// view returns the account as operators see it.
func (a account) view(tenant string) ramp.AllowanceView {
	return ramp.AllowanceView{
		Tenant: tenant, Tokens: a.available(), Rate: a.rate, Burst: a.burst, Version: a.version,
		Established: a.established, Exceeding: a.exceeding, Granted: a.granted, Refused: a.refused,
	}
}

// holding is what a daemon knows of a tenant's allowance that another daemon keeps: tokens
// in hand, or when one is due. It is an immutable value.
type holding struct {
	version    uint64    // version of the configuration of the request that was last answered
	granter    string    // incarnation of the daemon that granted last
	tokens     int       // tokens in hand
	expires    time.Time // when the tokens in hand expire
	dueAt      time.Time // when a token is due; zero if the last answer granted some
	askAt      time.Time // when the other daemon is asked again
	answeredAt time.Time // last answer
	denied     int       // requests refused since the last grant
	asking     int       // calls in progress
	interval   time.Time // start of the present interval, as long as the validity of a batch
	count      int       // requests in the present interval
	demand     int       // requests in the interval before it
}

// WithRequest returns the holding after another request, which counts towards the demand.
func (h holding) WithRequest(validity time.Duration, now time.Time) holding {
	if elapsed := now.Sub(h.interval); elapsed >= validity {
		h.demand = 0
		if elapsed < 2*validity {
			h.demand = h.count
		}
		h.interval, h.count = now, 0
	}
	h.count++
	return h
}

// wanted returns the tokens to ask for: one, and one for each other request that is
// expected while they are valid, unless a call is in progress that asks for those.
func (h holding) wanted() int {
	if h.asking > 0 {
		return 1
	}
	return max(1, h.demand)
}

// WithGrant returns the holding after an answer of the daemon to a call that started at
// the given time. One of the tokens is used at once.
func (h holding) WithGrant(g ramp.TokenGrant, granter string, version uint64, started, now time.Time) holding {
	h.version, h.granter = max(h.version, version), granter
	if g.Tokens > 0 {
		h.tokens, h.expires = h.tokens+g.Tokens-1, started.Add(g.Validity)
		h.dueAt, h.askAt, h.denied = time.Time{}, time.Time{}, 0
		return h
	}
	h.dueAt, h.askAt = now.Add(g.After), now.Add(min(g.After, maxDenialAge))
	h.denied++
	return h
}
