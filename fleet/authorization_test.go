package fleet

import (
	"context"
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

// revocationBound is the bound in these tests. The validity is 4.7 s.
const revocationBound = 5 * time.Second

// testBoot is the boot clock of a machine that is suspended. It implements
// [ramp.BootClock].
type testBoot struct {
	started   time.Time
	suspended atomic.Int64 // time for which the machine was suspended, in ns
}

// Uptime implements [ramp.BootClock].
func (c *testBoot) Uptime() time.Duration {
	return time.Since(c.started) + time.Duration(c.suspended.Load())
}

// TestAuthorization records for how long requests may be sent, by the version that they were
// authorised under, after versions are found and confirmed. Times are counted from the
// start of the machine. It guards against requests that are sent although a newer version,
// which may have taken their key away, was acknowledged more than the bound before.
func TestAuthorization(t *testing.T) {
	const s = time.Second
	type step struct {
		at        time.Duration
		found     uint64 // 0 for none
		confirmed time.Duration
	}
	burst := []step{{at: 9 * s, found: 1, confirmed: 9 * s}}
	for i := range uint64(100) { // a version every 0.06 s, each confirmed as it is found
		at := 9*s + time.Duration(i+1)*60*time.Millisecond
		burst = append(burst, step{at: at, found: i + 2, confirmed: at})
	}
	flood := []step{{at: 9 * s, found: 1, confirmed: 9 * s}}
	for i := range uint64(1000) {
		flood = append(flood, step{at: 9*s + time.Duration(i)*time.Millisecond, found: i + 2, confirmed: 9 * s})
	}
	tests := []struct {
		name  string
		steps []step
		asked []uint64
	}{
		{"nothing known, as after a restart", nil, []uint64{0, 1}},
		{"found but not confirmed", []step{{at: s, found: 7}}, []uint64{6, 7, 8}},
		{"restart: older versions are refused", []step{{at: 9 * s, found: 7, confirmed: 9 * s}}, []uint64{6, 7, 8}},
		{"confirmed", []step{{at: 9 * s, found: 7, confirmed: 8 * s}}, []uint64{7}},
		{"an older confirmation comes later", []step{
			{at: 9 * s, found: 7, confirmed: 8 * s}, {at: 9 * s, confirmed: 7 * s},
		}, []uint64{7}},
		{"a newer version than the request's", []step{
			{at: 6 * s, found: 7, confirmed: 6 * s}, {at: 10 * s, found: 9, confirmed: 10 * s},
		}, []uint64{6, 7, 8, 9, 10}},
		{"a newer version, and no confirmation since", []step{
			{at: 6 * s, found: 7, confirmed: 6 * s}, {at: 10 * s, found: 9},
		}, []uint64{7, 9}},
		{"an older version arrives", []step{
			{at: 9 * s, found: 7, confirmed: 9 * s}, {at: 9 * s, found: 6, confirmed: 9 * s},
		}, []uint64{6, 7}},
		{"burst of versions", burst, []uint64{1, 26, 27, 28, 50, 100, 101}},
		{"more versions than are kept", flood, []uint64{1, 700, 745, 746, 800, 1001}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			boot := &testBoot{started: time.Now()}
			a := NewAuthorization(revocationBound, boot)
			for _, s := range test.steps {
				boot.suspended.Store(int64(s.at))
				if s.found > 0 {
					a.Found(s.found)
				}
				if s.confirmed > 0 {
					a.Confirm(s.confirmed)
				}
			}
			boot.suspended.Store(int64(max(10*s, boot.Uptime())))
			fmt.Fprintf(&b, "%s, at %s:", test.name, boot.Uptime())
			for _, version := range test.asked {
				fmt.Fprintf(&b, " %d=%s", version, a.ValidFor(version))
			}
			b.WriteString("\n")
			state, _ := a.state.Get("")
			if len(state.superseded) > maxSupersessions {
				t.Errorf("%s: %d versions are kept", test.name, len(state.superseded))
			}
		})
	}
	golden.Check(t, "authorization", b.String())
}

// newAuthorized returns daemons as newObservers does that authorise requests. The boot
// clocks are by daemon.
func newAuthorized(store *standin.Store, count int) (map[string]*testObserver, *partition, map[string]*testBoot) {
	all, cut := newObservers(store, count, 3*time.Second)
	boots := make(map[string]*testBoot)
	for id, o := range all {
		boots[id] = &testBoot{started: time.Now()}
		o.Boot, o.Authorization = boots[id], NewAuthorization(revocationBound, boots[id])
	}
	return all, cut, boots
}

