package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of tenants. They match the settings of the daemons.
const (
	revokeBound    = 5 * time.Second // from taking a key away to the last request with it
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
)

const tenantSettings = `strictRevocation = true
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
`

const (
	keyPrefix = "soak-key-" // of each key, by which a key that reaches a replica is found
	newerKeys = 4           // keys of a tenant that callers use, half of which were taken away
	noLimit   = "unlimited" // tenant without an allowance
	largest   = "large"     // tenant whose allowance changes
)

// key is a key of a tenant. Its times are guarded by the mutex of the tenants.
type key struct {
	text   string
	tenant string    // empty for a key that no configuration has
	given  time.Time // when the store acknowledged it; zero before
	taking time.Time // before the first attempt to take it away
	taken  time.Time // when the store acknowledged that; zero before
}

// limit is an allowance of a tenant. Its rate is 0 if there is no limit.
type limit struct {
	rate, burst float64
	since       time.Time // before the first attempt to write it
	acked       time.Time // zero until the store acknowledged it
}

// tenant is a tenant of the configuration, with everything that it had in the run.
type tenant struct {
	name   string
	keys   []*key
	limits []limit
	ran    []time.Time // requests by their first execution, in order
}

// tenants holds the tenants of a run. Without it, requests have no keys.
type tenants struct {
	changing sync.Mutex // held while the operator changes tenants, before mutex

	mutex sync.Mutex // guards the fields below
	list  []*tenant
	keys  int             // made
	asked map[string]*key // key of each request, by request ID
	ran   map[string]bool // requests that were counted
}

func newTenants(now time.Time) *tenants {
	t := &tenants{asked: map[string]*key{}, ran: map[string]bool{}}
	add := func(name string, l limit) {
		keys := []*key{t.newKey(name), t.newKey(name)}
		t.list = append(t.list, &tenant{name: name, keys: keys, limits: []limit{l}})
	}
	add(noLimit, limit{since: now})
	add(largest, limit{rate: 20, burst: 10, since: now})
	add("small", limit{rate: 2, burst: 4, since: now})
	return t
}

// newKey returns a key that was not used before. The caller holds the mutex.
func (t *tenants) newKey(tenant string) *key {
	t.keys++
	return &key{text: fmt.Sprintf("%s%d", keyPrefix, t.keys), tenant: tenant}
}

// wire returns the tenants as the configuration has them.
func (t *tenants) wire() []map[string]any {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []map[string]any
	for _, one := range t.list {
		var keys []string
		for _, k := range one.keys {
			if k.taking.IsZero() {
				keys = append(keys, k.text)
			}
		}
		l := one.limits[len(one.limits)-1]
		list = append(list, map[string]any{"name": one.name, "apiKeys": keys, "ratePerS": l.rate, "burst": l.burst})
	}
	return list
}

// acknowledge records that the store acknowledged what wire returned.
func (t *tenants) acknowledge(now time.Time) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.list {
		for _, k := range one.keys {
			if k.given.IsZero() {
				k.given = now
			}
			if !k.taking.IsZero() && k.taken.IsZero() {
				k.taken = now
			}
		}
		if l := &one.limits[len(one.limits)-1]; l.acked.IsZero() {
			l.acked = now
		}
	}
}

// change takes the oldest key of each tenant away, gives it another one, and sets the
// allowance of the large tenant to a rate, unless that is 0.
func (t *tenants) change(rate float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for _, one := range t.list {
		at := slices.IndexFunc(one.keys, func(k *key) bool { return k.taking.IsZero() })
		one.keys[at].taking = now
		one.keys = append(one.keys, t.newKey(one.name))
		if one.name == largest && rate > 0 {
			one.limits = append(one.limits, limit{rate: rate, burst: rate / 2, since: now})
		}
	}
}

// draw returns a key for a request and records it. The key is in force if live is set;
// otherwise it may be taken away, unknown or empty.
func (t *tenants) draw(id string, random *rand.Rand, live bool) *key {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	one := t.list[random.IntN(len(t.list))]
	k := one.keys[max(0, len(one.keys)-1-random.IntN(newerKeys))]
	switch n := random.IntN(10); {
	case live:
		one = t.list[slices.IndexFunc(t.list, func(one *tenant) bool { return one.name == noLimit })]
		k = one.keys[slices.IndexFunc(one.keys, func(k *key) bool { return k.taking.IsZero() })]
	case n == 0:
		k = &key{}
	case n == 1:
		k = &key{text: keyPrefix + "unknown"}
	}
	t.asked[id] = k
	return k
}

