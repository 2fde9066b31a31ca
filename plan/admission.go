// Package plan decides which queries may run, by the shares of the plans that
// customers hold.
//
// Each daemon decides alone, without a call to the platform. Three bounds hold
// a query back: the plan's part of its rate over the fleet, the limit of what
// the service's replicas carry for this daemon, and the daemon's room. Queries
// that are held back wait for a short time in a fair queue; a query that would
// not get its turn in time is refused at once. Daemons tell each other what
// their plans asked for, so that idle parts of a rate are given away and a
// plan's weight follows its demand.
package plan

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Config is what an admitter needs.
type Config struct {
	Clock   ramp.Clock
	Room    int                  // sub-requests that may run at once on this daemon
	Floor   int                  // lowest limit for one service; at least 1
	Members func() []ramp.Daemon // the members of the fleet, this daemon included
	Lists   func() ramp.Lists    // the lists in force
}

// Admitter admits queries by the shares of their plans. It implements
// [ramp.Admitter].
type Admitter struct {
	config  Config
	started time.Time    // of the incarnation
	due     atomic.Int64 // next review, in nanoseconds since started

	mutex    *ramp.Mutex // guards all below; rank RankPlans
	reviewed time.Time
	running  int     // sub-requests admitted and not released
	waiting  int     // queries in the queue
	virtual  float64 // start tag of the lane that went last
	timer    bool    // a timer will dispatch when a plan's rate opens
	parts    map[string]part
	lanes    map[string]*lane  // by service
	services []*lane           // the same, in order of their first query
	queued   map[string]int    // flows with queries in the queue, by plan; at least 1 each
	backlogs map[string]int    // cost of those queries, by plan
	heard    map[string]*heard // by incarnation
}

// NewAdmitter returns an admitter for a daemon that starts now.
func NewAdmitter(c Config) *Admitter {
	now := c.Clock.Now()
	return &Admitter{
		config: c, started: now, reviewed: now, mutex: ramp.NewMutex(ramp.RankPlans),
		parts: make(map[string]part), lanes: make(map[string]*lane), queued: make(map[string]int),
		backlogs: make(map[string]int), heard: make(map[string]*heard),
	}
}

// Admit implements [ramp.Admitter].
func (m *Admitter) Admit(
	ctx context.Context, q ramp.Query, a ramp.Allowance, cost int,
) (release func(), err error) {
	m.review()
	now := m.config.Clock.Now()
	l, w, err := m.enter(q, a, cost, now)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := m.await(ctx, l, q.Customer, w); err != nil {
			return nil, err
		}
		now = m.config.Clock.Now()
	}
	return func() { m.release(l, cost, now) }, nil
}

// enter admits the query at once, or puts it into the queue, or refuses it.
func (m *Admitter) enter(q ramp.Query, a ramp.Allowance, cost int, now time.Time) (*lane, *waiter, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	l := m.laneOf(q.Service)
	f := m.flowOf(l, q.Customer, a)
	p := m.parts[a.Plan].WithTokens(now).WithWanted(cost)
	m.parts[a.Plan] = p
	if l.waiting == 0 && p.open() && l.fits(cost) && m.fits(cost) {
		m.start(l, f, cost)
		return l, nil, nil
	}
	if !l.fits(cost) {
		l.limit = l.limit.WithShort()
	}
	w := &waiter{cost: cost, since: now, longest: l.patience(q, a, now), granted: make(chan struct{})}
	load, share := m.expectedWait(l, f, cost)
	if m.full(l, f) || max(load, share) > w.longest || w.longest <= 0 {
		return l, nil, refusal(load, share)
	}
	m.push(l, f, w)
	m.dispatch(now)
	return l, w, nil
}

// full reports whether the queue has no place for a further query of the flow.
func (m *Admitter) full(l *lane, f *flow) bool {
	return m.waiting >= maxWaiting || len(f.waiting) >= max(minFlow, maxWaiting/max(1, len(l.flows)))
}

// refusal returns the error for a query that would have to wait for the given
// times, because of the load or of the plan's rate.
func refusal(load, share time.Duration) error {
	refused := &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun, RetryAfter: max(load, share, shortestTry)}
	if share > load {
		refused.Reason = ramp.ReasonShare
	}
	return refused
}

