package query_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/retry"
)

// TestNothingRunsAfterPause guards against requests that a daemon passes on although they
// waited in its connections while it was paused, so that their callers may be gone: its
// callers' own, and those that it collects for another daemon.
func TestNothingRunsAfterPause(t *testing.T) {
	ok := behaviour{delay: 5 * ms, status: 200, body: record1}
	var b strings.Builder
	for _, test := range []struct {
		name    string
		route   ramp.Route
		script  script
		resumed string // failure domain of the daemon that was paused
	}{
		{"not idempotent", single(false), script{"a-x": ok}, "own"},
		{"gathered", gathered(), script{"a-x": ok, "b-x": ok}, "own"},
		{"collected by a daemon that was paused", gathered(), script{"a-x": ok, "b-x": ok, "a-y": ok, "b-y": ok}, "x"},
		{"nobody was paused", gathered(), script{"a-x": ok, "b-x": ok}, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			exchange := &countingExchanger{script: test.script, calls: map[string]int{}}
			delegates := domainDelegates{}
			for _, domain := range []string{"x", "y"} {
				delegates[domain] = newDomainRelay(domain, test.script, "", test.route)
			}
			relay := newDomainRelay("own", test.script, "", test.route)
			relay.Collector, relay.Delegates, relay.Exchanger = delegates, delegates, exchange
			relay.Budget = retry.NewFleetBudget(retry.Bounds{Window: time.Second}, func() int { return 1 }, relay.Clock)
			relay.Resumed = func() bool { return test.resumed == "own" }
			for domain, r := range delegates {
				r.Delegates, r.Exchanger = delegates, exchange
				r.Resumed = func() bool { return test.resumed == domain }
			}
			d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			synctest.Wait()
			fmt.Fprintf(&b, "%s: %s", test.name, describeResult(d, err))
			fmt.Fprintf(&b, "    calls=%v\n", exchange.calls)
			relay.Pool.Close()
			for _, r := range delegates {
				r.Pool.Close()
			}
		})
	}
	golden.Check(t, "paused", b.String())
}