// checkArrival checks a request that reached a replica.
func (t *tenants) checkArrival(l *ledger, id string, request *http.Request) {
	if t == nil {
		return
	}
	now := time.Now()
	t.mutex.Lock()
	asked := t.asked[id]
	if asked == nil {
		asked = &key{}
	}
	k := *asked
	t.mutex.Unlock()
	name := strings.Join(request.Header.Values("X-Tenant"), ",")
	l.check("tenant", name == k.tenant, "%s with a key of %q ran as %q", id, k.tenant, name)
	l.check("unknown", k.tenant != "", "%s has no known key and reached a replica", id)
	l.check("forwarded", !strings.Contains(fmt.Sprint(request.Header), keyPrefix), "the key of %s reached a replica", id)
	if !k.taken.IsZero() {
		age := now.Sub(k.taken)
		l.check("revoked", age <= revokeBound, "%s reached a replica %s after its key was taken away", id, age)
	}
}

// count counts a request that runs once, however often it runs.
func (t *tenants) count(id string) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := t.asked[id]
	at := slices.IndexFunc(t.list, func(one *tenant) bool { return k != nil && one.name == k.tenant })
	if at >= 0 && !t.ran[id] {
		t.ran[id] = true
		t.list[at].ran = append(t.list[at].ran, time.Now())
	}
}

// checkStatus checks the status of a response to a request that began at a time. Only
// keys that no change concerns while the request is under way must be refused or accepted.
func (c *caller) checkStatus(id string, status int, began time.Time) {
	t := c.cluster.tenants
	if t == nil {
		return
	}
	t.mutex.Lock()
	k := *t.asked[id]
	t.mutex.Unlock()
	calm := c.cluster.faultFreeFor() >= settleTime+time.Since(began)
	settled := func(at time.Time) bool { return calm && !at.IsZero() && began.Sub(at) > applyBound }
	if k.tenant == "" || settled(k.taken) {
		turnedAway := status == http.StatusUnauthorized || status == http.StatusNotFound ||
			status == http.StatusServiceUnavailable
		c.cluster.ledger.check("key", turnedAway, "%s: status %d without a key in force", id, status)
	}
	if settled(k.given) && k.taking.IsZero() {
		c.cluster.ledger.check("key", status != http.StatusUnauthorized, "%s: a key in force is refused", id)
	}
}

// checkAllowances checks the requests of each tenant in any window.
func (t *tenants) checkAllowances(l *ledger) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.list {
		first := 0
		for last, at := range one.ran {
			for at.Sub(one.ran[first]) >= quotaWindow {
				first++
			}
			allowed, limited := one.allowed(one.ran[first], at)
			l.check("allowance", !limited || float64(last-first+1) <= allowed,
				"%s ran %d requests of %.0f in %s", one.name, last-first+1, allowed, at.Sub(one.ran[first]))
		}
	}
}

// allowed returns the greatest number of requests in the window that starts at a time and
// contains another one, and whether there is one. An earlier limit counts until all daemons
// must have the next one, which is written when faults have ended.
func (t *tenant) allowed(start, end time.Time) (float64, bool) {
	allowed := 0.0
	for i, l := range t.limits {
		replaced := i+1 < len(t.limits) && !t.limits[i+1].acked.IsZero() &&
			start.Sub(t.limits[i+1].acked) > settleTime+applyBound
		if replaced || l.since.After(end) {
			continue
		}
		if l.rate == 0 {
			return 0, false
		}
		allowed = max(allowed, (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOvershoot)+quotaSlack)
	}
	return allowed, true
}

// takeKeys takes a key of each tenant away while faults may be active, and repeats the write
// until the store acknowledges it.
func (w *cluster) takeKeys() {
	w.tenants.changing.Lock()
	defer w.tenants.changing.Unlock()
	w.tenants.change(0)
	versions := w.knownVersions()
	v, err := versions[len(versions)-1], errors.New("not tried")
	for ; err != nil && w.ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		err = w.configure(v.set, v.extra)
	}
}

// ofKeys returns the faults during which keys are taken away. Except for the first, they
// outlast the bound on the use of such a key.
func (w *cluster) ofKeys(d *process) []fault {
	if w.tenants == nil {
		return nil
	}
	return []fault{
		{"keys taken away", func(time.Duration) { w.takeKeys() }},
		{"keys taken away, frozen " + d.name, func(time.Duration) {
			d.restartLock.Lock()
			defer d.restartLock.Unlock()
			d.signal(syscall.SIGSTOP)
			w.takeKeys()
			time.Sleep(revokeBound + time.Second)
			d.signal(syscall.SIGCONT)
		}},
		{"keys taken away, store silent to all", func(time.Duration) {
			for _, p := range w.daemons {
				defer p.store.cutOff()()
			}
			w.takeKeys()
			time.Sleep(revokeBound + time.Second)
		}},
	}
}
