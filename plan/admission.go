// Package plan implements admission control by the shares of the customers'
// plans.
//
// Each daemon decides locally, without a call to the platform. A query is
// subject to three bounds: this daemon's quota of the plan's fleet-wide rate,
// the adaptive concurrency limit of the service's replicas, and the daemon's
// own capacity. Queries that exceed a bound wait for a short time in a weighted
// fair queue; a query that could not start in time is refused at once. Daemons
// exchange usage counters of their plans by gossip, so that unused quota is
// lent to daemons with more demand and a plan's weight follows its demand.
package plan

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Config holds the parameters and dependencies of an [Admitter].
type Config struct {
	Clock    ramp.Clock
	Capacity int                  // sub-requests that may run concurrently on this daemon
	Floor    int                  // lower bound of the concurrency limit of a service; at least 1
	Members  func() []ramp.Daemon // returns the fleet's members, this daemon included
	Lists    func() ramp.Lists    // returns the lists in force
	Leaving  <-chan struct{}      // closed when the daemon starts to leave, which empties the queues; nil for never
}

// Admitter admits queries by the shares of their plans, and requests of tenants by
// their ranks, see [TenantAdmitter]. It implements [ramp.Admitter] and is safe for
// concurrent use.
type Admitter struct {
	config     Config
	started    time.Time    // start of the incarnation
	nextUpdate atomic.Int64 // time of the next quota update, in nanoseconds since started

	mutex           *ramp.Mutex // guards the fields below; rank RankPlans
	lastUpdate      time.Time
	running         int                      // sub-requests admitted and not released
	waiting         int                      // queries in all queues
	virtualTime     float64                  // start tag of the service queue that was served last
	timerSet        bool                     // a pending timer dispatches when a plan has tokens again
	quotas          map[string]quota         // by plan
	queues          map[string]*serviceQueue // by service
	queueOrder      []*serviceQueue          // the values of queues, in order of their first query
	backloggedFlows map[string]int           // number of backlogged flows, by plan; at least 1 each
	backlogCost     map[string]int           // total cost of the queued queries, by plan
	peers           map[string]*peerUsage    // by incarnation
}

// NewAdmitter returns an admitter for a daemon incarnation that starts now.
func NewAdmitter(c Config) *Admitter {
	now := c.Clock.Now()
	return &Admitter{
		config: c, started: now, lastUpdate: now, mutex: ramp.NewMutex(ramp.RankPlans),
		quotas: make(map[string]quota), queues: make(map[string]*serviceQueue), backloggedFlows: make(map[string]int),
		backlogCost: make(map[string]int), peers: make(map[string]*peerUsage),
	}
}

// request asks for admission to a service queue.
type request struct {
	service   string // name of the service queue
	flow      flowKey
	ranked    bool           // it is a tenant's, in a queue that orders flows by rank
	allowance ramp.Allowance // of its plan
	cost      int            // in sub-requests
	deadline  time.Time      // time by which it must be answered
	objective time.Duration  // latency objective
	divisor   time.Duration  // it waits for at most one part in divisor of the objective; positive
	priorWait time.Duration  // time that the caller spent on earlier tries
}

// Admit implements [ramp.Admitter].
func (m *Admitter) Admit(
	ctx context.Context, q ramp.Query, a ramp.Allowance, cost int,
) (release func(), err error) {
	sq, admitted, err := m.admit(ctx, request{
		service: q.Service, flow: flowKey{customer: q.Customer}, allowance: a, cost: cost, deadline: q.Deadline,
		objective: a.Latency, divisor: waitDivisor,
	})
	if err != nil {
		return nil, err
	}
	return func() { m.release(sq, flowKey{}, cost, admitted, signs{}) }, nil
}

// admit blocks until the request is admitted or refused. It returns the request's
// queue and the time of the admission.
func (m *Admitter) admit(ctx context.Context, r request) (*serviceQueue, time.Time, error) {
	m.updateQuotas()
	now := m.config.Clock.Now()
	sq, w, err := m.admitOrQueue(r, now)
	if err != nil {
		return nil, now, err
	}
	if w != nil {
		if err := m.await(ctx, sq, r, w); err != nil {
			return nil, now, err
		}
		now = m.config.Clock.Now()
	}
	return sq, now, nil
}

