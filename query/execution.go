package query

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// hedgeSweepDivisor divides the hedge delay into the interval at which parts
// are checked again for overdue attempts.
const hedgeSweepDivisor = 3

// Bounds of waiting while all replicas of a service are saturated.
const (
	capacityRetryDelay  = 4 * time.Millisecond // until the replicas are checked again; a reply takes 5 to 20 ms
	capacityWaitDivisor = 4                    // a part waits for 1/4 of the objective; longer only delays the refusal
)

// connectionHolders is the number of daemons among which the connections to a
// replica of a gathered route are divided: the daemon that collects its parts, the
// one that does so after its failure, and two parts for the other daemons.
const connectionHolders = 4

// delegateSlackShare is the part of the slack of the retry budget that the delegates
// of a service have together. The others have the rest for attempts that they make
// themselves.
const delegateSlackShare = 2.0 / 3

// returnSpread is the greatest part of a delay that is added to the time after
// which a refused caller may retry.
const returnSpread = 0.25

// referenceLatency is the median latency to which replies of every route are
// scaled, so that latencies on different routes are comparable for the same
// replica.
const referenceLatency = 10 * time.Millisecond

// execution is the state of answering one message. Workers of the pool run its
// attempts. Its parts are a shared table, indexed by the service's position in
// the route.
type execution struct {
	relay          *Relay
	message        ramp.Message
	route          ramp.Route
	routing        ramp.Routing
	started        time.Time
	priorWait      time.Duration // from the first time that the caller asked until started
	deadline       time.Time
	parts          *ramp.Table[int, part]
	partCount      int           // number of parts
	quorum         int           // number of parts below which there is no answer
	hedgeDelay     time.Duration // time that an attempt may be pending before it is hedged
	medianLatency  time.Duration // of a reply on the route; 0 if unknown
	context        context.Context
	cancel         context.CancelFunc
	sequence       atomic.Int64 // attempts numbered so far
	remaining      atomic.Int64 // parts neither received nor given up
	received       atomic.Int64 // parts that were received
	quorumSuffices atomic.Bool  // set once the wait for a complete answer is over

	fingerprint func() ramp.Fingerprint // of the message, computed when it is needed
	answered    atomic.Bool             // a replica answered an attempt

	unconfirmed atomic.Pointer[ramp.RefusedError] // why an attempt of a tenant was not made; nil for none

	delegates bool // attempts may be made through other daemons
	grouped   bool // all replicas are left to their delegates, see [ramp.DelegateSelector]

	collection // how parts are collected for another daemon; zero if they are not

	orderOnce sync.Once // sets order
	order     []string  // see [execution.domainOrder]

	withdrawal *withdrawal // of a message that is not idempotent; nil for others

	batchMutex    *ramp.Mutex // held while a batch is merged, and while the parts are closed
	batchesClosed bool        // no batch is merged any more; guarded by batchMutex

	done     chan struct{} // closed when the wait for parts is over
	doneOnce sync.Once     // closes done
}

func (r *Relay) newExecution(
	ctx context.Context, m ramp.Message, route ramp.Route, routing ramp.Routing, started, deadline time.Time,
) *execution {
	services := r.services(route)
	e := &execution{
		relay: r, message: m, route: route, routing: routing, started: started, deadline: deadline,
		parts: ramp.NewTable[int, part](ramp.RankQueries), partCount: len(services), quorum: len(services),
		hedgeDelay: r.Budget.HedgeDelay(route), medianLatency: r.Budget.MedianLatency(route.Name),
		done: make(chan struct{}), batchMutex: ramp.NewMutex(ramp.RankBatches), fingerprint: sync.OnceValue(m.Fingerprint),
	}
	if route.Gathered() {
		e.quorum = route.Quorum()
	}
	if !route.Idempotent {
		e.withdrawal = newWithdrawal(ctx)
		ctx = context.WithoutCancel(ctx)
	}
	e.grouped = route.Gathered() && r.grouped()
	e.delegates = route.Gathered() && route.MaxAttempts > 1 && r.Delegates != nil && len(m.Body) == 0
	e.context, e.cancel = context.WithCancel(ctx)
	e.remaining.Store(int64(e.partCount))
	for i, s := range services {
		e.parts.Put(i, newPart(e.context, s))
	}
	return e
}

