package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// delegateServices is the number of services in TestDelegateGroups.
const delegateServices = 180

// TestDelegateGroups records how the services of a route are divided among the daemons
// of a failure domain, and how many move when the daemons change. All daemons must
// select the same one, or each replica is connected to many.
func TestDelegateGroups(t *testing.T) {
	tests := []struct {
		name   string
		size   int // daemons of the domain, besides as many of another one
		change func(s *DelegateSelector, members *Members, daemons []ramp.Daemon)
	}{
		{"one daemon", 1, nil},
		{"two daemons", 2, nil},
		{"nine daemons", 9, nil},
		{"19 daemons", 19, nil},
		{"128 daemons", 128, nil},
		{"19 daemons, one is late", 19, func(s *DelegateSelector, _ *Members, daemons []ramp.Daemon) {
			s.Report(daemons[3], false)
		}},
		{"19 daemons, one was late 1 s ago and answered gossip", 19, func(
			s *DelegateSelector, m *Members, daemons []ramp.Daemon,
		) {
			s.Report(daemons[3], false)
			m.MarkSeen(daemons[3])
			time.Sleep(time.Second)
		}},
		{"19 daemons, one was late 1 s ago", 19, func(s *DelegateSelector, _ *Members, daemons []ramp.Daemon) {
			s.Report(daemons[3], false)
			time.Sleep(time.Second)
		}},
		{"19 daemons, three calls were late 1 s ago", 19, func(s *DelegateSelector, m *Members, daemons []ramp.Daemon) {
			for range 3 {
				s.Report(daemons[3], false)
			}
			m.MarkSeen(daemons[3])
			time.Sleep(time.Second)
		}},
		{"19 daemons, one does not answer gossip", 19, func(_ *DelegateSelector, m *Members, daemons []ramp.Daemon) {
			m.MarkUnresponsive(daemons[3].Incarnation)
		}},
		{"19 daemons, one did not answer gossip 8 s ago", 19, func(_ *DelegateSelector, m *Members, daemons []ramp.Daemon) {
			m.MarkUnresponsive(daemons[3].Incarnation)
			time.Sleep(8 * time.Second)
		}},
		{"19 daemons, one leaves", 19, func(_ *DelegateSelector, m *Members, daemons []ramp.Daemon) {
			m.MarkSeen(daemons[3].WithLeaving())
		}},
		{"19 daemons, one is gone", 19, func(_ *DelegateSelector, m *Members, daemons []ramp.Daemon) {
			m.Replace(slices.Delete(slices.Clone(daemons), 3, 4))
		}},
		{"19 daemons, all are late", 19, func(s *DelegateSelector, _ *Members, daemons []ramp.Daemon) {
			for _, d := range daemons {
				s.Report(d, false)
			}
		}},
	}
	services := make([]string, delegateServices)
	for i := range services {
		services[i] = fmt.Sprint("shard", i)
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			daemons := groupDaemons("near", test.size)
			all := append(slices.Clone(daemons), groupDaemons("far", test.size)...)
			members, other := NewMembers(all[0], ramp.SystemClock{}), NewMembers(all[test.size], ramp.SystemClock{})
			members.Replace(all)
			other.Replace(all)
			s, remote := NewDelegateSelector(members, ramp.SystemClock{}), NewDelegateSelector(other, ramp.SystemClock{})
			before := s.Select("near", services)
			agreed := slices.EqualFunc(before, remote.Select("near", services), func(a, b ramp.Delegate) bool {
				return a.Daemon == b.Daemon
			})
			fmt.Fprintf(&b, "%s: agreed=%t %s", test.name, agreed, describeGroups(before))
			if test.change != nil {
				test.change(s, members, daemons)
				after := s.Select("near", services)
				moved := 0
				for i := range after {
					if after[i].Daemon != before[i].Daemon {
						moved++
					}
				}
				fmt.Fprintf(&b, "; then %s moved=%d count=%d", describeGroups(after), moved, s.Count("near"))
			}
			b.WriteByte('\n')
		})
	}
	golden.Check(t, "delegates", b.String())
}

// groupDaemons returns the daemons of a failure domain.
func groupDaemons(domain string, size int) []ramp.Daemon {
	daemons := make([]ramp.Daemon, size)
	for i := range daemons {
		id := fmt.Sprintf("%s%03d", domain, i)
		daemons[i] = ramp.Daemon{ID: id, Incarnation: "incarnation-" + id, Domain: domain}
	}
	return daemons
}

// describeGroups returns how many daemons were selected, for how many services this
// daemon was, and the sizes of the smallest and the largest group.
func describeGroups(selected []ramp.Delegate) string {
	sizes := map[string]int{}
	self, none := 0, 0
	for _, d := range selected {
		switch {
		case !d.Found():
			none++
		case d.Self:
			self++
			fallthrough
		default:
			sizes[d.ID]++
		}
	}
	least, most := 0, 0
	if len(sizes) > 0 {
		least = slices.Min(slices.Collect(maps.Values(sizes)))
		most = slices.Max(slices.Collect(maps.Values(sizes)))
	}
	return fmt.Sprintf("daemons=%d self=%d least=%d most=%d none=%d", len(sizes), self, least, most, none)
}
