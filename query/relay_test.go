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

// behaviour is how a replica of a script behaves.
type behaviour struct {
	delay         time.Duration
	status        int           // of the response; 0 for none
	outcome       ramp.Outcome  // of an attempt without a response; "" for a response
	notRun        bool          // the replica states that the request did not run
	notSent       bool          // no byte of the request was sent
	connect       time.Duration // until the connection is open
	body          string        // records of the part
	ignoresCancel bool          // does not end when the attempt is cancelled
}

// script is the behaviour of a set of replicas. It implements [ramp.Exchanger].
type script map[string]behaviour // by replica id

// Exchange implements [ramp.Exchanger].
func (s script) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	a := s[c.Instance.ID]
	select {
	case <-time.After(a.connect):
	case <-ctx.Done():
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Cancelled}
	}
	if !a.notSent {
		if err := c.BeforeSend(); err != nil {
			return ramp.Response{}, err
		}
	}
	wait := ctx
	if a.ignoresCancel {
		wait = context.Background()
	}
	select {
	case <-time.After(a.delay):
	case <-time.After(time.Until(c.Deadline) + ms): // not at the same instant as the relay's own timer
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Expired, Sent: true}
	case <-wait.Done():
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Cancelled, Sent: true}
	}
	if a.outcome != "" {
		return ramp.Response{}, &ramp.AttemptError{Outcome: a.outcome, Sent: !a.notSent, NotRun: a.notRun}
	}
	return ramp.Response{Status: a.status, Stamp: "stamp-" + c.Instance.Service, Body: []byte(a.body)}, nil
}

// newPicker returns the picker of a daemon that is alone.
func newPicker(instances *replica.Instances, domain string, clock ramp.Clock) *replica.Picker {
	self := ramp.Daemon{ID: "self", Incarnation: "self", Domain: domain}
	shares := fleet.LimitShares{Self: self, Members: fleet.NewMembers(self, clock), FleetSize: func() int { return 1 }}
	return replica.NewPicker(instances, domain, shares, slog.New(slog.DiscardHandler), clock)
}

