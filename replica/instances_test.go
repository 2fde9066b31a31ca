package replica

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

func instance(id string, startedMillis int64, sequence uint64, state ramp.VMState) ramp.Instance {
	return ramp.Instance{
		Replica: ramp.Replica{ID: id, Address: id + ":1", Domain: "d"}, Service: "s", State: state,
		StartedMillis: startedMillis, Sequence: sequence,
	}
}

// drainBound is the drain bound in these tests.
const drainBound = 3 * time.Second

// TestGracePeriods guards against requests to a leaving replica until the very end of
// the drain bound: with a bound of 2 s, replicas without an entry were used for all of it.
func TestGracePeriods(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			for _, remove := range []func(*Instances){
				func(s *Instances) { s.MarkRemoved("r", time.Now()) },
				func(s *Instances) { s.Update(instance("r", 1, 2, ramp.Leaving), time.Now()) },
			} {
				s := NewInstances(bound, ramp.SystemClock{})
				s.Update(instance("r", 1, 1, ramp.Live), time.Now())
				remove(s)
				time.Sleep(bound * 7 / 10) // the rest is for the propagation of the change
				_, usable := s.ofService("s")[0].health(time.Now())
				is.True(!usable)
			}
		})
	}
}

// TestInstances records the health of a replica while its entry changes, is deleted and
// is written again. A naive implementation would apply every entry and every deletion
// at once, also those that are out of date or due to an outage of the store.
func TestInstances(t *testing.T) {
	const live, leaving = ramp.Live, ramp.Leaving
	type step struct {
		after  time.Duration
		change func(s *Instances)
		label  string
	}
	update := func(after time.Duration, i ramp.Instance) step {
		label := fmt.Sprintf("entry started=%d sequence=%d %s", i.StartedMillis, i.Sequence, i.State)
		return step{after, func(s *Instances) { s.Update(i, time.Now()) }, label}
	}
	remove := func(after time.Duration) step {
		return step{after, func(s *Instances) { s.MarkRemoved("r", time.Now()) }, "removed"}
	}
	expire := func(after time.Duration) step { return step{after, func(s *Instances) { s.Expire() }, "later"} }
	tests := []struct {
		name  string
		steps []step
	}{
		{
			"entry expires and is registered again",
			[]step{update(0, instance("r", 1, 1, live)), remove(0), expire(time.Second), update(0, instance("r", 1, 2, live))},
		},
		{
			"entry stays deleted",
			[]step{
				update(0, instance("r", 1, 1, live)),
				remove(0),
				expire(1900 * time.Millisecond),
				expire(100 * time.Millisecond),
			},
		},
		{
			"grace period starts at the first of two deletions",
			[]step{
				update(0, instance("r", 1, 1, live)),
				remove(0),
				remove(1500 * time.Millisecond),
				expire(500 * time.Millisecond),
			},
		},
		{
			"draining",
			[]step{
				update(0, instance("r", 1, 1, live)),
				update(0, instance("r", 1, 2, leaving)),
				expire(900 * time.Millisecond),
				expire(100 * time.Millisecond),
			},
		},
		{
			"older entry arrives late",
			[]step{update(0, instance("r", 1, 5, leaving)), update(time.Second, instance("r", 1, 4, live))},
		},
		{
			"restart under the same id",
			[]step{update(0, instance("r", 1, 9, leaving)), update(time.Second, instance("r", 2, 1, live))},
		},
		{"entry of an earlier start", []step{update(0, instance("r", 2, 1, live)), update(0, instance("r", 1, 9, leaving))}},
		{
			"entry vanishes while it drains, and is written again",
			[]step{
				update(0, instance("r", 1, 1, live)),
				update(0, instance("r", 1, 2, leaving)),
				remove(3 * time.Second),
				expire(2 * time.Second),
				update(time.Second, instance("r", 1, 3, leaving)),
			},
		},
		{
			"entry vanishes, and is written again as draining",
			[]step{
				update(0, instance("r", 1, 1, live)),
				remove(0),
				expire(2 * time.Second),
				update(4*time.Second, instance("r", 1, 2, leaving)),
			},
		},
		{
			"entry vanishes, and is written again as draining within its grace period",
			[]step{
				update(0, instance("r", 1, 1, live)),
				remove(0),
				update(1500*time.Millisecond, instance("r", 1, 2, leaving)),
				expire(500 * time.Millisecond),
			},
		},
		{
			"entry vanishes, is written again, and later drains",
			[]step{
				update(0, instance("r", 1, 1, live)),
				remove(0),
				expire(2 * time.Second),
				update(time.Second, instance("r", 1, 2, live)),
				update(5*time.Second, instance("r", 1, 3, leaving)),
			},
		},
		{
			"drains twice",
			[]step{
				update(0, instance("r", 1, 1, live)),
				update(0, instance("r", 1, 2, leaving)),
				update(500*time.Millisecond, instance("r", 1, 3, live)),
				update(time.Second, instance("r", 1, 4, leaving)),
			},
		},
		{
			"drains, and restarts under the same id",
			[]step{
				update(0, instance("r", 1, 1, live)),
				update(0, instance("r", 1, 2, leaving)),
				update(time.Second, instance("r", 2, 1, live)),
				update(time.Second, instance("r", 2, 2, leaving)),
			},
		},
		{
			"drains for longer than departures are remembered",
			[]step{
				update(0, instance("r", 1, 1, live)),
				update(0, instance("r", 1, 2, leaving)),
				expire(departureLife),
				update(0, instance("r", 1, 3, leaving)),
			},
		},
		{"first entry that is seen says draining", []step{update(0, instance("r", 1, 7, leaving))}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s := NewInstances(drainBound, ramp.SystemClock{})
			fmt.Fprintf(&b, "%s\n", test.name)
			for _, step := range test.steps {
				time.Sleep(step.after)
				step.change(s)
				fmt.Fprintf(&b, "  %s: %s\n", step.label, describe(s))
			}
		})
	}
	golden.Check(t, "instances", b.String())
}