// admitOrQueue admits the request at once, queues it, or refuses it. The waiter is
// nil for a request that was admitted.
func (m *Admitter) admitOrQueue(r request, now time.Time) (*serviceQueue, *waiter, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sq := m.queueFor(r.service)
	sq.ranked = r.ranked
	f := m.flowFor(sq, r)
	p := m.quotas[r.allowance.Plan].WithRefill(now).WithRequested(r.cost)
	m.quotas[r.allowance.Plan] = p
	if sq.waiting == 0 && p.hasTokens() && sq.fits(f, r.cost, now) && m.fits(r.cost) {
		m.start(sq, f, r.cost, now)
		return sq, nil, nil
	}
	if !sq.fits(f, r.cost, now) {
		sq.limit, sq.room = sq.limit.WithBlocked(), sq.room.withBlocked(classOf(sq.urgency(f)))
	}
	w := &waiter{cost: r.cost, queuedAt: now, maxWait: sq.queueTimeout(r, now), granted: make(chan struct{})}
	load, share := m.expectedWait(sq, f, r.cost, now)
	if m.queueFull(sq, f) || max(load, share) > w.maxWait || w.maxWait <= 0 {
		return sq, nil, m.refuse(sq, f, w, load, share, now)
	}
	m.enqueue(sq, f, w)
	m.dispatch(now)
	return sq, w, nil
}

// queueFull reports whether the flow may not queue a further query. The flows of a
// service have equal parts of maxWaiting, but at least minFlowQueue each.
func (m *Admitter) queueFull(sq *serviceQueue, f *flow) bool {
	return m.waiting >= maxWaiting || len(f.waiting) >= max(minFlowQueue, maxWaiting/max(1, len(sq.flows)))
}

// refuse returns the error for a request with the given expected waits: load is
// due to the service's limit, share to the plan's rate. The longer one gives the
// reason and the retry delay.
func (m *Admitter) refuse(sq *serviceQueue, f *flow, w *waiter, load, share time.Duration, now time.Time) error {
	if sq.ranked {
		return sq.refuseRanked(f, w, load, now)
	}
	refused := &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun, RetryAfter: max(load, share, minRetryAfter)}
	if share > load {
		refused.Reason = ramp.ReasonShare
	}
	return refused
}

// await blocks until the request is admitted. It dequeues and refuses the request
// when its maximum wait has passed, ctx ends or the daemon starts to leave.
func (m *Admitter) await(ctx context.Context, sq *serviceQueue, r request, w *waiter) error {
	expired := make(chan struct{})
	stop := m.config.Clock.AfterFunc(w.maxWait, func() { close(expired) })
	defer stop()
	var reason ramp.Reason // of a refusal that is not due to load
	select {
	case <-w.granted:
		return nil
	case <-expired:
	case <-ctx.Done():
		reason = ramp.ReasonCaller
	case <-m.config.Leaving:
		reason = ramp.ReasonLeaving
	}
	now := m.config.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if w.admitted {
		return nil
	}
	f := sq.flows[r.flow]
	load, share := m.expectedWait(sq, f, w.cost, now)
	m.dequeue(sq, f, w)
	m.dispatch(now)
	if sq.ranked && reason != "" {
		return &ramp.RefusedError{Reason: reason, Ran: ramp.NotRun, RetryAfter: spread(minRankedRetryAfter)}
	}
	return m.refuse(sq, f, w, load, share, now)
}

// release frees the capacity of an admitted request and dispatches queued requests.
// Seen is what its attempts show of the room at the replicas.
func (m *Admitter) release(sq *serviceQueue, key flowKey, cost int, admitted time.Time, seen signs) {
	now := m.config.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if f, ok := sq.flows[key]; ok && seen.cost > 0 {
		f.served, sq.served = f.served.withResult(seen.inTime, now), sq.served.withResult(seen.inTime, now)
	}
	m.running -= cost
	sq.end(cost, now.Sub(admitted), now)
	sq.limit, sq.room = sq.limit.WithAdjustment(now), sq.room.withSigns(seen, admitted, now).withAdjustment(now)
	m.dispatch(now)
}

// dispatch admits queued queries while there is capacity for them.
func (m *Admitter) dispatch(now time.Time) {
	for plan := range m.backloggedFlows {
		m.quotas[plan] = m.quotas[plan].WithRefill(now)
	}
	for m.waiting > 0 {
		sq, f := m.next(now)
		if f == nil || !m.fits(f.waiting[0].cost) {
			break
		}
		w := f.waiting[0]
		m.start(sq, f, w.cost, now)
		w.admitted = true
		close(w.granted)
		m.dequeue(sq, f, w)
	}
	m.armTimer(now)
}

// armTimer starts a timer that dispatches as soon as the first of the plans
// that wait for tokens has some, or the mean occupancy of an idle pool is within its
// limit.
func (m *Admitter) armTimer(now time.Time) {
	if m.timerSet || m.waiting == 0 {
		return
	}
	var soonest time.Duration
	for plan := range m.backloggedFlows {
		after := m.quotas[plan].tokenDelay(0)
		if after > 0 && (soonest == 0 || after < soonest) {
			soonest = after
		}
	}
	for _, sq := range m.queueOrder {
		if after := sq.idleDelay(now); after > 0 && (soonest == 0 || after < soonest) {
			soonest = after
		}
	}
	if soonest == 0 {
		return
	}
	m.timerSet = true
	m.config.Clock.AfterFunc(soonest, func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.timerSet = false
		m.dispatch(m.config.Clock.Now())
	})
}

