package plan

import "time"

// Bounds of the queues.
const (
	maxWaiting    = 1024                  // queued queries on a daemon
	minFlowQueue  = 4                     // queued queries that a flow may have however many flows there are
	waitDivisor   = 2                     // a query waits for at most one part in waitDivisor of its time
	minRetryAfter = 10 * time.Millisecond // shortest retry delay in a refusal
)

// waiter is a queued query.
type waiter struct {
	cost     int // in sub-requests
	queuedAt time.Time
	maxWait  time.Duration // longest time in the queue
	granted  chan struct{} // closed when the query is admitted
	admitted bool          // granted is closed; guarded by the admitter's lock
}

// flowKey identifies a flow among those of a service queue. It is an immutable value.
type flowKey struct {
	customer string
	rank     int // of a tenant's requests; 0 for queries
}

// flow is the queue of one customer for one service. The flows of a service are
// scheduled by start-time fair queueing: a query's start tag is the finish tag
// of its predecessor in the flow, or the virtual time if that is later; its
// finish tag is the start tag plus its cost divided by the flow's weight; the
// query with the lowest start tag is served first.
type flow struct {
	flowKey
	ranked    bool // the flow is a tenant's
	served    servedShare
	plan      string
	finishTag float64   // finish tag of the query that was admitted last
	waiting   []*waiter // in order of arrival
	backlog   int       // total cost of the waiting queries
}

// startTag returns the start tag of the flow's next query.
func (f *flow) startTag(virtualTime float64) float64 { return max(virtualTime, f.finishTag) }

// push appends a query.
func (f *flow) push(w *waiter) {
	f.waiting = append(f.waiting, w)
	f.backlog += w.cost
}

// remove removes a query and reports whether it was in the flow.
func (f *flow) remove(w *waiter) bool {
	for i := range f.waiting {
		if f.waiting[i] == w {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			f.backlog -= w.cost
			return true
		}
	}
	return false
}

// serviceQueue holds the flows and the concurrency limit of one service. Service
// queues share the daemon's capacity by start-time fair queueing too: the weight
// of one is the sum of the weights of its backlogged flows.
type serviceQueue struct {
	service     string
	ranked      bool // flows are ordered by rank, and the limit is one by room
	flows       map[flowKey]*flow
	served      servedShare   // of all flows, if they are ranked
	finishTag   float64       // finish tag of the query that was admitted last, among the service queues
	limit       Limit         // of queries
	room        roomLimit     // of tenants' requests
	running     int           // sub-requests admitted and not released
	occupancy   occupancy     // mean of running
	waiting     int           // queries in all flows
	virtualTime float64       // start tag of the query that was admitted last
	meanHold    time.Duration // moving average of the time from admission to release
}

// fits reports whether a query of the flow and of the given cost is within the
// service's limit. A query that costs more than the limit runs alone.
func (sq *serviceQueue) fits(f *flow, cost int, now time.Time) bool {
	if sq.ranked {
		return sq.fitsRanked(f, cost, now)
	}
	return sq.running == 0 || float64(sq.running+cost) <= sq.limit.Size
}

// throughput estimates the service's throughput at its limit in sub-requests a
// second. It returns 0 until the first query has ended.
func (sq *serviceQueue) throughput() float64 {
	if sq.meanHold <= 0 {
		return 0
	}
	return sq.limit.Size / sq.meanHold.Seconds()
}

func (sq *serviceQueue) begin(cost int, now time.Time) {
	sq.occupancy = sq.occupancy.with(sq.running, now)
	sq.running += cost
	sq.limit = sq.limit.WithRunning(sq.running)
}

func (sq *serviceQueue) end(cost int, hold time.Duration, now time.Time) {
	sq.occupancy = sq.occupancy.with(sq.running, now)
	sq.running -= cost
	if sq.meanHold == 0 {
		sq.meanHold = hold
		return
	}
	sq.meanHold = time.Duration(float64(sq.meanHold)*(1-smoothing) + float64(hold)*smoothing)
}