// await blocks until the query may run. When its turn does not come in time it
// leaves the queue and is refused.
func (m *Admitter) await(ctx context.Context, l *lane, customer string, w *waiter) error {
	expired := make(chan struct{})
	stop := m.config.Clock.AfterFunc(w.longest, func() { close(expired) })
	defer stop()
	select {
	case <-w.granted:
		return nil
	case <-expired:
	case <-ctx.Done():
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if w.running {
		return nil
	}
	f := l.flows[customer]
	load, share := m.expectedWait(l, f, w.cost)
	m.drop(l, f, w)
	m.dispatch(m.config.Clock.Now())
	return refusal(load, share)
}

// release ends an admitted query and lets those that wait take its place.
func (m *Admitter) release(l *lane, cost int, began time.Time) {
	now := m.config.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.running -= cost
	l.end(cost, now.Sub(began))
	l.limit = l.limit.WithWindow(now)
	m.dispatch(now)
}

// dispatch admits queries from the queue as long as there is room for them.
func (m *Admitter) dispatch(now time.Time) {
	for plan := range m.queued {
		m.parts[plan] = m.parts[plan].WithTokens(now)
	}
	for m.waiting > 0 {
		l, f := m.next()
		if f == nil || !m.fits(f.waiting[0].cost) {
			break
		}
		w := f.waiting[0]
		m.start(l, f, w.cost)
		w.running = true
		close(w.granted)
		m.drop(l, f, w)
	}
	m.arm()
}

// arm starts a timer that dispatches when the rate of the first plan opens
// whose queries wait for it.
func (m *Admitter) arm() {
	if m.timer || m.waiting == 0 {
		return
	}
	var soonest time.Duration
	for plan := range m.queued {
		after := m.parts[plan].opensAfter(0)
		if after > 0 && (soonest == 0 || after < soonest) {
			soonest = after
		}
	}
	if soonest == 0 {
		return
	}
	m.timer = true
	m.config.Clock.AfterFunc(soonest, func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.timer = false
		m.dispatch(m.config.Clock.Now())
	})
}

// start counts a query of the flow as running.
func (m *Admitter) start(l *lane, f *flow, cost int) {
	m.running += cost
	l.begin(cost)
	m.parts[f.plan] = m.parts[f.plan].WithServed(cost)
	m.virtual = max(m.virtual, l.finish)
	l.finish = m.virtual + float64(cost)/m.weightsOf(l, f)
	l.virtual = f.start(l.virtual)
	f.finish = l.virtual + float64(cost)/m.weightOf(f)
}

func (m *Admitter) push(l *lane, f *flow, w *waiter) {
	if len(f.waiting) == 0 {
		m.queued[f.plan]++
	}
	f.push(w)
	l.waiting++
	m.waiting++
	m.backlogs[f.plan] += w.cost
}

func (m *Admitter) drop(l *lane, f *flow, w *waiter) {
	if !f.remove(w) {
		return
	}
	l.waiting--
	m.waiting--
	m.backlogs[f.plan] -= w.cost
	if len(f.waiting) > 0 {
		return
	}
	m.queued[f.plan]--
	if m.queued[f.plan] == 0 {
		delete(m.queued, f.plan)
		delete(m.backlogs, f.plan)
	}
}

// fits reports whether the daemon has room for a query of the given cost.
func (m *Admitter) fits(cost int) bool { return m.running == 0 || m.running+cost <= m.config.Room }

func (m *Admitter) laneOf(service string) *lane {
	l, ok := m.lanes[service]
	if !ok {
		limit := NewLimit(min(m.config.Floor, m.config.Room), m.config.Room)
		l = &lane{service: service, flows: make(map[string]*flow), limit: limit}
		m.lanes[service] = l
		m.services = append(m.services, l)
	}
	return l
}

// flowOf returns the customer's flow. A customer whose plan was changed goes on
// under the new one when its queue is empty.
func (m *Admitter) flowOf(l *lane, customer string, a ramp.Allowance) *flow {
	f, ok := l.flows[customer]
	if !ok {
		f = &flow{customer: customer, plan: a.Plan}
		l.flows[customer] = f
	}
	if len(f.waiting) == 0 {
		f.plan = a.Plan
	}
	if _, ok := m.parts[a.Plan]; !ok {
		m.parts[a.Plan] = part{}.WithReview(a, fleetView{}, unknownSize, 0)
	}
	return f
}