// start counts a query of the flow as running, charges it to its plan's quota
// and advances the virtual times and finish tags.
func (m *Admitter) start(sq *serviceQueue, f *flow, cost int, now time.Time) {
	m.running += cost
	sq.begin(cost, now)
	if sq.ranked {
		sq.room = sq.room.withAdmitted(classOf(sq.urgency(f)), cost, sq.running)
	}
	m.quotas[f.plan] = m.quotas[f.plan].WithAdmitted(cost)
	m.virtualTime = max(m.virtualTime, sq.finishTag)
	sq.finishTag = m.virtualTime + float64(cost)/m.totalWeight(sq, f)
	sq.virtualTime = f.startTag(sq.virtualTime)
	f.finishTag = sq.virtualTime + float64(cost)/m.flowWeight(f)
}

func (m *Admitter) enqueue(sq *serviceQueue, f *flow, w *waiter) {
	if len(f.waiting) == 0 {
		m.backloggedFlows[f.plan]++
	}
	f.push(w)
	sq.waiting++
	m.waiting++
	m.backlogCost[f.plan] += w.cost
}

func (m *Admitter) dequeue(sq *serviceQueue, f *flow, w *waiter) {
	if !f.remove(w) {
		return
	}
	sq.waiting--
	m.waiting--
	m.backlogCost[f.plan] -= w.cost
	if len(f.waiting) > 0 {
		return
	}
	m.backloggedFlows[f.plan]--
	if m.backloggedFlows[f.plan] == 0 {
		delete(m.backloggedFlows, f.plan)
		delete(m.backlogCost, f.plan)
	}
}

// fits reports whether the daemon has capacity for a query of the given cost. A
// query that costs more than the capacity runs alone.
func (m *Admitter) fits(cost int) bool { return m.running == 0 || m.running+cost <= m.config.Capacity }

func (m *Admitter) queueFor(service string) *serviceQueue {
	sq, ok := m.queues[service]
	if !ok {
		limit := NewLimit(min(m.config.Floor, m.config.Capacity), m.config.Capacity)
		sq = &serviceQueue{
			service: service, flows: make(map[flowKey]*flow), limit: limit, room: newRoomLimit(m.config.Capacity),
		}
		m.queues[service] = sq
		m.queueOrder = append(m.queueOrder, sq)
	}
	return sq
}

// flowFor returns the request's flow and creates it if needed. A customer whose
// plan was changed moves to the new plan once its flow has no queued query.
func (m *Admitter) flowFor(sq *serviceQueue, r request) *flow {
	a := r.allowance
	f, ok := sq.flows[r.flow]
	if !ok {
		f = &flow{flowKey: r.flow, ranked: r.ranked, plan: a.Plan}
		sq.flows[r.flow] = f
	}
	if len(f.waiting) == 0 {
		f.plan = a.Plan
	}
	if _, ok := m.quotas[a.Plan]; !ok {
		m.quotas[a.Plan] = quota{}.WithFleetDemand(a, fleetDemand{}, assumedFleetSize, 0)
	}
	return f
}

// Observe updates the service's concurrency limit with the outcomes and the hold
// time of a query's attempts.
func (m *Admitter) Observe(q ramp.Query, answer ramp.Answer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sq, ok := m.queues[q.Service]
	if !ok {
		return
	}
	var hold time.Duration
	for i := range answer.Attempts {
		a := &answer.Attempts[i]
		hold = max(hold, a.Started+a.Elapsed)
		sq.limit = sq.limit.WithAttempt(a.Outcome)
	}
	if answer.Ran == ramp.HasRun {
		sq.limit = sq.limit.WithHoldTime(q.Operation == ramp.Search, hold)
	}
}

// Report returns the usage counters to send to other daemons: at most maxUsages,
// sorted by plan.
func (m *Admitter) Report() []ramp.Usage {
	m.updateQuotas()
	age := m.config.Clock.Now().Sub(m.started)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	usage := make([]ramp.Usage, 0, len(m.quotas))
	for plan, p := range m.quotas {
		usage = append(usage, p.usage(plan, age))
	}
	slices.SortFunc(usage, func(a, b ramp.Usage) int { return cmp.Compare(a.Plan, b.Plan) })
	return usage[:min(len(usage), maxUsages)]
}

