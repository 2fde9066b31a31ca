package query

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// delegationOverhead is the time that a delegation adds to the replies of the
// replicas: a round trip between failure domains and the work of two daemons.
const delegationOverhead = 8 * time.Millisecond

// delegation is a set of parts that are collected through one daemon, the
// delegate, from the replicas in its failure domain.
type delegation struct {
	delegate ramp.Daemon
	kind     ramp.AttemptKind
	insists  bool          // the delegate uses replicas that are not healthy too
	started  time.Duration // since the message was received
	indexes  []int         // of the parts, in the execution
}

// grouped reports whether this daemon leaves all replicas to their delegates.
func (r *Relay) grouped() bool { return r.Delegates != nil && r.Delegates.Grouped() }

// dispatch starts an attempt for each of the parts: through the daemons that
// collect the parts of their services, or directly where there is none. Unless the
// fleet is grouped, only first attempts in other failure domains are delegated.
func (e *execution) dispatch(indexes []int, kind ramp.AttemptKind) {
	if len(indexes) > 0 && !e.authorized() {
		for _, i := range indexes {
			e.giveUp(i)
		}
		return
	}
	indexes = e.holdRepeats(indexes, kind)
	if !e.delegates || kind != ramp.First && !e.grouped {
		for _, i := range indexes {
			e.submit(i, kind)
		}
		return
	}
	direct, delegations := e.planDelegations(indexes, kind)
	for _, i := range direct {
		if state, _ := e.parts.Get(i); e.grouped && kind == ramp.First {
			e.relay.Budget.CountRequest(state.service)
		}
		e.submit(i, kind)
	}
	for _, d := range delegations {
		if d = e.reserve(d); len(d.indexes) == 0 {
			continue
		}
		if !e.relay.Pool.Submit(func() { e.collectFrom(d) }) {
			e.finishDelegation(d, &ramp.PeerError{Daemon: d.delegate.ID})
		}
	}
}

// holdRepeats returns the parts whose attempts of the kind need not wait, and repeats those of the
// others later.
func (e *execution) holdRepeats(indexes []int, kind ramp.AttemptKind) []int {
	var free, held []int
	for _, i := range indexes {
		if state, _ := e.parts.Get(i); e.holdsRepeat(kind, state) {
			held = append(held, i)
		} else {
			free = append(free, i)
		}
	}
	if len(held) > 0 && !e.repeatLater(kind, func() { e.dispatch(held, kind) }) {
		for _, i := range held {
			e.giveUp(i)
		}
	}
	return free
}

// planDelegations assigns the parts to delegates. It returns those that this
// daemon fetches itself apart: it is their delegate, or none is known.
func (e *execution) planDelegations(indexes []int, kind ramp.AttemptKind) (direct []int, delegations []delegation) {
	healthy := make([][]string, len(indexes)) // failure domains with a healthy replica, by position in indexes
	for n, i := range indexes {
		state, _ := e.parts.Get(i)
		healthy[n] = e.relay.Picker.Domains(state.service)
	}
	byTarget := make(map[target]*targetParts)
	var targets []*targetParts
	for n, i := range indexes {
		state, _ := e.parts.Get(i)
		to, found := state.chooseTarget(healthy[n], e.relay.Domain, e.domainOrder(healthy))
		if !found || to.domain == e.relay.Domain && !e.grouped {
			direct = append(direct, i)
			continue
		}
		if byTarget[to] == nil {
			byTarget[to] = &targetParts{target: to}
			targets = append(targets, byTarget[to])
		}
		byTarget[to].indexes = append(byTarget[to].indexes, i)
		byTarget[to].services = append(byTarget[to].services, state.service)
	}
	started := e.elapsed()
	for _, d := range targets {
		byDelegate := make(map[string]int) // position in delegations by the incarnation of the delegate
		for n, delegate := range e.relay.Delegates.Select(d.domain, d.services) {
			if delegate.Self || !delegate.Found() {
				direct = append(direct, d.indexes[n])
				continue
			}
			at, known := byDelegate[delegate.Incarnation]
			if !known {
				at = len(delegations)
				byDelegate[delegate.Incarnation] = at
				delegations = append(delegations, delegation{
					delegate: delegate.Daemon, kind: kind, insists: d.insists, started: started,
				})
			}
			delegations[at].indexes = append(delegations[at].indexes, d.indexes[n])
		}
	}
	return direct, delegations
}

