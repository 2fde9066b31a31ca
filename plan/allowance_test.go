package plan

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// Parameters of the simulated fleet and its tenants.
const (
	allowanceStep   = 20 * time.Millisecond
	gossipSteps     = 20              // between two gossip exchanges of a daemon
	leaseLife       = 6 * time.Second // until a lost daemon is no member any more
	domains         = 3
	maxSpread       = 3 * time.Second // until all daemons know a change of the members or the configuration
	largeRate       = 17.0            // requests per second that the largest tenant may send
	usualLoad       = 1 / 1.6         // part of the allowance
	surgeFactor     = 8               // of the usual load
	failureAt       = 10 * time.Second
	failureDuration = 25 * time.Second // of a run with a failure
)

var quotaBounds = ramp.QuotaBounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// tenantNamed returns a tenant with an allowance and a key, which it needs to be listed.
func tenantNamed(name string, rate, burst float64) ramp.Tenant {
	return ramp.Tenant{Name: name, Keys: []ramp.KeyHash{ramp.HashCredential(name)}}.WithAllowance(rate, burst)
}

// allowanceDaemon is a daemon of a simulated fleet.
type allowanceDaemon struct {
	ramp.Daemon
	members *fleet.Members
	routes  *fleet.Routes
	limiter *AllowanceLimiter
	stopped bool // lost or paused
	group   int  // daemons of different groups do not reach each other
	pauses  uint64
}

// allowanceFleet is a fleet whose daemons ask each other for tokens and learn of changes
// at different times. Its Poisson arrivals are the same in each run.
type allowanceFleet struct {
	*manualClock
	random  *rand.Rand
	daemons []*allowanceDaemon
	tenants []ramp.Tenant
	later   map[time.Duration][]func() // changes by time, in steps
	elapsed time.Duration
	sent    map[string][]time.Duration // times of the requests that were sent, by tenant
	refused map[string]int
	central map[string]account // what a single daemon without delay would grant
	granted map[string]int     // by the central accounts
	rule    allowanceRule      // decides instead of the limiters; nil for none
}

// allowanceRule reports whether a daemon admits a request of a tenant. It stands for an
// alternative to accounts that one daemon keeps.
type allowanceRule func(f *allowanceFleet, at int, t ramp.Tenant) bool

// newAllowanceFleet returns a fleet whose daemons were started two windows ago.
func newAllowanceFleet(size int, tenants ...ramp.Tenant) *allowanceFleet {
	f := newUnconfiguredFleet(size, tenants...)
	f.publish(0)
	f.configure(1, 0, tenants...)
	f.now = f.now.Add(2 * quotaBounds.Window)
	return f
}

// newUnconfiguredFleet returns a fleet whose daemons know neither each other nor tenants.
func newUnconfiguredFleet(size int, tenants ...ramp.Tenant) *allowanceFleet {
	f := &allowanceFleet{
		manualClock: &manualClock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(1, 2)), tenants: tenants,
		later: make(map[time.Duration][]func()), sent: make(map[string][]time.Duration),
		refused: make(map[string]int), central: make(map[string]account), granted: make(map[string]int),
	}
	for i := range size {
		f.add(fmt.Sprintf("d%03d", i))
	}
	return f
}

// add starts a daemon that knows only itself.
func (f *allowanceFleet) add(incarnation string) *allowanceDaemon {
	domain := fmt.Sprint("f", len(f.daemons)%domains)
	d := &allowanceDaemon{
		Daemon: ramp.Daemon{ID: incarnation, Incarnation: incarnation, Domain: domain}, routes: fleet.NewRoutes(),
	}
	d.members = fleet.NewMembers(d.Daemon, f)
	d.members.Update([]ramp.Daemon{d.Daemon})
	d.limiter = NewAllowanceLimiter(AllowanceConfig{
		Clock: f, Log: slog.New(slog.DiscardHandler), Self: d.Daemon, Bounds: quotaBounds, Ranker: d.members,
		Source: allowanceLink{f, d}, Routes: d.routes, FleetSize: func() int { return len(d.members.All()) },
		InTouch: func() bool { return d.group == 0 || f.elapsed-failureAt < maxSpread },
		Pauses:  func() uint64 { return d.pauses }, Observe: func(string, AllowanceOutcome) {},
	})
	f.daemons = append(f.daemons, d)
	return d
}

