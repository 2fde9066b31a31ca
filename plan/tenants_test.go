package plan

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

const (
	ms        = time.Millisecond
	objective = 200 * ms
)

// fixedRouting is a source of a configuration. It implements [ramp.RoutingSource].
type fixedRouting struct{ routing ramp.Routing }

// Current implements [ramp.RoutingSource].
func (f *fixedRouting) Current() (ramp.Routing, bool) { return f.routing, true }

var pageRoute = ramp.Route{
	Name: "pages", Objective: objective, Split: []ramp.WeightedService{{Service: "a", Weight: 1}},
}

// answered is the result of a request that one replica answered.
var answered = ramp.RelayResult{Attempts: []ramp.Attempt{{Sent: true, Outcome: ramp.Merged}}}

// fullAdmission returns an admission whose pool has room for one request, and the function
// that ends that request.
func fullAdmission(t *testing.T, leaving chan struct{}) (admission *TenantAdmitter, end func()) {
	t.Helper()
	clock := ramp.SystemClock{}
	routing, err := ramp.Routing{Version: 1}.WithRoutes([]ramp.Route{pageRoute}).WithTenants(nil)
	if err != nil {
		t.Fatal(err)
	}
	admission = &TenantAdmitter{
		Admitter: NewAdmitter(Config{
			Clock: clock, Capacity: 100, Floor: 1, Leaving: leaving,
			Members: func() []ramp.Daemon { return nil }, Lists: func() ramp.Lists { return ramp.Lists{} },
		}),
		Clock: clock, Log: slog.New(slog.DiscardHandler), Routes: &fixedRouting{routing},
		Capacity: func(string) (int, bool) { return 1, true },
	}
	release, err := admission.Admit(t.Context(), requestOf("running", 0))
	if err != nil {
		t.Fatal(err)
	}
	sq := admission.Admitter.queues["a"]
	for c := range sq.room.sizes {
		sq.room.sizes[c] = 0.5
	}
	return admission, func() { release(answered, nil) }
}

func requestOf(tenant string, rank int) ramp.AdmissionRequest {
	return ramp.AdmissionRequest{
		Tenant: tenant, Priority: rank, Route: pageRoute, Cost: 1, Deadline: time.Now().Add(time.Second),
	}
}

// waitingCaller is a request in the queue, and what became of it.
type waitingCaller struct {
	name   string
	cancel context.CancelFunc
	result string
	done   chan struct{}
}

// enqueue admits a request in the background. A request that is admitted ends after 10 ms.
func enqueue(t *testing.T, a *TenantAdmitter, tenant string, rank int) *waitingCaller {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &waitingCaller{name: tenant, cancel: cancel, done: make(chan struct{})}
	started := time.Now()
	go func() {
		defer close(w.done)
		release, err := a.Admit(ctx, requestOf(tenant, rank))
		w.result = fmt.Sprintf("%s rank %d: after %v ", tenant, rank, time.Since(started).Round(ms))
		var refused *ramp.RefusedError
		if errors.As(err, &refused) {
			w.result += fmt.Sprintf("refused reason=%s ran=%s retry after at least 100ms=%t",
				refused.Reason, refused.Ran, refused.RetryAfter >= 100*ms)
			return
		}
		w.result += "admitted"
		time.Sleep(10 * ms)
		release(answered, nil)
	}()
	synctest.Wait()
	return w
}