// Observe takes in the attempts of an answer, which tell what the service's
// replicas carry.
func (m *Admitter) Observe(q ramp.Query, answer ramp.Answer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	l, ok := m.lanes[q.Service]
	if !ok {
		return
	}
	var held time.Duration
	for i := range answer.Attempts {
		a := &answer.Attempts[i]
		held = max(held, a.Started+a.Elapsed)
		l.limit = l.limit.WithAttempt(a.Outcome)
	}
	if answer.Ran == ramp.HasRun {
		l.limit = l.limit.WithHeld(q.Operation == ramp.Search, held)
	}
}

// Report returns the counters of the plans for other daemons, sorted by plan.
func (m *Admitter) Report() []ramp.Usage {
	m.review()
	age := m.config.Clock.Now().Sub(m.started)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	used := make([]ramp.Usage, 0, len(m.parts))
	for plan, p := range m.parts {
		used = append(used, p.usage(plan, age))
	}
	slices.SortFunc(used, func(a, b ramp.Usage) int { return cmp.Compare(a.Plan, b.Plan) })
	return used[:min(len(used), maxUsages)]
}

// Hear takes in the counters of another daemon.
func (m *Admitter) Hear(from ramp.Daemon, used []ramp.Usage) {
	now := m.config.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	h, ok := m.heard[from.Incarnation]
	if !ok {
		if len(m.heard) >= maxHeard {
			return
		}
		h = &heard{demands: make(map[string]demand)}
		m.heard[from.Incarnation] = h
	}
	for _, u := range used[:min(len(used), maxUsages)] {
		if u.Uptime > h.at {
			h.at, h.seen = u.Uptime, now
		}
		h.demands[u.Plan] = h.demands[u.Plan].With(u)
	}
}

// review makes the parts anew when they are due.
func (m *Admitter) review() {
	now := m.config.Clock.Now()
	due := m.due.Load()
	if now.Sub(m.started) < time.Duration(due) || !m.due.CompareAndSwap(due, int64(now.Sub(m.started)+reviewTime)) {
		return
	}
	lists := m.config.Lists()
	members := m.config.Members()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	elapsed := now.Sub(m.reviewed)
	m.reviewed = now
	fresh := m.forget(now)
	daemons := fleetSize(members, fresh)
	for _, a := range lists.Plans {
		p := m.parts[a.Plan]
		p.own = p.own.With(p.usage(a.Plan, now.Sub(m.started)))
		view := fleetView{}
		for _, h := range fresh {
			if d, ok := h.demands[a.Plan]; ok {
				view = view.with(d, float64(a.Rate)/float64(daemons))
			}
		}
		m.parts[a.Plan] = p.WithReview(a, view, daemons, elapsed)
	}
	m.dispatch(now)
}

// forget drops daemons that were not heard of for long and flows without
// queries, and returns the daemons that were heard of lately.
func (m *Admitter) forget(now time.Time) map[string]*heard {
	fresh := make(map[string]*heard, len(m.heard))
	for incarnation, h := range m.heard {
		switch silent := now.Sub(h.seen); {
		case silent <= freshTime:
			fresh[incarnation] = h
		case silent > 10*freshTime:
			delete(m.heard, incarnation)
		}
	}
	for _, l := range m.services {
		maps.DeleteFunc(l.flows, func(_ string, f *flow) bool {
			return len(f.waiting) == 0 && f.finish <= l.virtual
		})
	}
	return fresh
}

// fleetSize returns the number of daemons that may use a part of a rate: the
// members, and those that were heard of though they are not listed.
func fleetSize(members []ramp.Daemon, fresh map[string]*heard) int {
	size := len(members)
	if size == 0 {
		return max(unknownSize, len(fresh)+1)
	}
	listed := 0
	for _, d := range members {
		if _, ok := fresh[d.Incarnation]; ok {
			listed++
		}
	}
	return size + len(fresh) - listed
}

// State is what an admitter does now.
type State struct {
	Running int // sub-requests admitted and not released
	Waiting int // queries in the queue
	Limits  []ServiceLimit
}

// ServiceLimit is the adaptive limit of a service.
type ServiceLimit struct {
	Service string
	Size    float64 // in sub-requests
}

// State returns what the admitter does now.
func (m *Admitter) State() State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := State{Running: m.running, Waiting: m.waiting, Limits: make([]ServiceLimit, 0, len(m.services))}
	for _, l := range m.services {
		s.Limits = append(s.Limits, ServiceLimit{Service: l.service, Size: l.limit.Size})
	}
	return s
}
