package burn

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

var testPlan = ramp.Allowance{
	Plan: "p", Services: []string{"s"}, Latency: 100 * time.Millisecond, Coverage: 0.99,
}

// answer returns an answer with one attempt that covers the given share.
func answer(elapsed time.Duration, covered float64, outcome ramp.Outcome) ramp.Answer {
	a := ramp.Answer{Requested: ramp.KeySpace, Elapsed: elapsed, Attempts: []ramp.Attempt{{Outcome: outcome}}}
	a.Coverage, _ = ramp.NewCoverage(ramp.KeyRange{High: uint64(covered * float64(ramp.KeySpace.High))})
	return a
}

// TestBurn checks the burn rates, alert states and causes over phases with
// different failures, merged from the counts of two daemons.
func TestBurn(t *testing.T) {
	clock := &manualClock{now: time.Unix(60000, 0)}
	first, second := NewRecorder(clock), NewRecorder(clock)
	var b strings.Builder
	for _, phase := range []struct {
		name    string
		minutes int
		answer  ramp.Answer
		err     error
	}{
		{"healthy", 30, answer(time.Millisecond, 1, ramp.Merged), nil},
		{"stragglers", 5, answer(time.Second, 1, ramp.Merged), nil},
		{"unreachable replica", 5, answer(time.Millisecond, 0.5, ramp.Unreachable), nil},
		{"replicas shed", 5, answer(time.Second, 0.5, ramp.Shed), nil},
		{"share exhausted", 10, ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonShare}},
		{"daemon sheds", 5, ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonLoad}},
		{"healthy again", 30, answer(time.Millisecond, 1, ramp.Merged), nil},
		{"an hour later", 60, answer(time.Millisecond, 1, ramp.Merged), nil},
	} {
		for range phase.minutes {
			clock.now = clock.now.Add(time.Minute)
			for range 10 {
				q := ramp.Query{Customer: "c", Plan: "p", Service: "s"}
				first.Observe(q, testPlan, phase.answer, phase.err)
				second.Observe(q, testPlan, phase.answer, phase.err)
				second.Observe(ramp.Query{}, testPlan, phase.answer, phase.err) // has no plan, so it is ignored
			}
		}
		for _, s := range Merge(first.Report(), second.Report()) {
			r := s.Rates(clock.now.Unix() / 60)
			fmt.Fprintf(&b, "%s: requests=%d\n", phase.name, r.Requests)
			for _, rate := range []Rate{r.Latency, r.Coverage} {
				cause := "-"
				if rate.Cause < NumCauses {
					cause = rate.Cause.String()
				}
				fmt.Fprintf(&b, "  short=%.1f long=%.1f state=%s cause=%s\n", rate.Short, rate.Long, rate.State(), cause)
			}
		}
	}
	golden.Check(t, "burn", b.String())
}

// TestObserveRelay checks how relayed messages are counted and which cause they
// are attributed to.
func TestObserveRelay(t *testing.T) {
	parts := ramp.Route{
		Name: "parts", Objective: 100 * time.Millisecond, Gather: []string{"a", "b", "c", "d"}, MinCoverage: 0.75,
	}
	one := ramp.Route{Name: "one", Timeout: time.Second, Split: []ramp.WeightedService{{Service: "a", Weight: 1}}}
	withOutcomes := func(outcomes ...ramp.Outcome) []ramp.Attempt {
		var attempts []ramp.Attempt
		for _, o := range outcomes {
			attempts = append(attempts, ramp.Attempt{Outcome: o})
		}
		return attempts
	}
	refused := func(reason ramp.Reason) error { return &ramp.RefusedError{Reason: reason} }
	stamps := []string{"s"}
	var b strings.Builder
	for _, test := range []struct {
		name   string
		result ramp.RelayResult
		err    error
	}{
		{"no route", ramp.RelayResult{}, refused(ramp.ReasonRoute)},
		{"complete", ramp.RelayResult{Route: parts, Stamps: stamps, TotalParts: 4}, nil},
		{"late including the wait before arrival", ramp.RelayResult{
			Route: parts, Stamps: stamps, TotalParts: 4, PriorWait: 60 * time.Millisecond, Elapsed: 60 * time.Millisecond,
			Attempts: withOutcomes(ramp.Merged, ramp.Cancelled),
		}, nil},
		{"missing part", ramp.RelayResult{
			Route: parts, Stamps: stamps, TotalParts: 4, MissingParts: 1, Attempts: withOutcomes(ramp.Merged, ramp.Misdirected),
		}, nil},
		{"status 500 from a replica", ramp.RelayResult{
			Route: one, TotalParts: 1, Response: ramp.Response{Status: 500}, Attempts: withOutcomes(ramp.Failed),
		}, nil},
		{"status 404 from a replica", ramp.RelayResult{Route: one, TotalParts: 1, Response: ramp.Response{Status: 404}}, nil},
		{
			"shed by replicas",
			ramp.RelayResult{Route: one, TotalParts: 1, Attempts: withOutcomes(ramp.Shed)},
			refused(ramp.ReasonReplica),
		},
		{"caller disconnected in time", ramp.RelayResult{Route: parts, TotalParts: 4}, refused(ramp.ReasonCaller)},
		{"caller disconnected late", ramp.RelayResult{
			Route: parts, TotalParts: 4, Elapsed: time.Second, Attempts: withOutcomes(ramp.Cancelled),
		}, refused(ramp.ReasonCaller)},
	} {
		l := NewRecorder(&manualClock{now: time.Unix(60000, 0)})
		l.ObserveRelay(test.result, test.err)
		fmt.Fprintf(&b, "%s:", test.name)
		for _, s := range l.Report() {
			m := s.Minutes[0]
			fmt.Fprintf(&b, " %s requests=%d slow=%d missing=%.2f", s.Service, m.Requests, m.Slow, m.Missing)
			for i, p := range m.ByCause {
				if p != (CauseCounts{}) {
					fmt.Fprintf(&b, " cause=%s", Cause(i))
				}
			}
		}
		fmt.Fprintln(&b)
	}
	golden.Check(t, "deliveries", b.String())
}

// TestSeriesLimit checks that the number of series is bounded, that requests beyond
// the limit count for the plan's other customers, and that series without requests
// in the last hour are evicted.
func TestSeriesLimit(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(60000, 0)}
	l := NewRecorder(clock)
	observe := func(n int) {
		l.Observe(ramp.Query{Customer: strconv.Itoa(n), Plan: "p", Service: "s"}, testPlan, answer(0, 1, ramp.Merged), nil)
	}
	for n := range MaxSeries + 10 {
		observe(n)
	}
	is.Equal(len(l.series), MaxSeries+1) // one more for the other customers
	is.Equal(l.series[key{OtherCustomers, "p", "s"}].lastHour(clock.now.Unix() / 60)[0].Requests, 10)
	clock.now = clock.now.Add(2 * time.Hour)
	observe(MaxSeries + 20)
	is.Equal(len(l.Report()), 1)
	is.Equal(len(l.series), 1)
}
