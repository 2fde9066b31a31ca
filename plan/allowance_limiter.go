package plan

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of asking for tokens.
const (
	accountDaemons   = 3                      // first-ranked daemons that may keep a tenant's account
	maxTokenCalls    = 2                      // calls to other daemons for one request
	maxTokenWait     = 100 * time.Millisecond // for the answer to a call
	objectiveDivisor = 4                      // divides a latency objective into the longest wait for the answer to a call
	silenceBackoff   = time.Second            // time for which a daemon that did not answer is not asked
	maxDenialAge     = 100 * time.Millisecond // time for which a refusal is repeated without another call
	returnTime       = time.Second            // time after which expired tokens are no longer returned
	denialRounding   = 0.5                    // of the refused requests, the first waits for half a token on average
	localRetryAfter  = 500 * time.Millisecond // time after which some daemon may answer again
	// accountSettling is the part of a window for which a daemon that has just started is
	// not told by the next-ranked one alone that no other account is established, since it
	// may not know all members yet.
	accountSettling = 1.0 / 5
)

// AllowanceOutcome is the outcome of asking for a token.
type AllowanceOutcome string

// The outcomes of asking for a token.
const (
	AllowanceGranted AllowanceOutcome = "granted" // by the account
	AllowanceLocal   AllowanceOutcome = "local"   // by the local allowance; no daemon that may keep the account answered
	AllowanceRefused AllowanceOutcome = "refused" // the allowance is used up
	AllowanceUnknown AllowanceOutcome = "unknown" // refused, as no daemon that may keep the account answered
)

// AllowanceConfig configures an [AllowanceLimiter].
type AllowanceConfig struct {
	Clock     ramp.Clock
	Log       *slog.Logger
	Self      ramp.Daemon
	Bounds    ramp.QuotaBounds // Window is above 0
	Ranker    ramp.DaemonRanker
	Source    ramp.TokenSource
	Routes    ramp.RoutingSource
	FleetSize func() int  // returns the number of daemons that may be there
	InTouch   func() bool // reports whether the store confirmed the members lately
	// Registered reports whether the store lists this daemon, by its own view. Otherwise others
	// no longer count it among the members that may keep accounts. It is nil if it is always
	// listed.
	Registered func() bool
	Pauses     func() uint64                                 // returns how often the process was paused so far
	Observe    func(tenant string, outcome AllowanceOutcome) // called for each request
}

// AllowanceLimiter enforces allowances over all daemons. The account of a tenant is kept by
// the member that ranks first for its name, which is asked for each request, or for a
// batch while a tenant sends many. It is made for a tenant that sends many times its
// allowance, through one daemon or all of them. It implements [ramp.AllowanceLimiter] and
// [ramp.TokenHandler].
type AllowanceLimiter struct {
	AllowanceConfig
	started  time.Time
	validity time.Duration                     // of the tokens of a batch
	accounts *ramp.Table[string, account]      // by tenant
	holdings *ramp.Table[string, holding]      // by tenant
	locals   *ramp.Table[string, account]      // local allowances, by tenant
	silent   *ramp.Table[string, time.Time]    // when to ask again, by incarnation of a daemon that did not answer
	contact  *ramp.Table[string, contactState] // a single entry under the key ""
	tenants  atomic.Pointer[tenantsOfVersion]  // of the newest configuration
	sweptAt  atomic.Int64                      // time from started to the last sweep, in ns
	refusals atomic.Uint64                     // number of refusals so far, which spreads retries
}

// contactState tells since when the daemon runs without a pause and in contact with the
// store or a majority. It is an immutable value.
type contactState struct {
	pauses     uint64
	majority   bool
	since      time.Time
	generation uint64
}

// tenantsOfVersion holds the tenants of a version of the configuration by name.
type tenantsOfVersion struct {
	version uint64
	byName  map[string]ramp.Tenant // never modified
}

// NewAllowanceLimiter returns a limiter without accounts.
func NewAllowanceLimiter(c AllowanceConfig) *AllowanceLimiter {
	return &AllowanceLimiter{
		AllowanceConfig: c, started: c.Clock.Now(), validity: batchValidity(c.Bounds),
		accounts: ramp.NewTable[string, account](ramp.RankPlans),
		holdings: ramp.NewTable[string, holding](ramp.RankPlans),
		locals:   ramp.NewTable[string, account](ramp.RankPlans),
		silent:   ramp.NewTable[string, time.Time](ramp.RankPlans),
		contact:  ramp.NewTable[string, contactState](ramp.RankPlans),
	}
}

