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

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
)

// TestReplicaThatLeavesWhileConnectingGetsNothing guards against a request to a replica after the
// bound on its departure: it was picked in time, but the connection took until after the bound.
func TestReplicaThatLeavesWhileConnectingGetsNothing(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const bound = 3 * time.Second
			clock := ramp.SystemClock{}
			relay := newRelay(script{"a-1": {connect: 300 * ms, delay: ms, status: 200}}, single(idempotent))
			defer relay.Pool.Close()
			instances := replica.NewInstances(bound, clock)
			i := ramp.Instance{Replica: ramp.Replica{ID: "a-1", Address: "a-1"}, Service: "a", State: ramp.Live}
			instances.Update(i, clock.Now())
			relay.Picker = newPicker(instances, "", clock)
			instances.MarkRemoved("a-1", clock.Now().Add(200*ms-bound))
			d, err := relay.Handle(t.Context(), ramp.Message{ID: "m", Target: "/x"}, 0)
			var refused *ramp.RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Ran, ramp.NotRun)
			is.Equal(len(d.Attempts), 1)
			is.Equal(d.Attempts[0].Sent, false)
		})
	}
}

// recovering makes replicas behave in one way until a time and in another afterwards. It
// implements [ramp.Exchanger].
type recovering struct {
	first, later behaviour
	until        time.Time
	left         time.Time // when the caller leaves
	before       atomic.Int64
	after        atomic.Int64 // requests that were sent after the caller had left
}

// Exchange implements [ramp.Exchanger].
func (r *recovering) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	b := r.first
	if !time.Now().Before(r.until) {
		b = r.later
	}
	check := c.BeforeSend
	c.BeforeSend = func() error {
		if err := check(); err != nil {
			return err
		}
		if time.Now().Before(r.left) {
			r.before.Add(1)
		} else {
			r.after.Add(1)
		}
		return nil
	}
	return script{c.Instance.ID: b}.Exchange(ctx, c)
}

// describeEnd returns how the daemon ended a message. Whether a message that may be repeated has
// run is left out: at the instant at which its caller leaves, its attempt may or may not have ended.
func describeEnd(d ramp.RelayResult, err error, idempotent bool) string {
	var refused *ramp.RefusedError
	switch {
	case !errors.As(err, &refused):
		return fmt.Sprintf("status=%d", d.Response.Status)
	case idempotent:
		return fmt.Sprintf("refused reason=%s", refused.Reason)
	}
	return fmt.Sprintf("refused reason=%s ran=%s", refused.Reason, refused.Ran)
}

// TestRequestOfDepartedCallerIsNotSent records whether a request reaches a replica for the first
// time, or again, after its caller has left. Orders did: those whose connections hung while the
// replicas were silent ran when the replicas were back, up to 1.6 s after the caller had left.
func TestRequestOfDepartedCallerIsNotSent(t *testing.T) {
	ok := behaviour{delay: 5 * ms, status: 200}
	var b strings.Builder
	for _, test := range []struct {
		name  string
		first behaviour          // until 130 ms
		block func(*query.Relay) // takes the workers or the replicas until then; nil for none
	}{
		{"connection hangs", behaviour{connect: 300 * ms, delay: 5 * ms, status: 200}, nil},
		{"connection fails", behaviour{connect: 150 * ms, notSent: true, outcome: ramp.Unreachable}, nil},
		{"rejected", behaviour{delay: 150 * ms, outcome: ramp.Shed, notRun: true}, nil},
		{"misdirected", behaviour{delay: 150 * ms, outcome: ramp.Misdirected, notRun: true}, nil},
		{"all connections in use", ok, func(relay *query.Relay) {
			for _, id := range []string{"a-1", "a-2"} {
				_, pick, _ := relay.Picker.Pick(ramp.PickRequest{Service: "a", Limit: 1})
				a := ramp.Attempt{Replica: ramp.Replica{ID: id, Address: id}, Pick: pick}
				time.AfterFunc(130*ms, func() { relay.Picker.Done(a.WithOutcome(ramp.Merged, 130*ms, true)) })
			}
		}},
		{"no worker", ok, func(relay *query.Relay) {
			relay.Pool = ramp.NewPool(1, 8)
			relay.Pool.Submit(func() { time.Sleep(130 * ms) })
		}},
		{"replica at work", behaviour{delay: 200 * ms, status: 200}, nil},
	} {
		for _, idempotent := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				route := single(idempotent)
				route.Objective = 2 * time.Second
				relay := newRelay(script{"a-1": ok, "a-2": ok}, route)
				if test.block != nil {
					test.block(relay)
				}
				defer func() { relay.Pool.Close() }()
				x := &recovering{
					first: test.first, later: ok, until: time.Now().Add(130 * ms), left: time.Now().Add(100 * ms),
				}
				relay.Exchanger = x
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(100*ms, cancel)
				d, err := relay.Handle(ctx, ramp.Message{ID: "m", Target: "/x"}, 0)
				time.Sleep(time.Second)
				fmt.Fprintf(&b, "%s, idempotent=%t: sent before=%d after=%d, %s\n",
					test.name, idempotent, x.before.Load(), x.after.Load(), describeEnd(d, err, idempotent))
			})
		}
	}
	golden.Check(t, "departed", b.String())
}