// allowanceLink implements [ramp.TokenSource] for a daemon.
type allowanceLink struct {
	fleet *allowanceFleet
	from  *allowanceDaemon
}

// TakeTokens implements [ramp.TokenSource].
func (l allowanceLink) TakeTokens(
	ctx context.Context, to ramp.Daemon, r ramp.TokenRequest,
) (ramp.TokenGrant, error) {
	for _, d := range l.fleet.daemons {
		if d.Incarnation == to.Incarnation && !d.stopped && d.group == l.from.group {
			return d.limiter.HandleTokens(ctx, r), nil
		}
	}
	return ramp.TokenGrant{}, &ramp.PeerError{Daemon: to.ID}
}

// after calls f after the delay, rounded to steps.
func (f *allowanceFleet) after(delay time.Duration, change func()) {
	at := (f.elapsed + delay).Truncate(allowanceStep)
	if delay == 0 {
		change()
		return
	}
	f.later[at] = append(f.later[at], change)
}

// spread calls change for each daemon, for the last one after the given time.
func (f *allowanceFleet) spread(last time.Duration, change func(d *allowanceDaemon)) {
	for i, d := range f.daemons {
		f.after(last*time.Duration(i)/time.Duration(max(1, len(f.daemons)-1)), func() { change(d) })
	}
}

// publish makes the daemons that are not cut off the members. The others keep their view.
func (f *allowanceFleet) publish(last time.Duration) {
	var members []ramp.Daemon
	for _, d := range f.daemons {
		if d.group == 0 {
			members = append(members, d.Daemon)
		}
	}
	f.spread(last, func(d *allowanceDaemon) {
		if d.group == 0 && !d.stopped {
			d.members.Update(members)
		}
	})
}

// configure puts the tenants in force.
func (f *allowanceFleet) configure(version uint64, last time.Duration, tenants ...ramp.Tenant) {
	routing, err := ramp.Routing{Version: version}.WithTenants(tenants)
	if err != nil {
		panic(err)
	}
	f.spread(last, func(d *allowanceDaemon) { d.routes.Update(routing) })
}

// owner returns the position of the daemon that keeps the tenant's account.
func (f *allowanceFleet) owner(tenant string) int {
	first := f.daemons[0].members.Ranked(tenant, 1)[0]
	return slices.IndexFunc(f.daemons, func(d *allowanceDaemon) bool { return d.Incarnation == first.Incarnation })
}

// remove deregisters a daemon.
func (f *allowanceFleet) remove(d *allowanceDaemon) {
	f.daemons = slices.DeleteFunc(f.daemons, func(other *allowanceDaemon) bool { return other == d })
	f.publish(maxSpread)
}

// gossip exchanges messages between each daemon and one other, and one that is silent.
func (f *allowanceFleet) gossip(turn int) {
	for i, d := range f.daemons {
		if d.stopped {
			continue
		}
		targets := []*allowanceDaemon{f.daemons[(i+turn)%len(f.daemons)]}
		if silent := d.members.Unresponsive(); turn%2 == 0 && len(silent) > 0 {
			next := silent[turn%len(silent)]
			if at := slices.IndexFunc(f.daemons, func(o *allowanceDaemon) bool { return o.ID == next.ID }); at >= 0 {
				targets = append(targets, f.daemons[at])
			}
		}
		for _, other := range targets {
			if !f.call(d, other) {
				d.members.MarkSilent(other.Incarnation)
				continue
			}
			d.members.MarkSeen(other.Daemon)
			other.members.MarkSeen(d.Daemon)
		}
	}
}

// call makes a call between daemons and reports whether it is answered.
func (f *allowanceFleet) call(from, to *allowanceDaemon) bool {
	answered := !to.stopped && to.group == from.group
	from.members.RecordCall(to.Incarnation, answered)
	return answered
}

