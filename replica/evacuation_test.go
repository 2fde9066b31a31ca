package replica

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

// evacuationStep changes something of a service with the replica near in the failure domain d,
// which is the daemon's own, and far in another one.
type evacuationStep struct {
	label  string
	after  time.Duration
	change func(s *Instances)
}

func evacuate(domain string, evacuated bool) func(s *Instances) {
	return func(s *Instances) { s.SetEvacuated(domain, evacuated, time.Now()) }
}

// TestEvacuation records what a picker does while failure domains are evacuated. It guards
// against requests to an evacuated domain when no other replica is left, and against an
// evacuation whose end brings back a replica that left meanwhile.
func TestEvacuation(t *testing.T) {
	tests := []struct {
		name  string
		steps []evacuationStep
	}{
		{"own domain", []evacuationStep{
			{"evacuated", 0, evacuate("d", true)},
			{"the other replica leaves", time.Minute, func(s *Instances) { s.Update(leavingFar(), time.Now()) }},
			{"its grace period is over", time.Minute, func(*Instances) {}},
			{"ended", 0, evacuate("d", false)},
		}},
		{"all domains", []evacuationStep{
			{"evacuated", 0, evacuate("d", true)},
			{"the other one as well", 0, evacuate("other", true)},
			{"long after", time.Hour, func(s *Instances) { s.Expire() }},
			{"one ended", 0, evacuate("other", false)},
		}},
		{"replica leaves meanwhile", []evacuationStep{
			{"evacuated", 0, evacuate("d", true)},
			{"drains", 0, func(s *Instances) { s.Update(instance("near", 1, 2, ramp.Leaving), time.Now()) }},
			{"ended", time.Minute, evacuate("d", false)},
			{"long after", time.Hour, func(s *Instances) { s.Expire() }},
		}},
		{"evacuated again", []evacuationStep{
			{"evacuated", 0, evacuate("d", true)},
			{"ended", time.Second, evacuate("d", false)},
			{"evacuated again", time.Second, evacuate("d", true)},
		}},
		{"replica registers meanwhile", []evacuationStep{
			{"evacuated", 0, evacuate("d", true)},
			{"new start", 0, func(s *Instances) { s.Update(instance("near", 2, 1, ramp.Live), time.Now()) }},
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s, p := newEvacuationPicker()
			fmt.Fprintln(&b, test.name)
			for _, step := range test.steps {
				time.Sleep(step.after)
				step.change(s)
				i, info, found := p.Pick(ramp.PickRequest{Service: "s", Limit: 9})
				if found {
					p.Done(ramp.Attempt{Replica: i.Replica, Pick: info}.WithOutcome(ramp.Merged, time.Millisecond, true))
				}
				_, usable := p.Delay("s")
				fmt.Fprintf(&b, "  %s: evacuated=%v picked=%q domains=%v near=%t any=%t opening=%t\n", step.label, s.Evacuated(),
					i.ID, p.Domains("s"), p.Near("s"), usable, p.Usable(instance("near", 1, 1, ramp.Live)))
			}
		})
	}
	golden.Check(t, "evacuation", b.String())
}

func leavingFar() ramp.Instance {
	far := instance("far", 1, 2, ramp.Leaving)
	far.Domain = "other"
	return far
}

func newEvacuationPicker() (*Instances, *Picker) {
	s := NewInstances(drainBound, ramp.SystemClock{})
	far := instance("far", 1, 1, ramp.Live)
	far.Domain = "other"
	s.Update(instance("near", 1, 1, ramp.Live), time.Now())
	s.Update(far, time.Now())
	return s, newTestPicker(s)
}

// TestLoadReturnsGradually guards against the whole load of a failure domain at once at the
// end of its evacuation, when its replicas may be cold, and against a domain that is left out
// although no other has replicas.
func TestLoadReturnsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const picks = 2000
		is := is.New(t)
		s, p := newEvacuationPicker()
		s.SetEvacuated("d", true, time.Now())
		time.Sleep(time.Minute)
		s.SetEvacuated("d", false, time.Now())
		ended := time.Now()
		for _, share := range []float64{0, 0.2, 0.6, 1} {
			time.Sleep(time.Until(ended.Add(time.Duration(share * float64(defaultReturnTime)))))
			picked, asked := 0, 0
			for range picks {
				i, info, _ := p.Pick(ramp.PickRequest{Service: "s", Limit: 1 << 20})
				p.Done(ramp.Attempt{Replica: i.Replica, Pick: info}.WithOutcome(ramp.Cancelled, 0, false))
				if i.ID == "near" {
					picked++
				}
				if p.Domains("s")[0] == "d" {
					asked++
				}
			}
			is.True(share-0.05 <= float64(picked)/picks && float64(picked)/picks <= share+0.05)
			is.True(share-0.05 <= float64(asked)/picks && float64(asked)/picks <= share+0.05)
		}
	})
}

// TestReturningDomainIsLimited guards against attempts that fill a returning replica up because
// all others are at their limit.
func TestReturningDomainIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := newEvacuationPicker()
		s.SetEvacuated("d", true, time.Now())
		s.SetEvacuated("d", false, time.Now())
		time.Sleep(defaultReturnTime / 2)
		for range 1000 {
			p.Pick(ramp.PickRequest{Service: "s", Limit: 8})
		}
		near, _ := p.stats.Get("near")
		far, _ := p.stats.Get("far")
		is.Equal(near.InFlight, 4)
		is.Equal(far.InFlight, 8)
	})
}