// TestWaitingRequests records what becomes of the requests in a full queue under one
// failure each. It guards against requests that wait until their deadline, keep their place
// after their caller has gone, or hold up a daemon that leaves.
func TestWaitingRequests(t *testing.T) {
	var b strings.Builder
	for _, test := range []struct {
		name    string
		failure func(a *TenantAdmitter, urgent *waitingCaller, leave, end func())
	}{
		{"nothing ends", func(*TenantAdmitter, *waitingCaller, func(), func()) {}},
		{"one ends", func(_ *TenantAdmitter, _ *waitingCaller, _, end func()) { end() }},
		{"a caller disconnects, then one ends", func(_ *TenantAdmitter, urgent *waitingCaller, _, end func()) {
			urgent.cancel()
			synctest.Wait()
			end()
		}},
		{"the daemon leaves", func(_ *TenantAdmitter, _ *waitingCaller, leave, _ func()) { leave() }},
		{"the replicas have less room, then one ends", func(a *TenantAdmitter, _ *waitingCaller, _, end func()) {
			sq := a.Admitter.queues["a"]
			sq.running += 5 // requests at replicas that do not reply
			end()
		}},
		{"the tenants are gone, then one ends", func(a *TenantAdmitter, _ *waitingCaller, _, end func()) {
			a.Routes = &fixedRouting{ramp.Routing{Version: 2}}
			end()
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			leaving := make(chan struct{})
			a, end := fullAdmission(t, leaving)
			waiting := []*waitingCaller{
				enqueue(t, a, "low", 2), enqueue(t, a, "middle", 1), enqueue(t, a, "urgent", 0), enqueue(t, a, "low", 1),
			}
			time.Sleep(10 * ms)
			test.failure(a, waiting[2], func() { close(leaving) }, end)
			fmt.Fprintf(&b, "%s\n", test.name)
			for _, w := range waiting {
				<-w.done
				fmt.Fprintf(&b, "    %s\n", w.result)
			}
			if state := a.Admitter.State(); state.Waiting != 0 {
				t.Errorf("%s: %d requests stay in the queue", test.name, state.Waiting)
			}
		})
	}
	golden.Check(t, "waiting", b.String())
}

// TestNoTenants checks that messages of a configuration without tenants are admitted
// although the pool is full, and are not counted.
func TestNoTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, end := fullAdmission(t, nil)
		defer end()
		a.Routes = &fixedRouting{ramp.Routing{Version: 2}}
		release, err := a.Admit(t.Context(), requestOf("", 0))
		is.NoErr(err)
		release(ramp.RelayResult{}, nil)
		is.Equal(a.Admitter.State().Running, 1)
	})
}

// TestRoomLimit records how the limits follow what requests show of the room at replicas.
// It guards against limits that shrink because requests are slow, because replicas are
// gone, or for urgent requests while less urgent ones are present.
func TestRoomLimit(t *testing.T) {
	var b strings.Builder
	l := newRoomLimit(400)
	now := time.Unix(0, 0)
	for _, phase := range []struct {
		name   string
		signs  signs
		hold   time.Duration
		lowest int // sub-requests of the lowest class for each of the most urgent
	}{
		{"calm", signs{cost: 1, attempts: 1}, 10 * ms, 1},
		{"slow", signs{cost: 1, attempts: 1}, 300 * ms, 1},
		{"short of room", signs{cost: 1, attempts: 1, short: true}, 50 * ms, 1},
		{"calm", signs{cost: 1, attempts: 1}, 10 * ms, 1},
		{"refused as full", signs{cost: 1, attempts: 1, refused: 1}, 10 * ms, 1},
		{"short of room, urgent requests only", signs{cost: 1, attempts: 1, short: true}, 50 * ms, 0},
	} {
		for range 6 {
			l = l.withAdmitted(urgentClass, 20, 40).withAdmitted(lowestClass, 20*phase.lowest, 40)
			for range 20 {
				l = l.withSigns(phase.signs, now.Add(windowTime-phase.hold), now.Add(windowTime))
			}
			now = now.Add(windowTime)
			l = l.withAdjustment(now)
		}
		fmt.Fprintf(&b, "%s: limits=%.0f\n", phase.name, l.sizes)
	}
	golden.Check(t, "room", b.String())
}

// TestPools checks that routes that share a service, directly or through another route,
// have one pool.
func TestPools(t *testing.T) {
	is := is.New(t)
	gather := func(services ...string) ramp.Route { return ramp.Route{Gather: services} }
	p := newPools(ramp.Routing{Version: 1, Routes: []ramp.Route{
		gather("c", "b"), gather("e"), pageRoute, gather("d", "c"), gather("a", "d"), gather("a", "a"),
	}})
	is.Equal(p.of(pageRoute), pool{name: "a", services: []string{"a", "b", "c", "d"}})
	is.Equal(p.of(gather("c")).name, "a")
	is.Equal(p.of(gather("e")).services, []string{"e"})
	is.Equal(p.of(gather("z", "y")).name, "y") // a route of another version
	is.Equal(p.of(ramp.Route{}).name, "")
}
