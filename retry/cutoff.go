package retry

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Time reserved after the cut-off, before the deadline or the latency objective, to
// merge the answer and send it.
const (
	maxMergeReserve     = 5 * time.Millisecond
	mergeReserveDivisor = 10 // the reserve is at most the query's time until then divided by this
)

// CutoffPolicy waits for missing shards until the deadline, or for searches of plans that
// prefer tail latency until the latency objective if that is earlier; in both cases
// less the reserve for merging. It implements [ramp.StragglerPolicy].
type CutoffPolicy struct{}

// Cutoff implements [ramp.StragglerPolicy].
func (CutoffPolicy) Cutoff(q ramp.Query, a ramp.Allowance, admitted time.Time) time.Time {
	cutoff := q.Deadline
	objective := admitted.Add(a.Latency)
	if q.Operation == ramp.Search && a.Prefer == ramp.PreferTail && objective.Before(cutoff) {
		cutoff = objective
	}
	return cutoff.Add(-min(maxMergeReserve, cutoff.Sub(admitted)/mergeReserveDivisor))
}
