package burn

import (
	"slices"
)

// SlowBudget is the error budget of the latency objective: the share of requests
// that may miss it.
const SlowBudget = 0.01

// minBudget is the smallest error budget for missing coverage. It keeps the burn
// rate finite for an objective of full coverage.
const minBudget = 0.0001

// Alert thresholds on the burn rates of both windows. The error budget of a month
// lasts about two days at pageRate and five days at ticketRate.
const (
	pageRate   = 14.4
	ticketRate = 6
)

// State is the alert state of a burn rate.
type State string

// The alert states.
const (
	NoAlert State = "calm"
	Ticket  State = "ticket" // the burn rate is at least 6 in both windows
	Page    State = "page"   // the burn rate is at least 14.4 in both windows
)

// Rate is the burn rate of an error budget. A rate of 1 uses up the budget
// exactly.
type Rate struct {
	Budget float64 // share of requests or coverage that may miss the objective
	Short  float64 // burn rate over ShortWindow
	Long   float64 // burn rate over LongWindow
	Cause  Cause   // main cause of the burn over LongWindow; NumCauses for none
}

// State returns the alert state. A threshold must be reached in both windows, so
// that neither a short burst nor a burn that has ended raises an alert.
func (r Rate) State() State {
	switch both := min(r.Short, r.Long); {
	case both >= pageRate:
		return Page
	case both >= ticketRate:
		return Ticket
	}
	return NoAlert
}

// Rates holds the burn rates of a series.
type Rates struct {
	Requests int // number of requests over LongWindow
	Latency  Rate
	Coverage Rate
}

// Rates returns the burn rates over the windows that end with the minute at, in
// minutes since 1970.
func (s Series) Rates(at int64) Rates {
	short, long := s.sum(at, ShortWindow), s.sum(at, LongWindow)
	budget := max(1-s.Coverage, minBudget)
	slow := func(p CauseCounts) float64 { return float64(p.Slow) }
	missing := func(p CauseCounts) float64 { return p.Missing }
	return Rates{
		Requests: long.Requests,
		Latency: Rate{
			Budget: SlowBudget, Short: ratio(float64(short.Slow), short.Requests) / SlowBudget,
			Long: ratio(float64(long.Slow), long.Requests) / SlowBudget, Cause: mainCause(long, slow),
		},
		Coverage: Rate{
			Budget: budget, Short: ratio(short.Missing, short.Requests) / budget,
			Long: ratio(long.Missing, long.Requests) / budget, Cause: mainCause(long, missing),
		},
	}
}

// sum returns the total of the given number of minutes that end with the minute
// at.
func (s Series) sum(at int64, minutes int64) Counts {
	var c Counts
	for _, m := range s.Minutes {
		if m.At > at-minutes && m.At <= at {
			c = c.With(m.Counts)
		}
	}
	return c
}

// ratio returns part divided by of, or 0 if of is 0.
func ratio(part float64, of int) float64 {
	if of == 0 {
		return 0
	}
	return part / float64(of)
}

// mainCause returns the cause for which part is greatest, or NumCauses if part is
// 0 for every cause.
func mainCause(c Counts, part func(CauseCounts) float64) Cause {
	cause, greatest := NumCauses, 0.0
	for i, p := range c.ByCause {
		if part(p) > greatest {
			cause, greatest = Cause(i), part(p)
		}
	}
	return cause
}

// Merge returns the sums of the daemons' reports, sorted by customer, plan and
// service. If the objectives differ because daemons had different lists in force,
// those of the later report apply.
func Merge(reports ...[]Series) []Series {
	sums := make(map[key]Series)
	for _, report := range reports {
		for _, s := range report {
			k := key{s.Customer, s.Plan, s.Service}
			s.Minutes = mergeMinutes(sums[k].Minutes, s.Minutes)
			sums[k] = s
		}
	}
	all := make([]Series, 0, len(sums))
	for _, s := range sums {
		all = append(all, s)
	}
	slices.SortFunc(all, compareSeries)
	return all
}

// mergeMinutes merges two ascending lists of minutes and adds up the counts of
// equal minutes.
func mergeMinutes(a, b []Minute) []Minute {
	merged := make([]Minute, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0].At < b[0].At:
			merged, a = append(merged, a[0]), a[1:]
		case a[0].At > b[0].At:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged = append(merged, Minute{At: a[0].At, Counts: a[0].With(b[0].Counts)})
			a, b = a[1:], b[1:]
		}
	}
	return append(append(merged, a...), b...)
}
