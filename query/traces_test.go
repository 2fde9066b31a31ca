package query

import (
	"fmt"
	"strings"
	"testing"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestAccounts keeps ordinary and notable accounts in a room for 20 attempts
// and shows which of them are left. The naive store has one queue for all.
func TestAccounts(t *testing.T) {
	naive := NewAccounts(20)
	naive.notable.capacity, naive.ordinary.capacity = 20, 0
	var b strings.Builder
	fmt.Fprintf(&b, "two queues: kept=%s\n", keepMany(NewAccounts(20), false))
	fmt.Fprintf(&b, "one queue: kept=%s\n", keepMany(naive, true))
	golden.Check(t, "accounts", b.String())
}

// keepMany keeps one refusal and one hedged answer, and then many ordinary
// answers. With same set, all of them count as notable.
func keepMany(s *Accounts, same bool) string {
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
		s.Keep(a)
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
