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

// countingExchanger counts the calls to each replica. It implements
// [ramp.Exchanger].
type countingExchanger struct {
	script
	mutex sync.Mutex
	calls map[string]int
}

// Exchange implements [ramp.Exchanger].
func (c *countingExchanger) Exchange(ctx context.Context, call ramp.Call) (ramp.Response, error) {
	c.mutex.Lock()
	c.calls[call.Instance.ID]++
	c.mutex.Unlock()
	return c.script.Exchange(ctx, call)
}

// fakeDelegate passes requests for parts to another relay in the same process.
// It implements [ramp.Collector] and [ramp.DelegateSelector].
type fakeDelegate struct {
	relay       *query.Relay
	batchDelay  time.Duration // before each batch is passed on
	silent      bool
	unreachable bool
	breaksOff   bool // the connection ends after the first batch
	lateReports int  // number of reports that the delegate was late or did not answer
}

// Collect implements [ramp.Collector].
func (d *fakeDelegate) Collect(
	ctx context.Context, to ramp.Daemon, c ramp.CollectRequest, receive func(ramp.Batch),
) error {
	if d.unreachable {
		return &ramp.PeerError{Daemon: to.ID, Cause: errors.New("refused")}
	}
	if d.silent {
		<-ctx.Done()
		return &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: ctx.Err()}
	}
	c.Route.Gather, c.Route.MaxAttempts, c.Route.MinCoverage = c.Services, 1, 0
	err := d.relay.HandleCollect(ctx, c, func(b ramp.Batch) error {
		select {
		case <-time.After(d.batchDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
		receive(b)
		if d.breaksOff {
			return errBrokenOff
		}
		return nil
	})
	if errors.Is(err, errBrokenOff) {
		return &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: err}
	}
	return err
}

var errBrokenOff = errors.New("connection reset")

// Select implements [ramp.DelegateSelector].
func (d *fakeDelegate) Select(domain string, services []string) []ramp.Delegate {
	selected := make([]ramp.Delegate, len(services))
	for i := range selected {
		if domain == "far" {
			selected[i].Daemon = ramp.Daemon{ID: "helper", Incarnation: "helper", Domain: domain}
		}
	}
	return selected
}

// Grouped implements [ramp.DelegateSelector].
func (d *fakeDelegate) Grouped() bool { return false }

// Count implements [ramp.DelegateSelector].
func (d *fakeDelegate) Count(domain string) int {
	if domain == "far" {
		return 1
	}
	return 0
}

// Report implements [ramp.DelegateSelector].
func (d *fakeDelegate) Report(_ ramp.Daemon, inTime bool) {
	if !inTime {
		d.lateReports++
	}
}

