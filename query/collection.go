package query

import (
	"context"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// collection is how a delegate collects parts for another daemon.
type collection struct {
	bound       bool          // only replicas in this daemon's failure domain may be used
	insists     bool          // with bound, replicas that are not healthy may be used
	repeats     bool          // earlier attempts were made for the parts
	batchDelay  time.Duration // time after which the first batch is due
	mergedParts chan int      // indexes of received parts; nil unless parts are collected for another daemon
}

// HandleCollect implements [ramp.CollectHandler]. It sends one attempt to each
// service, in a grouped fleet to a healthy replica in this daemon's failure domain.
// It leaves retries, hedges and the services without such a replica to the daemon
// that asks. Repeats are taken from the retry budget of this daemon in a grouped
// fleet, and of the daemon that asks otherwise.
func (r *Relay) HandleCollect(ctx context.Context, c ramp.CollectRequest, send func(ramp.Batch) error) error {
	routing, _ := r.Routes.Current()
	started := r.Clock.Now()
	c.Message.Held = r.Memory.Hold()
	defer c.Message.Held.Release()
	e := r.newExecution(ctx, c.Message, c.Route, routing, started, c.Deadline)
	defer e.cancel()
	e.collection = collection{
		bound: e.grouped, insists: c.Insist, repeats: c.Separate, batchDelay: c.BatchDelay,
		mergedParts: make(chan int, e.partCount),
	}
	if e.batchDelay <= 0 {
		e.batchDelay = e.hedgeDelay
	}
	reported := make(map[int]bool)
	if err := e.startCollection(reported, send); err != nil {
		return err
	}
	first := 0
	if !c.Separate {
		var err error
		if first, err = e.sendFirstBatch(ctx, reported, send); err != nil {
			return err
		}
	}
	err := e.sendLateParts(ctx, reported, send)
	r.Log.Info("parts collected", "request", c.Message.ID, "route", c.Route.Name, "wanted", e.partCount,
		"first", first, "in", e.received.Load(), "elapsed", e.elapsed())
	return err
}

// sendFirstBatch sends the parts that arrive until the first batch is due, and
// returns their number.
func (e *execution) sendFirstBatch(
	ctx context.Context, reported map[int]bool, send func(ramp.Batch) error,
) (int, error) {
	due := make(chan struct{})
	defer e.relay.Clock.AfterFunc(e.batchDelay, func() { close(due) })()
	select {
	case <-e.done:
	case <-due:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	batch := e.firstBatch(e.route.TopK, reported)
	if len(batch.Received)+len(batch.Pending) == 0 {
		return 0, nil
	}
	return len(batch.Received), send(batch)
}

// startCollection starts the attempts of a collection. In a grouped fleet it sends a
// batch with the parts that have no healthy replica in this daemon's failure domain,
// if there are any, so that the daemon that asks can get them elsewhere at once. It
// does so with all parts when the collection may have waited while the process was
// paused, when the key may have been taken away by this daemon's own view, or when the message
// may end the replicas that run it.
func (e *execution) startCollection(reported map[int]bool, send func(ramp.Batch) error) error {
	var batch ramp.Batch
	var usable []int
	blocked := e.blockedFor() > 0 || e.repeats && e.suspected()
	mayStart := !e.relay.resumed() && e.authorized() && !blocked
	for i := range e.partCount {
		state, _ := e.parts.Get(i)
		if mayStart && e.mayCollect(state.service) {
			usable = append(usable, i)
			continue
		}
		reported[i] = true
		batch.Pending = append(batch.Pending, ramp.PendingPart{Index: i})
	}
	for _, i := range usable {
		e.submit(i, ramp.First)
	}
	for _, p := range batch.Pending {
		e.giveUp(p.Index)
	}
	if len(batch.Pending) == 0 {
		return nil
	}
	return send(batch)
}

// mayCollect reports whether this daemon makes an attempt at the service for another
// daemon. In a grouped fleet it counts the request, or takes the repeat from the
// retry budget.
func (e *execution) mayCollect(service string) bool {
	if !e.bound {
		return true
	}
	if !e.insists && !e.relay.Picker.Near(service) {
		return false
	}
	if e.repeats {
		return e.relay.Budget.Allow(service, e.slackShare(service))
	}
	e.relay.Budget.CountRequest(service)
	return true
}

// firstBatch returns the parts received so far as one batch, which also lists
// those still pending. It leaves out the reported parts, and marks the received
// ones as reported.
func (e *execution) firstBatch(count int, reported map[int]bool) ramp.Batch {
	var batch ramp.Batch
	var bodies [][]byte
	for i := range e.partCount {
		if reported[i] {
			continue
		}
		s, _ := e.parts.Get(i)
		if s.merged {
			reported[i] = true
			bodies = append(bodies, s.response.Body)
			batch.Received = append(batch.Received, ramp.ReceivedPart{Index: i, Stamp: s.response.Stamp})
			continue
		}
		batch.Pending = append(batch.Pending, e.pendingPart(i))
	}
	batch.Records = topRecords(bodies, count)
	return batch
}

// pendingPart returns a part without a response, with the replica that its newest
// attempt was sent to, or is about to be. A part without an attempt is closed first, so that an attempt
// that waits for a worker is not made after the part was given back as unsent.
func (e *execution) pendingPart(index int) ramp.PendingPart {
	e.giveUp(index) // no effect with a pending attempt
	pending := ramp.PendingPart{Index: index}
	s, _ := e.parts.Get(index)
	for _, a := range slices.Backward(s.attempts) {
		if a.Outcome != ramp.NotStarted {
			pending.Replica, pending.Crashed = a.Replica.ID, a.Crashed
			break
		}
	}
	return pending
}

// sendLateParts sends each part received after the first batch as a batch of
// its own, until all parts are received or given up, or ctx ends.
func (e *execution) sendLateParts(ctx context.Context, reported map[int]bool, send func(ramp.Batch) error) error {
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
		if reported[index] {
			continue
		}
		reported[index] = true
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
