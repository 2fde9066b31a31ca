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

func instance(id string, born int64, beat uint64, state ramp.VMState) ramp.Instance {
	return ramp.Instance{
		Replica: ramp.Replica{ID: id, Address: id + ":1", Domain: "d"}, Service: "s", State: state,
		StartedMillis: born, Sequence: beat,
	}
}

// drainBound is the bound on draining of the tests.
const drainBound = 3 * time.Second

// TestLimits fails when a replica that leaves may get requests up to the bound on
// draining: found with a bound of 2 s, where vanished entries were used for as
// long.
func TestLimits(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			for _, leave := range []func(*Instances){
				func(s *Instances) { s.MarkRemoved("r") },
				func(s *Instances) { s.Update(instance("r", 1, 2, ramp.Leaving)) },
			} {
				s := NewInstances(bound, ramp.SystemClock{})
				s.Update(instance("r", 1, 1, ramp.Live))
				leave(s)
				time.Sleep(bound * 7 / 10) // the rest is for the news to come
				_, usable := s.of("s")[0].footing(time.Now())
				is.True(!usable)
			}
		})
	}
}

// TestInstances records how replicas stand as their entries change, vanish and
// come back. The naive reading believes each entry and each removal at once.
func TestInstances(t *testing.T) {
	const live, leaving = ramp.Live, ramp.Leaving
	type step struct {
		after  time.Duration
		change func(s *Instances)
		what   string
	}
	learn := func(after time.Duration, i ramp.Instance) step {
		what := fmt.Sprintf("entry born=%d beat=%d %s", i.StartedMillis, i.Sequence, i.State)
		return step{after, func(s *Instances) { s.Update(i) }, what}
	}
	vanish := func(after time.Duration) step {
		return step{after, func(s *Instances) { s.MarkRemoved("r") }, "removed"}
	}
	look := func(after time.Duration) step { return step{after, func(s *Instances) { s.Expire() }, "later"} }
	tests := []struct {
		name  string
		steps []step
	}{
		{
			"lapses and comes back",
			[]step{learn(0, instance("r", 1, 1, live)), vanish(0), look(time.Second), learn(0, instance("r", 1, 2, live))},
		},
		{
			"is gone",
			[]step{learn(0, instance("r", 1, 1, live)), vanish(0), look(1900 * time.Millisecond), look(100 * time.Millisecond)},
		},
		{
			"removed twice counts from the first",
			[]step{
				learn(0, instance("r", 1, 1, live)),
				vanish(0),
				vanish(1500 * time.Millisecond),
				look(500 * time.Millisecond),
			},
		},
		{
			"drains",
			[]step{
				learn(0, instance("r", 1, 1, live)),
				learn(0, instance("r", 1, 2, leaving)),
				look(900 * time.Millisecond),
				look(100 * time.Millisecond),
			},
		},
		{
			"an old entry comes late",
			[]step{learn(0, instance("r", 1, 5, leaving)), learn(time.Second, instance("r", 1, 4, live))},
		},
		{
			"starts again under its id",
			[]step{learn(0, instance("r", 1, 9, leaving)), learn(time.Second, instance("r", 2, 1, live))},
		},
		{"an entry of the start before", []step{learn(0, instance("r", 2, 1, live)), learn(0, instance("r", 1, 9, leaving))}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s := NewInstances(drainBound, ramp.SystemClock{})
			fmt.Fprintf(&b, "%s\n", test.name)
			for _, step := range test.steps {
				time.Sleep(step.after)
				step.change(s)
				fmt.Fprintf(&b, "  %s: %s\n", step.what, standing(s))
			}
		})
	}
	golden.Check(t, "instances", b.String())
}

func standing(s *Instances) string {
	all := s.of("s")
	if len(all) == 0 {
		return "unknown"
	}
	footing, ok := all[0].footing(time.Now())
	return fmt.Sprintf("%s usable=%t", footing, ok)
}

// TestPick records which replica gets the next attempts.
func TestPick(t *testing.T) {
	done := func(id string, outcome ramp.Outcome, elapsed time.Duration) ramp.Attempt {
		a := ramp.Attempt{Replica: ramp.Replica{ID: id, Address: id + ":1"}}
		return a.WithOutcome(outcome, elapsed, true)
	}
	const room = 9
	tests := []struct {
		name string
		play func(p *Picker, s *Instances)
	}{
		{"the own failure domain first", func(*Picker, *Instances) {}},
		{"but not into a queue", func(p *Picker, _ *Instances) {
			for range 7 {
				p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
			}
		}},
		{"not one that has not replied for long", func(p *Picker, _ *Instances) {
			for range 2 {
				p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
			}
			time.Sleep(50 * time.Millisecond)
		}},
		{"not one that failed three times", func(p *Picker, _ *Instances) {
			for range 3 {
				p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
				p.Done(done("near", ramp.Unreachable, time.Millisecond))
			}
		}},
		{"one that failed before it started again", func(p *Picker, s *Instances) {
			for range 3 {
				p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
				p.Done(done("near", ramp.Unreachable, time.Millisecond))
			}
			s.Update(instance("near", 2, 1, ramp.Live))
		}},
		{"not one whose address is another's", func(p *Picker, _ *Instances) {
			p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
			p.Done(done("near", ramp.Misdirected, time.Millisecond))
		}},
		{"not one without room", func(p *Picker, _ *Instances) {
			for range room {
				p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
			}
		}},
		{"none without room", func(p *Picker, _ *Instances) {
			for range room {
				p.records.Update("near", func(r record) record { return r.placed(instance("near", 1, 1, ramp.Live), time.Now()) })
				p.records.Update("far", func(r record) record { return r.placed(instance("far", 1, 1, ramp.Live), time.Now()) })
			}
		}},
		{"not one whose entry vanished", func(_ *Picker, s *Instances) { s.MarkRemoved("near") }},
		{"one that drains when there is no other", func(_ *Picker, s *Instances) {
			s.Update(instance("near", 1, 2, ramp.Leaving))
			s.MarkRemoved("far")
			time.Sleep(returnTime)
			s.Update(instance("near", 2, 2, ramp.Live))
			s.Update(instance("near", 2, 3, ramp.Leaving))
		}},
		{"none that drained a while ago", func(_ *Picker, s *Instances) {
			s.Update(instance("near", 1, 2, ramp.Leaving))
			s.MarkRemoved("far")
			time.Sleep(returnTime)
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s := NewInstances(drainBound, ramp.SystemClock{})
			far := instance("far", 1, 1, ramp.Live)
			far.Domain = "other"
			s.Update(instance("near", 1, 1, ramp.Live))
			s.Update(far)
			p := NewPicker(s, "d", ramp.SystemClock{})
			test.play(p, s)
			i, grounds, ok := p.Pick("s", nil, room)
			fmt.Fprintf(&b, "%s: %s %s found=%t\n", test.name, i.ID, grounds.Health, ok)
		})
	}
	golden.Check(t, "pick", b.String())
}
