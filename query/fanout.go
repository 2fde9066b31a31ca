package query

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// placementRetryDelay is the delay before an attempt is placed again when no
// replica had room for it or the retry budget refused it.
const placementRetryDelay = 10 * time.Millisecond

// fanOut sends the sub-requests of a query over one snapshot and collects their
// replies. Workers of the pool run its attempts. Its shards are a shared table,
// indexed by the shard's position in the snapshot.
type fanOut struct {
	engine      *Engine
	query       ramp.Query // its deadline ends the fan-out
	snapshot    ramp.Snapshot
	admitted    time.Time // when the query was admitted
	started     time.Time // when the fan-out started
	shards      *ramp.Table[int, shardState]
	context     context.Context // of all attempts; ends with the fan-out
	sequence    *atomic.Int64   // attempts numbered so far, over all snapshots of the query
	remaining   atomic.Int64    // shards neither merged nor given up
	done        chan struct{}   // closed when remaining reaches 0
	restart     chan struct{}   // closed when the query should be restarted on a newer snapshot
	restartOnce sync.Once       // closes restart
}

func newFanOut(
	ctx context.Context, e *Engine, q ramp.Query, snapshot ramp.Snapshot, shards []ramp.Shard,
	admitted time.Time, sequence *atomic.Int64,
) *fanOut {
	f := &fanOut{
		engine:   e,
		query:    q,
		snapshot: snapshot,
		admitted: admitted,
		started:  e.Clock.Now(),
		shards:   ramp.NewTable[int, shardState](ramp.RankQueries),
		context:  ctx,
		sequence: sequence,
		done:     make(chan struct{}),
		restart:  make(chan struct{}),
	}
	f.remaining.Store(int64(len(shards)))
	for i, s := range shards {
		f.shards.Put(i, newShardState(ctx, s))
	}
	return f
}

// start submits the first attempt of every shard.
func (f *fanOut) start(shards int) {
	for i := range shards {
		f.submit(i, ramp.First)
	}
}

// submit queues an attempt for the worker pool. When the pool's queue is full
// the shard is given up.
func (f *fanOut) submit(index int, kind ramp.AttemptKind) {
	if f.engine.Pool.Submit(func() { f.runAttempt(index, kind) }) {
		return
	}
	state, _ := f.shards.Get(index)
	f.giveUp(index, f.newAttempt(state, kind))
}

// runAttempt chooses a replica for an attempt and, when it gets one at once,
// runs the attempt to its end. It does nothing when the shard is closed.
func (f *fanOut) runAttempt(index int, kind ramp.AttemptKind) {
	state, _ := f.shards.Get(index)
	if state.closed {
		return
	}
	a := f.newAttempt(state, kind)
	r, placement := f.chooseReplica(index, state, a)
	switch placement {
	case ramp.Placed:
		f.send(index, a.WithReplica(r))
	case ramp.Queued:
	case ramp.Full:
		f.retryPlacement(index, kind)
	default:
		f.giveUp(index, a)
	}
}

// chooseReplica picks a replica that has not been tried for the shard. When
// there is none, a retry may go to a replica that failed before, and a hedge to
// the one that has not replied yet, since one slow reply does not predict the
// next one.
func (f *fanOut) chooseReplica(index int, state shardState, a ramp.Attempt) (ramp.Replica, ramp.Placement) {
	ready := func(r ramp.Replica, ok bool) { f.onReplicaReady(index, a, r, ok) }
	r, placement := f.engine.Chooser.Choose(a, state.attempts, ready)
	if placement != ramp.Refused || a.Kind == ramp.First {
		return r, placement
	}
	return f.engine.Chooser.Choose(a, state.excludedAttempts(a.Kind), ready)
}

// onReplicaReady runs an attempt on a worker once the chooser has a replica for
// it. The attempt is placed again later when ok is false or the pool's queue is
// full.
func (f *fanOut) onReplicaReady(index int, a ramp.Attempt, r ramp.Replica, ok bool) {
	if !ok {
		f.retryPlacement(index, a.Kind)
		return
	}
	a = a.WithReplica(r)
	if !f.engine.Pool.Submit(func() { f.send(index, a) }) {
		f.engine.Chooser.Done(a.WithOutcome(ramp.NotStarted, 0, false))
		f.retryPlacement(index, a.Kind)
	}
}

// retryPlacement submits an attempt again after placementRetryDelay.
func (f *fanOut) retryPlacement(index int, kind ramp.AttemptKind) {
	f.schedule(placementRetryDelay, index, func() { f.submit(index, kind) })
}

// schedule runs task after the delay unless the shard is closed by then.
func (f *fanOut) schedule(delay time.Duration, index int, task func()) (stop func()) {
	return f.engine.Clock.AfterFunc(delay, func() {
		if state, _ := f.shards.Get(index); !state.closed {
			task()
		}
	})
}

// send sends an attempt to its replica and records the outcome.
func (f *fanOut) send(index int, a ramp.Attempt) {
	a.Started = f.engine.Clock.Now().Sub(f.admitted)
	state, open := f.recordPending(index, a)
	if !open {
		f.engine.Chooser.Done(a.WithOutcome(ramp.Cancelled, 0, false))
		return
	}
	stop := f.scheduleHedge(index, a)
	reply, err := f.engine.Backends.Send(state.context, a)
	stop()
	f.finish(index, a, reply, err)
}

