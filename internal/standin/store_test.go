package standin_test

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

// TestFaults records the results of a client's calls under each fault, on a fake
// clock.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
		other bool // the fault applies to another client only
	}{
		{"none", standin.Fault{}, false},
		{"down", standin.Fault{Down: true}, false},
		{"down for another client", standin.Fault{Down: true}, true},
		{"slow", standin.Fault{Delay: 3 * time.Second}, false},
		{"lost reply", standin.Fault{LoseReplies: 1}, false},
		{"stale by one", standin.Fault{Stale: 1}, false},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			client := ""
			if test.other {
				client = "other"
			}
			fmt.Fprintf(&b, "%s:\n%s", test.name, runCalls(t.Context(), client, test.fault))
		})
	}
	golden.Check(t, "faults", b.String())
}

func runCalls(ctx context.Context, client string, fault standin.Fault) string {
	var b strings.Builder
	s := standin.NewStore(ramp.SystemClock{})
	started := time.Now()
	lease, _ := s.Grant(ctx, 5*time.Second)
	first, _ := s.Swap(ctx, "k", []byte("one"), 0, "")
	s.SetFault(client, fault)
	second, err := s.Swap(ctx, "k", []byte("two"), first, lease)
	fmt.Fprintf(&b, "  swap: revision=%d err=%v after=%s\n", second, err, time.Since(started))
	entry, err := s.Get(ctx, "k")
	fmt.Fprintf(&b, "  get: %s@%d err=%v\n", entry.Value, entry.Revision, err)
	change, err := s.Watch(ctx, "k", 1, time.Second)
	fmt.Fprintf(&b, "  watch: %d entries @%d err=%v\n", len(change.Entries), change.ToRevision, err)
	_, err = s.Swap(ctx, "k", []byte("three"), first, "")
	fmt.Fprintf(&b, "  swap again: err=%v\n", err)
	s.SetFault(client, standin.Fault{})
	change, err = s.Watch(ctx, "k", 3, time.Minute)
	fmt.Fprintf(&b, "  watch until the lease ends: %d entries @%d err=%v after=%s\n",
		len(change.Entries), change.ToRevision, err, time.Since(started))
	return b.String()
}
