package query

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// askAgain is the delay before an attempt that no replica had room for, or that
// the budget refused, is tried again.
const askAgain = 10 * time.Millisecond

// gather sends the sub-requests of a query over one snapshot and collects
// their replies. Workers of the pool run its attempts; its shards are a shared
// table, by the shard's position in the snapshot.
type gather struct {
	engine   *Engine
	query    ramp.Query // its deadline is when the gather ends
	snapshot ramp.Snapshot
	admitted time.Time
	started  time.Time
	shards   *ramp.Table[int, shardState]
	context  context.Context // ends with the gather
	numbers  *atomic.Int64   // attempts of the query numbered so far
	open     atomic.Int64    // shards that are neither merged nor given up
	done     chan struct{}   // closed when open reaches 0
	lost     chan struct{}   // closed when the query should start again on a newer snapshot
	once     sync.Once       // closes lost
}

func newGather(
	ctx context.Context, e *Engine, q ramp.Query, snapshot ramp.Snapshot, shards []ramp.Shard,
	admitted time.Time, numbers *atomic.Int64,
) *gather {
	g := &gather{
		engine:   e,
		query:    q,
		snapshot: snapshot,
		admitted: admitted,
		started:  e.Clock.Now(),
		shards:   ramp.NewTable[int, shardState](ramp.RankQueries),
		context:  ctx,
		numbers:  numbers,
		done:     make(chan struct{}),
		lost:     make(chan struct{}),
	}
	g.open.Store(int64(len(shards)))
	for i, s := range shards {
		g.shards.Put(i, newShardState(ctx, s))
	}
	return g
}

// start submits the first attempt of every shard.
func (g *gather) start(shards int) {
	for i := range shards {
		g.submit(i, ramp.First)
	}
}

// submit lets a worker place an attempt. Without room for it the shard is given
// up.
func (g *gather) submit(index int, kind ramp.AttemptKind) {
	if g.engine.Pool.Submit(func() { g.try(index, kind) }) {
		return
	}
	state, _ := g.shards.Get(index)
	g.giveUp(index, g.attempt(state, kind))
}

// try places an attempt and runs it to its end, unless the shard is closed.
func (g *gather) try(index int, kind ramp.AttemptKind) {
	state, _ := g.shards.Get(index)
	if state.closed {
		return
	}
	a := g.attempt(state, kind)
	r, placement := g.choose(index, state, a)
	switch placement {
	case ramp.Placed:
		g.run(index, a.WithReplica(r))
	case ramp.Queued:
	case ramp.Full:
		g.later(index, kind)
	default:
		g.giveUp(index, a)
	}
}

// choose asks for a replica that was not tried. Without one, a retry may go to a
// replica that failed before, and a hedge to the one that has not replied yet,
// since a late reply says little of the next one.
func (g *gather) choose(index int, state shardState, a ramp.Attempt) (ramp.Replica, ramp.Placement) {
	ready := func(r ramp.Replica, ok bool) { g.ready(index, a, r, ok) }
	r, placement := g.engine.Chooser.Choose(a, state.attempts, ready)
	if placement != ramp.Refused || a.Kind == ramp.First {
		return r, placement
	}
	return g.engine.Chooser.Choose(a, state.hopeless(a.Kind), ready)
}

// ready lets a worker run an attempt that was queued.
func (g *gather) ready(index int, a ramp.Attempt, r ramp.Replica, ok bool) {
	if !ok {
		g.later(index, a.Kind)
		return
	}
	a = a.WithReplica(r)
	if !g.engine.Pool.Submit(func() { g.run(index, a) }) {
		g.engine.Chooser.Done(a.WithOutcome(ramp.NotStarted, 0, false))
		g.later(index, a.Kind)
	}
}

// later tries to place an attempt again after a delay.
func (g *gather) later(index int, kind ramp.AttemptKind) {
	g.after(askAgain, index, func() { g.submit(index, kind) })
}

// after calls f after the delay unless the shard is closed by then.
func (g *gather) after(delay time.Duration, index int, f func()) (stop func()) {
	return g.engine.Clock.AfterFunc(delay, func() {
		if state, _ := g.shards.Get(index); !state.closed {
			f()
		}
	})
}

// run sends an attempt that has its replica.
func (g *gather) run(index int, a ramp.Attempt) {
	a.Started = g.engine.Clock.Now().Sub(g.admitted)
	state, open := g.begin(index, a)
	if !open {
		g.engine.Chooser.Done(a.WithOutcome(ramp.Cancelled, 0, false))
		return
	}
	stop := g.armHedge(index, a)
	reply, err := g.engine.Backends.Send(state.context, a)
	stop()
	g.finish(index, a, reply, err)
}