// run sends requests for the duration. The rate of a tenant's requests is load per second,
// at the daemon with the given number, or at any daemon if that is negative.
func (f *allowanceFleet) run(duration time.Duration, at int, load func(t ramp.Tenant) float64) {
	for end := f.elapsed + duration; f.elapsed < end; {
		f.elapsed += allowanceStep
		f.now = f.now.Add(allowanceStep)
		for _, change := range f.later[f.elapsed] {
			change()
		}
		if step := int(f.elapsed / allowanceStep); step%gossipSteps == 0 && f.rule == nil {
			f.gossip(step/gossipSteps + 1)
		}
		for _, t := range f.tenants {
			for p := load(t) * allowanceStep.Seconds(); p > 0; p-- {
				if p >= 1 || f.random.Float64() < p {
					f.request(at, t)
				}
			}
		}
	}
}

// request sends a request of the tenant unless it is refused.
func (f *allowanceFleet) request(at int, t ramp.Tenant) {
	c := f.central[t.Name]
	if c.refilled.IsZero() {
		c = account{tokens: t.Burst, established: true}
	}
	c = c.WithAllowance(1, t.Rate, t.Burst).WithRefill(quotaBounds, f.now)
	c.refilled = f.now
	c, tokens := c.WithTaken(1, f.now)
	f.central[t.Name] = c
	f.granted[t.Name] += tokens
	if at < 0 {
		for at = f.random.IntN(len(f.daemons)); f.daemons[at].stopped; at = f.random.IntN(len(f.daemons)) {
		}
	}
	if f.rule != nil {
		if f.rule(f, at, t) {
			f.sent[t.Name] = append(f.sent[t.Name], f.elapsed)
		}
		return
	}
	d := f.daemons[at]
	routing, _ := d.routes.Current()
	err := d.limiter.Take(context.Background(), ramp.AllowanceRequest{
		Tenant: routing.TenantsByName()[t.Name], Version: routing.Version,
	})
	if err != nil {
		f.refused[t.Name]++
		return
	}
	f.sent[t.Name] = append(f.sent[t.Name], f.elapsed)
	for range domains { // parts of the answer are collected by other daemons
		f.call(d, f.daemons[f.random.IntN(len(f.daemons))])
	}
}

