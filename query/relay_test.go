package query_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// answer is how a replica of the script behaves.
type answer struct {
	after  time.Duration
	status int          // 0 for no response
	fails  ramp.Outcome // without a response
	unrun  bool         // the replica says that it did not run the request
	unsent bool         // there was no connection
	body   string       // records of the part
	stuck  bool         // no reply before the deadline, whatever the caller does
}

// script plays the replicas. It implements [ramp.Exchanger].
type script map[string]answer // by replica id

// Exchange implements [ramp.Exchanger].
func (s script) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	a := s[c.Instance.ID]
	wait := ctx
	if a.stuck {
		wait = context.Background()
	}
	select {
	case <-time.After(a.after):
	case <-time.After(time.Until(c.Deadline) + ms): // never at the same moment as the relay
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Expired, Sent: true}
	case <-wait.Done():
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Cancelled, Sent: true}
	}
	if a.fails != "" {
		return ramp.Response{}, &ramp.AttemptError{Outcome: a.fails, Sent: !a.unsent, NotRun: a.unrun}
	}
	return ramp.Response{Status: a.status, Stamp: "stamp-" + c.Instance.Service, Body: []byte(a.body)}, nil
}

// newRelay returns a relay over the script's replicas. The id of a replica begins
// with the name of its service.
func newRelay(s script, route ramp.Route) *query.Relay {
	clock := ramp.SystemClock{}
	routes, instances := fleet.NewRoutes(), replica.NewInstances(3*time.Second, clock)
	routes.Learn(ramp.Routing{Version: 7}.WithRoutes([]ramp.Route{route}))
	for id := range s {
		name, _, _ := strings.Cut(id, "-")
		instances.Update(ramp.Instance{Replica: ramp.Replica{ID: id, Address: id}, Service: name, State: ramp.Live})
	}
	one := func() int { return 1 }
	relay := &query.Relay{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Pool: ramp.NewPool(64, 64), Routes: routes,
		Picker:   replica.NewPicker(instances, "", clock),
		Repeater: retry.NewRepeats(retry.Bounds{Ratio: 1, Slack: 100, Window: time.Second}, one, clock),
		Exchange: s, Members: one, Margin: 10 * time.Millisecond, Observe: func(ramp.RelayResult, error) {},
	}
	return relay.Init()
}

func gathered() ramp.Route {
	return ramp.Route{
		Name: "all", Prefix: "/", Idempotent: true, MaxAttempts: 2, Timeout: time.Second,
		Objective: 100 * time.Millisecond, Gather: []string{"a", "b"}, TopK: 2, MinCoverage: 0.5,
	}
}

func single(idempotent bool) ramp.Route {
	return ramp.Route{
		Name: "one", Prefix: "/", Idempotent: idempotent, MaxAttempts: 2, Timeout: time.Second,
		Objective: 400 * time.Millisecond, Split: []ramp.WeightedService{{Service: "a", Weight: 1}},
	}
}

// told describes what a caller got and what replicas were asked.
func told(d ramp.RelayResult, err error) string {
	var b strings.Builder
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		fmt.Fprintf(&b, "refused reason=%s ran=%s", refused.Reason, refused.Ran)
	} else {
		stamps := slices.Sorted(slices.Values(d.Stamps))
		fmt.Fprintf(&b, "status=%d stamp=%s stamps=%v missing=%d body=%q",
			d.Response.Status, d.Response.Stamp, stamps, d.MissingParts, d.Response.Body)
	}
	fmt.Fprintf(&b, " after=%s\n", d.Elapsed.Round(time.Millisecond))
	for _, a := range d.Attempts {
		fmt.Fprintf(&b, "    %s %s at=%s %s\n", a.Kind, a.Shard.ID, a.Started.Round(time.Millisecond), a.Outcome)
	}
	return b.String()
}

const (
	ms      = time.Millisecond
	record1 = "1111111111111111"
	record2 = "2222222222222222"
	record3 = "3333333333333333"
)

