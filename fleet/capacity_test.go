package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// unevenFleet returns members of two failure domains, each with the given numbers of
// strong daemons, weak ones, and ones without a known capacity.
func unevenFleet(strong, weak, unknown int) (*Members, []ramp.Daemon) {
	var daemons []ramp.Daemon
	for _, domain := range []string{"a", "b"} {
		for i := range strong + weak + unknown {
			d := ramp.Daemon{
				ID: fmt.Sprintf("%s-%02d", domain, i), Incarnation: fmt.Sprintf("%s-%02d-1", domain, i), Domain: domain,
				CallerAddress: fmt.Sprintf("%s-%02d:1", domain, i),
			}
			switch {
			case i < strong:
				d.Capacity = ramp.Capacity{Processor: 0.8, Link: 200}
			case i < strong+weak:
				d.Capacity = ramp.Capacity{Processor: 0.134, Link: 14}
			}
			daemons = append(daemons, d)
		}
	}
	members := NewMembers(daemons[0], ramp.SystemClock{})
	members.Replace(daemons)
	return members, daemons
}

// TestUnevenFleet records which daemons get callers, collections and the watch of the store
// in fleets with weak machines. It guards against weak daemons that hold up requests though
// a strong one is there, and against weak daemons that stay idle when no strong one is left.
func TestUnevenFleet(t *testing.T) {
	tests := []struct {
		name                  string
		strong, weak, unknown int
		without               func(ramp.Daemon) bool // daemons that have left
	}{
		{"equal daemons", 6, 0, 0, nil},
		{"two strong and 40 weak", 2, 40, 0, nil},
		{"two strong and 40 weak, strong ones of a lost", 2, 40, 0, func(d ramp.Daemon) bool {
			return d.Domain == "a" && d.Capacity.Processor > 0.5
		}},
		{"two strong and 40 weak, all strong ones lost", 2, 40, 0, func(d ramp.Daemon) bool {
			return d.Capacity.Processor > 0.5
		}},
		{"two strong, 20 weak and 20 unknown", 2, 20, 20, nil},
		{"no capacity known", 0, 0, 12, nil},
	}
	var out strings.Builder
	for _, tt := range tests {
		members, daemons := unevenFleet(tt.strong, tt.weak, tt.unknown)
		if tt.without != nil {
			daemons = slices.DeleteFunc(daemons, tt.without)
			members.Replace(daemons)
		}
		selector := NewDelegateSelector(members, ramp.SystemClock{})
		byClass := map[string]int{}
		services := make([]string, 1000)
		for i := range services {
			services[i] = fmt.Sprintf("service-%d", i)
		}
		for _, d := range selector.Select("a", services) {
			byClass[classOf(d.Daemon)]++
		}
		fmt.Fprintf(&out, "%s:\n  addresses in a: %s\n  collections in a: %v, daemons that they count for: %d\n", tt.name,
			strings.Join(members.Addresses("a"), " "), byClass, selector.Count("a"))
		for _, domain := range []string{"a", "b"} {
			var watchers []string
			for _, d := range watchersOf(domain, daemons) {
				watchers = append(watchers, d.ID+" "+classOf(d))
			}
			fmt.Fprintf(&out, "  watchers in %s: %s\n", domain, strings.Join(watchers, ", "))
		}
	}
	golden.Check(t, "uneven", out.String())
}

func classOf(d ramp.Daemon) string {
	switch {
	case d.Capacity.Processor == 0:
		return "unknown"
	case d.Capacity.Processor < 0.5:
		return "weak"
	}
	return "strong"
}