// flowWeight returns the weight of a flow: its plan's weight on this daemon,
// divided by the number of the plan's backlogged flows. Tenants have equal weights.
func (m *Admitter) flowWeight(f *flow) float64 {
	if f.ranked {
		return 1
	}
	p := m.quotas[f.plan]
	return max(p.weight, 1.0/maxWeightRatio) / float64(max(1, m.backloggedFlows[f.plan]))
}

// totalWeight returns the sum of the weights of f and of the other backlogged
// flows of the service queue.
func (m *Admitter) totalWeight(sq *serviceQueue, f *flow) float64 {
	sum := m.flowWeight(f)
	if sq.waiting == len(f.waiting) {
		return sum
	}
	for _, g := range sq.flows {
		if g != f && len(g.waiting) > 0 {
			sum += m.flowWeight(g)
		}
	}
	return sum
}

// next returns the service queue and the flow whose first query is to be served
// next, among those that their plan's rate and their service's limit allow. It
// returns nil when there is none.
func (m *Admitter) next(now time.Time) (*serviceQueue, *flow) {
	var best *serviceQueue
	var first *flow
	for _, sq := range m.queueOrder {
		if sq.waiting == 0 || (best != nil && max(m.virtualTime, sq.finishTag) >= max(m.virtualTime, best.finishTag)) {
			continue
		}
		if f := m.nextFlow(sq); f != nil && sq.fits(f, f.waiting[0].cost, now) {
			best, first = sq, f
		}
	}
	return best, first
}

// nextFlow returns the flow of the service queue whose first query is to be
// served next, or nil when no backlogged flow has tokens.
func (m *Admitter) nextFlow(sq *serviceQueue) *flow {
	var first *flow
	for _, f := range sq.flows {
		if len(f.waiting) == 0 || !m.quotas[f.plan].hasTokens() {
			continue
		}
		if first == nil || sq.precedes(f, first) {
			first = f
		}
	}
	return first
}

// precedes orders backlogged flows by urgency, and those of equal urgency by
// startsBefore.
func (sq *serviceQueue) precedes(a, b *flow) bool {
	if x, y := sq.urgency(a), sq.urgency(b); x != y {
		return x < y
	}
	return startsBefore(a, b, sq.virtualTime)
}

// startsBefore orders backlogged flows by start tag, then by the age of their
// first query, then by customer.
func startsBefore(a, b *flow, virtualTime float64) bool {
	x, y := a.startTag(virtualTime), b.startTag(virtualTime)
	if x != y {
		return x < y
	}
	if older := a.waiting[0].queuedAt.Compare(b.waiting[0].queuedAt); older != 0 {
		return older < 0
	}
	return a.customer < b.customer
}

// expectedWait estimates how long a query of the flow waits. Load is the wait for
// the service: the flow's backlog divided by the flow's share of the service's
// throughput. It is 0 for a flow without a backlog, so that a flow's first query
// always gets a chance. Share is the wait for tokens of the plan alone.
func (m *Admitter) expectedWait(sq *serviceQueue, f *flow, cost int, now time.Time) (load, share time.Duration) {
	if sq.ranked {
		return sq.expectedRankedWait(f, now), 0
	}
	share = m.quotas[f.plan].tokenDelay(float64(m.backlogCost[f.plan]))
	rate := sq.throughput()
	if rate > 0 && (sq.waiting > 0 || !sq.fits(f, cost, now)) {
		rate *= m.flowWeight(f) / m.totalWeight(sq, f)
		load = time.Duration(float64(f.backlog) / rate * float64(time.Second))
	}
	return load, share
}

// queueTimeout returns how long the request may be queued: one part of its latency
// objective and of the time to its deadline, and no longer than leaves it the mean
// hold time of the service's requests.
func (sq *serviceQueue) queueTimeout(r request, now time.Time) time.Duration {
	left := r.deadline.Sub(now)
	longest := min(r.objective/r.divisor, left/waitDivisor, left-sq.meanHold)
	// A tenant's request that is late however soon it starts is still worth a wait.
	if spare := r.objective - r.priorWait - sq.meanHold; r.ranked && spare > 0 {
		longest = min(longest, spare)
	}
	return longest
}