// target is a failure domain in which a part is to be collected.
type target struct {
	domain  string
	insists bool // replicas that are not healthy are used too
}

// targetParts are the parts that are to be collected from a target.
type targetParts struct {
	target
	indexes  []int    // of the parts
	services []string // of the parts, in the same order
}

// domainOrder returns the order in which the request uses failure domains. It is
// drawn once, from those of the given lists of domains.
func (e *execution) domainOrder(lists [][]string) []string {
	e.orderOnce.Do(func() {
		parts := make(map[string]int)
		for _, domain := range slices.Concat(lists...) {
			parts[domain]++
		}
		e.order = e.relay.placement.order(parts, e.relay.Delegates.Count)
	})
	return e.order
}

// reserve records the delegation's attempts as pending and returns it with the
// parts that it is to collect: those that are open, and whose attempts are not used
// up. The delegate checks that the retry budget allows repeats.
func (e *execution) reserve(d delegation) delegation {
	var reserved []int
	for _, i := range d.indexes {
		state, _ := e.parts.Get(i)
		if state.sentCount() >= e.route.MaxAttempts {
			e.giveUp(i)
			continue
		}
		open := false
		e.parts.Update(i, func(s part) part {
			if open = !s.closed && s.sentCount() < e.route.MaxAttempts; !open {
				return s
			}
			return s.WithAttempt(ramp.Attempt{
				Number: int(e.sequence.Add(1)) - 1, Kind: d.kind, Shard: ramp.Shard{ID: s.service}, Delegate: d.delegate.ID,
				Replica: ramp.Replica{ID: d.delegate.ID, Domain: d.delegate.Domain},
				Started: d.started + delegationOverhead, Outcome: ramp.Pending,
			})
		})
		if open {
			reserved = append(reserved, i)
		}
	}
	d.indexes = reserved
	return d
}

// collectFrom asks the delegate for its parts and merges the batches that it
// sends. It runs on a worker.
func (e *execution) collectFrom(d delegation) {
	services := make([]string, 0, len(d.indexes))
	for _, i := range d.indexes {
		state, _ := e.parts.Get(i)
		services = append(services, state.service)
	}
	domain := d.delegate.Domain
	e.relay.placement.start(domain, len(d.indexes))
	defer e.relay.placement.end(domain, len(d.indexes))
	var answered atomic.Bool
	if !d.repeats() {
		defer e.relay.Clock.AfterFunc(e.delegateWait(), func() {
			if !answered.Load() {
				e.reportSilence(d, nil) // at once, since other requests would use the delegate meanwhile
			}
		})()
	}
	err := e.relay.Collector.Collect(e.context, d.delegate, ramp.CollectRequest{
		Message: e.message, Route: e.route, Services: services, Deadline: e.deadline, Separate: d.repeats(),
		Insist: d.insists, BatchDelay: e.hedgeDelay,
	}, func(b ramp.Batch) {
		if !answered.Swap(true) {
			e.observeDelegate(d, float64(len(b.Pending))/float64(len(d.indexes)))
		}
		e.mergeBatch(d, b)
	})
	// A delegate that has no room for a tenant's parts ends the collection without them.
	hasNoRoom := err == nil && e.message.Tenant != ""
	if !answered.Load() && !hasNoRoom && e.context.Err() == nil &&
		(d.repeats() || e.elapsed()-d.started < e.delegateWait()) {
		e.reportSilence(d, err)
	}
	e.finishDelegation(d, err)
}