// run starts the first attempts and waits for the result: until every part is
// received or given up, the quorum suffices and is reached, the deadline passes,
// the daemon has to stop, or the caller has gone. A message that is not idempotent
// outlives its caller once a replica may work on it.
func (e *execution) run(ctx context.Context, r ramp.RelayResult) (ramp.RelayResult, error) {
	clock := e.relay.Clock
	expired := make(chan struct{})
	stop := clock.AfterFunc(e.deadline.Sub(clock.Now()), func() { close(expired) })
	defer stop()
	if !e.grouped {
		e.countRequests() // not in the delegate, since this daemon makes the retries and hedges
	}
	if e.route.Gathered() && e.route.Objective > 0 {
		defer clock.AfterFunc(e.fullAnswerWait(), e.acceptQuorum)()
	}
	if e.route.Idempotent && e.route.MaxAttempts > 1 {
		defer clock.AfterFunc(e.hedgeDelay, e.hedgeSlowParts)()
	}
	if delay := e.refusalDelay(); delay > 0 {
		r.TotalParts = e.partCount
		return r, e.refuse(ramp.ReasonReplica, false, delay)
	}
	all := make([]int, e.partCount)
	for i := range all {
		all[i] = i
	}
	e.dispatch(all, ramp.First)
	callerGone := ctx.Done()
	if e.withdrawal != nil {
		callerGone = e.withdrawal.done
		defer context.AfterFunc(ctx, e.withdrawal.request)()
	}
	callerLeft := false
	select {
	case <-e.done:
	case <-expired:
	case <-e.relay.AnswersDue:
	case <-callerGone:
		callerLeft = true
	}
	return e.result(r, callerLeft)
}

// countRequests counts a request for the service of each part in the retry budget.
func (e *execution) countRequests() {
	for i := range e.partCount {
		state, _ := e.parts.Get(i)
		e.relay.Budget.CountRequest(state.service)
	}
}

// slackShare returns this daemon's part of the slack of the retry budget for a
// service, or 0 for an equal part. In a grouped fleet the delegates of the service,
// one for each failure domain with replicas, have most of it, since the repeats go
// through them.
func (e *execution) slackShare(service string) float64 {
	if !e.grouped {
		return 0
	}
	if e.bound || e.relay.Delegates.Select(e.relay.Domain, []string{service})[0].Self {
		return delegateSlackShare / float64(max(1, e.relay.Picker.Spread(service)))
	}
	return (1 - delegateSlackShare) / float64(max(1, e.relay.FleetSize()))
}

// refusalDelay returns the time until the replicas accept enough parts for the
// quorum, if that is longer than a part waits, and 0 otherwise. A message that
// cannot be answered is then refused before any replica works on it.
func (e *execution) refusalDelay() time.Duration {
	delays := make([]time.Duration, 0, e.partCount)
	for i := range e.partCount {
		state, _ := e.parts.Get(i)
		delays = append(delays, e.partDelay(state.service))
	}
	if delay := quorumDelay(delays, e.quorum); delay > e.route.Objective/capacityWaitDivisor {
		return delay
	}
	return 0
}

// partDelay returns the time until a replica of the service accepts a request,
// which is estimated for a service without replicas.
func (e *execution) partDelay(service string) time.Duration {
	delay, ok := e.relay.Picker.Delay(service)
	if !ok {
		return noReplicaRetryAfter
	}
	return delay
}

// quorumDelay returns the time after which as many of the delays have passed as
// needed.
func quorumDelay(delays []time.Duration, needed int) time.Duration {
	if needed <= 0 || len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[min(needed, len(delays))-1]
}

