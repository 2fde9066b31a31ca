package fleet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

// application is how daemons applied a configuration.
type application struct {
	after     time.Duration // from the acknowledgement to the application by the last daemon
	misjudged bool          // a daemon without it stated a confirmation that is later than it
}

// apply writes a number of entries and then a configuration, and waits until the given daemons
// have applied it, for twice the bound at most.
func apply(
	ctx context.Context, store *standin.Store, daemons []*testObserver, entries int, bound time.Duration,
) application {
	for n := range entries {
		_, _ = store.Swap(ctx, fmt.Sprintf("replica/%d", n), []byte("v"), 0, "")
	}
	current, _ := store.Get(ctx, "config") // the zero entry if there is none
	version, _ := store.Swap(ctx, "config", nil, current.Revision, "")
	value := fmt.Appendf(nil, "%d", version)
	_, _ = store.Swap(ctx, "config", value, version, "")
	acknowledged, misjudged := time.Now(), false
	for time.Since(acknowledged) < 2*bound {
		late := false
		for _, o := range daemons {
			age, confirmed := o.ConfirmedAge() // read first, since the daemon may apply the configuration meanwhile
			if routing, _ := o.Routes.Current(); routing.Version < version {
				late = true
				misjudged = misjudged || confirmed && age < time.Since(acknowledged)
			}
		}
		if !late {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return application{after: time.Since(acknowledged), misjudged: misjudged}
}

// withoutWatchers returns the daemons that do not watch the store, after the store began to
// refuse the others.
func withoutWatchers(store *standin.Store, all map[string]*testObserver) []*testObserver {
	var rest []*testObserver
	for id, o := range all {
		if IsWatcher(o.Self, o.Members.All()) {
			store.SetFault(id, standin.Fault{Down: true})
		} else {
			rest = append(rest, o)
		}
	}
	return rest
}

// TestManyChangesDelayNoConfiguration guards against a reply of the store that holds only the
// first of many changes and is taken for a confirmation that there are no others.
func TestManyChangesDelayNoConfiguration(t *testing.T) {
	var b strings.Builder
	for _, test := range []struct {
		daemons, changes int
		bound            time.Duration
	}{
		{9, 0, 5 * time.Second},
		{9, 499, 5 * time.Second},
		{9, 2000, 3 * time.Second},
		{9, 2000, 5 * time.Second},
		{9, 2000, 6 * time.Second},
		{20, 2000, 5 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := standin.NewStore(ramp.SystemClock{})
			store.MaxEvents = 500
			all, _ := startObservers(ctx, store, test.daemons, test.bound)
			time.Sleep(2 * test.bound)
			rest := withoutWatchers(store, all)
			got := apply(ctx, store, rest, test.changes, test.bound)
			t.Logf("%d daemons, bound %s, %d changes before it: %+v", test.daemons, test.bound, test.changes, got)
			fmt.Fprintf(&b, "%d daemons, bound %s, %d changes before it: in time=%t, confirmed without it=%t\n",
				test.daemons, test.bound, test.changes, got.after <= test.bound, got.misjudged)
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "manychanges", b.String())
}

// hangingStore is a store of which one watch hangs until its client gives it up.
type hangingStore struct {
	ramp.Store
	hangs atomic.Bool // whether the next watch hangs
}

// watchGrace is the time beyond its wait after which a watch is given up.
const watchGrace = 800 * time.Millisecond

// Watch implements [ramp.Store].
func (h *hangingStore) Watch(
	ctx context.Context, prefix string, revision uint64, wait time.Duration,
) (ramp.EntryChange, error) {
	if h.hangs.Swap(false) {
		time.Sleep(wait + watchGrace)
		return ramp.EntryChange{}, &ramp.StoreError{Call: "watch", Cause: errors.New("no reply in time")}
	}
	return h.Store.Watch(ctx, prefix, revision, wait)
}

// TestDaemonAloneAppliesConfigurationInTime guards against a daemon that hears nothing from the
// others and reads the store so late that its own call takes it beyond the bound.
func TestDaemonAloneAppliesConfigurationInTime(t *testing.T) {
	var b strings.Builder
	for _, test := range []struct {
		daemons int
		bound   time.Duration
		delay   time.Duration // of each call to the store
		hangs   bool          // the first call hangs
	}{
		{9, 3 * time.Second, 0, false},
		{9, 3 * time.Second, 1200 * time.Millisecond, false},
		{9, 5 * time.Second, 0, false},
		{9, 5 * time.Second, 2400 * time.Millisecond, false},
		{9, 5 * time.Second, 0, true},
		{9, 6 * time.Second, 3 * time.Second, false},
		{9, 6 * time.Second, 0, true},
		{40, 5 * time.Second, 0, true},
	} {
		latest := time.Duration(0)
		for phase := time.Duration(0); phase < test.bound/watchWaitDivisor; phase += test.bound / (5 * watchWaitDivisor) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := standin.NewStore(ramp.SystemClock{})
				all, cut := newObservers(store, test.daemons, test.bound)
				stores := make(map[string]*hangingStore)
				for id, o := range all {
					stores[id] = &hangingStore{Store: o.Store}
					o.Store = stores[id]
				}
				runObservers(ctx, all)
				time.Sleep(2*test.bound + phase)
				var alone []*testObserver
				for id, o := range all {
					cut.add(id)
					if !IsWatcher(o.Self, o.Members.All()) {
						alone = append(alone, o)
						stores[id].hangs.Store(test.hangs)
						store.SetFault(id, standin.Fault{Delay: test.delay})
					}
				}
				latest = max(latest, apply(ctx, store, alone, 0, test.bound).after)
				cancel()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		}
		t.Logf("%+v: applied after %s", test, latest)
		fmt.Fprintf(&b, "%d daemons, bound %s, calls take %s, the first one hangs=%t: in time=%t\n",
			test.daemons, test.bound, test.delay, test.hangs, latest <= test.bound)
	}
	golden.Check(t, "alone", b.String())
}