// TestRelay plays what replicas may do to a message, and records what the caller
// gets and which attempts were made.
func TestRelay(t *testing.T) {
	ok := answer{after: 5 * ms, status: 200, body: record1}
	shed := answer{after: ms, fails: ramp.Shed, unrun: true}
	tests := []struct {
		name   string
		route  ramp.Route
		script script
	}{
		{
			"all parts",
			gathered(),
			script{
				"a-1": {after: 5 * ms, status: 200, body: record1 + record3 + "rest"},
				"b-1": {after: 9 * ms, status: 200, body: record2},
			},
		},
		{
			"a slow part is hedged once",
			gathered(),
			script{"a-1": ok, "b-1": {after: 60 * ms, status: 200}, "b-2": {after: 60 * ms, status: 200}},
		},
		{
			"a part is late, the quorum suffices at the objective",
			gathered(),
			script{"a-1": ok, "b-1": {after: 400 * ms, status: 200, stuck: true}},
		},
		{
			"no part in time, the first that makes a quorum",
			gathered(),
			script{"a-1": {after: 300 * ms, status: 200, body: record1}, "b-1": {after: 400 * ms, status: 200}},
		},
		{"a part fails", gathered(), script{"a-1": ok, "b-1": {after: ms, status: 500}}},
		{"all parts fail", gathered(), script{"a-1": {after: ms, status: 500}, "b-1": {after: ms, status: 500}}},
		{"all parts are shed", gathered(), script{"a-1": shed, "b-1": shed}},
		{"no replica", gathered(), script{}},
		{"one response", single(true), script{"a-1": ok}},
		{"a failure of the only replica is passed on", single(true), script{"a-1": {after: ms, status: 500}}},
		{
			"not found is passed on at once",
			single(true),
			script{"a-1": {after: ms, status: 404}, "a-2": {after: ms, status: 404}},
		},
		{
			"a message that runs once, lost",
			single(false),
			script{"a-1": {after: ms, fails: ramp.Unreachable}, "a-2": {after: ms, fails: ramp.Unreachable}},
		},
		{"a message that runs once, silent", single(false), script{"a-1": {after: time.Hour}, "a-2": {after: time.Hour}}},
		{"a message that runs once, shed twice", single(false), script{"a-1": shed, "a-2": shed}},
		{"a message that runs once, shed by one of two", single(false), script{"a-1": shed, "a-2": shed, "a-3": shed}},
		{
			"a message that runs once, no connection",
			single(false),
			script{"a-1": {fails: ramp.Unreachable, unsent: true}, "a-2": {fails: ramp.Unreachable, unsent: true}},
		},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			relay := newRelay(test.script, test.route)
			time.Sleep(time.Second) // the budget of repeats grows over its first window
			d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			fmt.Fprintf(&b, "%s: %s", test.name, told(d, err))
			relay.Pool.Close()
		})
	}
	golden.Check(t, "relay", b.String())
}

// expectedReply is the part of an account that the spread of scores makes random.
var expectedReply = regexp.MustCompile(`(sound|avoided)/(\d+)/\d+/`)

// TestRelayLog records the lines about messages: what the outcome was, which
// attempts led to it, and what their replicas were picked by.
func TestRelayLog(t *testing.T) {
	var b strings.Builder
	for _, test := range []struct {
		name   string
		route  ramp.Route
		script script
		limit  time.Duration
	}{
		{"whole", gathered(), script{"a-1": {after: 5 * ms, status: 200}, "b-1": {after: 5 * ms, status: 200}}, 0},
		{"partial", gathered(), script{"a-1": {after: 5 * ms, status: 200}, "b-1": {after: ms, status: 500}}, 0},
		{"late", gathered(), script{"a-1": {after: 300 * ms, status: 200}, "b-1": {after: 320 * ms, status: 200}}, 0},
		{"refused", single(false), script{"a-1": {after: ms, fails: ramp.Shed, unrun: true}}, 700 * ms},
		{"unknown", single(false), script{"a-1": {after: ms, fails: ramp.Unreachable}}, 700 * ms},
	} {
		synctest.Test(t, func(t *testing.T) {
			relay := newRelay(test.script, test.route)
			fmt.Fprintf(&b, "%s:\n", test.name)
			relay.Log = slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{
				ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
					if a.Key == slog.TimeKey || a.Key == "expected" {
						return slog.Attr{}
					}
					return a
				},
			}))
			_, _ = relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, test.limit)
			relay.Pool.Close()
		})
	}
	golden.Check(t, "relaylog", expectedReply.ReplaceAllString(b.String(), "$1/$2/EXPECTED/"))
}

