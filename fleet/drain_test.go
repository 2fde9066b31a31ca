package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/replica"
)

// wholeShares gives each daemon all of a limit. It implements [ramp.LimitSharer].
type wholeShares struct{}

// Share implements [ramp.LimitSharer].
func (wholeShares) Share(_ ramp.Replica, limit float64) ramp.LimitShare {
	return ramp.LimitShare{Rate: limit, ProbeInterval: time.Minute}
}

// departures are a fleet of daemons and a service whose only replica leaves.
type departures struct {
	store   *standin.Store
	all     map[string]*testObserver
	cut     *partition
	pickers map[string]*replica.Picker // by daemon id
	bound   time.Duration              // within which a replica that leaves must get no more requests
	started int64                      // number of replicas so far
}

// newDepartures starts the daemons.
func newDepartures(ctx context.Context, count int, bound time.Duration) *departures {
	d := &departures{
		store: standin.NewStore(ramp.SystemClock{}), pickers: make(map[string]*replica.Picker), bound: bound,
	}
	d.all, d.cut = newObservers(d.store, count, bound)
	for id, o := range d.all {
		instances := replica.NewInstances(bound, ramp.SystemClock{})
		o.Replicas = instances
		d.pickers[id] = replica.NewPicker(instances, "z0", wholeShares{}, slog.New(slog.DiscardHandler), ramp.SystemClock{})
	}
	runObservers(ctx, d.all)
	return d
}

// play lets a new replica leave, by its entry if drains is set and else by the removal of it.
// The daemons of freeze stand still from the given lead before that. It returns when another
// daemon last used the replica after the bound, as the time since the store's acknowledgement,
// or 0.
func (d *departures) play(ctx context.Context, drains bool, freeze []string, lead time.Duration) time.Duration {
	replicas := d.store.For("replicas")
	d.started++
	i := ramp.Instance{
		Replica: ramp.Replica{ID: fmt.Sprintf("r%d", d.started), Address: "127.0.0.1:9", Domain: "z0"},
		Service: fmt.Sprintf("s%d", d.started), State: ramp.Live, Capacity: 4, StartedMillis: d.started, Sequence: 1,
	}
	key := platform.ReplicaPrefix + i.ID
	lease, _ := replicas.Grant(ctx, time.Hour)
	value, _ := platform.EncodeInstance(i)
	revision, _ := replicas.Swap(ctx, key, value, 0, lease)
	time.Sleep(d.bound + lead)
	for _, id := range freeze {
		d.cut.freeze(id)
		d.store.SetFault(id, standin.Fault{Down: true})
	}
	time.Sleep(lead)
	if drains {
		i.State, i.Sequence = ramp.Leaving, 2
		value, _ = platform.EncodeInstance(i)
		_, _ = replicas.Swap(ctx, key, value, revision, lease)
	} else {
		_ = replicas.Revoke(ctx, lease)
	}
	time.Sleep(d.bound)
	const step = 100 * time.Millisecond
	last := time.Duration(0)
	for after := d.bound; after < 2*d.bound; after += step {
		for id, p := range d.pickers {
			if _, usable := p.Delay(i.Service); usable && !d.cut.has(id) {
				last = after
			}
		}
		time.Sleep(step)
	}
	for _, id := range freeze {
		d.cut.thaw(id)
		d.store.SetFault(id, standin.Fault{})
	}
	return last
}

// watchers returns the daemons that watch the store for the failure domain z0.
func (d *departures) watchers() []string {
	var watchers []string
	for id, o := range d.all {
		if o.Self.Domain == "z0" && IsWatcher(o.Self, o.Members.All()) {
			watchers = append(watchers, id)
		}
	}
	return watchers
}

// TestDepartedReplicaGetsNoRequests guards against requests to a replica after the bound on its
// departure: in a fleet whose daemons hear of it through others, the time without word of the
// store and the grace period of the replica added up to more than the bound.
func TestDepartedReplicaGetsNoRequests(t *testing.T) {
	var b strings.Builder
	for _, bound := range []time.Duration{3 * time.Second, 6 * time.Second} {
		for _, test := range []struct {
			daemons, rounds int
			frozen, drains  bool // watchers of a failure domain stand still; the replica reports that it drains
		}{
			{4, 2, true, false},
			{4, 2, true, true},
			{9, 3, false, false},
			{9, 3, false, true},
			{9, 3, true, false},
			{9, 3, true, true},
			{20, 2, true, false},
			{20, 2, true, true},
			{117, 1, true, false},
		} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newDepartures(ctx, test.daemons, bound)
				time.Sleep(2 * time.Second)
				var stopped []string
				if test.frozen {
					stopped = d.watchers()
				}
				longest := time.Duration(0)
				for round := range test.rounds {
					longest = max(longest, d.play(ctx, test.drains, stopped, time.Duration(round)*230*time.Millisecond))
				}
				if longest > 0 {
					t.Logf("%d daemons, bound %s: %+v: used for %s", test.daemons, bound, test, longest)
				}
				fmt.Fprintf(&b, "%d daemons, bound %s, watchers of a failure domain stand still=%t, drains=%t: in time=%t\n",
					test.daemons, bound, test.frozen, test.drains, longest == 0)
				cancel()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		}
	}
	golden.Check(t, "departures", b.String())
}