// MergeUsage merges the usage counters of another daemon. Counters of further daemons
// are ignored while those of maxPeers are kept.
func (m *Admitter) MergeUsage(from ramp.Daemon, usage []ramp.Usage) {
	now := m.config.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peer, ok := m.peers[from.Incarnation]
	if !ok {
		if len(m.peers) >= maxPeers {
			return
		}
		peer = &peerUsage{demands: make(map[string]demand)}
		m.peers[from.Incarnation] = peer
	}
	for _, u := range usage[:min(len(usage), maxUsages)] {
		if u.Uptime > peer.uptime {
			peer.uptime, peer.updated = u.Uptime, now
		}
		peer.demands[u.Plan] = peer.demands[u.Plan].With(u)
	}
}

// updateQuotas recalculates the quotas of all plans, at most once per
// quotaInterval.
func (m *Admitter) updateQuotas() {
	now := m.config.Clock.Now()
	due := m.nextUpdate.Load()
	if now.Sub(m.started) < time.Duration(due) ||
		!m.nextUpdate.CompareAndSwap(due, int64(now.Sub(m.started)+quotaInterval)) {
		return
	}
	lists := m.config.Lists()
	members := m.config.Members()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	elapsed := now.Sub(m.lastUpdate)
	m.lastUpdate = now
	fresh := m.evictIdle(now)
	daemons := fleetSize(members, fresh)
	for _, a := range lists.Plans {
		p := m.quotas[a.Plan]
		p.own = p.own.With(p.usage(a.Plan, now.Sub(m.started)))
		others := fleetDemand{}
		for _, peer := range fresh {
			if d, ok := peer.demands[a.Plan]; ok {
				others = others.with(d, float64(a.Rate)/float64(daemons))
			}
		}
		m.quotas[a.Plan] = p.WithFleetDemand(a, others, daemons, elapsed)
	}
	m.dispatch(now)
}

// evictIdle evicts peers whose counters are older than 10 times staleAfter, and
// flows without queries whose finish tag the virtual time has reached and whose
// served share no longer matters. It returns
// the peers whose counters are not stale.
func (m *Admitter) evictIdle(now time.Time) map[string]*peerUsage {
	fresh := make(map[string]*peerUsage, len(m.peers))
	for incarnation, peer := range m.peers {
		switch age := now.Sub(peer.updated); {
		case age <= staleAfter:
			fresh[incarnation] = peer
		case age > 10*staleAfter:
			delete(m.peers, incarnation)
		}
	}
	for _, sq := range m.queueOrder {
		maps.DeleteFunc(sq.flows, func(_ flowKey, f *flow) bool {
			return len(f.waiting) == 0 && f.finishTag <= sq.virtualTime && f.served.forgotten(now)
		})
	}
	return fresh
}

// fleetSize returns the number of daemons that may use a quota of a rate: the
// members, and the fresh peers that the membership does not list.
func fleetSize(members []ramp.Daemon, fresh map[string]*peerUsage) int {
	size := len(members)
	if size == 0 {
		return max(assumedFleetSize, len(fresh)+1)
	}
	listed := 0
	for _, d := range members {
		if _, ok := fresh[d.Incarnation]; ok {
			listed++
		}
	}
	return size + len(fresh) - listed
}

// State is a snapshot of an admitter's load.
type State struct {
	Running int            // sub-requests admitted and not released
	Waiting int            // queries in all queues
	Limits  []ServiceLimit // in order of the services' first query
}

// ServiceLimit is the adaptive concurrency limit of a service.
type ServiceLimit struct {
	Service string  // or pool of services
	Class   string  // rank of the tenants' requests that it is for, or [ClassBeyond]; "" for queries
	Size    float64 // in sub-requests
}

// ClassBeyond is the class of tenants that were served much more than others.
const ClassBeyond = "beyond"

// State returns the admitter's current load and limits.
func (m *Admitter) State() State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := State{Running: m.running, Waiting: m.waiting, Limits: make([]ServiceLimit, 0, len(m.queueOrder))}
	for _, sq := range m.queueOrder {
		if !sq.ranked {
			s.Limits = append(s.Limits, ServiceLimit{Service: sq.service, Size: sq.limit.Size})
			continue
		}
		for c, size := range sq.room.sizes {
			s.Limits = append(s.Limits, ServiceLimit{Service: sq.service, Class: strconv.Itoa(c), Size: size})
		}
		s.Limits = append(s.Limits, ServiceLimit{Service: sq.service, Class: ClassBeyond, Size: sq.room.beyond})
	}
	return s
}

// runningIn returns the number of sub-requests of a service in progress.
func (m *Admitter) runningIn(service string) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if sq, ok := m.queues[service]; ok {
		return sq.running
	}
	return 0
}
