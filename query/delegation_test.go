package query_test

import (
	"context"
	"errors"
	"fmt"
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
	"sycamoreramp.example/sycamoreramp/retry"
)

// counting counts the calls at each service. It implements [ramp.Exchanger].
type counting struct {
	script
	mutex sync.Mutex
	calls map[string]int
}

// Exchange implements [ramp.Exchanger].
func (c *counting) Exchange(ctx context.Context, call ramp.Call) (ramp.Response, error) {
	c.mutex.Lock()
	c.calls[call.Instance.ID]++
	c.mutex.Unlock()
	return c.script.Exchange(ctx, call)
}

// direct hands collections to another relay. It implements [ramp.Collector] and
// [ramp.DelegateSelector].
type direct struct {
	helper *query.Relay
	lag    time.Duration // of every batch
	mute   bool
	gone   bool
	late   int // times that the helper was late or did not answer
}

// Collect implements [ramp.Collector].
func (d *direct) Collect(ctx context.Context, to ramp.Daemon, c ramp.CollectRequest, receive func(ramp.Batch)) error {
	if d.gone {
		return &ramp.PeerError{Daemon: to.ID, Cause: errors.New("refused")}
	}
	if d.mute {
		<-ctx.Done()
		return &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: ctx.Err()}
	}
	c.Route.Gather, c.Route.MaxAttempts, c.Route.MinCoverage = c.Services, 1, 0
	return d.helper.HandleCollect(ctx, c, func(b ramp.Batch) error {
		select {
		case <-time.After(d.lag):
		case <-ctx.Done():
			return ctx.Err()
		}
		receive(b)
		return nil
	})
}

// Select implements [ramp.DelegateSelector].
func (d *direct) Select(domain string) (ramp.Daemon, bool) {
	return ramp.Daemon{ID: "helper", Domain: domain}, domain == "far"
}

// Report implements [ramp.DelegateSelector].
func (d *direct) Report(_ ramp.Daemon, inTime bool) {
	if !inTime {
		d.late++
	}
}

// TestHops plays what may happen to parts that a daemon of another failure domain
// is asked for, and records what the caller gets and how often each replica was
// asked. Replicas whose id ends in f are in the other failure domain, the others
// in a third.
func TestHops(t *testing.T) {
	one := answer{after: 5 * ms, status: 200, body: record1}
	two := answer{after: 5 * ms, status: 200, body: record2}
	slow := answer{after: 300 * ms, status: 200, body: record1}
	tests := []struct {
		name   string
		script script // as the daemon of the other failure domain sees the replicas
		way    direct
		own    script // as the daemon that asks sees them; nil for the same
	}{
		{"all parts", script{"a-f": one, "b-f": two}, direct{}, nil},
		{"two replicas in one failure domain", script{"a-1f": one, "a-2f": one, "b-f": two}, direct{}, nil},
		{"one part is slow there", script{"a-f": one, "b-f": slow, "b-x": two}, direct{}, nil},
		{"one part is slow everywhere", script{"a-f": one, "b-f": slow, "b-x": slow}, direct{}, nil},
		{
			"one part comes a little later",
			script{"a-f": one, "b-f": {after: 35 * ms, status: 200, body: record2}},
			direct{},
			nil,
		},
		{"one part fails there", script{"a-f": one, "b-f": {after: ms, status: 500}, "b-x": two}, direct{}, nil},
		{"the daemon is gone", script{"a-f": one, "a-x": one, "b-f": two, "b-x": two}, direct{gone: true}, nil},
		{"the daemon is silent", script{"a-f": one, "a-x": one, "b-f": two, "b-x": two}, direct{mute: true}, nil},
		{
			"the daemon answers after a part was asked for directly",
			script{"a-f": one, "b-f": two},
			direct{lag: 50 * ms},
			script{"a-f": one, "b-f": slow},
		},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			asked := &counting{script: test.script, calls: map[string]int{}}
			own := asked
			if test.own != nil {
				own = &counting{script: test.own, calls: map[string]int{}}
			}
			near, far := newRelayIn("near", own, gathered()), newRelayIn("far", asked, gathered())
			test.way.helper = far
			near.Collector, near.Helpers = &test.way, &test.way
			near.Repeater = retry.NewRepeats(retry.Bounds{Ratio: 2, Window: time.Second}, func() int { return 1 }, near.Clock)
			time.Sleep(time.Second)
			d, err := near.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			synctest.Wait()
			fmt.Fprintf(&b, "%s: %s", test.name, told(d, err))
			total, most := 0, 0
			for _, n := range asked.calls {
				total, most = total+n, max(most, n)
			}
			fmt.Fprintf(&b, "    calls=%d most at one replica=%d late=%d\n", total, most, test.way.late)
			near.Pool.Close()
			far.Pool.Close()
		})
	}
	golden.Check(t, "hops", b.String())
}

// newRelayIn returns a relay in a failure domain over the script's replicas.
func newRelayIn(domain string, exchange *counting, route ramp.Route) *query.Relay {
	relay := newRelay(script{}, route)
	instances := replica.NewInstances(3*time.Second, relay.Clock)
	for id := range exchange.script {
		name, _, _ := strings.Cut(id, "-")
		where := "third"
		if strings.HasSuffix(id, "f") {
			where = "far"
		}
		instances.Update(ramp.Instance{
			Replica: ramp.Replica{ID: id, Address: id, Domain: where}, Service: name, State: ramp.Live,
		})
	}
	relay.Picker, relay.Exchange = replica.NewPicker(instances, domain, relay.Clock), exchange
	return relay
}

// TestHelpers records which daemon is asked for parts after others did not help.
func TestHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := ramp.Daemon{ID: "d0", Incarnation: "i0", Domain: "z"}
		members := fleet.NewMembers(self, ramp.SystemClock{})
		d1 := ramp.Daemon{ID: "d1", Incarnation: "i1", Domain: "z"}
		members.Replace([]ramp.Daemon{self, d1, {ID: "d2", Incarnation: "i2", Domain: "z", Leaving: true}})
		h := fleet.NewHelpers(members, ramp.SystemClock{})
		var b strings.Builder
		look := func(what string) {
			d, ok := h.Select("z")
			fmt.Fprintf(&b, "%s: %s %t\n", what, d.ID, ok)
		}
		look("at first")
		h.Report(d1, false)
		look("after a failure")
		time.Sleep(time.Second)
		look("a second later")
		h.Report(d1, false)
		time.Sleep(time.Second)
		look("a second after another")
		time.Sleep(time.Second)
		h.Report(d1, true)
		look("after it helped")
		members.Miss("i1")
		look("when it does not answer")
		golden.Check(t, "helpers", b.String())
	})
}