// recordPending records the attempt as pending. It reports false when the shard
// is closed or the retry budget refuses the attempt, which is then placed again
// later.
func (f *fanOut) recordPending(index int, a ramp.Attempt) (shardState, bool) {
	if state, _ := f.shards.Get(index); state.closed {
		return state, false
	}
	if a.Kind != ramp.First && !f.engine.Retrier.Allow(a) {
		f.retryPlacement(index, a.Kind)
		return shardState{}, false
	}
	open := false
	state := f.shards.Update(index, func(s shardState) shardState {
		if s.closed {
			return s
		}
		open = true
		return s.WithAttempt(a)
	})
	return state, open
}

// newAttempt returns an attempt for the shard with the next number and without
// a replica.
func (f *fanOut) newAttempt(state shardState, kind ramp.AttemptKind) ramp.Attempt {
	return ramp.Attempt{
		Query:        f.query,
		Number:       int(f.sequence.Add(1)) - 1,
		Kind:         kind,
		Shard:        state.shard,
		IndexVersion: f.snapshot.Version,
		Started:      f.engine.Clock.Now().Sub(f.admitted),
		Outcome:      ramp.Pending,
	}
}

// scheduleHedge schedules a hedge for a, in case it is still pending after the
// hedge delay. The returned function stops the timer.
func (f *fanOut) scheduleHedge(index int, a ramp.Attempt) (stop func()) {
	delay, ok := f.engine.Retrier.HedgeDelay(a)
	if !ok {
		return func() {}
	}
	return f.schedule(delay, index, func() {
		f.engine.Pool.Submit(func() {
			if state, _ := f.shards.Get(index); state.awaits(a) {
				f.runAttempt(index, ramp.Hedge)
			}
		})
	})
}

// finish records the outcome of an attempt, and merges its reply, retries it or
// gives the shard up.
func (f *fanOut) finish(index int, a ramp.Attempt, reply ramp.Reply, err error) {
	a = f.classify(a, reply, err)
	merged := false
	state := f.shards.Update(index, func(s shardState) shardState {
		if a.Outcome != ramp.Merged {
			return s.WithOutcome(a)
		}
		if s.closed {
			a.Outcome = ramp.Late
			return s.WithOutcome(a)
		}
		merged = true
		return s.WithOutcome(a).WithMerged(reply.Hits)
	})
	if a.Outcome == ramp.Draining {
		f.engine.Layouts.MarkLeaving(a.Replica.ID, f.engine.Clock.Now())
	}
	f.engine.Chooser.Done(a)
	f.engine.Retrier.Observe(a)
	switch {
	case merged:
		state.cancel()
		f.shardDone()
	case !state.closed && !state.hasPending():
		f.retry(index, a, state.startedCount())
	}
}

// classify returns the attempt with its outcome, which is Merged for a complete
// reply.
func (f *fanOut) classify(a ramp.Attempt, reply ramp.Reply, err error) ramp.Attempt {
	elapsed := f.engine.Clock.Now().Sub(f.admitted) - a.Started
	if err == nil {
		a.NewConnection = reply.NewConnection
		return a.WithOutcome(ramp.Merged, elapsed, true)
	}
	var failed *ramp.AttemptError
	if errors.As(err, &failed) {
		a.NewConnection = failed.NewConnection
		return a.WithOutcome(failed.Outcome, elapsed, failed.Sent)
	}
	return a.WithOutcome(ramp.Failed, elapsed, true)
}

// retry schedules another attempt after the retry delay, or gives the shard up.
// When the replica no longer holds the snapshot, a newer one is known and at
// least half of the time is left, retry ends the fan-out instead, so that the
// query is restarted.
func (f *fanOut) retry(index int, failed ramp.Attempt, earlier int) {
	now := f.engine.Clock.Now()
	if failed.Outcome == ramp.NotStarted {
		f.retryPlacement(index, failed.Kind)
		return
	}
	halfway := f.started.Add(f.query.Deadline.Sub(f.started) / 2)
	if notHeld(failed) && f.query.Operation.Idempotent() && now.Before(halfway) && f.engine.superseded(f.snapshot) {
		f.restartOnce.Do(func() { close(f.restart) })
		return
	}
	delay, ok := f.engine.Retrier.RetryDelay(failed, earlier, now)
	if !ok {
		f.giveUp(index, ramp.Attempt{})
		return
	}
	f.schedule(delay, index, func() { f.submit(index, ramp.Retry) })
}

// giveUp closes a shard without a reply, unless an attempt is still pending. An
// unplaced attempt, which never got a replica, is recorded as NotStarted unless
// it is a hedge.
func (f *fanOut) giveUp(index int, unplaced ramp.Attempt) {
	closed := false
	f.shards.Update(index, func(s shardState) shardState {
		if s.closed || s.hasPending() {
			return s
		}
		closed = true
		if unplaced.Kind == ramp.First || unplaced.Kind == ramp.Retry {
			s = s.WithAttempt(unplaced.WithOutcome(ramp.NotStarted, 0, false))
		}
		return s.WithClosed()
	})
	if closed {
		f.shardDone()
	}
}

// shardDone counts a shard as merged or given up, and closes done after the
// last one.
func (f *fanOut) shardDone() {
	if f.remaining.Add(-1) == 0 {
		close(f.done)
	}
}

// close ends the fan-out: once it returns, no attempt starts and no reply is
// merged. It returns the final states of the shards.
func (f *fanOut) close(shards int) []shardState {
	elapsed := f.engine.Clock.Now().Sub(f.admitted)
	states := make([]shardState, 0, shards)
	for i := range shards {
		state := f.shards.Update(i, shardState.WithClosed)
		states = append(states, state.cancelPending(elapsed))
	}
	return states
}
