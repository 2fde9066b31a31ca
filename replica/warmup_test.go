package replica

import (
	"bytes"
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

// coldRouting states that replicas of the service s start cold. It implements
// [ramp.RoutingSource].
type coldRouting struct{ rate float64 }

// Current implements [ramp.RoutingSource].
func (c coldRouting) Current() (ramp.Routing, bool) {
	return ramp.Routing{Warmups: map[string]ramp.Warmup{"s": {Duration: 10 * time.Second, Rate: c.rate}}}, true
}

// wholeRate gives this daemon all of every rate. It implements [ramp.ColdSharer].
type wholeRate struct{}

// ColdRate implements [ramp.ColdSharer].
func (wholeRate) ColdRate(_ ramp.Instance, limit ramp.ColdLimit) float64 { return limit.Rate }

// cold returns the entry of a replica that says that it is cold for the given time.
func cold(sequence uint64, left time.Duration) ramp.Instance {
	i := instance("cold", 1, sequence, ramp.Live)
	i.WarmupLeft = left
	return i
}

// TestColdReplica records how many requests in each second a daemon that has a request every
// 10 ms sends to a replica that is cold for some time, and to one that is warm. It guards against
// requests beyond the rate of a cold replica, also when it becomes cold again, and against a
// limit on deployments that state none.
func TestColdReplica(t *testing.T) {
	const rate = 20
	tests := []struct {
		name   string
		rate   float64
		other  bool // there is a warm replica besides
		change func(second int, s *Instances, p *Picker)
	}{
		{"no other", rate, false, func(int, *Instances, *Picker) {}},
		{"another one is warm", rate, true, func(int, *Instances, *Picker) {}},
		{"no rate", 0, false, func(int, *Instances, *Picker) {}},
		{"entry says that it is cold again", rate, false, func(second int, s *Instances, _ *Picker) {
			if second == 4 {
				s.Update(cold(2, time.Second), time.Now())
			}
		}},
		{"response says that it is cold again", rate, false, func(second int, _ *Instances, p *Picker) {
			if second == 4 {
				say(p, "cold", ramp.Signals{}.WithWarmup(time.Second))
			}
		}},
		{"response says that it is not cold", rate, false, func(second int, _ *Instances, p *Picker) {
			if second == 1 {
				say(p, "cold", ramp.Signals{}.WithWarmup(0))
			}
		}},
		{"restart", rate, false, func(second int, s *Instances, _ *Picker) {
			if second == 4 {
				i := cold(1, time.Second)
				i.StartedMillis = 2
				s.Update(i, time.Now())
			}
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s := NewInstances(drainBound, ramp.SystemClock{})
			s.Update(cold(1, 2500*time.Millisecond), time.Now())
			if test.other {
				s.Update(instance("warm", 1, 1, ramp.Live), time.Now())
			}
			p := newTestPicker(s).WithRouting(coldRouting{test.rate}, wholeRate{})
			fmt.Fprintf(&b, "%s:", test.name)
			for second := range 6 {
				test.change(second, s, p)
				counts := make(map[string]int)
				for range 100 {
					i, info, _ := p.Pick(ramp.PickRequest{Service: "s", Limit: 1 << 20})
					counts[i.ID]++
					p.Done(ramp.Attempt{Replica: i.Replica, Pick: info}.WithOutcome(ramp.Merged, 9*time.Millisecond, true))
					time.Sleep(10 * time.Millisecond)
				}
				if !test.other { // which of two warm replicas gets more is not determined
					fmt.Fprintf(&b, " limited=%t", counts["cold"] <= rate+1)
				}
				fmt.Fprintf(&b, " refused=%t", counts[""] > 0)
			}
			fmt.Fprintln(&b)
		})
	}
	golden.Check(t, "cold", b.String())
}

// say lets the replica, which has started once, answer with the signals.
func say(p *Picker, id string, s ramp.Signals) {
	p.stats.Update(id, func(old replicaStats) replicaStats {
		return old.withAttempt(instance(id, 1, 1, ramp.Live), time.Now())
	})
	a := ramp.Attempt{
		Replica: ramp.Replica{ID: id, Address: id + ":1"}, Pick: ramp.PickInfo{StartedMillis: 1}, Signals: &s,
	}
	p.Done(a.WithOutcome(ramp.Merged, time.Millisecond, true))
}

// TestTokensOfColdReplica guards against concurrent attempts that all use one token, and against
// a token that is used again after its request was not sent, which might still be on its way in
// the same second.
func TestTokensOfColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewInstances(drainBound, ramp.SystemClock{})
		s.Update(cold(1, time.Minute), time.Now())
		p := newTestPicker(s).WithRouting(coldRouting{1}, wholeRate{})
		_, info, found := p.Pick(ramp.PickRequest{Service: "s", Limit: 9})
		is.True(!found) // a new bucket is empty
		is.Equal(info.Delay, time.Second)
		time.Sleep(time.Minute / 2)
		picked := make(chan bool)
		for range 16 {
			go func() {
				i, info, found := p.Pick(ramp.PickRequest{Service: "s", Limit: 9})
				p.Done(ramp.Attempt{Replica: i.Replica, Pick: info}.WithOutcome(ramp.NotStarted, 0, false))
				picked <- found
			}()
		}
		count := 0
		for range 16 {
			if <-picked {
				count++
			}
		}
		is.Equal(count, 1)
		delay, usable := p.Delay("s")
		is.True(usable)
		is.Equal(delay, time.Second)
		time.Sleep(29500 * time.Millisecond) // the rest of the warm-up time is shorter than the delay
		p.Pick(ramp.PickRequest{Service: "s", Limit: 9})
		delay, _ = p.Delay("s")
		is.Equal(delay, 500*time.Millisecond)
	})
}

