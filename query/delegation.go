package query

import (
	"context"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the collection of parts through daemons of other failure domains.
const (
	// minDelegatedParts is the least number of parts that a delegate is asked for.
	// Fewer are fetched directly: their bytes are about as many as those of the
	// call to the delegate and its answer.
	minDelegatedParts = 2
	// delegationOverhead is the time that a delegation adds to the replies of the
	// replicas: a round trip between failure domains and the work of two daemons.
	delegationOverhead = 8 * time.Millisecond
)

// delegation is a set of parts that are collected through one daemon of another
// failure domain, the delegate.
type delegation struct {
	delegate ramp.Daemon
	indexes  []int // of the parts, in the execution
}

// planDelegations assigns the parts that have no replica in this daemon's
// failure domain to delegates in as few other domains as possible. The other
// parts are fetched directly.
func (e *execution) planDelegations(services []string) []delegation {
	partsByDomain := make(map[string][]int) // indexes of parts by the failure domain of a replica
	for i, s := range services {
		local, domains := e.relay.Picker.Domains(s)
		if local {
			continue
		}
		for _, d := range domains {
			partsByDomain[d] = append(partsByDomain[d], i)
		}
	}
	var delegations []delegation
	assigned := make(map[int]bool)
	for len(partsByDomain) > 0 {
		domain, indexes := largestDomain(partsByDomain, assigned)
		if len(indexes) < minDelegatedParts {
			break
		}
		delete(partsByDomain, domain)
		delegate, found := e.relay.Delegates.Select(domain)
		if !found {
			continue
		}
		for _, i := range indexes {
			assigned[i] = true
		}
		delegations = append(delegations, delegation{delegate: delegate, indexes: indexes})
	}
	return delegations
}

// largestDomain returns the failure domain with the most unassigned parts, and
// the indexes of those parts. Ties go to the domain whose name sorts first.
func largestDomain(partsByDomain map[string][]int, assigned map[int]bool) (string, []int) {
	var best string
	var most []int
	for domain, indexes := range partsByDomain {
		unassigned := slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return assigned[i] })
		if len(unassigned) > len(most) || len(unassigned) == len(most) && domain < best {
			best, most = domain, unassigned
		}
	}
	return best, most
}

// collectFrom asks the delegate for its parts and merges the batches that it
// sends. It runs on a worker.
func (e *execution) collectFrom(d delegation) {
	services := make([]string, 0, len(d.indexes))
	for _, i := range d.indexes {
		state, _ := e.parts.Get(i)
		services = append(services, state.service)
	}
	answered := false
	err := e.relay.Collector.Collect(e.context, d.delegate, ramp.CollectRequest{
		Message: e.message, Route: e.route, Services: services, Deadline: e.deadline,
	}, func(b ramp.Batch) {
		if !answered {
			e.relay.Delegates.Report(d.delegate, e.elapsed() < e.hedgeDelay+2*delegationOverhead)
		}
		answered = true
		e.mergeBatch(d, b)
	})
	if !answered && (e.context.Err() == nil || e.elapsed() >= e.hedgeDelay+2*delegationOverhead) {
		e.relay.Delegates.Report(d.delegate, false)
		e.relay.Log.Info("delegate returned no parts", "request", e.message.ID, "daemon", d.delegate.ID,
			"parts", len(d.indexes), "elapsed", e.elapsed(), "error", err)
	}
	e.finishDelegation(d, err == nil)
}

// mergeBatch merges a batch and retries the parts that the delegate does not
// have yet. It overwrites a part that was received in another way meanwhile,
// since the records of a batch are not separated by part.
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
			isNew = !s.merged
			return s.withDelegationOutcome(ramp.Merged, e.elapsed()).WithMerged(response)
		})
		if isNew {
			added = append(added, state)
		}
	}
	e.batchMutex.Unlock()
	for _, s := range added {
		s.cancel()
		e.received.Add(1)
		e.partDone()
	}
	for _, pending := range b.Pending {
		index := d.indexes[pending.Index]
		e.parts.Update(index, func(s part) part { return s.withDelegatedReplica(pending.Replica) })
		e.submit(index, ramp.Retry)
	}
}

// finishDelegation records the outcome of the delegation's pending attempts,
// and retries the parts that the delegate did not send.
func (e *execution) finishDelegation(d delegation, complete bool) {
	outcome := ramp.Failed
	if !complete {
		outcome = ramp.Unreachable
	}
	for _, i := range d.indexes {
		open := false
		e.parts.Update(i, func(s part) part {
			open = !s.closed
			return s.withDelegationOutcome(outcome, e.elapsed())
		})
		if open {
			e.submit(i, ramp.Retry)
		}
	}
}

// HandleCollect implements [ramp.CollectHandler]. It sends one attempt to each
// service and leaves retries and hedges to the daemon that asks, whose retry
// budget counts them.
func (r *Relay) HandleCollect(ctx context.Context, c ramp.CollectRequest, send func(ramp.Batch) error) error {
	routing, _ := r.Routes.Current()
	started := r.Clock.Now()
	e := r.newExecution(ctx, c.Message, c.Route, routing, started, c.Deadline)
	defer e.cancel()
	e.mergedParts = make(chan int, e.partCount)
	for i := range e.partCount {
		e.submit(i, ramp.First)
	}
	hedgeDue := make(chan struct{})
	defer r.Clock.AfterFunc(e.hedgeDelay, func() { close(hedgeDue) })()
	select {
	case <-e.done:
	case <-hedgeDue:
	case <-ctx.Done():
		return ctx.Err()
	}
	sent := make(map[int]bool)
	first := e.firstBatch(c.Route.TopK, sent)
	if err := send(first); err != nil {
		return err
	}
	err := e.sendLateParts(ctx, sent, send)
	r.Log.Info("parts collected", "request", c.Message.ID, "route", c.Route.Name, "wanted", e.partCount,
		"first", len(first.Received), "in", e.received.Load(), "elapsed", e.elapsed())
	return err
}

// firstBatch returns the parts received so far as one batch, which also lists
// those still pending. It marks the received parts as sent.
func (e *execution) firstBatch(count int, sent map[int]bool) ramp.Batch {
	var batch ramp.Batch
	var bodies [][]byte
	for i := range e.partCount {
		s, _ := e.parts.Get(i)
		if s.merged {
			sent[i] = true
			bodies = append(bodies, s.response.Body)
			batch.Received = append(batch.Received, ramp.ReceivedPart{Index: i, Stamp: s.response.Stamp})
			continue
		}
		pending := ramp.PendingPart{Index: i}
		if len(s.attempts) > 0 {
			pending.Replica = s.attempts[len(s.attempts)-1].Replica.ID
		}
		batch.Pending = append(batch.Pending, pending)
	}
	batch.Records = topRecords(bodies, count)
	return batch
}

// sendLateParts sends each part received after the first batch as a batch of
// its own, until all parts are received or given up, or ctx ends.
func (e *execution) sendLateParts(ctx context.Context, sent map[int]bool, send func(ramp.Batch) error) error {
	for {
		var index int
		select {
		case index = <-e.mergedParts:
		default:
			select {
			case index = <-e.mergedParts:
			case <-e.done:
				if len(e.mergedParts) == 0 {
					return nil
				}
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if sent[index] {
			continue
		}
		sent[index] = true
		s, _ := e.parts.Get(index)
		err := send(ramp.Batch{
			Received: []ramp.ReceivedPart{{Index: index, Stamp: s.response.Stamp}},
			Records:  topRecords([][]byte{s.response.Body}, e.route.TopK),
		})
		if err != nil {
			return err
		}
	}
}