// newRelay returns a relay over the replicas of the script. The id of a replica
// begins with the name of its service.
func newRelay(s script, route ramp.Route) *query.Relay {
	clock := ramp.SystemClock{}
	routes, instances := fleet.NewRoutes(), replica.NewInstances(3*time.Second, clock)
	routes.Update(ramp.Routing{Version: 7}.WithRoutes([]ramp.Route{route}))
	for id := range s {
		name, _, _ := strings.Cut(id, "-")
		i := ramp.Instance{Replica: ramp.Replica{ID: id, Address: id}, Service: name, State: ramp.Live}
		instances.Update(i, clock.Now())
	}
	one := func() int { return 1 }
	relay := &query.Relay{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Pool: ramp.NewPool(64, 64), Routes: routes,
		Picker:    newPicker(instances, "", clock),
		Budget:    retry.NewFleetBudget(retry.Bounds{Ratio: 1, Slack: 100, Window: time.Second}, one, clock),
		Exchanger: s, FleetSize: one, ReplyMargin: 10 * time.Millisecond, Observe: func(ramp.RelayResult, error) {},
		ObserveAttempt: func(ramp.Attempt) {}, ObserveWithheld: func(string) {},
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

// describeResult returns what the caller got and the attempts that were made.
func describeResult(d ramp.RelayResult, err error) string {
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

// TestRelay records, for various faults of the replicas, what the caller gets
// and which attempts are made.
func TestRelay(t *testing.T) {
	ok := behaviour{delay: 5 * ms, status: 200, body: record1}
	shed := behaviour{delay: ms, outcome: ramp.Shed, notRun: true}
	tests := []struct {
		name   string
		route  ramp.Route
		script script
	}{
		{
			"all parts",
			gathered(),
			script{
				"a-1": {delay: 5 * ms, status: 200, body: record1 + record3 + "rest"},
				"b-1": {delay: 9 * ms, status: 200, body: record2},
			},
		},
		{
			"a slow part is hedged once",
			gathered(),
			script{"a-1": ok, "b-1": {delay: 60 * ms, status: 200}, "b-2": {delay: 60 * ms, status: 200}},
		},
		{
			"a part is late, the quorum suffices at the objective",
			gathered(),
			script{"a-1": ok, "b-1": {delay: 400 * ms, status: 200, ignoresCancel: true}},
		},
		{
			"no part by the objective, answered once the quorum is reached",
			gathered(),
			script{"a-1": {delay: 300 * ms, status: 200, body: record1}, "b-1": {delay: 400 * ms, status: 200}},
		},
		{"a part fails", gathered(), script{"a-1": ok, "b-1": {delay: ms, status: 500}}},
		{"all parts fail", gathered(), script{"a-1": {delay: ms, status: 500}, "b-1": {delay: ms, status: 500}}},
		{"all parts are shed", gathered(), script{"a-1": shed, "b-1": shed}},
		{"no replica", gathered(), script{}},
		{"single response", single(true), script{"a-1": ok}},
		{"a failure of the only replica is passed on", single(true), script{"a-1": {delay: ms, status: 500}}},
		{
			"not found is passed on at once",
			single(true),
			script{"a-1": {delay: ms, status: 404}, "a-2": {delay: ms, status: 404}},
		},
		{
			"not idempotent, connection lost",
			single(false),
			script{"a-1": {delay: ms, outcome: ramp.Unreachable}, "a-2": {delay: ms, outcome: ramp.Unreachable}},
		},
		{"not idempotent, no reply", single(false), script{"a-1": {delay: time.Hour}, "a-2": {delay: time.Hour}}},
		{"not idempotent, shed by both replicas", single(false), script{"a-1": shed, "a-2": shed}},
		{"not idempotent, shed by two of three replicas", single(false), script{"a-1": shed, "a-2": shed, "a-3": shed}},
		{
			"not idempotent, no connection",
			single(false),
			script{"a-1": {outcome: ramp.Unreachable, notSent: true}, "a-2": {outcome: ramp.Unreachable, notSent: true}},
		},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			relay := newRelay(test.script, test.route)
			time.Sleep(time.Second) // the retry budget grows over its first window
			d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			fmt.Fprintf(&b, "%s: %s", test.name, describeResult(d, err))
			relay.Pool.Close()
		})
	}
	golden.Check(t, "relay", b.String())
}

// expectedLatency matches the part of the logged attempts that the random
// jitter of the picker's scores changes.
var expectedLatency = regexp.MustCompile(`(sound|avoided)/(\d+)/\d+/`)

// TestRelayLog records the log lines of messages: the outcome, the attempts
// that led to it, and what the picker knew of their replicas.
func TestRelayLog(t *testing.T) {
	var b strings.Builder
	for _, test := range []struct {
		name   string
		route  ramp.Route
		script script
		limit  time.Duration
	}{
		{"complete", gathered(), script{"a-1": {delay: 5 * ms, status: 200}, "b-1": {delay: 5 * ms, status: 200}}, 0},
		{"partial", gathered(), script{"a-1": {delay: 5 * ms, status: 200}, "b-1": {delay: ms, status: 500}}, 0},
		{"late", gathered(), script{"a-1": {delay: 300 * ms, status: 200}, "b-1": {delay: 320 * ms, status: 200}}, 0},
		{"refused", single(false), script{"a-1": {delay: ms, outcome: ramp.Shed, notRun: true}}, 700 * ms},
		{"unknown", single(false), script{"a-1": {delay: ms, outcome: ramp.Unreachable}}, 700 * ms},
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
	golden.Check(t, "relaylog", expectedLatency.ReplaceAllString(b.String(), "$1/$2/EXPECTED/"))
}

// TestRelayLoadLog records the account of an attempt that was placed by the load that the
// replica reported. Without its load and its age an operator cannot tell why it was chosen.
func TestRelayLoadLog(t *testing.T) {
	var b strings.Builder
	for _, daemons := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			load := ramp.ReplicaLoad{Running: 3, Waiting: 2, Slots: 8, Slowdown: 1.5}
			relay := newRelay(script{"a-1": {delay: ms, outcome: ramp.Unreachable}}, single(false))
			relay.Exchanger = speaking{relay.Exchanger.(script), map[string]ramp.Signals{"a-1": {Load: &load}}}
			relay.FleetSize = func() int { return daemons }
			fmt.Fprintf(&b, "%d daemons:\n", daemons)
			relay.Log = slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{
				ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
					if a.Key == "msg" || a.Key == "account" {
						return a
					}
					return slog.Attr{}
				},
			}))
			for range 2 {
				_, _ = relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
				time.Sleep(40 * ms)
			}
			relay.Pool.Close()
		})
	}
	golden.Check(t, "relayload", expectedLatency.ReplaceAllString(b.String(), "$1/$2/EXPECTED/"))
}

