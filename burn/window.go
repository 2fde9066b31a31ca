// Package burn counts how much of their service-level budgets customers use
// up, for tail latency and for coverage, and why.
//
// Each daemon keeps the last hour of its own requests in memory, by minute.
// The counts of several daemons are added up by [Merge]. The counts of a
// daemon that is lost are lost with it; burn rates are ratios, so those of the
// other daemons still show the customer's burn.
package burn

import (
	"cmp"
	"errors"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Windows of the report, in minutes, and bounds of what is kept.
const (
	ShortWindow = 5
	LongWindow  = 60
	MaxSeries   = 4096    // customers and services on one daemon
	Others      = "other" // customer that stands for those beyond MaxSeries
	NoCustomer  = "none"  // customer and plan where callers have none
)

// Cause says why a request missed an objective.
type Cause int

// The causes.
const (
	Straggler Cause = iota // a replica was slow
	Shed                   // replicas refused work
	Lost                   // a replica was lost or left
	Failed                 // a replica failed the request
	Share                  // the plan's share was used up
	Load                   // the daemon shed load
	Other                  // anything else
	Causes                 // number of causes
)

// String returns the cause's name.
func (c Cause) String() string {
	return [Causes]string{"straggler", "shed", "lost", "failed", "share", "load", "other"}[c]
}

// Counts sums up requests.
type Counts struct {
	Requests int             // requests of the customer to the service
	Slow     int             // of those, not answered within the latency objective
	Missing  float64         // sum over the requests of the share not covered
	ByCause  [Causes]Portion // what Slow and Missing are made of
}

// Portion is what one cause has of Slow and Missing.
type Portion struct {
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

// Minute is the counts of one minute.
type Minute struct {
	At int64 // minutes since 1970 by the daemon's clock
	Counts
}

// Series is the last hour of a customer's requests to a service.
type Series struct {
	Customer string
	Plan     string
	Service  string
	Latency  time.Duration // objective for 99 in 100 requests
	Coverage float64       // objective for the covered share
	Minutes  []Minute      // ascending, at most LongWindow; minutes without requests are left out
}

// key names a series.
type key struct {
	customer, plan, service string
}

// ring holds the counts of the last hour, by the minute modulo its length.
type ring struct {
	latency  time.Duration
	coverage float64
	minutes  [LongWindow]Minute
}

// Ledger counts the requests of one daemon.
type Ledger struct {
	clock  ramp.Clock
	mutex  *ramp.Mutex // guards series; rank RankReports
	series map[key]*ring
}

// NewLedger returns an empty ledger.
func NewLedger(clock ramp.Clock) *Ledger {
	return &Ledger{clock: clock, mutex: ramp.NewMutex(ramp.RankReports), series: make(map[key]*ring)}
}

// Observe counts a request. Requests without a plan, of which no customer is
// known or that the plan forbids, count for nobody.
func (l *Ledger) Observe(q ramp.Query, a ramp.Allowance, answer ramp.Answer, err error) {
	if q.Plan == "" || !a.Allows(q.Service) {
		return
	}
	slow, missing := answer.Elapsed > a.Latency, 1-answer.Coverage.Ratio(answer.Requested)
	if err != nil {
		slow, missing = true, 1 // a refused request missed both objectives
	}
	l.add(key{q.Customer, q.Plan, q.Service}, a.Latency, a.Coverage, countOf(slow, missing, answer.Attempts, err))
}

// ObserveDelivery counts a message. Its route stands in place of a service, since
// callers of routes have neither a name nor a plan. A caller that left within the
// objective was not kept waiting and counts for nothing.
func (l *Ledger) ObserveDelivery(d ramp.RelayResult, err error) {
	if d.Route.Name == "" {
		return
	}
	objective, least := d.Route.Objective, 1.0
	if objective <= 0 {
		objective = d.Route.Timeout
	}
	if d.Route.Gathered() {
		least = d.Route.MinCoverage
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
	l.add(key{NoCustomer, NoCustomer, d.Route.Name}, objective, least, countOf(slow, missing, d.Attempts, err))
}

// add adds counts to the current minute of a series.
func (l *Ledger) add(k key, latency time.Duration, coverage float64, counts Counts) {
	at := l.clock.Now().Unix() / 60
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.ringOf(k, at)
	r.latency, r.coverage = latency, coverage
	m := &r.minutes[at%LongWindow]
	if m.At != at {
		*m = Minute{At: at}
	}
	m.Counts = m.With(counts)
}

// ringOf returns the ring of the series. When the ledger is full, series
// without requests in the last hour make room, and if there are none, the
// request counts for the plan's other customers.
func (l *Ledger) ringOf(k key, at int64) *ring {
	r, ok := l.series[k]
	if ok {
		return r
	}
	if len(l.series) >= MaxSeries {
		for old, r := range l.series {
			if len(r.since(at)) == 0 {
				delete(l.series, old)
			}
		}
	}
	if len(l.series) >= MaxSeries {
		k.customer = Others
		if r, ok := l.series[k]; ok {
			return r
		}
	}
	r = &ring{}
	l.series[k] = r
	return r
}

// since returns the minutes of the hour that ends now, in ascending order.
func (r *ring) since(at int64) []Minute {
	var minutes []Minute
	for _, m := range r.minutes {
		if m.Requests > 0 && m.At > at-LongWindow && m.At <= at {
			minutes = append(minutes, m)
		}
	}
	slices.SortFunc(minutes, func(a, b Minute) int { return cmp.Compare(a.At, b.At) })
	return minutes
}

// Report returns the series with requests in the last hour, sorted.
func (l *Ledger) Report() []Series {
	at := l.clock.Now().Unix() / 60
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]Series, 0, len(l.series))
	for k, r := range l.series {
		if minutes := r.since(at); len(minutes) > 0 {
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

// countOf returns the counts of one request that was slow or not, and of which
// the given share was not covered.
func countOf(slow bool, missing float64, attempts []ramp.Attempt, err error) Counts {
	c := Counts{Requests: 1, Missing: missing}
	if slow {
		c.Slow = 1
	}
	if c.Slow > 0 || c.Missing > 0 {
		c.ByCause[causeOf(attempts, err)] = Portion{Slow: c.Slow, Missing: c.Missing}
	}
	return c
}

// causeOf tells why a request missed an objective, from its refusal or from
// the outcomes of its attempts.
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
