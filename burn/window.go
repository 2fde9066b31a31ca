// Package burn computes the burn rates of the customers' error budgets, for tail
// latency and for coverage, and attributes the burn to causes.
//
// Each daemon keeps the counts of its own requests in the last hour in memory, by
// minute, and [Merge] adds up those of several daemons. When a daemon fails, its
// counts are lost. As burn rates are ratios, the counts of the other daemons still
// show the customer's burn.
package burn

import (
	"cmp"
	"errors"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Windows of the report in minutes, the limit on the series that a daemon keeps,
// and names that stand in for customers.
const (
	ShortWindow    = 5
	LongWindow     = 60
	MaxSeries      = 4096    // series, by customer, plan and service, on one daemon
	OtherCustomers = "other" // stands in for the customers beyond MaxSeries
	NoCustomer     = "none"  // stands in for the customer and plan of routes, which have none
)

// Cause is the reason why a request missed an objective.
type Cause int

// The causes of missed objectives.
const (
	Straggler Cause = iota // a replica was slow
	Shed                   // replicas refused the request under load, or none was free
	Lost                   // a replica was unreachable, left or no longer held the data
	Failed                 // a replica returned an error
	Share                  // the plan's share was used up
	Load                   // the daemon shed load
	Other                  // anything else
	NumCauses              // number of causes
)

// String returns the cause's name.
func (c Cause) String() string {
	return [NumCauses]string{"straggler", "shed", "lost", "failed", "share", "load", "other"}[c]
}

// Counts holds totals over requests. It is an immutable value.
type Counts struct {
	Requests int                    // number of requests
	Slow     int                    // requests that missed the latency objective
	Missing  float64                // sum of the requests' shares that were not covered
	ByCause  [NumCauses]CauseCounts // Slow and Missing split by cause
}

// CauseCounts is the part of Slow and Missing that is due to one cause.
type CauseCounts struct {
	Slow    int
	Missing float64
}

// With returns the sum of two counts.
func (c Counts) With(other Counts) Counts {
	c.Requests += other.Requests
	c.Slow += other.Slow
	c.Missing += other.Missing
	for i, p := range other.ByCause {
		c.ByCause[i].Slow += p.Slow
		c.ByCause[i].Missing += p.Missing
	}
	return c
}

// Minute holds the counts of one minute.
type Minute struct {
	At int64 // minutes since 1970 by the daemon's clock
	Counts
}

// Series holds the counts of a customer's requests to a service in the last hour.
type Series struct {
	Customer string
	Plan     string
	Service  string
	Latency  time.Duration // latency objective, for 99 in 100 requests
	Coverage float64       // coverage objective, as a share
	Minutes  []Minute      // ascending, at most LongWindow; without minutes that had no requests
}

// key identifies a series.
type key struct {
	customer, plan, service string
}

// ring is a ring buffer of the counts in the last hour, indexed by the minute
// modulo LongWindow. Entries may be older than an hour.
type ring struct {
	latency  time.Duration
	coverage float64
	minutes  [LongWindow]Minute
}

// Recorder counts the requests of one daemon. It is safe for concurrent use.
type Recorder struct {
	clock  ramp.Clock
	mutex  *ramp.Mutex // guards series; rank RankReports
	series map[key]*ring
}

// NewRecorder returns an empty Recorder.
func NewRecorder(clock ramp.Clock) *Recorder {
	return &Recorder{clock: clock, mutex: ramp.NewMutex(ramp.RankReports), series: make(map[key]*ring)}
}

// Observe counts a request. It ignores requests without a plan, whose customer is
// unknown, and requests to services that the plan does not allow.
func (l *Recorder) Observe(q ramp.Query, a ramp.Allowance, answer ramp.Answer, err error) {
	if q.Plan == "" || !a.Allows(q.Service) {
		return
	}
	slow, missing := answer.Elapsed > a.Latency, 1-answer.Coverage.Ratio(answer.Requested)
	if err != nil {
		slow, missing = true, 1 // a refused request missed both objectives
	}
	l.add(key{q.Customer, q.Plan, q.Service}, a.Latency, a.Coverage, newCounts(slow, missing, answer.Attempts, err))
}

// ObserveRelay counts a relayed message under its route in place of a service,
// since callers of routes have neither a customer name nor a plan. It ignores a
// message whose caller closed the connection within the objective, since that
// caller was not kept waiting.
func (l *Recorder) ObserveRelay(d ramp.RelayResult, err error) {
	if d.Route.Name == "" {
		return
	}
	objective, coverage := d.Route.Objective, 1.0
	if objective <= 0 {
		objective = d.Route.Timeout
	}
	if d.Route.Gathered() {
		coverage = d.Route.MinCoverage
	}
	waited := d.PriorWait + d.Elapsed
	slow, missing := waited > objective, 0.0
	var refused *ramp.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == ramp.ReasonCaller && !slow:
		return
	case err != nil || !d.Gathered() && d.Response.Failed():
		slow, missing = true, 1
	case d.TotalParts > 0:
		missing = float64(d.MissingParts) / float64(d.TotalParts)
	}
	l.add(key{NoCustomer, NoCustomer, d.Route.Name}, objective, coverage, newCounts(slow, missing, d.Attempts, err))
}