// TestDelegation records, for faults of a delegate and of the replicas, what
// the caller gets and how often each replica is called. Replicas whose id ends
// in f are in the delegate's failure domain, the others in a third one.
func TestDelegation(t *testing.T) {
	one := behaviour{delay: 5 * ms, status: 200, body: record1}
	two := behaviour{delay: 5 * ms, status: 200, body: record2}
	slow := behaviour{delay: 300 * ms, status: 200, body: record1}
	tests := []struct {
		name      string
		script    script // how the replicas answer the delegate
		delegate  fakeDelegate
		ownScript script // how they answer the daemon that delegates; nil for the same
	}{
		{"all parts", script{"a-f": one, "b-f": two}, fakeDelegate{}, nil},
		{"two replicas in one failure domain", script{"a-1f": one, "a-2f": one, "b-f": two}, fakeDelegate{}, nil},
		{"one part is slow at the delegate", script{"a-f": one, "b-f": slow, "b-x": two}, fakeDelegate{}, nil},
		{"one part is slow at every replica", script{"a-f": one, "b-f": slow, "b-x": slow}, fakeDelegate{}, nil},
		{
			"one part arrives after the first batch",
			script{"a-f": one, "b-f": {delay: 35 * ms, status: 200, body: record2}},
			fakeDelegate{},
			nil,
		},
		{
			"one part fails at the delegate",
			script{"a-f": one, "b-f": {delay: ms, status: 500}, "b-x": two},
			fakeDelegate{},
			nil,
		},
		{
			"the delegate breaks off after its first batch",
			script{"a-f": one, "b-f": {delay: 35 * ms, status: 200, body: record2}, "b-x": two},
			fakeDelegate{breaksOff: true},
			nil,
		},
		{
			"the delegate breaks off, and no other replica is left",
			script{"a-f": one, "b-f": {delay: 35 * ms, status: 200, body: record2}},
			fakeDelegate{breaksOff: true},
			script{"a-f": one, "b-f": {delay: ms, outcome: ramp.Unreachable, notSent: true}},
		},
		{
			"the delegate is unreachable",
			script{"a-f": one, "a-x": one, "b-f": two, "b-x": two},
			fakeDelegate{unreachable: true},
			nil,
		},
		{
			"the delegate does not answer",
			script{"a-f": one, "a-x": one, "b-f": two, "b-x": two},
			fakeDelegate{silent: true},
			nil,
		},
		{
			"the delegate answers after its parts were hedged",
			script{"a-f": one, "b-f": two},
			fakeDelegate{batchDelay: 50 * ms},
			script{"a-f": one, "b-f": slow},
		},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			exchange := &countingExchanger{script: test.script, calls: map[string]int{}}
			own := exchange
			if test.ownScript != nil {
				own = &countingExchanger{script: test.ownScript, calls: map[string]int{}}
			}
			near, far := newRelayInDomain("near", own, gathered()), newRelayInDomain("far", exchange, gathered())
			test.delegate.relay = far
			near.Collector, near.Delegates = &test.delegate, &test.delegate
			near.Budget = retry.NewFleetBudget(retry.Bounds{Ratio: 2, Window: time.Second}, func() int { return 1 }, near.Clock)
			time.Sleep(time.Second)
			d, err := near.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			synctest.Wait()
			fmt.Fprintf(&b, "%s: %s", test.name, describeResult(d, err))
			total, most := 0, 0
			for _, n := range exchange.calls {
				total, most = total+n, max(most, n)
			}
			fmt.Fprintf(&b, "    calls=%d most at one replica=%d late=%d\n", total, most, test.delegate.lateReports)
			near.Pool.Close()
			far.Pool.Close()
		})
	}
	golden.Check(t, "hops", b.String())
}

// newRelayInDomain returns a relay in the given failure domain over the
// replicas of the script.
func newRelayInDomain(domain string, exchange *countingExchanger, route ramp.Route) *query.Relay {
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
		}, time.Now())
	}
	relay.Picker, relay.Exchanger, relay.Domain = newPicker(instances, domain, relay.Clock), exchange, domain
	return relay
}

// TestDelegateSelection records which delegate is selected after reports of
// late answers.
func TestDelegateSelection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := ramp.Daemon{ID: "d0", Incarnation: "i0", Domain: "y"}
		members := fleet.NewMembers(self, ramp.SystemClock{})
		d1 := ramp.Daemon{ID: "d1", Incarnation: "i1", Domain: "z"}
		members.Replace([]ramp.Daemon{self, d1, {ID: "d2", Incarnation: "i2", Domain: "z", Leaving: true}})
		h := fleet.NewDelegateSelector(members, ramp.SystemClock{})
		var b strings.Builder
		record := func(what string) {
			d := h.Select("z", []string{"s"})[0]
			fmt.Fprintf(&b, "%s: %s %t\n", what, d.ID, d.Found())
		}
		record("initially")
		h.Report(d1, false)
		record("after a late answer")
		members.MarkSeen(d1)
		record("after it answered gossip")
		time.Sleep(time.Second)
		record("1 s later")
		h.Report(d1, false)
		time.Sleep(time.Second)
		members.MarkSeen(d1)
		record("1 s after another late answer, and one to gossip")
		time.Sleep(time.Second)
		h.Report(d1, true)
		record("after an answer in time")
		members.MarkUnresponsive("i1")
		record("after an unanswered call")
		golden.Check(t, "helpers", b.String())
	})
}
