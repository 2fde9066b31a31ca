package fleet

import (
	"context"
	"fmt"
	"strings"
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