// Take implements [ramp.AllowanceLimiter].
func (l *AllowanceLimiter) Take(ctx context.Context, r ramp.AllowanceRequest) error {
	if !r.Tenant.Allowance {
		return nil
	}
	now := l.Clock.Now()
	request, known, refused := l.takeHeld(r, now)
	if refused != nil {
		l.Observe(r.Tenant.Name, AllowanceRefused)
		return refused
	}
	if known {
		l.Observe(r.Tenant.Name, AllowanceGranted)
		return nil
	}
	grant, granter, answered := l.askOwner(ctx, request)
	h := l.recordAnswer(request, grant, granter, answered, now)
	switch {
	case !answered:
		return l.takeLocal(request)
	case grant.Tokens > 0:
		l.Observe(r.Tenant.Name, AllowanceGranted)
		return nil
	}
	l.Observe(r.Tenant.Name, AllowanceRefused)
	return l.refusal(request, grant.After, h)
}

// takeHeld uses a token in hand, or returns the refusal that the last answer stated, or
// the request for more tokens. Tokens and answers under an older configuration are not
// used.
func (l *AllowanceLimiter) takeHeld(r ramp.AllowanceRequest, now time.Time) (ramp.TokenRequest, bool, error) {
	var used, denied bool
	request := ramp.TokenRequest{
		Tenant: r.Tenant.Name, Version: r.Version, Rate: r.Tenant.Rate, Burst: r.Tenant.Burst, Limit: maxTokenWait,
	}
	if r.Objective > 0 {
		request.Limit = min(request.Limit, r.Objective/objectiveDivisor)
	}
	h := l.holdings.Update(r.Tenant.Name, func(old holding) holding {
		h := old.WithRequest(l.validity, now)
		outdated := r.Version > h.version
		switch {
		case h.tokens > 0 && !outdated && now.Before(h.expires):
			h.tokens--
			used = true
			return h
		case now.Before(h.askAt) && !outdated:
			h.denied++
			denied = true
			return h
		}
		if now.Sub(h.expires) < returnTime {
			request.Returned = h.tokens
		}
		h.tokens = 0
		request.Tokens = h.wanted()
		h.asking++
		return h
	})
	if denied {
		return request, false, l.refusal(request, h.dueAt.Sub(now), h)
	}
	return request, used, nil
}

// recordAnswer records the answer to a call that started at the given time. This daemon's
// own account is asked each time, so nothing is kept of its answers but its name.
func (l *AllowanceLimiter) recordAnswer(
	r ramp.TokenRequest, g ramp.TokenGrant, granter string, answered bool, started time.Time,
) holding {
	now := l.Clock.Now()
	return l.holdings.Update(r.Tenant, func(h holding) holding {
		h.asking--
		h.answeredAt = now
		switch {
		case !answered:
			return h
		case granter == l.Self.Incarnation && g.Tokens == 0:
			h.granter = granter
			h.denied++
			return h
		}
		return h.WithGrant(g, granter, r.Version, started, now)
	})
}

// refusal returns the refusal of a request of a tenant that has no token for the time
// after. Callers that are refused together are told different times, as far apart as the
// tokens that are due.
func (l *AllowanceLimiter) refusal(r ramp.TokenRequest, after time.Duration, h holding) error {
	_, spread := math.Modf(float64(l.refusals.Add(1)) * math.Phi)
	window := l.Bounds.Window.Seconds()
	jitter := spread * min((float64(h.denied)-denialRounding)/r.Rate, window)
	return &ramp.RefusedError{
		Reason: ramp.ReasonAllowance, Ran: ramp.NotRun,
		RetryAfter: max(after, 0) + time.Duration(jitter*float64(time.Second)),
		Detail: fmt.Sprintf("tenant=%s rate=%g burst=%g version=%d due=%v refused=%d account=%s age=%v",
			r.Tenant, r.Rate, r.Burst, r.Version, after, h.denied, h.granter, l.Clock.Now().Sub(h.answeredAt)),
	}
}