// reportSilence records that the delegate sent nothing. The error is nil while
// its answer may still come.
func (e *execution) reportSilence(d delegation, err error) {
	elapsed := e.elapsed() - d.started
	e.relay.Delegates.Report(d.delegate, false)
	e.relay.placement.observe(d.delegate.Domain, elapsed, 1, e.route.Objective)
	e.relay.Log.Info("delegate returned no parts", "request", e.message.ID, "daemon", d.delegate.ID,
		"parts", len(d.indexes), "elapsed", elapsed, "error", err)
}

// repeats reports whether earlier attempts were made for the parts. The delegate
// then sends each part when it arrives, and otherwise most of them together.
func (d delegation) repeats() bool { return d.kind != ramp.First }

// delegateWait returns the time within which a delegate in order sends its first
// batch.
func (e *execution) delegateWait() time.Duration { return e.hedgeDelay + 2*delegationOverhead }

// observeDelegate records the first batch of a delegation, of whose parts the
// given share was missing. A delegate that was late was reported before.
func (e *execution) observeDelegate(d delegation, missing float64) {
	elapsed := e.elapsed() - d.started
	switch {
	case d.repeats():
		e.relay.Delegates.Report(d.delegate, true)
	case elapsed < e.delegateWait():
		e.relay.Delegates.Report(d.delegate, true)
		e.relay.placement.observe(d.delegate.Domain, elapsed, missing, e.route.Objective)
	}
}

// mergeBatch merges a batch and repeats the attempts of the parts that the
// delegate does not have yet. The records of a batch with several parts are not
// separated by part, so it replaces parts that were received in another way
// meanwhile. These came one by one: a part is in one such batch at most.
func (e *execution) mergeBatch(d delegation, b ramp.Batch) {
	e.batchMutex.Lock()
	if e.batchesClosed {
		e.batchMutex.Unlock()
		return
	}
	var added []part
	for n, received := range b.Received {
		response := ramp.Response{Stamp: received.Stamp}
		if n == 0 {
			response.Body = b.Records
		}
		isNew := false
		state := e.parts.Update(d.indexes[received.Index], func(s part) part {
			if isNew = !s.merged; !isNew && len(b.Received) == 1 {
				return s.withDelegationOutcome(d.delegate.ID, ramp.Late, e.elapsed(), true)
			}
			return s.withDelegationOutcome(d.delegate.ID, ramp.Merged, e.elapsed(), true).WithMerged(response)
		})
		if isNew {
			added = append(added, state)
		}
	}
	e.batchMutex.Unlock()
	if len(b.Received) > 0 {
		e.observeAnswer()
	}
	for _, s := range added {
		s.cancel()
		e.received.Add(1)
		e.partDone()
	}
	var unsent, sent []int
	for _, pending := range b.Pending {
		index := d.indexes[pending.Index]
		if pending.Replica == "" {
			e.parts.Update(index, func(s part) part {
				return s.withDelegationOutcome(d.delegate.ID, ramp.NotStarted, e.elapsed(), false)
			})
			unsent = append(unsent, index)
			continue
		}
		e.parts.Update(index, func(s part) part { return s.withDelegatedReplica(d.delegate.ID, pending.Replica) })
		if pending.Crashed {
			e.observeCrash(pending.Replica)
		}
		sent = append(sent, index)
	}
	e.dispatch(unsent, d.kind)
	e.dispatch(sent, ramp.Retry)
}

// finishDelegation records the outcome of the delegation's pending attempts, and
// repeats those of the parts that the delegate did not send. If the request did
// not reach the delegate these are not sent yet.
func (e *execution) finishDelegation(d delegation, err error) {
	outcome, kind := ramp.Failed, ramp.Retry
	var failed *ramp.PeerError
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case !sent:
		outcome, kind = ramp.Unreachable, d.kind
	case err != nil:
		outcome = ramp.Unreachable
	}
	var open []int
	for _, i := range d.indexes {
		e.parts.Update(i, func(s part) part {
			if !s.closed && s.awaitsDelegate(d.delegate.ID) {
				open = append(open, i)
			}
			return s.withDelegationOutcome(d.delegate.ID, outcome, e.elapsed(), sent)
		})
	}
	e.dispatch(open, kind)
}
