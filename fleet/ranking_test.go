package fleet

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestRanked guards against keys that change their first daemon without need, and against
// a leaving daemon that hides the one that follows it.
func TestRanked(t *testing.T) {
	is := is.New(t)
	daemons := groupDaemons("near", 38)
	m := NewMembers(daemons[0], ramp.SystemClock{})
	m.Update(daemons)
	before := m.Ranked("key", 3)
	is.Equal(len(before), 3)
	m.MarkSilent(before[0].Incarnation)
	m.MarkSeen(before[1].WithLeaving())
	after := m.Ranked("key", 3)
	is.Equal(len(after), 4)
	for i := range before {
		is.Equal(after[i].ID, before[i].ID)
	}
	is.True(after[0].Unresponsive)
	is.True(after[1].Leaving)
	moved := 0
	m.Update(daemons)
	for i := range 780 {
		key := fmt.Sprint("tenant", i)
		first := m.Ranked(key, 1)[0]
		m.Update(daemons[:37])
		if m.Ranked(key, 1)[0].ID != first.ID {
			moved++
			is.Equal(first.ID, daemons[37].ID)
		}
		m.Update(daemons)
	}
	is.True(moved > 5 && moved < 40) // one in 38 on average
}

// TestMajority records whether a daemon takes itself to be in contact with a majority. A
// daemon that is cut off with its failure domain, whose members it calls more often than
// others, must not.
func TestMajority(t *testing.T) {
	tests := []struct {
		name                     string
		near, far                int // members of the own domain, this daemon included, and of another one
		nearAnswered, nearFailed int // calls to different members
		farAnswered, farFailed   int
	}{
		{"no call yet", 10, 20, 0, 0, 0, 0},
		{"alone", 1, 0, 0, 0, 0, 0},
		{"alone of two", 2, 0, 0, 1, 0, 0},
		{"all answer", 10, 20, 5, 0, 5, 0},
		{"cut off with the domain", 10, 20, 9, 0, 0, 2},
		{"cut off with the larger domain", 20, 10, 9, 0, 0, 2},
		{"cut off alone", 10, 20, 0, 3, 0, 3},
		{"a third does not answer", 10, 20, 4, 2, 8, 4},
	}
	var b strings.Builder
	for _, test := range tests {
		near, far := groupDaemons("near", test.near), groupDaemons("far", test.far)
		m := NewMembers(near[0], ramp.SystemClock{})
		m.Update(append(near, far...))
		record := func(daemons []ramp.Daemon, answered, failed int) {
			for i := range answered + failed {
				m.RecordCall(daemons[i].Incarnation, i < answered)
			}
		}
		record(near[1:], test.nearAnswered, test.nearFailed)
		record(far, test.farAnswered, test.farFailed)
		fmt.Fprintf(&b, "%s: %t\n", test.name, m.HasMajority())
	}
	golden.Check(t, "majority", b.String())
}

// TestCutOffThirdHasNoMajority guards against a daemon that is cut off with a third of the
// fleet, calls these again and again, and takes their answers for those of a majority: it
// would keep an account that the others have moved.
func TestCutOffThirdHasNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		daemons := groupDaemons("d", 29)
		m := NewMembers(daemons[0], ramp.SystemClock{})
		m.Update(daemons)
		for period := range 30 { // 12 s
			for _, d := range daemons[1:10] {
				m.RecordCall(d.Incarnation, true)
			}
			m.RecordCall(daemons[10+period%19].Incarnation, false) // one silent member in each period
			time.Sleep(observerGossipPeriod)
			if since := time.Duration(period) * observerGossipPeriod; since > 2*majorityWindow && m.HasMajority() {
				t.Fatalf("has a majority after %s", since)
			}
		}
		for _, d := range daemons[10:] {
			m.MarkSeen(d)
		}
		if !m.HasMajority() {
			t.Error("has no majority after all members were seen again")
		}
	})
}
