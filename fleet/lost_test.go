package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

// TestLostDaemonsLeaveTheDirectory guards against answers of the directory that name a daemon
// which was lost more than contactMs and 3 s before. At most three may, over all daemons. It also
// records that a lost daemon, should it go on, no longer counts itself as a member by then.
func TestLostDaemonsLeaveTheDirectory(t *testing.T) {
	const (
		contact  = 4 * time.Second // contactMs
		allowed  = 3
		interval = 200 * time.Millisecond // between two answers of a daemon
	)
	tests := []struct {
		count int
		still bool // the daemon stands still: it accepts messages and does not answer
	}{{4, false}, {4, true}, {9, false}, {9, true}, {38, false}}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := standin.NewStore(ramp.SystemClock{})
			all, cut := startObservers(ctx, store, test.count, 3*time.Second)
			time.Sleep(10 * time.Second)
			lost := all["d00"]
			wasInTouch := lost.InTouch()
			cut.add("d00")
			if test.still {
				cut.freeze("d00")
			}
			store.SetFault("d00", standin.Fault{Down: true})
			time.Sleep(contact + 3*time.Second)
			answers, stale := 0, 0
			for range 50 {
				for id, o := range all {
					if id == "d00" {
						continue
					}
					answers++
					if slices.Contains(o.Members.Addresses(""), "d00") {
						stale++
					}
				}
				time.Sleep(interval)
			}
			t.Logf("%+v: %d of %d answers", test, stale, answers)
			fmt.Fprintf(&b, "%d daemons, stands still=%t: at most %d stale answers=%t, in touch before=%t, after=%t\n",
				test.count, test.still, allowed, stale <= allowed, wasInTouch, lost.InTouch())
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
	}
	golden.Check(t, "lost", b.String())
}