// fullAnswerWait returns how long to wait for a complete answer before the
// quorum suffices. The caller's earlier wait counts towards the objective. Once
// the objective has passed a quick answer gains nothing, so a caller that asks
// again gets as long a wait as one that asks for the first time.
func (e *execution) fullAnswerWait() time.Duration {
	wait := e.route.Objective - e.relay.ReplyMargin
	if e.priorWait < wait {
		wait -= e.priorWait
	}
	return wait
}

// acceptQuorum lets the quorum suffice from now on.
func (e *execution) acceptQuorum() {
	e.quorumSuffices.Store(true)
	e.checkDone()
}

// checkDone ends the wait when every part is received or given up, or when the
// quorum suffices and is reached.
func (e *execution) checkDone() {
	if e.remaining.Load() == 0 || e.quorumSuffices.Load() && e.received.Load() >= int64(e.quorum) {
		e.doneOnce.Do(func() { close(e.done) })
	}
}

// hedgeSlowParts submits a hedge for each part whose newest attempt is overdue,
// and schedules the next check.
func (e *execution) hedgeSlowParts() {
	if e.context.Err() != nil {
		return
	}
	elapsed := e.elapsed()
	var overdue []int
	for i := range e.partCount {
		if state, _ := e.parts.Get(i); state.overdue(e.hedgeDelay, elapsed) {
			overdue = append(overdue, i)
		}
	}
	e.dispatch(overdue, ramp.Hedge)
	e.relay.Clock.AfterFunc(e.hedgeDelay/hedgeSweepDivisor, e.hedgeSlowParts)
}

func (e *execution) elapsed() time.Duration { return e.relay.Clock.Now().Sub(e.started) }

// submit queues an attempt for the worker pool. When the pool's queue is full
// the part is given up.
func (e *execution) submit(index int, kind ramp.AttemptKind) {
	if !e.relay.Pool.Submit(func() { e.runAttempt(index, kind) }) {
		e.giveUp(index)
	}
}

// runAttempt runs an attempt to its end, provided that there is a replica for
// it and, for any but the first attempt, that the retry budget allows it. A
// hedge also needs a replica with HealthOK.
func (e *execution) runAttempt(index int, kind ramp.AttemptKind) {
	state, _ := e.parts.Get(index)
	if state.closed || e.context.Err() != nil || kind == ramp.Hedge && !state.overdue(e.hedgeDelay, e.elapsed()) {
		return
	}
	if state.sentCount() >= e.route.MaxAttempts || !e.authorized() {
		e.giveUp(index)
		return
	}
	if e.holdsRepeat(kind, state) {
		if !e.repeatLater(kind, func() { e.submit(index, kind) }) {
			e.giveUp(index) // no effect with a pending attempt; hedgeSlowParts tries a hedge again
		}
		return
	}
	instance, pick, ok := e.relay.Picker.Pick(e.pickRequest(state, kind))
	if !ok {
		if kind == ramp.Hedge || e.bound && !e.insists || !e.retryForCapacity(index, kind, pick) {
			if pick.Throttled > 0 {
				e.relay.ObserveWithheld(state.service)
			}
			e.giveUp(index) // no effect with a pending attempt; hedgeSlowParts tries a hedge again
		}
		return
	}
	a := e.newAttempt(state.service, kind, instance, pick)
	if kind == ramp.Hedge && pick.Health != ramp.HealthOK ||
		state.sentCount() > 0 && !e.relay.Budget.Allow(state.service, e.slackShare(state.service)) {
		e.relay.Picker.Done(a.WithOutcome(ramp.Cancelled, 0, false))
		e.giveUp(index)
		return
	}
	e.send(index, a, instance)
}

// pickRequest returns what the picker is asked for an attempt at a part. The attempts of
// tenants' requests are ordered.
func (e *execution) pickRequest(state part, kind ramp.AttemptKind) ramp.PickRequest {
	request := ramp.PickRequest{
		Service: state.service, Tried: state.attempts, Limit: e.connectionShare(state.service), Near: e.bound,
		Senders: e.senders(), Latency: e.medianLatency,
	}
	if e.message.Tenant != "" {
		request.Ordered, request.Priority = true, e.message.Priority
		request.Repeat = kind != ramp.First || e.repeats
		request.Holders, request.Exceptional = e.holders(state.service), e.grouped
	}
	return request
}

