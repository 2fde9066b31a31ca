package query_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/replica"
)

// TestEvacuatedServices guards against requests that wait, or that are not refused as not run,
// when the failure domains of all replicas are evacuated, also on a route with a long objective.
func TestEvacuatedServices(t *testing.T) {
	slow := single(false)
	slow.Objective, slow.Timeout = 5*time.Second, 10*time.Second
	var b strings.Builder
	for _, test := range []struct {
		name      string
		route     ramp.Route
		evacuated []string
	}{
		{"gathered, one domain", gathered(), []string{"x"}},
		{"gathered, all domains", gathered(), []string{"x", "y"}},
		{"once, one domain", slow, []string{"x"}},
		{"once, all domains", slow, []string{"x", "y"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			answer := behaviour{delay: 5 * ms, status: 200, body: record1}
			s := script{"a-x": answer, "a-y": answer, "b-x": answer, "b-y": answer}
			relay := newRelay(script{}, test.route)
			instances := replica.NewInstances(3*time.Second, relay.Clock)
			for id := range s {
				service, domain, _ := strings.Cut(id, "-")
				instances.Update(ramp.Instance{
					Replica: ramp.Replica{ID: id, Address: id, Domain: domain}, Service: service, State: ramp.Live,
				}, time.Now())
			}
			for _, domain := range test.evacuated {
				instances.SetEvacuated(domain, true, time.Now())
			}
			relay.Picker, relay.Exchanger, relay.Domain = newPicker(instances, "x", relay.Clock), s, "x"
			d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			synctest.Wait()
			elsewhere := true
			for _, a := range d.Attempts {
				elsewhere = elsewhere && a.Replica.Domain == "y"
			}
			fmt.Fprintf(&b, "%s: %s    all elsewhere=%t\n", test.name, describeResult(d, err), elsewhere)
			relay.Pool.Close()
		})
	}
	golden.Check(t, "evacuation", b.String())
}
