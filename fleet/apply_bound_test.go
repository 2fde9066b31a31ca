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

// latestApplication writes a number of entries and then a configuration, and returns how long
// after its acknowledgement the last of the given daemons applied it, at most twice the bound.
func latestApplication(
	ctx context.Context, store *standin.Store, daemons []*testObserver, entries int, bound time.Duration,
) time.Duration {
	for n := range entries {
		_, _ = store.Swap(ctx, fmt.Sprintf("replica/%d", n), []byte("v"), 0, "")
	}
	current, _ := store.Get(ctx, "config") // the zero entry if there is none
	version, _ := store.Swap(ctx, "config", nil, current.Revision, "")
	value := fmt.Appendf(nil, "%d", version)
	_, _ = store.Swap(ctx, "config", value, version, "")
	acknowledged := time.Now()
	for time.Since(acknowledged) < 2*bound {
		late := false
		for _, o := range daemons {
			routing, _ := o.Routes.Current()
			late = late || routing.Version < version
		}
		if !late {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(acknowledged)
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
			took := latestApplication(ctx, store, rest, test.changes, test.bound)
			t.Logf("%d daemons, bound %s, %d changes before it: applied after %s", test.daemons, test.bound, test.changes, took)
			fmt.Fprintf(&b, "%d daemons, bound %s, %d changes before it: in time=%t\n",
				test.daemons, test.bound, test.changes, took <= test.bound)
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "manychanges", b.String())
}