// Return implements [ramp.AllowanceLimiter].
func (l *AllowanceLimiter) Return(t ramp.Tenant) {
	now := l.Clock.Now()
	h, known := l.holdings.Get(t.Name)
	switch {
	case !known:
	case h.granter == l.Self.Incarnation:
		l.accounts.UpdateExisting(t.Name, func(a account) account { return a.WithReturned(1, l.Bounds) })
	default:
		l.holdings.Update(t.Name, func(h holding) holding {
			if !now.Before(h.expires) {
				h.tokens = 0
			}
			h.tokens, h.expires = h.tokens+1, now.Add(l.validity)
			return h
		})
	}
}

// keepers returns the daemons that may keep the account of a tenant, the first of which is
// its owner. Leaving ones do only if no other is left.
func keepers(ranked []ramp.RankedDaemon) []ramp.RankedDaemon {
	var staying []ramp.RankedDaemon
	for _, d := range ranked {
		if !d.Leaving {
			staying = append(staying, d)
		}
	}
	if len(staying) == 0 {
		return ranked[:min(accountDaemons, len(ranked))]
	}
	return staying
}

// askOwner asks the daemons that may keep the tenant's account in their order, until one
// answers. It reports false when none does.
func (l *AllowanceLimiter) askOwner(
	ctx context.Context, r ramp.TokenRequest,
) (grant ramp.TokenGrant, granter string, answered bool) {
	calls := 0
	for _, d := range keepers(l.Ranker.Ranked(r.Tenant, accountDaemons)) {
		if d.Incarnation == l.Self.Incarnation {
			r.Tokens = 1 // a batch would save no call
			return l.HandleTokens(ctx, r), d.Incarnation, true
		}
		if d.Unresponsive || calls == maxTokenCalls || l.isSilent(d.Daemon) {
			continue
		}
		calls++
		request := r
		if h, _ := l.holdings.Get(r.Tenant); h.granter != d.Incarnation {
			request.Returned = 0
		}
		if grant, err := l.ask(ctx, d.Daemon, request); err == nil {
			return grant, d.Incarnation, true
		}
	}
	return ramp.TokenGrant{}, "", false
}

// ask asks another daemon, and records whether it answers.
func (l *AllowanceLimiter) ask(ctx context.Context, to ramp.Daemon, r ramp.TokenRequest) (ramp.TokenGrant, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.Clock.AfterFunc(r.Limit, cancel)()
	grant, err := l.Source.TakeTokens(limited, to, r)
	if err == nil {
		l.silent.Delete(to.Incarnation)
		return grant, nil
	}
	if ctx.Err() != nil {
		return grant, err // the caller is gone, which tells nothing about the daemon
	}
	now := l.Clock.Now()
	known := false
	l.silent.Update(to.Incarnation, func(old time.Time) time.Time {
		known = now.Before(old)
		return now.Add(silenceBackoff)
	})
	if !known {
		l.Log.Warn("daemon that keeps an account did not answer", "daemon", to.ID, "tenant", r.Tenant,
			"limit", r.Limit, "relayed", r.Relayed, "error", err)
	}
	return grant, err
}

// isSilent reports whether the daemon did not answer lately. When it is to be asked again,
// this is reported to one request only, since others would wait for it in vain.
func (l *AllowanceLimiter) isSilent(d ramp.Daemon) bool {
	now := l.Clock.Now()
	silent := false
	l.silent.UpdateExisting(d.Incarnation, func(until time.Time) time.Time {
		silent = now.Before(until)
		if !silent {
			until = now.Add(silenceBackoff)
		}
		return until
	})
	return silent
}

// HandleTokens implements [ramp.TokenHandler]. A daemon whose account is not established
// and has no token asks the one that may have the account: the one that ranks first, or,
// if that is itself, the one that ranked first before it.
func (l *AllowanceLimiter) HandleTokens(ctx context.Context, r ramp.TokenRequest) ramp.TokenGrant {
	r = l.withNewest(r)
	if r.Rate <= 0 {
		return ramp.TokenGrant{Tokens: r.Tokens, Validity: l.validity, Established: true}
	}
	ranked := l.Ranker.Ranked(r.Tenant, accountDaemons)
	s := l.standing(ranked)
	grant := l.grant(r, s)
	if grant.Tokens > 0 || grant.Established || r.Relayed {
		return grant
	}
	other, found := l.otherKeeper(ranked, s)
	if !found {
		return grant
	}
	relayed := r
	relayed.Relayed, relayed.Returned, relayed.Limit = true, 0, r.Limit/2
	answer, err := l.ask(ctx, other, relayed)
	switch {
	case err != nil:
		return grant
	case answer.Tokens > 0 || answer.Established || !s.first:
		return answer
	case s.majority && l.Clock.Now().Sub(l.started) >= l.settling():
		l.accounts.UpdateExisting(r.Tenant, account.WithEstablished)
		r.Returned = 0
		return l.grant(r, s)
	}
	return grant
}