// TestFailureAfterMerge fails when a failure that comes after a part is in takes
// the part's place: found on the grown sites, where an answer then bore the
// signature of a failure.
func TestFailureAfterMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{
			"a-1": {after: 50 * ms, status: 500, stuck: true},
			"a-2": {after: 50 * ms, status: 500, stuck: true},
			"b-1": {after: 80 * ms, status: 200, body: record2},
		}, gathered())
		order := &flaky{script: relay.Exchange.(script)}
		relay.Exchange = order
		time.Sleep(time.Second)
		d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
		is.NoErr(err)
		is.Equal(slices.Sorted(slices.Values(d.Stamps)), []string{"stamp-b", "stamp-good"})
		relay.Pool.Close()
	})
}

// flaky lets the second call at the service a succeed at once.
type flaky struct {
	script
	calls atomic.Int64
}

// Exchange implements [ramp.Exchanger].
func (f *flaky) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	if strings.HasPrefix(c.Instance.ID, "a-") {
		if f.calls.Add(1) == 2 {
			return ramp.Response{Status: 200, Stamp: "stamp-good", Body: []byte(record1)}, nil
		}
	}
	return f.script.Exchange(ctx, c)
}

// narrow has one connection to each replica.
type narrow struct {
	script
	mutex sync.Mutex
	busy  map[string]bool // by replica id
}

// Exchange implements [ramp.Exchanger].
func (n *narrow) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	n.mutex.Lock()
	taken := n.busy[c.Instance.ID]
	n.busy[c.Instance.ID] = true
	n.mutex.Unlock()
	if taken {
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.NotStarted}
	}
	defer func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.busy, c.Instance.ID)
	}()
	return n.script.Exchange(ctx, c)
}

// TestWaitsForRoom fails when a part is given up because the connections to its
// replicas are in use for a moment: found on the grown sites, where a daemon has
// one connection to each.
func TestWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{"a-1": {after: 30 * ms, status: 200}}, single(true))
		relay.Exchange = &narrow{script: relay.Exchange.(script), busy: map[string]bool{}}
		var asked sync.WaitGroup
		for range 3 {
			asked.Go(func() {
				d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
				is.NoErr(err)
				is.Equal(d.Response.Status, 200)
			})
		}
		asked.Wait()
		relay.Pool.Close()
	})
}

// TestRequestsThatRunOnceGoOn fails when a caller that leaves stops a message
// that may run only once.
func TestRequestsThatRunOnceGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{"a-1": {after: 200 * ms, status: 200}}, single(false))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*ms, cancel)
		d, err := relay.Handle(ctx, ramp.Message{ID: "m", Target: "/x"}, 0)
		is.NoErr(err)
		is.Equal(d.Response.Status, 200)
		relay.Pool.Close()
	})
}

// TestCallerLeaves fails when attempts of a message that may be repeated go on
// without its caller.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{"a-1": {after: 500 * ms, status: 200}}, single(true))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*ms, cancel)
		d, err := relay.Handle(ctx, ramp.Message{ID: "m", Target: "/x"}, 0)
		var refused *ramp.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, ramp.ReasonCaller)
		is.Equal(d.Attempts[0].Outcome, ramp.Cancelled)
		relay.Pool.Close()
	})
}
