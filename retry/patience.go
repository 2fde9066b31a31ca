package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Time kept back at the end of a query to merge and send its answer.
const (
	mergeTime  = 5 * time.Millisecond
	mergeShare = 10 // and never more than this part of the whole time
)

// Patience waits for missing shards until the deadline for plans that prefer
// coverage, and until the latency objective for plans that prefer the tail. It
// implements [ramp.StragglerPolicy].
type Patience struct{}

// Cutoff implements [ramp.StragglerPolicy].
func (Patience) Cutoff(q ramp.Query, a ramp.Allowance, admitted time.Time) time.Time {
	last := q.Deadline
	objective := admitted.Add(a.Latency)
	if q.Operation == ramp.Search && a.Prefer == ramp.PreferTail && objective.Before(last) {
		last = objective
	}
	return last.Add(-min(mergeTime, last.Sub(admitted)/mergeShare))
}