// add adds the counts to the current minute of the series and sets its objectives.
func (l *Recorder) add(k key, latency time.Duration, coverage float64, counts Counts) {
	at := l.clock.Now().Unix() / 60
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.ringFor(k, at)
	r.latency, r.coverage = latency, coverage
	m := &r.minutes[at%LongWindow]
	if m.At != at {
		*m = Minute{At: at}
	}
	m.Counts = m.With(counts)
}

// ringFor returns the ring of the series and creates a missing one. At MaxSeries,
// it first evicts the series without requests in the last hour. If there are none,
// it returns the ring of the plan's other customers for the service.
func (l *Recorder) ringFor(k key, at int64) *ring {
	r, ok := l.series[k]
	if ok {
		return r
	}
	if len(l.series) >= MaxSeries {
		for existing, r := range l.series {
			if len(r.lastHour(at)) == 0 {
				delete(l.series, existing)
			}
		}
	}
	if len(l.series) >= MaxSeries {
		k.customer = OtherCustomers
		if r, ok := l.series[k]; ok {
			return r
		}
	}
	r = &ring{}
	l.series[k] = r
	return r
}

// lastHour returns the minutes with requests in the hour that ends with the minute
// at, in ascending order.
func (r *ring) lastHour(at int64) []Minute {
	var minutes []Minute
	for _, m := range r.minutes {
		if m.Requests > 0 && m.At > at-LongWindow && m.At <= at {
			minutes = append(minutes, m)
		}
	}
	slices.SortFunc(minutes, func(a, b Minute) int { return cmp.Compare(a.At, b.At) })
	return minutes
}

// Report returns the series with requests in the last hour, sorted by customer,
// plan and service.
func (l *Recorder) Report() []Series {
	at := l.clock.Now().Unix() / 60
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]Series, 0, len(l.series))
	for k, r := range l.series {
		if minutes := r.lastHour(at); len(minutes) > 0 {
			all = append(all, Series{
				Customer: k.customer, Plan: k.plan, Service: k.service,
				Latency: r.latency, Coverage: r.coverage, Minutes: minutes,
			})
		}
	}
	slices.SortFunc(all, compareSeries)
	return all
}

func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Service, b.Service),
	)
}

// newCounts returns the counts of one request. Slow reports whether it missed the
// latency objective, and missing is the share that was not covered.
func newCounts(slow bool, missing float64, attempts []ramp.Attempt, err error) Counts {
	c := Counts{Requests: 1, Missing: missing}
	if slow {
		c.Slow = 1
	}
	if c.Slow > 0 || c.Missing > 0 {
		c.ByCause[causeOf(attempts, err)] = CauseCounts{Slow: c.Slow, Missing: c.Missing}
	}
	return c
}

// causeOf returns the cause of a missed objective. It derives the cause from the
// refusal's reason or, if that does not tell, from the outcomes of the attempts.
func causeOf(attempts []ramp.Attempt, err error) Cause {
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case ramp.ReasonShare:
			return Share
		case ramp.ReasonLoad:
			return Load
		case ramp.ReasonSnapshot:
			return Lost
		case ramp.ReasonReplica, ramp.ReasonDeadline, ramp.ReasonCaller:
		default:
			return Other
		}
	}
	cause := Other
	for i := range attempts {
		switch attempts[i].Outcome {
		case ramp.Unreachable, ramp.Draining, ramp.VersionNotHeld, ramp.ShardNotHeld, ramp.Truncated, ramp.Misdirected:
			return Lost
		case ramp.Failed, ramp.Mismatched:
			if cause != Shed {
				cause = Failed
			}
		case ramp.Shed, ramp.NotStarted:
			cause = Shed
		case ramp.Merged, ramp.Late, ramp.Cancelled, ramp.Expired, ramp.Pending:
			if cause == Other {
				cause = Straggler
			}
		}
	}
	return cause
}
