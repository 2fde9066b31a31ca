package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestTenantChecksFail passes requests that break the rules of tenants to the checks and
// records which check reports each. A check that misses one here would miss it in a soak run.
func TestTenantChecksFail(t *testing.T) {
	now := time.Now()
	long := now.Add(-time.Minute)
	live := &key{text: keyPrefix + "1", tenant: "large", given: long}
	taken := &key{text: keyPrefix + "2", tenant: "large", given: long, taking: long, taken: long}
	fresh := &key{text: keyPrefix + "3", tenant: "large", given: long, taking: now, taken: now}
	var b strings.Builder
	for _, test := range []struct {
		name   string
		key    *key
		header http.Header // at the replica; nil if the request did not reach one
		status int
	}{
		{"sound", live, http.Header{"X-Tenant": {"large"}}, http.StatusOK},
		{"refused key in force", live, nil, http.StatusUnauthorized},
		{"no tenant", live, http.Header{}, http.StatusOK},
		{"another's tenant", live, http.Header{"X-Tenant": {"small"}}, http.StatusOK},
		{"two tenants", live, http.Header{"X-Tenant": {"large", "forged"}}, http.StatusOK},
		{"key forwarded", live, http.Header{"X-Tenant": {"large"}, "X-Other": {live.text}}, http.StatusOK},
		{"no key", &key{}, http.Header{}, http.StatusOK},
		{"unknown key refused", &key{text: keyPrefix + "unknown"}, nil, http.StatusUnauthorized},
		{"unknown key over an allowance", &key{text: keyPrefix + "unknown"}, nil, http.StatusTooManyRequests},
		{"key just taken away", fresh, http.Header{"X-Tenant": {"large"}}, http.StatusOK},
		{"key taken away", taken, http.Header{"X-Tenant": {"large"}}, http.StatusOK},
	} {
		w := &cluster{ledger: newLedger(), lastFault: long, tenants: newTenants(long)}
		w.tenants.asked["m"] = test.key
		if test.header != nil {
			w.tenants.checkArrival(w.ledger, "m", &http.Request{Header: test.header})
		}
		(&caller{cluster: w}).checkStatus("m", test.status, time.Now())
		fmt.Fprintf(&b, "%s:\n", test.name)
		for _, v := range w.ledger.violations {
			before, _, _ := strings.Cut(v, " after its key") // the age differs from run to run
			if before != v {
				before = before[:strings.LastIndexByte(before, ' ')]
			}
			fmt.Fprintf(&b, "  %s\n", before)
		}
	}
	golden.Check(t, "tenants", b.String())
}

// TestAllowanceCheckFails checks that requests beyond an allowance are reported, that those
// of one request count once, and that a lower limit counts once daemons must have it.
func TestAllowanceCheckFails(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	lower := limit{rate: 2, burst: 2, since: start, acked: start}
	var b strings.Builder
	for _, test := range []struct {
		name     string
		requests int
		after    time.Duration // between start and the first request
	}{
		{"within the higher limit", 141, time.Second},
		{"beyond the higher limit", 142, time.Second},
		{"higher limit in a window before all have the lower one", 141, settleTime + applyBound},
		{"higher limit after all have the lower one", 141, settleTime + applyBound + time.Second},
		{"within the lower limit", 33, settleTime + applyBound + time.Second},
	} {
		book := newTenants(start.Add(-time.Minute))
		one := book.list[1]
		one.limits = append(one.limits, lower)
		for range test.requests {
			one.ran = append(one.ran, start.Add(test.after))
		}
		l := newLedger()
		book.checkAllowances(l)
		fmt.Fprintf(&b, "%s: %d violations\n", test.name, len(l.violations))
	}
	book := newTenants(start)
	book.asked["m"] = book.list[1].keys[0]
	book.count("m")
	book.count("m")
	fmt.Fprintf(&b, "a request that runs twice: counted %d times\n", len(book.list[1].ran))
	golden.Check(t, "allowances", b.String())
}