// TestAuthorizationAfterFaults records, for faults that begin at a daemon or at all, whether
// requests of tenants stop, and if so whether the daemon serves them for 3 s and never sends
// one that was authorised before the fault after 5 s.
func TestAuthorizationAfterFaults(t *testing.T) {
	down := standin.Fault{Down: true}
	type world struct {
		store *standin.Store
		cut   *partition
		boots map[string]*testBoot
	}
	cutOff := func(w world) { w.store.SetFault("d03", down); w.cut.add("d03") }
	var b strings.Builder
	for _, test := range []struct {
		name  string
		count int
		fault func(w world)
	}{
		{"the store is unavailable, 5 daemons", 5, func(w world) { w.store.SetFault("", down) }},
		{"the store is unavailable, 24 daemons", 24, func(w world) { w.store.SetFault("", down) }},
		{"cut off from the store and from all daemons, 5 daemons", 5, cutOff},
		{"cut off from the store and from all daemons, 24 daemons", 24, cutOff},
		{"the store turns the daemon away, 5 daemons", 5, func(w world) { w.store.SetFault("d03", down) }},
		{"the store turns the daemon away, 24 daemons", 24, func(w world) { w.store.SetFault("d03", down) }},
		{"gossip of the daemon is cut, 24 daemons", 24, func(w world) { w.cut.add("d03") }},
		{"all gossip is cut, 24 daemons", 24, func(w world) {
			for i := range 24 {
				w.cut.add(fmt.Sprintf("d%02d", i))
			}
		}},
		{"reads of the store are older than earlier ones, 5 daemons", 5, func(w world) {
			w.store.SetFault("", standin.Fault{Stale: 5})
		}},
		{"the store is slow, 24 daemons", 24, func(w world) {
			w.store.SetFault("", standin.Fault{Delay: 800 * time.Millisecond})
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := standin.NewStore(ramp.SystemClock{})
			revision, _ := store.For("operator").Swap(ctx, "config", []byte("1"), 0, "")
			all, cut, boots := newAuthorized(store, test.count)
			runObservers(ctx, all)
			time.Sleep(10*time.Second + 123*time.Millisecond)
			test.fault(world{store: store, cut: cut, boots: boots})
			_, _ = store.For("platform").Swap(ctx, "config", []byte("2"), revision, "") // fails in an outage
			newest, old := time.Duration(0), time.Duration(0)                           // times at which they stop
			for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
				a := all["d03"].Authorization
				if a.ValidFor(2) > 0 {
					newest = at
				}
				if a.ValidFor(1) > 0 {
					old = at
				}
				time.Sleep(10 * time.Millisecond)
			}
			if newest > 8*time.Second {
				fmt.Fprintf(&b, "%s: requests of the newest version continue, version 1 ends within 5 s: %t\n",
					test.name, old < revocationBound)
			} else {
				fmt.Fprintf(&b, "%s: requests stop, served for 3 s: %t, none after 4.8 s: %t\n",
					test.name, newest >= 3*time.Second, max(newest, old) < 4800*time.Millisecond)
			}
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "authorizationfaults", b.String())
}

// TestSuspendedDaemonIsNotAuthorized guards against a daemon whose machine was suspended and
// that counts its confirmation by a clock that stood still, and against the daemons that
// learn from it meanwhile.
func TestSuspendedDaemonIsNotAuthorized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := standin.NewStore(ramp.SystemClock{})
		_, _ = store.For("operator").Swap(ctx, "config", []byte("1"), 0, "")
		all, _, boots := newAuthorized(store, 2)
		runObservers(ctx, all)
		time.Sleep(10 * time.Second)
		store.SetFault("", standin.Fault{Down: true})
		boots["d00"].suspended.Store(int64(10 * time.Second))
		if left := all["d00"].Authorization.ValidFor(1); left > 0 {
			t.Errorf("valid for %s after a suspension", left)
		}
		if age, _ := all["d00"].ConfirmedAge(); age < 10*time.Second {
			t.Errorf("tells other daemons an age of %s", age)
		}
		time.Sleep(4800 * time.Millisecond)
		if left := all["d01"].Authorization.ValidFor(1); left > 0 {
			t.Errorf("another daemon is authorised for %s", left)
		}
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// TestCalmFleetStaysAuthorized guards against daemons whose confirmation becomes so old by
// mere delay of gossip that they stop requests with keys, or would stop them less than 3 s
// after they lose the store, and against daemons that call the store too often for that.
func TestCalmFleetStaysAuthorized(t *testing.T) {
	const watched = 10 * time.Second
	var b strings.Builder
	for _, count := range []int{5, 38, 128} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := standin.NewStore(ramp.SystemClock{})
			_, _ = store.For("operator").Swap(ctx, "config", []byte("1"), 0, "")
			all, _, _ := newAuthorized(store, count)
			runObservers(ctx, all)
			time.Sleep(12 * time.Second)
			before := store.Calls()
			least := revocationBound
			for range watched / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				for _, o := range all {
					least = min(least, o.Authorization.ValidFor(1))
				}
			}
			reads := float64(store.Calls().Reads-before.Reads) / watched.Seconds()
			t.Logf("%d daemons: valid for %s at least, %g reads per second", count, least, reads)
			most := 1.1 * float64(count) // of a small fleet
			if count > smallFleet {
				const watchers = 2 * watchersPerDomain // newObservers has two failure domains
				most = 2.1*watchers + 0.1*float64(count-watchers)
			}
			fmt.Fprintf(&b, "%d daemons: valid for 3 s at any time: %t, few reads: %t\n",
				count, least >= 3*time.Second, reads <= most)
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "calmauthorization", b.String())
}
