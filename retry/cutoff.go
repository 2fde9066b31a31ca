package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Time reserved before the cut-off to merge the answer and send it.
const (
	maxMergeReserve     = 5 * time.Millisecond
	mergeReserveDivisor = 10 // the reserve is at most the query's whole time divided by this
)

// Patience waits for missing shards until the deadline for plans that prefer coverage,
// and until the latency objective for plans that prefer tail latency. It implements
// [ramp.StragglerPolicy].
type Patience struct{}

// Cutoff implements [ramp.StragglerPolicy].
func (Patience) Cutoff(q ramp.Query, a ramp.Allowance, admitted time.Time) time.Time {
	cutoff := q.Deadline
	objective := admitted.Add(a.Latency)
	if q.Operation == ramp.Search && a.Prefer == ramp.PreferTail && objective.Before(cutoff) {
		cutoff = objective
	}
	return cutoff.Add(-min(maxMergeReserve, cutoff.Sub(admitted)/mergeReserveDivisor))
}
