package retry

import "time"

// Parameters of the latency quantile estimators.
const (
	medianRank  = 0.5
	tailRank    = 0.97
	stepDivisor = 400 // the step is the estimate divided by this
	minSamples  = 50  // before an estimate of the tail is used alone
)

// quantile estimates a quantile of a stream of durations in constant space: a higher
// sample moves the estimate up by rank/(1-rank) steps and any other moves it down by
// one step, so that it settles where the share of higher samples is 1-rank. It is an
// immutable value.
type quantile struct {
	estimate time.Duration // 0 before the first sample
	samples  int           // number of samples, at most minSamples
}

// WithSample returns the estimate after a sample.
func (q quantile) WithSample(rank float64, sample time.Duration) quantile {
	q.samples = min(q.samples+1, minSamples)
	if q.estimate == 0 {
		q.estimate = sample
		return q
	}
	step := max(q.estimate/stepDivisor, time.Microsecond)
	if sample > q.estimate {
		q.estimate += time.Duration(rank / (1 - rank) * float64(step))
	} else {
		q.estimate -= step
	}
	return q
}

// WithBound returns the estimate after a sample of which only a lower bound is known. A
// bound below the estimate carries no information and is ignored.
func (q quantile) WithBound(rank float64, bound time.Duration) quantile {
	if q.estimate == 0 || bound <= q.estimate {
		return q
	}
	return q.WithSample(rank, bound)
}
