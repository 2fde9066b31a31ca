package query

import (
	"fmt"
	"strings"
	"testing"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestTraceStore fills a store with a capacity of 20 attempts and records which
// ordinary and notable traces remain. The naive store has one queue for both
// kinds.
func TestTraceStore(t *testing.T) {
	naive := NewTraceStore(20)
	naive.notable.capacity, naive.ordinary.capacity = 20, 0
	var b strings.Builder
	fmt.Fprintf(&b, "two queues: kept=%s\n", addTraces(NewTraceStore(20), false))
	fmt.Fprintf(&b, "one queue: kept=%s\n", addTraces(naive, true))
	golden.Check(t, "accounts", b.String())
}

// addTraces adds one refusal and one hedged answer, then many ordinary answers,
// and returns the ids that were kept. With same set, the ordinary answers count
// as notable.
func addTraces(s *TraceStore, same bool) string {
	whole, _ := ramp.NewCoverage(ramp.KeySpace)
	ordinary := ramp.Answer{Requested: ramp.KeySpace, Coverage: whole}.WithHits([]ramp.Hit{{Key: "k"}}).
		WithAttempts([]ramp.Attempt{{Kind: ramp.First, Query: ramp.Query{Body: "confidential"}}})
	hedged := ordinary.WithAttempts([]ramp.Attempt{{Kind: ramp.First}, {Kind: ramp.Hedge}})
	observe := s.Observe(ramp.SystemClock{}, func(ramp.Query, ramp.Allowance, ramp.Answer, error) {})
	ids := []string{"refused", "hedged"}
	observe(ramp.Query{ID: "refused"}, ramp.Allowance{}, ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonLoad})
	observe(ramp.Query{ID: "hedged", Body: "confidential"}, ramp.Allowance{}, hedged, nil)
	for i := range 30 {
		id := fmt.Sprint("ordinary", i)
		ids = append(ids, id)
		a := newTrace(ramp.Query{ID: id, Body: "confidential"}, ordinary, nil, time.Time{})
		if same {
			a.Refused = &ramp.RefusedError{}
		}
		s.Add(a)
	}
	var kept []string
	for _, id := range ids {
		if a, ok := s.Find(id); ok {
			kept = append(kept, id)
			if strings.Contains(fmt.Sprint(a), "confidential") || len(a.Answer.Hits) > 0 {
				kept = append(kept, "with content")
			}
		}
	}
	return strings.Join(kept, ",")
}