// settling returns the time after the start for which the daemon may not know all members.
func (l *AllowanceLimiter) settling() time.Duration {
	return time.Duration(accountSettling * float64(l.Bounds.Window))
}

// otherKeeper returns the daemon that may have an established account, if it answers. For
// the first-ranked daemon that is the next one, which was first before this one joined, or
// one that ranked first and leaves.
func (l *AllowanceLimiter) otherKeeper(ranked []ramp.RankedDaemon, s standing) (ramp.Daemon, bool) {
	for _, d := range ranked {
		if d.Incarnation == l.Self.Incarnation || d.Leaving && !s.first {
			continue
		}
		return d.Daemon, !d.Unresponsive && !l.isSilent(d.Daemon)
	}
	return ramp.Daemon{}, false
}

// withNewest returns the request with the rate and burst of this daemon's configuration if
// that is newer.
func (l *AllowanceLimiter) withNewest(r ramp.TokenRequest) ramp.TokenRequest {
	routing, known := l.Routes.Current()
	if !known || routing.Version <= r.Version {
		return r
	}
	tenants := l.tenants.Load()
	if tenants == nil || tenants.version != routing.Version {
		tenants = &tenantsOfVersion{version: routing.Version, byName: routing.TenantsByName()}
		l.tenants.Store(tenants)
	}
	if t, found := tenants.byName[r.Tenant]; found {
		r.Version, r.Rate, r.Burst = routing.Version, t.Rate, t.Burst
	}
	return r
}

// standing returns this daemon's position in the order for a tenant.
func (l *AllowanceLimiter) standing(ranked []ramp.RankedDaemon) standing {
	now, pauses, majority := l.Clock.Now(), l.Pauses(), l.InTouch() || l.Ranker.HasMajority()
	if l.Registered != nil && !l.Registered() {
		majority = false // the daemon that ranks first without this one has an account of its own
	}
	c := l.contact.Update("", func(old contactState) contactState {
		switch {
		case old.since.IsZero():
			return contactState{pauses: pauses, majority: majority, since: l.started}
		case pauses != old.pauses, majority != old.majority:
			return contactState{pauses: pauses, majority: majority, since: now, generation: old.generation + 1}
		}
		return old
	})
	s := standing{majority: majority, since: c.since, generation: c.generation}
	if changed := l.Ranker.ChangedAt(); changed.After(s.since) {
		s.since = changed
	}
	if candidates := keepers(ranked); len(candidates) > 0 {
		s.first = candidates[0].Incarnation == l.Self.Incarnation
	}
	return s
}

// grant returns what this daemon's own account grants. A relayed request gets no tokens of
// a partial account, since the daemon that asks has one as well.
func (l *AllowanceLimiter) grant(r ramp.TokenRequest, s standing) ramp.TokenGrant {
	now := l.Clock.Now()
	var tokens int
	var changed bool
	a := l.accounts.Update(r.Tenant, func(old account) account {
		a := old.WithAllowance(r.Version, r.Rate, r.Burst).WithStanding(s, l.Bounds, now)
		a = a.WithRefill(l.Bounds, now).WithReturned(r.Returned, l.Bounds)
		if a.established || s.first || !r.Relayed {
			a, tokens = a.WithTaken(r.Tokens, now)
		}
		a, changed = a.WithExceeding(l.Bounds, now)
		return a
	})
	if changed {
		l.logExceeding(r.Tenant, a)
	}
	l.sweep(now)
	grant := ramp.TokenGrant{Tokens: tokens, Validity: l.validity, Established: a.established}
	if tokens == 0 {
		grant.After = a.delay(l.Bounds)
	}
	return grant
}