// holders returns the number of daemons that send requests to the replicas of the
// service in this failure domain: this one alone if it is their delegate.
func (e *execution) holders(service string) int {
	if e.grouped && (e.bound || e.relay.Delegates.Select(e.relay.Domain, []string{service})[0].Self) {
		return 1
	}
	return max(1, e.relay.FleetSize())
}

// retryForCapacity submits an attempt again, for a part without a pending attempt
// whose replicas are all saturated or throttled: after capacityRetryDelay, or
// when the first throttled replica accepts requests. It reports false when the
// part would wait too long.
func (e *execution) retryForCapacity(index int, kind ramp.AttemptKind, pick ramp.PickInfo) bool {
	delay := pick.Delay
	if pick.Saturated > 0 {
		delay = capacityRetryDelay
	}
	limit := e.route.Objective / capacityWaitDivisor
	if pick.Saturated+pick.Throttled == 0 || e.elapsed() > limit || delay > limit || e.context.Err() != nil {
		return false
	}
	e.relay.Clock.AfterFunc(delay, func() { e.submit(index, kind) })
	return true
}

func (e *execution) newAttempt(
	service string, kind ramp.AttemptKind, i ramp.Instance, pick ramp.PickInfo,
) ramp.Attempt {
	return ramp.Attempt{
		Number: int(e.sequence.Add(1)) - 1, Kind: kind, Shard: ramp.Shard{ID: service}, Replica: i.Replica,
		Started: e.elapsed(), Outcome: ramp.Pending, Pick: pick,
	}
}

// send records the attempt as pending, sends it and records its outcome. It
// does nothing when the part is closed or has used up its attempts.
func (e *execution) send(index int, a ramp.Attempt, i ramp.Instance) {
	open := false
	state := e.parts.Update(index, func(s part) part {
		if open = !s.closed && s.sentCount() < e.route.MaxAttempts; open {
			return s.WithAttempt(a)
		}
		return s
	})
	if !open {
		e.relay.Picker.Done(a.WithOutcome(ramp.Cancelled, 0, false))
		return
	}
	response, err := e.relay.Exchanger.Exchange(state.context, ramp.Call{
		Message: e.message, Instance: i, Deadline: e.deadline, Idempotent: e.route.Idempotent,
		MaxConnections: e.connectionShare(state.service), BeforeSend: func() error { return e.beforeSend(i) },
	})
	e.observeRun(i.ID, err)
	e.finish(index, a, response, err)
}

// Causes of attempts that were not sent although they had a connection.
var (
	errReplicaLeft = errors.New("the replica must get no requests any more")
	errUnconfirmed = errors.New("the key may have been taken away")
	errBlocked     = errors.New("the message ends the replicas that run it")
)

// beforeSend returns an error for an attempt that has a connection but must not be sent
// any more.
func (e *execution) beforeSend(i ramp.Instance) error {
	if !e.relay.Picker.Usable(i) {
		return &ramp.AttemptError{Outcome: ramp.NotStarted, Cause: errReplicaLeft}
	}
	if !e.authorized() {
		return &ramp.AttemptError{Outcome: ramp.NotStarted, Cause: errUnconfirmed}
	}
	if e.blockedFor() > 0 {
		return &ramp.AttemptError{Outcome: ramp.NotStarted, Cause: errBlocked}
	}
	if e.withdrawal != nil && !e.withdrawal.beginSend() {
		return &ramp.AttemptError{Outcome: ramp.Cancelled, Cause: context.Canceled}
	}
	return nil
}

// senders returns the number of daemons that send to the replicas directly, or 0 where the
// parts go through delegates, few of which send to one replica.
func (e *execution) senders() int {
	if e.grouped {
		return 0
	}
	return e.relay.FleetSize()
}

