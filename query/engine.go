// Package query runs admitted queries: it chooses one snapshot, sends the
// sub-requests through the worker pool, and merges complete replies of that
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

// Engine runs queries with the policies and transports in its fields. All
// fields must be set before the first call.
type Engine struct {
	Clock      ramp.Clock
	Pool       *ramp.Pool
	Layouts    ramp.Layouts
	Chooser    ramp.Chooser
	Retrier    ramp.Retrier
	Stragglers ramp.StragglerPolicy
	Backends   ramp.Backends
}

// Cost returns the number of sub-requests that the query needs under the newest
// snapshot. It is at least 1.
func (e *Engine) Cost(q ramp.Query) int {
	if q.Operation != ramp.Search {
		return 1
	}
	snapshot, _ := e.Layouts.Snapshot(q.Service)
	return max(1, len(snapshot.Shards))
}

// maxRestarts is the number of times that a query is restarted on a newer
// snapshot.
const maxRestarts = 2

// Run runs an admitted query and returns its answer, which may be partial, or a
// [*ramp.RefusedError]. Attempts are cancelled when ctx ends. When replicas no
// longer hold the snapshot and a newer one is known, the whole query is
// restarted on the newer one. Run returns the answer from the snapshot that
// gave the greatest coverage.
func (e *Engine) Run(ctx context.Context, q ramp.Query, a ramp.Allowance) (ramp.Answer, error) {
	admitted := e.Clock.Now()
	cutoff := e.Stragglers.Cutoff(q, a, admitted)
	sequence := new(atomic.Int64)
	var best ramp.Answer
	var attempts []ramp.Attempt
	for run := 1; ; run++ {
		snapshot, ok := e.Layouts.Snapshot(q.Service)
		if !ok && run > 1 {
			break // keep the answer of the earlier run
		}
		if !ok {
			return ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonSnapshot, Ran: ramp.NotRun}
		}
		states, err := e.runSnapshot(ctx, q.WithDeadline(cutoff), snapshot, admitted, sequence)
		if err != nil && run > 1 {
			break
		}
		if err != nil {
			return ramp.Answer{}, err
		}
		answer := mergeReplies(q, snapshot, states)
		attempts = append(attempts, answer.Attempts...)
		if run == 1 || answer.Coverage.Size() >= best.Coverage.Size() {
			best = answer
		}
		if run > maxRestarts || !e.shouldRestart(ctx, q, snapshot, states, cutoff) {
			break
		}
	}
	best.Attempts = attempts
	best.Elapsed = e.Clock.Now().Sub(admitted)
	return refuseIfEmpty(q, best)
}

// runSnapshot runs the query over one snapshot until every shard is merged or
// given up, a replica has dropped the snapshot and a newer one is known, the
// query's deadline passes, or ctx ends.
func (e *Engine) runSnapshot(
	ctx context.Context, q ramp.Query, snapshot ramp.Snapshot, admitted time.Time, sequence *atomic.Int64,
) ([]shardState, error) {
	shards, err := shardsFor(q, snapshot)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFanOut(ctx, e, q, snapshot, shards, admitted, sequence)
	timeout := make(chan struct{})
	stop := e.Clock.AfterFunc(q.Deadline.Sub(e.Clock.Now()), func() { close(timeout) })
	defer stop()
	f.start(len(shards))
	select {
	case <-f.done:
	case <-f.restart:
	case <-timeout:
	case <-ctx.Done():
	}
	return f.close(len(shards)), nil
}

// shouldRestart reports whether replicas dropped the snapshot during the query
// and a newer one can replace it.
func (e *Engine) shouldRestart(
	ctx context.Context, q ramp.Query, used ramp.Snapshot, states []shardState, cutoff time.Time,
) bool {
	if !q.Operation.Idempotent() || ctx.Err() != nil || !e.Clock.Now().Before(cutoff) {
		return false
	}
	return slices.ContainsFunc(states, shardState.lostSnapshot) && e.superseded(used)
}

// superseded reports whether a newer index version, or another partition of the
// same version, is known.
func (e *Engine) superseded(used ramp.Snapshot) bool {
	newest, ok := e.Layouts.Snapshot(used.Service)
	if !ok || newest.Version < used.Version {
		return false
	}
	return newest.Version > used.Version || !slices.EqualFunc(newest.Shards, used.Shards, sameShard)
}

func sameShard(a, b ramp.Shard) bool { return a.ID == b.ID && a.Range == b.Range }

// shardsFor returns the shards that the query must be sent to: all for a
// search, else the one that owns the key.
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

// mergeReplies builds the answer only from the replies that were merged into
// the shard states.
func mergeReplies(q ramp.Query, snapshot ramp.Snapshot, states []shardState) ramp.Answer {
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
		answer.Ran = combineRan(answer.Ran, s)
	}
	answer.Coverage, _ = ramp.NewCoverage(ranges...) // always valid: a snapshot's shards are disjoint
	if q.Operation != ramp.Search {
		answer = narrowToKey(answer, q.Key)
	}
	slices.SortFunc(attempts, func(a, b ramp.Attempt) int { return cmp.Compare(a.Number, b.Number) })
	answer.Attempts = attempts
	return answer.WithHits(hits)
}

// narrowToKey restricts the coverage of a read or an order to its one key.
func narrowToKey(answer ramp.Answer, key string) ramp.Answer {
	hash := ramp.HashKey(key)
	answer.Requested = ramp.KeyRange{Low: hash, High: hash + 1}
	if answer.Coverage.Covers(answer.Requested) {
		answer.Coverage, _ = ramp.NewCoverage(answer.Requested)
	}
	return answer
}

// combineRan returns whether the query ran, given the result for the shards so
// far and the state of one more shard.
func combineRan(ran ramp.Ran, state shardState) ramp.Ran {
	switch {
	case state.merged || ran == ramp.HasRun:
		return ramp.HasRun
	case state.mayHaveSent():
		return ramp.RanUnknown
	}
	return ran
}

// refuseIfEmpty returns the answer, with a refusal if no shard's reply was
// merged into it.
func refuseIfEmpty(q ramp.Query, answer ramp.Answer) (ramp.Answer, error) {
	if answer.Ran == ramp.HasRun {
		return answer, nil
	}
	ran := answer.Ran
	if ranWithoutReply(answer.Attempts) != ramp.NotRun {
		ran = ramp.RanUnknown
	}
	return answer, &ramp.RefusedError{
		Reason: ramp.ReasonReplica, Ran: ran, Detail: "no replica of " + q.Service + " replied",
	}
}

// ranWithoutReply returns whether a query ran, given its attempts, none of
// which had a reply merged.
func ranWithoutReply(attempts []ramp.Attempt) ramp.Ran {
	if slices.ContainsFunc(attempts, func(a ramp.Attempt) bool { return a.Sent }) {
		return ramp.RanUnknown
	}
	return ramp.NotRun
}
