package query_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
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