// connectionShare returns this daemon's share of the connections to each
// replica of the service. It is at least 1. In a grouped fleet the replicas of a
// gathered route are used by the daemons that collect its parts, and by others only
// when these fail.
func (e *execution) connectionShare(service string) int {
	holders := max(1, e.relay.FleetSize())
	if e.grouped {
		holders = min(holders, connectionHolders)
	}
	return max(1, e.routing.MaxConnections[service]/holders)
}

// finish records the outcome of an attempt, and merges its response, retries it
// or gives the part up.
func (e *execution) finish(index int, a ramp.Attempt, response ramp.Response, err error) {
	a = e.classify(a, response, err)
	merged := false
	state := e.parts.Update(index, func(s part) part {
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
	e.reportOutcome(a, err)
	switch {
	case merged:
		state.cancel()
		if e.mergedParts != nil {
			e.mergedParts <- index // never blocks: the capacity is the number of parts
		}
		e.received.Add(1)
		e.partDone()
	case state.closed || state.pendingCount() > 0:
	case e.route.Idempotent || !a.Sent || a.NotRun:
		if e.withdrawal == nil || e.withdrawal.endUnrun() {
			e.submit(index, ramp.Retry)
		}
	default:
		e.giveUp(index)
	}
}

// classify returns the attempt with its outcome, which is Merged for a response
// that may be part of the answer.
func (e *execution) classify(a ramp.Attempt, response ramp.Response, err error) ramp.Attempt {
	elapsed := e.elapsed() - a.Started
	var failed *ramp.AttemptError
	switch {
	case errors.As(err, &failed):
		a.NewConnection, a.NotRun, a.Signals = failed.NewConnection, failed.NotRun, failed.Signals
		a.Crashed = failed.Crashed
		return a.WithOutcome(failed.Outcome, elapsed, failed.Sent)
	case err != nil:
		return a.WithOutcome(ramp.Failed, elapsed, true)
	}
	a.NewConnection, a.Signals = response.NewConnection, response.Signals
	if response.Succeeded() || !e.route.Gathered() && !response.Failed() {
		return a.WithOutcome(ramp.Merged, elapsed, true)
	}
	return a.WithOutcome(ramp.Failed, elapsed, true)
}

// reportOutcome reports the outcome of an attempt to the retry budget and the
// picker, and logs failures. The latency that the picker gets is scaled by the
// median latency of the route.
func (e *execution) reportOutcome(a ramp.Attempt, cause error) {
	e.relay.ObserveAttempt(a)
	e.relay.Budget.Observe(e.route.Name, a)
	if e.medianLatency > 0 {
		a.Elapsed = time.Duration(float64(a.Elapsed) * float64(referenceLatency) / float64(e.medianLatency))
	}
	e.relay.Picker.Done(a)
	switch a.Outcome {
	case ramp.Merged, ramp.Late, ramp.Cancelled:
	default:
		e.relay.Log.Info("attempt failed", "request", e.message.ID, "route", e.route.Name, "service", a.Shard.ID,
			"replica", a.Replica.ID, "kind", a.Kind, "outcome", a.Outcome, "sent", a.Sent, "unrun", a.NotRun,
			"connected", a.NewConnection, "elapsed", a.Elapsed, "footing", a.Pick.Health, "among", a.Pick.Candidates,
			"expected", a.Pick.ExpectedLatency, "age", a.Pick.EntryAge, "crashed", a.Crashed, "message", e.fingerprint(),
			"cause", cause)
	}
}

// giveUp closes a part without a response, unless an attempt is still pending.
func (e *execution) giveUp(index int) {
	closed := false
	e.parts.Update(index, func(s part) part {
		if s.closed || s.pendingCount() > 0 {
			return s
		}
		closed = true
		return s.WithClosed()
	})
	if closed {
		e.partDone()
	}
}

// partDone counts a part as received or given up.
func (e *execution) partDone() {
	e.remaining.Add(-1)
	e.checkDone()
}

// result closes all parts and returns the answer, or a [*ramp.RefusedError].
func (e *execution) result(r ramp.RelayResult, callerLeft bool) (ramp.RelayResult, error) {
	states := e.close()
	elapsed := e.elapsed()
	withdrawn := e.withdrawal != nil && callerLeft // no attempt is at a replica
	mayHaveRun := false
	for _, s := range states {
		mayHaveRun = mayHaveRun || s.mayHaveRun() && !withdrawn
		for _, a := range s.attempts {
			if a.Outcome == ramp.Pending {
				a = a.WithOutcome(ramp.Cancelled, elapsed-a.Started, !withdrawn)
			}
			r.Attempts = append(r.Attempts, a)
		}
	}
	slices.SortFunc(r.Attempts, func(a, b ramp.Attempt) int { return cmp.Compare(a.Number, b.Number) })
	r.TotalParts = e.partCount
	if callerLeft {
		return r, e.refuse(ramp.ReasonCaller, mayHaveRun, 0)
	}
	if e.route.Gathered() {
		return e.mergeParts(r, states, mayHaveRun)
	}
	if s := states[0]; s.merged || s.response.Status > 0 {
		r.Response = s.response
		return r, nil
	}
	return r, e.refuseUnanswered(mayHaveRun, states)
}

// close closes all parts and returns their final states. No batch is merged
// afterwards.
func (e *execution) close() []part {
	e.batchMutex.Lock()
	defer e.batchMutex.Unlock()
	e.batchesClosed = true
	states := make([]part, 0, e.partCount)
	for i := range e.partCount {
		states = append(states, e.parts.Update(i, part.WithClosed))
	}
	return states
}

// mergeParts builds the answer from the parts that were received, or refuses
// the message without a quorum.
func (e *execution) mergeParts(r ramp.RelayResult, states []part, mayHaveRun bool) (ramp.RelayResult, error) {
	var bodies [][]byte
	for _, s := range states {
		if s.merged {
			bodies = append(bodies, s.response.Body)
			r.Stamps = append(r.Stamps, s.response.Stamp)
		}
	}
	r.MissingParts = e.partCount - len(r.Stamps)
	if len(r.Stamps) < e.quorum {
		r.Stamps = nil
		return r, e.refuseUnanswered(mayHaveRun, states)
	}
	r.Response.Body = topRecords(bodies, e.route.TopK)
	return r, nil
}

// refuseUnanswered returns the refusal of a message without an answer: the key may have been
// taken away before the message was sent, the deadline passed, or no replica answered.
func (e *execution) refuseUnanswered(mayHaveRun bool, states []part) error {
	if refused := e.unconfirmed.Load(); refused != nil && !mayHaveRun {
		return refused
	}
	if !e.relay.Clock.Now().Before(e.deadline) {
		return e.refuse(ramp.ReasonDeadline, mayHaveRun, e.openDelay(states))
	}
	return e.refuse(ramp.ReasonReplica, mayHaveRun, e.openDelay(states))
}

// refuse returns a refusal, with a time to retry after if the message cannot
// have run: the delay until replicas accept it, spread over the callers.
func (e *execution) refuse(reason ramp.Reason, mayHaveRun bool, delay time.Duration) error {
	if mayHaveRun {
		return &ramp.RefusedError{Reason: reason, Ran: ramp.RanUnknown}
	}
	return &ramp.RefusedError{
		Reason: reason, Ran: ramp.NotRun,
		RetryAfter: max(refusalRetryAfter, spread(delay)),
	}
}

// spread returns the delay with a random part of it added, so that the callers refused
// meanwhile do not all return at once.
func spread(delay time.Duration) time.Duration {
	return delay + time.Duration(returnSpread*rand.Float64()*float64(delay))
}

// openDelay returns the time until replicas accept requests for enough of the
// parts that were not received to reach the quorum.
func (e *execution) openDelay(states []part) time.Duration {
	needed := e.quorum
	var delays []time.Duration
	for _, s := range states {
		if s.merged {
			needed--
		} else {
			delays = append(delays, e.partDelay(s.service))
		}
	}
	return quorumDelay(delays, needed)
}

// findRefusal returns the refusal that err wraps, or nil.
func findRefusal(err error) *ramp.RefusedError {
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