// begin records the attempt as pending. It reports false when the shard is
// closed or the budget does not allow the attempt, which is then tried later.
func (g *gather) begin(index int, a ramp.Attempt) (shardState, bool) {
	if state, _ := g.shards.Get(index); state.closed {
		return state, false
	}
	if a.Kind != ramp.First && !g.engine.Retrier.Allow(a) {
		g.later(index, a.Kind)
		return shardState{}, false
	}
	open := false
	state := g.shards.Update(index, func(s shardState) shardState {
		if s.closed {
			return s
		}
		open = true
		return s.WithAttempt(a)
	})
	return state, open
}

// attempt returns the next attempt for the shard, without a replica.
func (g *gather) attempt(state shardState, kind ramp.AttemptKind) ramp.Attempt {
	return ramp.Attempt{
		Query:        g.query,
		Number:       int(g.numbers.Add(1)) - 1,
		Kind:         kind,
		Shard:        state.shard,
		IndexVersion: g.snapshot.Version,
		Started:      g.engine.Clock.Now().Sub(g.admitted),
		Outcome:      ramp.Pending,
	}
}

// armHedge starts the timer of a second attempt beside a. The returned function
// stops it.
func (g *gather) armHedge(index int, a ramp.Attempt) (stop func()) {
	delay, ok := g.engine.Retrier.HedgeDelay(a)
	if !ok {
		return func() {}
	}
	return g.after(delay, index, func() {
		g.engine.Pool.Submit(func() {
			if state, _ := g.shards.Get(index); state.waitsFor(a) {
				g.try(index, ramp.Hedge)
			}
		})
	})
}

// finish records the outcome of an attempt and decides what follows from it.
func (g *gather) finish(index int, a ramp.Attempt, reply ramp.Reply, err error) {
	a = g.judge(a, reply, err)
	merged := false
	state := g.shards.Update(index, func(s shardState) shardState {
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
		g.engine.Layouts.MarkLeaving(a.Replica.ID, g.engine.Clock.Now())
	}
	g.engine.Chooser.Done(a)
	g.engine.Retrier.Observe(a)
	switch {
	case merged:
		state.cancel()
		g.settled()
	case !state.closed && !state.pending():
		g.retry(index, a, state.tries())
	}
}

// judge returns the attempt with its outcome. It is Merged for a whole reply.
func (g *gather) judge(a ramp.Attempt, reply ramp.Reply, err error) ramp.Attempt {
	elapsed := g.engine.Clock.Now().Sub(g.admitted) - a.Started
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

// retry starts another attempt after a delay, or gives the shard up. A replica
// that lost the version ends the gather early when a newer snapshot is known
// and at least half of the time is left.
func (g *gather) retry(index int, failed ramp.Attempt, earlier int) {
	now := g.engine.Clock.Now()
	if failed.Outcome == ramp.NotStarted {
		g.later(index, failed.Kind)
		return
	}
	halfway := g.started.Add(g.query.Deadline.Sub(g.started) / 2)
	if lost(failed) && g.query.Operation.Idempotent() && now.Before(halfway) && g.engine.replaced(g.snapshot) {
		g.once.Do(func() { close(g.lost) })
		return
	}
	delay, ok := g.engine.Retrier.RetryDelay(failed, earlier, now)
	if !ok {
		g.giveUp(index, ramp.Attempt{})
		return
	}
	g.after(delay, index, func() { g.submit(index, ramp.Retry) })
}

// giveUp closes a shard without a reply, unless an attempt is still pending. An
// attempt that never got a replica is added to the account, but for hedges.
func (g *gather) giveUp(index int, unplaced ramp.Attempt) {
	closed := false
	g.shards.Update(index, func(s shardState) shardState {
		if s.closed || s.pending() {
			return s
		}
		closed = true
		if unplaced.Kind == ramp.First || unplaced.Kind == ramp.Retry {
			s = s.WithAttempt(unplaced.WithOutcome(ramp.NotStarted, 0, false))
		}
		return s.WithClosed()
	})
	if closed {
		g.settled()
	}
}

func (g *gather) settled() {
	if g.open.Add(-1) == 0 {
		close(g.done)
	}
}

// close ends the gather: from its return on no attempt starts and no reply is
// merged. It returns the final states.
func (g *gather) close(shards int) []shardState {
	elapsed := g.engine.Clock.Now().Sub(g.admitted)
	states := make([]shardState, 0, shards)
	for i := range shards {
		state := g.shards.Update(i, shardState.WithClosed)
		states = append(states, state.settle(elapsed))
	}
	return states
}