// most returns the greatest number of requests of the tenant in a window that ended after
// the given time.
func (f *allowanceFleet) most(tenant string, from time.Duration) int {
	most, first := 0, 0
	sent := f.sent[tenant]
	for i, at := range sent {
		for at-sent[first] > quotaBounds.Window {
			first++
		}
		if at >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// check fails when a tenant has sent more than its allowance permits in a window that
// ended after the given time, and returns the errors.
func (f *allowanceFleet) check(t *testing.T, from time.Duration, tenants ...ramp.Tenant) string {
	t.Helper()
	for _, tenant := range tenants {
		bound := (tenant.Rate*quotaBounds.Window.Seconds()+tenant.Burst)*1.1 + 20
		if most := float64(f.most(tenant.Name, from)); most > bound {
			t.Errorf("%s: tenant %s sent %v requests in a window, the bound is %v", t.Name(), tenant.Name, most, bound)
		}
	}
	return f.errors(tenants...)
}

// errors describes the errors: the requests beyond rate and burst in the worst window of
// any tenant, and the requests of all tenants that a single account without delay would
// have granted besides.
func (f *allowanceFleet) errors(tenants ...ramp.Tenant) string {
	beyond, short, sent, central := 0.0, 0, 0, 0
	for _, t := range tenants {
		beyond = max(beyond, float64(f.most(t.Name, 0))-t.Rate*quotaBounds.Window.Seconds()-t.Burst)
		short += max(0, f.granted[t.Name]-len(f.sent[t.Name]))
		sent += len(f.sent[t.Name])
		central += f.granted[t.Name]
	}
	return fmt.Sprintf("sent=%d central=%d beyond=%.0f refused-within=%d", sent, central, beyond, short)
}

// surge returns the load of tenants at the factor of their usual load.
func surge(factor float64) func(ramp.Tenant) float64 {
	return func(t ramp.Tenant) float64 { return factor * usualLoad * t.Rate }
}

// fleetSizes are the sizes for which the model test runs.
var fleetSizes = []int{5, 38, 300}

// shareBuckets returns a rule with buckets that each have a share of the rate and burst and
// hold a whole token at least.
func shareBuckets(
	bucket func(f *allowanceFleet, at int) int, share func(f *allowanceFleet, bucket int) float64,
) allowanceRule {
	buckets := make(map[string]account)
	return func(f *allowanceFleet, at int, t ramp.Tenant) bool {
		n := bucket(f, at)
		key := fmt.Sprint(t.Name, n)
		a, known := buckets[key]
		part := share(f, n)
		if !known {
			a.refilled, a.tokens = f.now, max(1, t.Burst*part)
		}
		a.tokens = min(max(1, t.Burst*part), a.tokens+t.Rate*part*f.now.Sub(a.refilled).Seconds())
		a.refilled = f.now
		a, tokens := a.WithTaken(1, f.now)
		buckets[key] = a
		return tokens > 0
	}
}

// ownBucket returns the number of the daemon's own bucket.
func ownBucket(_ *allowanceFleet, at int) int { return at }

// equalShares gives each daemon an equal share.
func equalShares() allowanceRule {
	return shareBuckets(ownBucket, func(f *allowanceFleet, _ int) float64 { return 1 / float64(len(f.daemons)) })
}

// demandShares gives each daemon a share in proportion to its demand of the tenant in the
// second before, which all daemons know without loss. A tenth is divided equally.
func demandShares() allowanceRule {
	var second time.Duration
	counts, known, totals := map[string]float64{}, map[string]float64{}, map[string]float64{}
	var tenant string
	rule := shareBuckets(ownBucket, func(f *allowanceFleet, at int) float64 {
		size := float64(len(f.daemons))
		if totals[tenant] == 0 {
			return 1 / size
		}
		return 0.1/size + 0.9*known[fmt.Sprint(tenant, "/", at)]/totals[tenant]
	})
	return func(f *allowanceFleet, at int, t ramp.Tenant) bool {
		if f.elapsed-second >= time.Second {
			known, counts, totals, second = counts, map[string]float64{}, map[string]float64{}, f.elapsed
			for key, n := range known {
				name, _, _ := strings.Cut(key, "/")
				totals[name] += n
			}
		}
		tenant = t.Name
		counts[fmt.Sprint(t.Name, "/", at)]++
		return rule(f, at, t)
	}
}

// delegateCounts counts at one delegate for each failure domain, which has an equal share.
func delegateCounts() allowanceRule {
	return shareBuckets(func(_ *allowanceFleet, at int) int { return at % domains },
		func(*allowanceFleet, int) float64 { return 1.0 / domains })
}

// TestAllowanceAlternatives records the errors of other ways to enforce an allowance. None
// of them keeps both within the bound and close to what a single account grants.
func TestAllowanceAlternatives(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		rule func() allowanceRule
	}{{"equal shares", equalShares}, {"shares by demand", demandShares}, {"delegates", delegateCounts}} {
		for _, size := range fleetSizes {
			for _, at := range []int{-1, 0} {
				large := tenantNamed("large", largeRate, largeRate)
				f := newUnconfiguredFleet(size, large)
				f.rule = c.rule()
				playSurge(f, at)
				fmt.Fprintf(&b, "%s, %d daemons, surge at daemon %d: %s\n", c.name, size, at, f.errors(large))
			}
			small := smallTenants()
			f := newUnconfiguredFleet(size, small...)
			f.rule = c.rule()
			f.run(30*time.Second, -1, surge(1))
			fmt.Fprintf(&b, "%s, %d daemons, 78 tenants: %s\n", c.name, size, f.errors(small...))
		}
	}
	golden.Check(t, "allowancealternatives", b.String())
}

// playSurge plays eight seconds of a surge between two times of usual load.
func playSurge(f *allowanceFleet, at int) {
	f.run(10*time.Second, at, surge(1))
	f.run(8*time.Second, at, surge(surgeFactor))
	f.run(10*time.Second, at, surge(1))
}

// smallTenants returns 78 tenants whose usual load is one request a second.
func smallTenants() []ramp.Tenant {
	var small []ramp.Tenant
	for i := range 78 {
		small = append(small, tenantNamed(fmt.Sprint("t", i), 1.6, 5))
	}
	return small
}

// TestAllowances guards against tenants that send more than their allowance through many
// daemons, and against refusals within it.
func TestAllowances(t *testing.T) {
	large := tenantNamed("large", largeRate, largeRate)
	small := smallTenants()
	var b strings.Builder
	for _, size := range fleetSizes {
		for _, at := range []int{-1, 0} {
			f := newAllowanceFleet(size, large)
			playSurge(f, at)
			fmt.Fprintf(&b, "%d daemons, surge at daemon %d: %s\n", size, at, f.check(t, 0, large))
		}
		f := newAllowanceFleet(size, small...)
		f.run(30*time.Second, -1, surge(1))
		fmt.Fprintf(&b, "%d daemons, 78 tenants: %s\n", size, f.check(t, 0, small...))
	}
	golden.Check(t, "allowances", b.String())
}

// failureCases are the failures of the specification of allowances. Each gets the daemon
// that keeps the account of the tenant.
var failureCases = []struct {
	name string
	fail func(f *allowanceFleet, owner *allowanceDaemon)
}{
	{"owner lost", func(f *allowanceFleet, d *allowanceDaemon) {
		d.stopped = true
		f.after(leaseLife, func() { f.remove(d) })
	}},
	{"owner paused for 3 s", pauseFor(3 * time.Second)},
	{"owner paused for 12 s", func(f *allowanceFleet, d *allowanceDaemon) {
		pauseFor(12*time.Second)(f, d)
		f.after(leaseLife, func() { f.remove(d) })
		f.after(12*time.Second, func() {
			f.daemons = append(f.daemons, d)
			f.publish(maxSpread)
		})
	}},
	{"a third cut off each alone", func(f *allowanceFleet, _ *allowanceDaemon) {
		for i, other := range f.daemons {
			if i%3 == 0 {
				other.group = i + 1
			}
		}
		f.after(leaseLife, func() { f.publish(maxSpread) })
	}},
	{"the domain of the owner cut off", func(f *allowanceFleet, d *allowanceDaemon) {
		for _, other := range f.daemons {
			if other.Domain == d.Domain {
				other.group = 1
			}
		}
		f.after(leaseLife, func() { f.publish(maxSpread) })
	}},
	{"whole fleet restarts", func(f *allowanceFleet, _ *allowanceDaemon) {
		size := len(f.daemons)
		routing, _ := f.daemons[0].routes.Current()
		f.daemons = nil
		for i := range size {
			f.add(fmt.Sprintf("e%03d", i)).routes.Update(routing)
		}
		f.publish(time.Second)
	}},
	{"a daemon joins and keeps the account", func(f *allowanceFleet, _ *allowanceDaemon) {
		routing, _ := f.daemons[0].routes.Current()
		for i := 0; ; i++ {
			d := f.add(fmt.Sprint("join", i))
			d.routes.Update(routing)
			d.members.Update(append(f.daemons[0].members.All(), d.Daemon))
			if d.members.Ranked(f.tenants[0].Name, 1)[0].Incarnation == d.Incarnation {
				break
			}
			f.daemons = f.daemons[:len(f.daemons)-1]
		}
		f.publish(maxSpread)
	}},
	{"owner leaves", func(f *allowanceFleet, d *allowanceDaemon) {
		d.Leaving = true
		d.members.MarkSeen(d.Daemon)
		f.publish(maxSpread)
		f.after(leaseLife, func() { f.remove(d) })
	}},
	{"whole fleet leaves", func(f *allowanceFleet, _ *allowanceDaemon) {
		for _, d := range f.daemons {
			d.Leaving = true
			d.members.MarkSeen(d.Daemon)
		}
		f.publish(time.Second)
	}},
}

// pauseFor returns a failure: the daemon stands still for a time.
func pauseFor(duration time.Duration) func(f *allowanceFleet, d *allowanceDaemon) {
	return func(f *allowanceFleet, d *allowanceDaemon) {
		d.stopped = true
		f.after(duration, func() { d.stopped, d.pauses = false, d.pauses+1 })
	}
}

// TestAllowanceFailures guards against a tenant that sends more than its allowance while
// daemons that keep its account fail or change, and records what is refused within it.
func TestAllowanceFailures(t *testing.T) {
	for i, c := range failureCases {
		t.Run(c.name, func(t *testing.T) {
			var b strings.Builder
			for _, size := range fleetSizes {
				for _, factor := range []float64{1, surgeFactor} {
					if size > 100 && factor == 1 {
						continue // takes long
					}
					large := tenantNamed("large", largeRate, largeRate)
					f := newAllowanceFleet(size, large)
					f.after(failureAt, func() { c.fail(f, f.daemons[f.owner("large")]) })
					f.run(failureDuration, -1, surge(factor))
					fmt.Fprintf(&b, "%d daemons, %g times the usual load: %s\n", size, factor, f.check(t, 0, large))
				}
			}
			small := smallTenants()
			f := newAllowanceFleet(38, small...)
			f.after(failureAt, func() { c.fail(f, f.daemons[f.owner(small[0].Name)]) })
			f.run(failureDuration, -1, surge(1))
			fmt.Fprintf(&b, "38 daemons, 78 tenants: %s\n", f.check(t, 0, small...))
			golden.Check(t, fmt.Sprint("allowancefailure", i), c.name+"\n"+b.String())
		})
	}
}

// TestLowerAllowance guards against tenants that keep an old allowance because the owner
// or the daemons that ask it learn late of the new one.
func TestLowerAllowance(t *testing.T) {
	var b strings.Builder
	for _, ownerFirst := range []bool{true, false} {
		for _, size := range fleetSizes {
			large, lower := tenantNamed("large", largeRate, largeRate), tenantNamed("large", 4, 4)
			f := newAllowanceFleet(size, large)
			f.after(failureAt, func() {
				owner := f.owner("large")
				others := slices.Delete(slices.Clone(f.daemons), owner, owner+1)
				f.daemons = append([]*allowanceDaemon{f.daemons[owner]}, others...)
				if !ownerFirst {
					slices.Reverse(f.daemons)
				}
				f.configure(2, maxSpread, lower)
			})
			f.run(failureDuration, -1, surge(surgeFactor))
			f.check(t, failureAt+maxSpread+quotaBounds.Window, lower)
			most := f.most("large", failureAt+maxSpread+quotaBounds.Window)
			fmt.Fprintf(&b, "%d daemons, owner first=%t: at most %d in a window\n", size, ownerFirst, most)
		}
	}
	golden.Check(t, "allowancelower", b.String())
}

// TestNoAnswer guards against a refusal that looks like a used-up allowance when nobody
// knows, and against local allowances whose sum exceeds their bound.
func TestNoAnswer(t *testing.T) {
	is := is.New(t)
	f := newAllowanceFleet(38, tenantNamed("large", largeRate, largeRate))
	ranked := f.daemons[0].members.Ranked("large", accountDaemons)
	for i, d := range f.daemons {
		d.group = i + 1
	}
	taken := 0
	for _, d := range f.daemons {
		if slices.ContainsFunc(ranked, func(r ramp.RankedDaemon) bool { return r.Incarnation == d.Incarnation }) {
			continue
		}
		for range 20 {
			f.now = f.now.Add(allowanceStep / 4)
			err := d.limiter.Take(t.Context(), ramp.AllowanceRequest{Tenant: f.tenants[0], Version: 1})
			var refused *ramp.RefusedError
			if !errors.As(err, &refused) {
				taken++
				continue
			}
			is.Equal(refused.Reason, ramp.ReasonUnconfirmed)
			is.Equal(refused.Ran, ramp.NotRun)
			is.True(refused.RetryAfter > 0)
		}
	}
	is.True(taken > 0)
	is.True(float64(taken) <= quotaBounds.Slack/2+largeRate/2)
}
