package query

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// sweepShare is the part of the delay of a hedge after which parts are looked at
// again.
const sweepShare = 3

// Bounds of waiting for a replica with room.
const (
	roomPause = 4 * time.Millisecond // until the next look; a reply takes 5 to 20 ms
	roomShare = 4                    // part of the objective for which a part waits; longer is a late refusal
)

// normalTime is the time to which replies of different routes are scaled, so that
// they say the same of a replica.
const normalTime = 10 * time.Millisecond

// pursuit follows one message. Workers of the pool run its attempts; its parts
// are a shared table, by the service's position in the route.
type pursuit struct {
	relay    *Relay
	message  ramp.Message
	route    ramp.Route
	routing  ramp.Routing
	started  time.Time
	age      time.Duration // since the caller first asked, until started
	deadline time.Time
	parts    *ramp.Table[int, part]
	count    int           // parts
	quorum   int           // parts without which there is no answer
	delay    time.Duration // of a hedge
	typical  time.Duration // of a reply; 0 if unknown
	context  context.Context
	cancel   context.CancelFunc
	numbers  atomic.Int64 // attempts numbered so far
	open     atomic.Int64 // parts that are neither in nor given up
	in       atomic.Int64 // parts that are in
	late     atomic.Bool  // the quorum suffices from now on
	merges   chan int     // indexes of the parts that come in; nil unless they are wanted one by one

	batches   *ramp.Mutex // held while a batch is taken in, and while the answer is put together
	concluded bool        // no batch is taken in any more; guarded by batches

	done chan struct{} // closed when there is nothing to wait for
	once sync.Once     // closes done
}

func (r *Relay) newPursuit(
	ctx context.Context, m ramp.Message, route ramp.Route, routing ramp.Routing, started, deadline time.Time,
) *pursuit {
	services := r.services(route)
	p := &pursuit{
		relay: r, message: m, route: route, routing: routing, started: started, deadline: deadline,
		parts: ramp.NewTable[int, part](ramp.RankQueries), count: len(services), quorum: len(services),
		delay: r.Repeater.HedgeDelay(route), typical: r.Repeater.MedianLatency(route.Name),
		done: make(chan struct{}), batches: ramp.NewMutex(ramp.RankBatches),
	}
	if route.Gathered() {
		p.quorum = route.Quorum()
	}
	if !route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	p.context, p.cancel = context.WithCancel(ctx)
	p.open.Store(int64(p.count))
	for i, s := range services {
		p.parts.Put(i, newPart(p.context, s))
	}
	return p
}

// run sends the first attempts and waits for the answer.
func (p *pursuit) run(ctx context.Context, d ramp.RelayResult) (ramp.RelayResult, error) {
	clock := p.relay.Clock
	expired := make(chan struct{})
	stop := clock.AfterFunc(p.deadline.Sub(clock.Now()), func() { close(expired) })
	defer stop()
	if p.route.Gathered() && p.route.Objective > 0 {
		defer clock.AfterFunc(p.patience(), p.cut)()
	}
	if p.route.Idempotent && p.route.MaxAttempts > 1 {
		defer clock.AfterFunc(p.delay, p.sweep)()
	}
	p.start()
	gone := ctx.Done()
	if !p.route.Idempotent {
		gone = nil
	}
	left := false
	select {
	case <-p.done:
	case <-expired:
	case <-gone:
		left = true
	}
	return p.conclude(d, left)
}

// start makes the first attempts, or lets daemons of other failure domains make
// them.
func (p *pursuit) start() {
	for i := range p.count {
		state, _ := p.parts.Get(i)
		p.relay.Repeater.CountRequest(state.service) // here, since this daemon makes the repeats
	}
	hopped := make(map[int]bool)
	if p.route.Gathered() && p.route.MaxAttempts > 1 && p.relay.Helpers != nil && len(p.message.Body) == 0 {
		for _, h := range p.hops(p.route.Gather) {
			at := p.elapsed() + hopTime
			for _, i := range h.indexes {
				hopped[i] = true
				p.parts.Update(i, func(s part) part {
					return s.WithAttempt(ramp.Attempt{
						Number: int(p.numbers.Add(1)) - 1, Kind: ramp.First, Shard: ramp.Shard{ID: s.service}, Delegated: true,
						Replica: ramp.Replica{ID: h.helper.ID}, Started: at, Outcome: ramp.Pending,
					})
				})
			}
			if !p.relay.Pool.Submit(func() { p.ask(h) }) {
				p.endHop(h, false)
			}
		}
	}
	for i := range p.count {
		if !hopped[i] {
			p.submit(i, ramp.First)
		}
	}
}

// patience returns for how long a complete answer is waited for. After the
// objective there is nothing to hurry for, so a caller that asks again gets as
// long as one that asks for the first time.
func (p *pursuit) patience() time.Duration {
	left := p.route.Objective - p.relay.Margin
	if p.age < left {
		left -= p.age
	}
	return left
}

// cut lets the quorum suffice from now on.
func (p *pursuit) cut() {
	p.late.Store(true)
	p.check()
}