// TestDomainsOfColdReplicas guards against parts that are asked for where the replicas are cold
// although another domain has a warm one, and against a service whose replicas are all cold and
// that is not asked for at the daemons that have the share of its rate.
func TestDomainsOfColdReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewInstances(drainBound, ramp.SystemClock{})
		s.Update(cold(1, time.Minute), time.Now())
		p := newTestPicker(s).WithRouting(coldRouting{1}, wholeRate{})
		is.Equal(p.Domains("s"), []string{"d"})
		is.True(!p.Near("s")) // there is no token yet
		time.Sleep(time.Second)
		is.True(p.Near("s"))
		warm := instance("warm", 1, 1, ramp.Live)
		warm.Domain = "other"
		s.Update(warm, time.Now())
		is.Equal(p.Domains("s"), []string{"other"})
		time.Sleep(time.Minute)
		is.Equal(p.Domains("s"), []string{"d", "other"})
	})
}

// TestReportedLoad guards against a log line for each response of replicas that report their
// load, and against a load without the time at which it was heard.
func TestReportedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewInstances(drainBound, ramp.SystemClock{})
		i := instance("r", 1, 1, ramp.Live)
		s.Update(i, time.Now())
		var log bytes.Buffer
		p := NewPicker(s, "d", wholeLimits{}, slog.New(slog.NewTextHandler(&log, nil)), ramp.SystemClock{})
		for n := range 5 {
			say(p, "r", ramp.Signals{}.WithLoad(ramp.ReplicaLoad{Running: n, Slots: 8, Slowdown: 1}).WithWarmup(time.Second))
			time.Sleep(2 * signalsLogInterval)
		}
		heardAt := time.Now().Add(-2 * signalsLogInterval)
		say(p, "r", ramp.Signals{}) // without a load
		is.Equal(log.String(), "")
		stats, _ := p.stats.Get("r")
		is.Equal(stats.load, reportedLoad{ReplicaLoad: ramp.ReplicaLoad{Running: 4, Slots: 8, Slowdown: 1}, heardAt: heardAt})
		is.Equal(p.Views()[0].LoadAge, 2*signalsLogInterval)
		say(p, "r", ramp.Signals{Leaving: true})
		is.Equal(strings.Count(log.String(), "replica signals changed"), 1)
		i.StartedMillis = 2
		s.Update(i, time.Now())
		is.Equal(p.Views()[0].Load, ramp.ReplicaLoad{}) // of an earlier start
	})
}