// TestFailureAfterMerge fails when a failure that arrives after a part was
// merged replaces the part. An answer on large sites bore the signature of a
// failed response for this reason.
func TestFailureAfterMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{
			"a-1": {delay: 50 * ms, status: 500, ignoresCancel: true},
			"a-2": {delay: 50 * ms, status: 500, ignoresCancel: true},
			"b-1": {delay: 80 * ms, status: 200, body: record2},
		}, gathered())
		exchange := &secondCallSucceeds{script: relay.Exchanger.(script)}
		relay.Exchanger = exchange
		time.Sleep(time.Second)
		d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
		is.NoErr(err)
		is.Equal(slices.Sorted(slices.Values(d.Stamps)), []string{"stamp-b", "stamp-good"})
		relay.Pool.Close()
	})
}

// secondCallSucceeds makes the second call to the service a succeed at once. It
// implements [ramp.Exchanger].
type secondCallSucceeds struct {
	script
	calls atomic.Int64
}

// Exchange implements [ramp.Exchanger].
func (s *secondCallSucceeds) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	if strings.HasPrefix(c.Instance.ID, "a-") {
		if s.calls.Add(1) == 2 {
			return ramp.Response{Status: 200, Stamp: "stamp-good", Body: []byte(record1)}, nil
		}
	}
	return s.script.Exchange(ctx, c)
}

// singleConnection allows one connection to each replica. It implements
// [ramp.Exchanger].
type singleConnection struct {
	script
	mutex sync.Mutex
	busy  map[string]bool // by replica id
}

// Exchange implements [ramp.Exchanger].
func (s *singleConnection) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	s.mutex.Lock()
	taken := s.busy[c.Instance.ID]
	s.busy[c.Instance.ID] = true
	s.mutex.Unlock()
	if taken {
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.NotStarted}
	}
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.busy, c.Instance.ID)
	}()
	return s.script.Exchange(ctx, c)
}

// TestRelayWaitsForFreeConnection fails when a part is given up because all
// connections to its replicas are briefly in use. This occurred on large sites,
// where a daemon has one connection to each replica.
func TestRelayWaitsForFreeConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{"a-1": {delay: 30 * ms, status: 200}}, single(true))
		relay.Exchanger = &singleConnection{script: relay.Exchanger.(script), busy: map[string]bool{}}
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() {
				d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
				is.NoErr(err)
				is.Equal(d.Response.Status, 200)
			})
		}
		group.Wait()
		relay.Pool.Close()
	})
}

// TestNonIdempotentMessageOutlivesCaller fails when a caller that disconnects
// cancels a message that is not idempotent.
func TestNonIdempotentMessageOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{"a-1": {delay: 200 * ms, status: 200}}, single(false))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*ms, cancel)
		d, err := relay.Handle(ctx, ramp.Message{ID: "m", Target: "/x"}, 0)
		is.NoErr(err)
		is.Equal(d.Response.Status, 200)
		relay.Pool.Close()
	})
}

// TestAttemptsEndWithCaller fails when the attempts of an idempotent message
// continue after its caller has disconnected.
func TestAttemptsEndWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := newRelay(script{"a-1": {delay: 500 * ms, status: 200}}, single(true))
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

// speaking makes replicas say something of themselves in each response. It implements
// [ramp.Exchanger].
type speaking struct {
	script
	signals map[string]ramp.Signals // by replica id
}

// Exchange implements [ramp.Exchanger].
func (s speaking) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	r, err := s.script.Exchange(ctx, c)
	signals := s.signals[c.Instance.ID]
	var failed *ramp.AttemptError
	if errors.As(err, &failed) {
		failed.Signals = &signals
	}
	return r.WithSignals(signals), err
}