// check ends the wait when every part is settled, or when enough are in and it is
// late.
func (p *pursuit) check() {
	if p.open.Load() == 0 || p.late.Load() && p.in.Load() >= int64(p.quorum) {
		p.once.Do(func() { close(p.done) })
	}
}

// sweep starts another attempt for each part whose last one takes long, and looks
// again a little later.
func (p *pursuit) sweep() {
	if p.context.Err() != nil {
		return
	}
	elapsed := p.elapsed()
	for i := range p.count {
		if state, _ := p.parts.Get(i); state.overdue(p.delay, elapsed) {
			p.submit(i, ramp.Hedge)
		}
	}
	p.relay.Clock.AfterFunc(p.delay/sweepShare, p.sweep)
}

func (p *pursuit) elapsed() time.Duration { return p.relay.Clock.Now().Sub(p.started) }

// submit lets a worker run an attempt. Without room for it the part is given up.
func (p *pursuit) submit(index int, kind ramp.AttemptKind) {
	if !p.relay.Pool.Submit(func() { p.try(index, kind) }) {
		p.giveUp(index)
	}
}

// try runs an attempt to its end, if there is a replica and the budget allows it.
func (p *pursuit) try(index int, kind ramp.AttemptKind) {
	state, _ := p.parts.Get(index)
	if state.closed || kind == ramp.Hedge && !state.overdue(p.delay, p.elapsed()) {
		return
	}
	if state.sent() >= p.route.MaxAttempts {
		p.giveUp(index)
		return
	}
	instance, grounds, ok := p.relay.Picker.Pick(state.service, state.attempts, p.connections(state.service))
	if !ok {
		if kind == ramp.Hedge || grounds.Saturated == 0 || !p.later(index, kind) {
			p.giveUp(index) // unless an attempt is pending; the sweep comes back to hedges
		}
		return
	}
	a := p.attempt(state.service, kind, instance, grounds)
	if kind == ramp.Hedge && grounds.Health != ramp.HealthOK ||
		state.sent() > 0 && !p.relay.Repeater.Allow(state.service) {
		p.relay.Picker.Done(a.WithOutcome(ramp.Cancelled, 0, false))
		p.giveUp(index)
		return
	}
	p.send(index, a, instance)
}

// later lets a worker try a part without a pending attempt again in a moment,
// when a replica may have room. It reports false when that would be too late.
func (p *pursuit) later(index int, kind ramp.AttemptKind) bool {
	if p.elapsed() > p.route.Objective/roomShare || p.context.Err() != nil {
		return false
	}
	p.relay.Clock.AfterFunc(roomPause, func() { p.submit(index, kind) })
	return true
}

func (p *pursuit) attempt(
	service string, kind ramp.AttemptKind, i ramp.Instance, grounds ramp.PickInfo,
) ramp.Attempt {
	return ramp.Attempt{
		Number: int(p.numbers.Add(1)) - 1, Kind: kind, Shard: ramp.Shard{ID: service}, Replica: i.Replica,
		Started: p.elapsed(), Outcome: ramp.Pending, Pick: grounds,
	}
}

// send records the attempt as pending and runs it, unless the part is closed.
func (p *pursuit) send(index int, a ramp.Attempt, i ramp.Instance) {
	open := false
	state := p.parts.Update(index, func(s part) part {
		if open = !s.closed && s.sent() < p.route.MaxAttempts; open {
			return s.WithAttempt(a)
		}
		return s
	})
	if !open {
		p.relay.Picker.Done(a.WithOutcome(ramp.Cancelled, 0, false))
		return
	}
	response, err := p.relay.Exchange.Exchange(state.context, ramp.Call{
		Message: p.message, Instance: i, Deadline: p.deadline, Idempotent: p.route.Idempotent,
		MaxConnections: p.connections(state.service),
	})
	p.finish(index, a, response, err)
}

// connections returns the daemon's part of the connections to each replica of
// the service.
func (p *pursuit) connections(service string) int {
	return max(1, p.routing.MaxConnections[service]/max(1, p.relay.Members()))
}

// finish records the outcome of an attempt and decides what follows from it.
func (p *pursuit) finish(index int, a ramp.Attempt, response ramp.Response, err error) {
	a = p.judge(a, response, err)
	merged := false
	state := p.parts.Update(index, func(s part) part {
		switch {
		case a.Outcome != ramp.Merged:
			return s.WithOutcome(a).WithFailure(response)
		case s.closed:
			a.Outcome = ramp.Late
			return s.WithOutcome(a)
		}
		merged = true
		return s.WithOutcome(a).WithMerged(response)
	})
	p.tell(a)
	switch {
	case merged:
		state.cancel()
		if p.merges != nil {
			p.merges <- index // it has room for every part
		}
		p.in.Add(1)
		p.settled()
	case state.closed || state.pending() > 0:
	case p.route.Idempotent || !a.Sent || a.NotRun:
		p.submit(index, ramp.Retry)
	default:
		p.giveUp(index)
	}
}

