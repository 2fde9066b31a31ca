// Package query runs admitted queries: it chooses one snapshot, sends the
// sub-requests through the pool of workers, and merges whole replies of that
// snapshot into an answer that states its coverage.
package query

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Engine runs queries with the decisions and transports given in its fields.
// All fields must be set before the first call.
type Engine struct {
	Clock    ramp.Clock
	Pool     *ramp.Pool
	Layouts  ramp.Layouts
	Chooser  ramp.Chooser
	Retrier  ramp.Retrier
	Patience ramp.StragglerPolicy
	Backends ramp.Backends
}

// Cost returns the number of sub-requests that the query needs now. It is at
// least 1.
func (e *Engine) Cost(q ramp.Query) int {
	if q.Operation != ramp.Search {
		return 1
	}
	snapshot, _ := e.Layouts.Snapshot(q.Service)
	return max(1, len(snapshot.Shards))
}

// maxRestarts is the number of times that a query starts again on a newer
// snapshot.
const maxRestarts = 2

// Run runs an admitted query and returns its answer, which may be partial, or a
// [*ramp.RefusedError]. Attempts end when ctx does. When replicas no longer
// hold the snapshot and a newer one is known, the whole query starts again on
// that. The answer is the one of the snapshot that covered most.
func (e *Engine) Run(ctx context.Context, q ramp.Query, a ramp.Allowance) (ramp.Answer, error) {
	admitted := e.Clock.Now()
	until := e.Patience.Cutoff(q, a, admitted)
	numbers := new(atomic.Int64)
	var best ramp.Answer
	var attempts []ramp.Attempt
	for runs := 1; ; runs++ {
		snapshot, ok := e.Layouts.Snapshot(q.Service)
		if !ok && runs > 1 {
			break // what ran before stands
		}
		if !ok {
			return ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonSnapshot, Ran: ramp.NotRun}
		}
		states, err := e.runOnce(ctx, q.WithDeadline(until), snapshot, admitted, numbers)
		if err != nil && runs > 1 {
			break
		}
		if err != nil {
			return ramp.Answer{}, err
		}
		answer := merge(q, snapshot, states)
		attempts = append(attempts, answer.Attempts...)
		if runs == 1 || answer.Coverage.Size() >= best.Coverage.Size() {
			best = answer
		}
		if runs > maxRestarts || !e.restarts(ctx, q, snapshot, states, until) {
			break
		}
	}
	best.Attempts = attempts
	best.Elapsed = e.Clock.Now().Sub(admitted)
	return conclude(q, best)
}

// runOnce runs the query over one snapshot until all shards are settled, until
// a shard is lost that a newer snapshot has, until the query's deadline, or
// until ctx ends.
func (e *Engine) runOnce(
	ctx context.Context, q ramp.Query, snapshot ramp.Snapshot, admitted time.Time, numbers *atomic.Int64,
) ([]shardState, error) {
	shards, err := shardsFor(q, snapshot)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := newGather(ctx, e, q, snapshot, shards, admitted, numbers)
	timeout := make(chan struct{})
	stop := e.Clock.AfterFunc(q.Deadline.Sub(e.Clock.Now()), func() { close(timeout) })
	defer stop()
	g.start(len(shards))
	select {
	case <-g.done:
	case <-g.lost:
	case <-timeout:
	case <-ctx.Done():
	}
	return g.close(len(shards)), nil
}

// restarts reports whether a newer snapshot can replace one that replicas
// dropped under the query.
func (e *Engine) restarts(
	ctx context.Context, q ramp.Query, used ramp.Snapshot, states []shardState, until time.Time,
) bool {
	if !q.Operation.Idempotent() || ctx.Err() != nil || !e.Clock.Now().Before(until) {
		return false
	}
	return slices.ContainsFunc(states, shardState.lostVersion) && e.replaced(used)
}

// replaced reports whether a newer version, or another partition of the same
// version, is known.
func (e *Engine) replaced(used ramp.Snapshot) bool {
	newest, ok := e.Layouts.Snapshot(used.Service)
	if !ok || newest.Version < used.Version {
		return false
	}
	return newest.Version > used.Version || !slices.EqualFunc(newest.Shards, used.Shards, sameShard)
}

func sameShard(a, b ramp.Shard) bool { return a.ID == b.ID && a.Range == b.Range }

// shardsFor returns the shards that the query must ask.
func shardsFor(q ramp.Query, snapshot ramp.Snapshot) ([]ramp.Shard, error) {
	if q.Operation == ramp.Search {
		return snapshot.Shards, nil
	}
	owner, ok := snapshot.Owner(q.Key)
	if !ok {
		return nil, &ramp.RefusedError{Reason: ramp.ReasonSnapshot, Ran: ramp.NotRun}
	}
	return []ramp.Shard{owner}, nil
}

// merge builds the answer from the replies that were merged, and from nothing
// else.
func merge(q ramp.Query, snapshot ramp.Snapshot, states []shardState) ramp.Answer {
	answer := ramp.Answer{ID: q.ID, Ran: ramp.NotRun, IndexVersion: snapshot.Version, Requested: ramp.KeySpace}
	var ranges []ramp.KeyRange
	var hits []ramp.Hit
	var attempts []ramp.Attempt
	for _, s := range states {
		attempts = append(attempts, s.attempts...)
		if s.merged {
			ranges = append(ranges, s.shard.Range)
			hits = append(hits, s.hits...)
		}
		answer.Ran = worse(answer.Ran, s)
	}
	answer.Coverage, _ = ramp.NewCoverage(ranges...) // a snapshot's shards are disjoint
	if q.Operation != ramp.Search {
		answer = narrow(answer, q.Key)
	}
	slices.SortFunc(attempts, func(a, b ramp.Attempt) int { return cmp.Compare(a.Number, b.Number) })
	answer.Attempts = attempts
	return answer.WithHits(hits)
}

// narrow states coverage for the one key of a read or an order.
func narrow(answer ramp.Answer, key string) ramp.Answer {
	hash := ramp.HashKey(key)
	answer.Requested = ramp.KeyRange{Low: hash, High: hash + 1}
	if answer.Coverage.Covers(answer.Requested) {
		answer.Coverage, _ = ramp.NewCoverage(answer.Requested)
	}
	return answer
}

func worse(ran ramp.Ran, s shardState) ramp.Ran {
	switch {
	case s.merged || ran == ramp.HasRun:
		return ramp.HasRun
	case s.sentAny():
		return ramp.RanUnknown
	}
	return ran
}

// conclude turns an answer without any data into a refusal.
func conclude(q ramp.Query, answer ramp.Answer) (ramp.Answer, error) {
	if answer.Ran == ramp.HasRun {
		return answer, nil
	}
	ran := answer.Ran
	if ranBefore(answer.Attempts) != ramp.NotRun {
		ran = ramp.RanUnknown
	}
	return answer, &ramp.RefusedError{
		Reason: ramp.ReasonReplica, Ran: ran, Detail: "no replica of " + q.Service + " replied",
	}
}

// ranBefore tells from attempts without a merged reply whether they ran.
func ranBefore(attempts []ramp.Attempt) ramp.Ran {
	if slices.ContainsFunc(attempts, func(a ramp.Attempt) bool { return a.Sent }) {
		return ramp.RanUnknown
	}
	return ramp.NotRun
}