// limits returns the signals of replicas that name rate limits.
func limits(perSecond map[string]float64) map[string]ramp.Signals {
	signals := make(map[string]ramp.Signals)
	for id, limit := range perSecond {
		signals[id] = ramp.Signals{}.WithRateLimit(limit)
	}
	return signals
}

// TestRelayUnderSignals records what callers get while replicas accept fewer requests
// than they send: an answer without the part, or at once a
// refusal that says when to return.
func TestRelayUnderSignals(t *testing.T) {
	ok := behaviour{delay: 5 * ms, status: 200, body: record1}
	refusing := behaviour{outcome: ramp.Shed, notRun: true}
	refusals := map[string]ramp.Signals{"a-1": {RetryAfter: 2 * time.Second}}
	all := gathered()
	all.MinCoverage = 1
	tests := []struct {
		name    string
		route   ramp.Route
		script  script
		signals map[string]ramp.Signals
	}{
		{"single response", single(true), script{"a-1": ok}, limits(map[string]float64{"a-1": 2})},
		{"single response, wait is short", single(true), script{"a-1": ok}, limits(map[string]float64{"a-1": 20})},
		{"not idempotent", single(false), script{"a-1": ok}, limits(map[string]float64{"a-1": 2})},
		{"another replica has no limit", single(true), script{"a-1": ok, "a-2": ok}, limits(map[string]float64{"a-1": 2})},
		{"one part, the quorum suffices", gathered(), script{"a-1": ok, "b-1": ok}, limits(map[string]float64{"a-1": 2})},
		{"one part, no quorum", all, script{"a-1": ok, "b-1": ok}, limits(map[string]float64{"a-1": 2})},
		{"the only replica refuses for a time", single(true), script{"a-1": refusing}, refusals},
		{"another replica refuses for a time", single(true), script{"a-1": refusing, "a-2": ok}, refusals},
		{"the only replica of a part refuses for a time", gathered(), script{"a-1": refusing, "b-1": ok}, refusals},
		{"the only replica of a part refuses, no quorum", all, script{"a-1": refusing, "b-1": ok}, refusals},
		{"a part has no replica, the quorum suffices", gathered(), script{"b-1": ok}, nil},
		{"a part has no replica, no quorum", all, script{"b-1": ok}, nil},
		{"the only replica leaves", single(true), script{"a-1": ok}, map[string]ramp.Signals{"a-1": {Leaving: true}}},
		{"all parts, no quorum", all, script{"a-1": ok, "b-1": ok}, limits(map[string]float64{"a-1": 2, "b-1": 0.5})},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			relay := newRelay(test.script, test.route)
			relay.Exchanger = speaking{test.script, test.signals}
			time.Sleep(time.Second) // the retry budget grows over its first window
			fmt.Fprintf(&b, "%s:\n", test.name)
			for i := range 4 {
				d, err := relay.Handle(t.Context(), ramp.Message{ID: fmt.Sprint("m", i), Target: "/x"}, 0)
				var refused *ramp.RefusedError
				if errors.As(err, &refused) {
					fmt.Fprintf(&b, "    refused ran=%s within=%s attempts=%d %s\n",
						refused.Ran, d.Elapsed.Round(ms), len(d.Attempts), describeRetry(relay, refused.RetryAfter))
				} else {
					fmt.Fprintf(&b, "    answered within=%s missing=%d\n", d.Elapsed.Round(ms), d.MissingParts)
				}
				time.Sleep(10 * ms)
			}
			relay.Pool.Close()
		})
	}
	golden.Check(t, "relaysignals", b.String())
}

// describeRetry returns whether a caller of a refused message may return after the time in
// which a replica of service a accepts requests again, and not much later.
func describeRetry(relay *query.Relay, after time.Duration) string {
	delay, ok := relay.Picker.Delay("a")
	switch {
	case after == 0:
		return "retry at will"
	case !ok:
		return "no replica"
	case delay == 0:
		return fmt.Sprintf("retry after=%s", after)
	}
	return fmt.Sprintf("retry in time=%t, soon after=%t", after >= delay, after <= max(100*ms, delay*5/4))
}