// judge returns the attempt with its outcome. It is Merged for a success.
func (p *pursuit) judge(a ramp.Attempt, response ramp.Response, err error) ramp.Attempt {
	elapsed := p.elapsed() - a.Started
	var failed *ramp.AttemptError
	switch {
	case errors.As(err, &failed):
		a.NewConnection, a.NotRun = failed.NewConnection, failed.NotRun
		return a.WithOutcome(failed.Outcome, elapsed, failed.Sent)
	case err != nil:
		return a.WithOutcome(ramp.Failed, elapsed, true)
	}
	a.NewConnection = response.NewConnection
	if response.Succeeded() || !p.route.Gathered() && !response.Failed() {
		return a.WithOutcome(ramp.Merged, elapsed, true)
	}
	return a.WithOutcome(ramp.Failed, elapsed, true)
}

// tell passes the outcome of an attempt on. The time is scaled by what is typical
// of the route.
func (p *pursuit) tell(a ramp.Attempt) {
	p.relay.Repeater.Observe(p.route.Name, a)
	if p.typical > 0 {
		a.Elapsed = time.Duration(float64(a.Elapsed) * float64(normalTime) / float64(p.typical))
	}
	p.relay.Picker.Done(a)
	switch a.Outcome {
	case ramp.Merged, ramp.Late, ramp.Cancelled:
	default:
		p.relay.Log.Info("attempt failed", "request", p.message.ID, "route", p.route.Name, "service", a.Shard.ID,
			"replica", a.Replica.ID, "kind", a.Kind, "outcome", a.Outcome, "sent", a.Sent, "unrun", a.NotRun,
			"connected", a.NewConnection, "elapsed", a.Elapsed, "footing", a.Pick.Health, "among", a.Pick.Candidates,
			"expected", a.Pick.ExpectedLatency, "age", a.Pick.EntryAge)
	}
}

// giveUp closes a part without a response, unless an attempt is still pending.
func (p *pursuit) giveUp(index int) {
	closed := false
	p.parts.Update(index, func(s part) part {
		if s.closed || s.pending() > 0 {
			return s
		}
		closed = true
		return s.WithClosed()
	})
	if closed {
		p.settled()
	}
}

func (p *pursuit) settled() {
	p.open.Add(-1)
	p.check()
}

// conclude closes all parts and returns the answer, or a [*ramp.RefusedError].
func (p *pursuit) conclude(d ramp.RelayResult, left bool) (ramp.RelayResult, error) {
	states := p.close()
	elapsed := p.elapsed()
	mayHaveRun := false
	for _, s := range states {
		mayHaveRun = mayHaveRun || s.mayHaveRun()
		for _, a := range s.attempts {
			if a.Outcome == ramp.Pending {
				a = a.WithOutcome(ramp.Cancelled, elapsed-a.Started, true)
			}
			d.Attempts = append(d.Attempts, a)
		}
	}
	slices.SortFunc(d.Attempts, func(a, b ramp.Attempt) int { return cmp.Compare(a.Number, b.Number) })
	d.TotalParts = p.count
	if left {
		return d, p.refuse(ramp.ReasonCaller, mayHaveRun)
	}
	if p.route.Gathered() {
		return p.gather(d, states, mayHaveRun)
	}
	if s := states[0]; s.merged || s.response.Status > 0 {
		d.Response = s.response
		return d, nil
	}
	return d, p.refuse(p.reason(), mayHaveRun)
}

// close closes all parts and returns them.
func (p *pursuit) close() []part {
	p.batches.Lock()
	defer p.batches.Unlock()
	p.concluded = true
	states := make([]part, 0, p.count)
	for i := range p.count {
		states = append(states, p.parts.Update(i, part.WithClosed))
	}
	return states
}

// gather puts the answer together from the parts that are in.
func (p *pursuit) gather(d ramp.RelayResult, states []part, mayHaveRun bool) (ramp.RelayResult, error) {
	var bodies [][]byte
	for _, s := range states {
		if s.merged {
			bodies = append(bodies, s.response.Body)
			d.Stamps = append(d.Stamps, s.response.Stamp)
		}
	}
	d.MissingParts = p.count - len(d.Stamps)
	if len(d.Stamps) < p.quorum {
		d.Stamps = nil
		return d, p.refuse(p.reason(), mayHaveRun)
	}
	d.Response.Body = greatest(bodies, p.route.TopK)
	return d, nil
}

func (p *pursuit) reason() ramp.Reason {
	if !p.relay.Clock.Now().Before(p.deadline) {
		return ramp.ReasonDeadline
	}
	return ramp.ReasonReplica
}

func (p *pursuit) refuse(reason ramp.Reason, mayHaveRun bool) error {
	if mayHaveRun {
		return &ramp.RefusedError{Reason: reason, Ran: ramp.RanUnknown}
	}
	return &ramp.RefusedError{Reason: reason, Ran: ramp.NotRun, RetryAfter: comeBack}
}

func asRelayed(err error) *ramp.RefusedError {
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
