package query_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// misdirectedCounter counts the calls that another replica answered. It implements
// [ramp.Exchanger].
type misdirectedCounter struct {
	script
	calls atomic.Int64
}

// Exchange implements [ramp.Exchanger].
func (c *misdirectedCounter) Exchange(ctx context.Context, call ramp.Call) (ramp.Response, error) {
	r, err := c.script.Exchange(ctx, call)
	var failed *ramp.AttemptError
	if errors.As(err, &failed) && failed.Outcome == ramp.Misdirected {
		c.calls.Add(1)
	}
	return r, err
}

// TestRequestsToReusedAddressStop fails when requests go on to an address at which
// another replica has answered.
func TestRequestsToReusedAddressStop(t *testing.T) {
	ok := behaviour{delay: 5 * ms, status: 200, body: record1}
	taken := behaviour{delay: ms, outcome: ramp.Misdirected, notRun: true}
	down := behaviour{delay: 5 * ms, outcome: ramp.Unreachable, notSent: true}
	split := single(true)
	split.Split = []ramp.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	tests := []struct {
		name      string
		route     ramp.Route
		script    script
		delegated bool
	}{
		{"the only replica", single(true), script{"a-1": taken}, false},
		{"not idempotent", single(false), script{"a-1": taken, "a-2": down}, false},
		{"split route", split, script{"a-1": taken, "a-2": down, "b-1": ok}, false},
		{"after another replica failed", gathered(), script{"a-1": taken, "a-2": down, "b-1": ok}, false},
		{"before a sound replica", gathered(), script{"a-1": taken, "a-2": ok, "b-1": ok}, false},
		{"hedge", gathered(), script{"a-1": taken, "a-2": {delay: 60 * ms, status: 200, body: record1}, "b-1": ok}, false},
		{"collected for another daemon", gathered(), script{"a-1f": taken, "a-2f": down, "b-f": ok}, true},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			misdirected := &misdirectedCounter{script: test.script}
			relay := newRelayInDomain("near", &countingExchanger{script: test.script, calls: map[string]int{}}, test.route)
			relay.Exchanger = misdirected
			daemons := int64(1)
			if test.delegated {
				daemons++
				helper := newRelayInDomain("far", &countingExchanger{script: test.script, calls: map[string]int{}}, test.route)
				helper.Exchanger = misdirected
				defer helper.Pool.Close()
				delegate := &fakeDelegate{relay: helper}
				relay.Collector, relay.Delegates = delegate, delegate
			}
			defer relay.Pool.Close()
			time.Sleep(time.Second) // the retry budget grows over its first window
			answered := 0
			for i := range 50 {
				m := ramp.Message{ID: fmt.Sprint("m", i), Target: "/x"}
				if d, err := relay.Handle(t.Context(), m, 0); err == nil && d.MissingParts == 0 {
					answered++
				}
				time.Sleep(20 * ms)
			}
			fmt.Fprintf(&b, "%s: at most one arrival from each daemon=%t, complete answers=%d of 50\n",
				test.name, misdirected.calls.Load() <= daemons, answered)
		})
	}
	golden.Check(t, "misdirected", b.String())
}

// TestMisdirectedAttemptCostsNoRetry fails when the attempt after one that reached another
// service counts as a repeat: parts were missing though a replica was free.
func TestMisdirectedAttemptCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := script{
			"a-1": {delay: ms, outcome: ramp.Misdirected, notRun: true},
			"a-2": {delay: 5 * ms, status: 200, body: record1},
		}
		route := single(true)
		route.MaxAttempts = 1
		relay := newRelay(script, route)
		relay.Budget = retry.NewFleetBudget(retry.Bounds{Window: time.Second}, func() int { return 1 }, relay.Clock)
		served := 0
		for i := range 10 {
			// A picker without statistics, so that either replica may be the first.
			relay.Picker = newPicker(instancesOf(script, relay), "", relay.Clock)
			if _, err := relay.Handle(t.Context(), ramp.Message{ID: fmt.Sprint("m", i), Target: "/x"}, 0); err == nil {
				served++
			}
		}
		relay.Pool.Close()
		golden.Check(t, "misdirectedretry", fmt.Sprintf("served=%d of 10\n", served))
	})
}

// instancesOf registers the replicas of the script, whose service is a.
func instancesOf(s script, relay *query.Relay) *replica.Instances {
	instances := replica.NewInstances(3*time.Second, relay.Clock)
	for id := range s {
		i := ramp.Instance{Replica: ramp.Replica{ID: id, Address: id}, Service: "a", State: ramp.Live}
		instances.Update(i, time.Now())
	}
	return instances
}
