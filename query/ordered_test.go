package query_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
)

// startRecorder records when calls are sent. It implements [ramp.Exchanger].
type startRecorder struct {
	script
	began time.Time

	full   bool // requests are refused
	mutex  sync.Mutex
	starts map[string][]time.Duration // by tenant
}

// Exchange implements [ramp.Exchanger].
func (s *startRecorder) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	if s.full {
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Shed, Sent: true, NotRun: true}
	}
	s.mutex.Lock()
	s.starts[c.Message.Tenant] = append(s.starts[c.Message.Tenant], time.Since(s.began).Round(ms))
	s.mutex.Unlock()
	return s.script.Exchange(ctx, c)
}

// newOrderedRelay returns a relay over one replica that runs four requests at once, and
// the configuration's tenants: one for each rank, whose key is the rank.
func newOrderedRelay(t *testing.T, s *startRecorder, tenanted bool) *query.Relay {
	t.Helper()
	relay := newRelay(s.script, single(true))
	clock := ramp.SystemClock{}
	routing := ramp.Routing{Version: 8, MaxConnections: map[string]int{"a": 100}}.WithRoutes([]ramp.Route{single(true)})
	if tenanted {
		var tenants []ramp.Tenant
		for rank := range 3 {
			tenant := ramp.Tenant{Name: fmt.Sprint("rank", rank), Keys: []ramp.KeyHash{{byte(rank)}}}
			tenants = append(tenants, tenant.WithPriority(rank))
		}
		var err error
		if routing, err = routing.WithTenants(tenants); err != nil {
			t.Fatal(err)
		}
	}
	routes, instances := fleet.NewRoutes(), replica.NewInstances(3*time.Second, clock)
	routes.Update(routing)
	instances.Update(ramp.Instance{
		Replica: ramp.Replica{ID: "a-x", Address: "a-x"}, Service: "a", State: ramp.Live, Capacity: 4,
	}, clock.Now())
	relay.Routes, relay.Picker, relay.Exchanger = routes, newPicker(instances, "", clock), s
	return relay
}

// TestUrgentFirstAtReplica records when requests of three ranks are sent to a replica that
// runs four at once. It guards against urgent requests that wait behind less urgent ones
// at the replica, and against a change for configurations without tenants. The replica
// refused a request shortly before, since it was full.
func TestUrgentFirstAtReplica(t *testing.T) {
	var b strings.Builder
	for _, tenanted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &startRecorder{
				script: script{"a-x": {delay: 30 * ms, status: 200}}, began: time.Now(), starts: map[string][]time.Duration{},
			}
			relay := newOrderedRelay(t, s, tenanted)
			s.full = true
			_, _ = relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x", HasKey: true}, 0)
			s.full = false
			time.Sleep(time.Second)
			s.began = time.Now()
			var callers sync.WaitGroup
			for _, load := range []struct{ rank, count int }{{2, 6}, {1, 1}, {0, 2}} {
				for range load.count {
					callers.Go(func() {
						_, _ = relay.Handle(t.Context(), ramp.Message{
							ID: "m", Target: "/x", Key: ramp.KeyHash{byte(load.rank)}, HasKey: true,
						}, 0)
					})
				}
				time.Sleep(ms)
			}
			callers.Wait()
			fmt.Fprintf(&b, "tenants=%t\n", tenanted)
			for _, name := range []string{"rank2", "rank1", "rank0", ""} {
				if starts := s.starts[name]; len(starts) > 0 {
					slices.Sort(starts)
					fmt.Fprintf(&b, "    %q sent after %v\n", name, starts)
				}
			}
			relay.Pool.Close()
		})
	}
	golden.Check(t, "ordered", b.String())
}
