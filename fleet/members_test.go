package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestGossipKeepsAddresses guards against a gossip message that replaces the
// sender's known address by an empty one, since a message names its sender by
// the incarnation alone.
func TestGossipKeepsAddresses(t *testing.T) {
	is := is.New(t)
	self := ramp.Daemon{ID: "d1", Incarnation: "i1", CallerAddress: "127.0.2.1:8100"}
	other := ramp.Daemon{ID: "d2", Incarnation: "i2", CallerAddress: "127.0.2.2:8100"}
	clock := ramp.SystemClock{}
	reach := NewReachability()
	f := &Follower{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Self: self, Lists: NewLists(clock, reach),
		Reachability: reach, Registrations: NewRegistrations(),
		Members: NewMembers(self, clock), OnGossip: func(ramp.GossipMessage) {},
	}
	f.applyMembers(ramp.MemberChange{ToRevision: 2, Members: []ramp.Member{
		{Daemon: self, Revision: 1}, {Daemon: other, Revision: 2},
	}})

	is.NoErr(f.Merge(ramp.GossipMessage{From: ramp.Daemon{Incarnation: other.Incarnation}}))
	is.Equal(f.Members.Addresses(""), []string{self.CallerAddress, other.CallerAddress})
}

// TestAddressesAreFew records the number of addresses per answer for several
// sizes of the fleet, and how evenly the first addresses are spread over as
// many answers as there are members.
func TestAddressesAreFew(t *testing.T) {
	tests := []struct{ members, domains int }{{1, 1}, {4, 4}, {40, 1}, {40, 4}, {2300, 18}}
	var b strings.Builder
	for _, test := range tests {
		m := NewMembers(ramp.Daemon{}, ramp.SystemClock{})
		var daemons []ramp.Daemon
		for i := range test.members {
			name := fmt.Sprintf("%04d", i)
			daemons = append(daemons, ramp.Daemon{
				ID: name, Incarnation: name, Domain: fmt.Sprint("f", i%test.domains), CallerAddress: name,
			})
		}
		m.Replace(daemons)
		first := make(map[string]int)
		for range test.members {
			first[m.Addresses("")[0]]++
		}
		most := slices.Max(slices.Collect(maps.Values(first)))
		fmt.Fprintf(&b, "members=%d domains=%d: %d addresses, %d for a caller in a domain, most in first place %d times\n",
			test.members, test.domains, len(m.Addresses("")), len(m.Addresses("f0")), most)
	}
	golden.Check(t, "addresses", b.String())
}