// describe returns the health of the first replica.
func describe(s *Instances) string {
	all := s.ofService("s")
	if len(all) == 0 {
		return "unknown"
	}
	health, ok := all[0].health(time.Now())
	return fmt.Sprintf("%s usable=%t", health, ok)
}

// wholeLimits gives this daemon all of every limit. It implements [ramp.LimitSharer].
type wholeLimits struct{}

// Share implements [ramp.LimitSharer].
func (wholeLimits) Share(_ ramp.Replica, limit float64) ramp.LimitShare {
	return ramp.LimitShare{Rate: limit, ProbeInterval: 5 * time.Second}
}

// newTestPicker returns a picker of a daemon in the failure domain d that is alone.
func newTestPicker(s *Instances) *Picker {
	return NewPicker(s, "d", wholeLimits{}, slog.New(slog.DiscardHandler), ramp.SystemClock{})
}

// TestPick records which replica gets the next attempt.
func TestPick(t *testing.T) {
	endedAttempt := func(id string, outcome ramp.Outcome, elapsed time.Duration) ramp.Attempt {
		a := ramp.Attempt{Replica: ramp.Replica{ID: id, Address: id + ":1"}, Pick: ramp.PickInfo{StartedMillis: 1}}
		return a.WithOutcome(outcome, elapsed, true)
	}
	displace := func(p *Picker, id string) {
		p.stats.Update(id, func(s replicaStats) replicaStats {
			return s.withAttempt(instance(id, 1, 1, ramp.Live), time.Now())
		})
		p.Done(endedAttempt(id, ramp.Misdirected, time.Millisecond))
	}
	say := func(p *Picker, id string, signals ramp.Signals) {
		p.stats.Update(id, func(s replicaStats) replicaStats {
			return s.withAttempt(instance(id, 1, 1, ramp.Live), time.Now())
		})
		a := endedAttempt(id, ramp.Merged, time.Millisecond)
		a.Signals = &signals
		p.Done(a)
	}
	const room = 9
	tests := []struct {
		name    string
		prepare func(p *Picker, s *Instances)
	}{
		{"own failure domain preferred", func(*Picker, *Instances) {}},
		{"own failure domain has a queue", func(p *Picker, _ *Instances) {
			for range 7 {
				p.stats.Update("near", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("near", 1, 1, ramp.Live), time.Now())
				})
			}
		}},
		{"stalled replica", func(p *Picker, _ *Instances) {
			for range 2 {
				p.stats.Update("near", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("near", 1, 1, ramp.Live), time.Now())
				})
			}
			time.Sleep(50 * time.Millisecond)
		}},
		{"three consecutive failures", func(p *Picker, _ *Instances) {
			for range 3 {
				p.stats.Update("near", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("near", 1, 1, ramp.Live), time.Now())
				})
				p.Done(endedAttempt("near", ramp.Unreachable, time.Millisecond))
			}
		}},
		{"three consecutive failures before a restart", func(p *Picker, s *Instances) {
			for range 3 {
				p.stats.Update("near", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("near", 1, 1, ramp.Live), time.Now())
				})
				p.Done(endedAttempt("near", ramp.Unreachable, time.Millisecond))
			}
			s.Update(instance("near", 2, 1, ramp.Live), time.Now())
		}},
		{"address belongs to another replica", func(p *Picker, _ *Instances) { displace(p, "near") }},
		{"addresses of all replicas belong to others", func(p *Picker, _ *Instances) {
			displace(p, "near")
			displace(p, "far")
		}},
		{"entry written again after another replica answered", func(p *Picker, s *Instances) {
			displace(p, "near")
			displace(p, "far")
			time.Sleep(time.Second)
			s.Update(instance("near", 1, 2, ramp.Live), time.Now())
		}},
		{"entry deleted after another replica answered", func(p *Picker, s *Instances) {
			displace(p, "near")
			displace(p, "far")
			s.MarkRemoved("near", time.Now())
		}},
		{"restart after another replica answered", func(p *Picker, s *Instances) {
			displace(p, "near")
			displace(p, "far")
			s.Update(instance("near", 2, 1, ramp.Live), time.Now())
		}},
		{"long after another replica answered", func(p *Picker, _ *Instances) {
			displace(p, "near")
			displace(p, "far")
			time.Sleep(displacedLife)
		}},
		{"replica says that it leaves", func(p *Picker, _ *Instances) { say(p, "near", ramp.Signals{Leaving: true}) }},
		{"the only replica says that it leaves", func(p *Picker, s *Instances) {
			s.MarkRemoved("far", time.Now())
			time.Sleep(deregisteredGrace)
			say(p, "near", ramp.Signals{Leaving: true})
		}},
		{"the only replica said that it leaves, and no longer does", func(p *Picker, s *Instances) {
			s.MarkRemoved("far", time.Now())
			time.Sleep(deregisteredGrace)
			say(p, "near", ramp.Signals{Leaving: true})
			time.Sleep(drainBound / 2)
			say(p, "near", ramp.Signals{})
		}},
		{"replica restarts after it said that it leaves", func(p *Picker, s *Instances) {
			say(p, "near", ramp.Signals{Leaving: true})
			time.Sleep(drainBound)
			s.Update(instance("near", 2, 1, ramp.Live), time.Now())
		}},
		{"its entry is older than what the replica says", func(p *Picker, s *Instances) {
			s.Update(instance("near", 1, 2, ramp.Leaving), time.Now())
			s.MarkRemoved("far", time.Now())
			time.Sleep(drainBound / 2)
			say(p, "near", ramp.Signals{Leaving: true})
		}},
		{"replica refuses for a time", func(p *Picker, _ *Instances) {
			say(p, "near", ramp.Signals{RetryAfter: 2 * time.Second})
		}},
		{"all replicas refuse for a time", func(p *Picker, _ *Instances) {
			say(p, "near", ramp.Signals{RetryAfter: 2 * time.Second})
			say(p, "far", ramp.Signals{RetryAfter: time.Second})
		}},
		{"another response while a replica refuses", func(p *Picker, _ *Instances) {
			say(p, "near", ramp.Signals{RetryAfter: 2 * time.Second})
			say(p, "far", ramp.Signals{RetryAfter: 2 * time.Second})
			say(p, "near", ramp.Signals{})
			say(p, "far", ramp.Signals{RetryAfter: time.Second})
		}},
		{"after the time for which a replica refuses", func(p *Picker, _ *Instances) {
			say(p, "near", ramp.Signals{RetryAfter: 2 * time.Second})
			say(p, "far", ramp.Signals{RetryAfter: time.Minute})
			time.Sleep(2 * time.Second)
		}},
		{"replica that refuses restarts", func(p *Picker, s *Instances) {
			say(p, "near", ramp.Signals{RetryAfter: time.Minute})
			say(p, "far", ramp.Signals{RetryAfter: time.Minute})
			s.Update(instance("near", 2, 1, ramp.Live), time.Now())
		}},
		{"preferred replica saturated", func(p *Picker, _ *Instances) {
			for range room {
				p.stats.Update("near", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("near", 1, 1, ramp.Live), time.Now())
				})
			}
		}},
		{"all replicas saturated", func(p *Picker, _ *Instances) {
			for range room {
				p.stats.Update("near", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("near", 1, 1, ramp.Live), time.Now())
				})
				p.stats.Update("far", func(s replicaStats) replicaStats {
					return s.withAttempt(instance("far", 1, 1, ramp.Live), time.Now())
				})
			}
		}},
		{"entry deleted", func(_ *Picker, s *Instances) { s.MarkRemoved("near", time.Now()) }},
		{"draining replica is the only one", func(_ *Picker, s *Instances) {
			s.Update(instance("near", 1, 2, ramp.Leaving), time.Now())
			s.MarkRemoved("far", time.Now())
			time.Sleep(deregisteredGrace)
			s.Update(instance("near", 2, 2, ramp.Live), time.Now())
			s.Update(instance("near", 2, 3, ramp.Leaving), time.Now())
		}},
		{"only replica past its grace period for draining", func(_ *Picker, s *Instances) {
			s.Update(instance("near", 1, 2, ramp.Leaving), time.Now())
			s.MarkRemoved("far", time.Now())
			time.Sleep(deregisteredGrace)
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s := NewInstances(drainBound, ramp.SystemClock{})
			far := instance("far", 1, 1, ramp.Live)
			far.Domain = "other"
			s.Update(instance("near", 1, 1, ramp.Live), time.Now())
			s.Update(far, time.Now())
			p := newTestPicker(s)
			test.prepare(p, s)
			i, info, ok := p.Pick(ramp.PickRequest{Service: "s", Limit: room})
			fmt.Fprintf(&b, "%s: %s %s found=%t", test.name, i.ID, info.Health, ok)
			if info.Throttled > 0 {
				fmt.Fprintf(&b, " throttled=%d delay=%s", info.Throttled, info.Delay)
			}
			fmt.Fprintln(&b)
		})
	}
	golden.Check(t, "pick", b.String())
}