// takeLocal takes a token of the local allowance, which is for requests that no daemon
// answers for. A daemon has a part of the tokens for all daemons; when those are fewer
// than the daemons, the first-ranked ones have one each.
func (l *AllowanceLimiter) takeLocal(r ramp.TokenRequest) error {
	now := l.Clock.Now()
	tokens := l.localTokens(r)
	taken := 0
	if tokens > 0 {
		window := l.Bounds.Window.Seconds()
		l.locals.Update(r.Tenant, func(a account) account {
			// Half of the tokens at once and the others over the window are at most all of
			// them in any window. A single one comes once in two windows.
			size := max(1, float64(tokens)/2)
			if a.refilled.IsZero() {
				a.tokens, a.refilled = size, now
			}
			a.tokens = min(size, a.tokens+now.Sub(a.refilled).Seconds()*float64(tokens)/2/window)
			a.refilled = now
			a, taken = a.WithTaken(1, now)
			return a
		})
	}
	if taken > 0 {
		l.Observe(r.Tenant, AllowanceLocal)
		return nil
	}
	l.Observe(r.Tenant, AllowanceUnknown)
	_, spread := math.Modf(float64(l.refusals.Add(1)) * math.Phi)
	return &ramp.RefusedError{
		Reason: ramp.ReasonUnconfirmed, Ran: ramp.NotRun,
		RetryAfter: localRetryAfter + time.Duration(spread*float64(localRetryAfter)),
		Detail:     fmt.Sprintf("no daemon that keeps the account answers: tenant=%s local=%d", r.Tenant, tokens),
	}
}

// localTokens returns this daemon's part of the local allowances in a window.
func (l *AllowanceLimiter) localTokens(r ramp.TokenRequest) int {
	total := localTotal(l.Bounds, r.Rate, r.Burst)
	ranked := l.Ranker.Ranked(r.Tenant, math.MaxInt)
	daemons := max(len(ranked), l.FleetSize(), 1)
	position := slices.IndexFunc(ranked, func(d ramp.RankedDaemon) bool { return d.Incarnation == l.Self.Incarnation })
	tokens := total / daemons
	if position >= 0 && position < total%daemons {
		tokens++
	}
	return tokens
}

// logExceeding logs that a tenant begins or ceases to exceed its allowance. That changes
// once in a window at most.
func (l *AllowanceLimiter) logExceeding(tenant string, a account) {
	message := "tenant is within its allowance again"
	if a.exceeding {
		message = "tenant exceeds its allowance"
	}
	l.Log.Info(message, "tenant", tenant, "rate", a.rate, "burst", a.burst, "version", a.version,
		"established", a.established, "granted", a.granted, "refused", a.refused)
}

// sweep reports the tenants that have ceased to exceed their allowances and sent nothing
// since, and removes the accounts of tenants that no longer exist. It runs once in a
// window at most.
func (l *AllowanceLimiter) sweep(now time.Time) {
	elapsed := int64(now.Sub(l.started))
	last := l.sweptAt.Load()
	if elapsed-last < int64(l.Bounds.Window) || !l.sweptAt.CompareAndSwap(last, elapsed) {
		return
	}
	routing, _ := l.Routes.Current()
	tenants := routing.TenantsByName()
	isUnused := func(tenant string, refilled time.Time) bool {
		_, exists := tenants[tenant]
		return !exists && now.Sub(refilled) > l.Bounds.Window
	}
	ended := make(map[string]account)
	l.accounts.DeleteFunc(func(tenant string, a account) bool {
		if next, changed := a.WithExceeding(l.Bounds, now); changed {
			ended[tenant] = next
		}
		return isUnused(tenant, a.refilled)
	})
	l.locals.DeleteFunc(func(tenant string, a account) bool { return isUnused(tenant, a.refilled) })
	l.holdings.DeleteFunc(func(tenant string, h holding) bool { return h.asking == 0 && isUnused(tenant, h.interval) })
	l.silent.DeleteFunc(func(_ string, until time.Time) bool { return now.Sub(until) > l.Bounds.Window })
	for tenant, a := range ended {
		l.accounts.UpdateExisting(tenant, func(old account) account {
			next, _ := old.WithExceeding(l.Bounds, now)
			return next
		})
		l.logExceeding(tenant, a)
	}
}

// Views returns the accounts that this daemon keeps, sorted by tenant.
func (l *AllowanceLimiter) Views() []ramp.AllowanceView {
	views := make([]ramp.AllowanceView, 0, l.accounts.Len())
	l.accounts.Each(func(tenant string, a account) bool {
		views = append(views, a.view(tenant))
		return true
	})
	slices.SortFunc(views, func(a, b ramp.AllowanceView) int { return strings.Compare(a.Tenant, b.Tenant) })
	return views
}
