package query

import (
	"context"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// shardState is the progress of one shard of a query. It is an immutable value.
type shardState struct {
	shard    ramp.Shard
	attempts []ramp.Attempt // in order of their start; never modified
	hits     []ramp.Hit     // of the merged reply; never modified
	merged   bool           // a reply is in the answer; then closed is set
	closed   bool           // no attempt may start and no reply may be merged

	context context.Context    // of the attempts; ends with the gather
	cancel  context.CancelFunc // cancels the attempts that are still in progress
}

func newShardState(ctx context.Context, s ramp.Shard) shardState {
	state := shardState{shard: s}
	state.context, state.cancel = context.WithCancel(ctx)
	return state
}

func (s shardState) WithClosed() shardState {
	s.closed = true
	return s
}

func (s shardState) WithAttempt(a ramp.Attempt) shardState {
	s.attempts = append(slices.Clip(s.attempts), a)
	return s
}

func (s shardState) WithMerged(hits []ramp.Hit) shardState {
	s.hits = hits
	s.merged = true
	return s.WithClosed()
}

// WithOutcome returns the state with the attempt of the same number replaced.
func (s shardState) WithOutcome(a ramp.Attempt) shardState {
	s.attempts = slices.Clone(s.attempts)
	for i := range s.attempts {
		if s.attempts[i].Number == a.Number {
			s.attempts[i] = a
		}
	}
	return s
}

// pending reports whether an attempt has no outcome yet.
func (s shardState) pending() bool {
	return slices.ContainsFunc(s.attempts, func(a ramp.Attempt) bool { return a.Outcome == ramp.Pending })
}

// waitsFor reports whether the attempt has no outcome yet and one is wanted.
func (s shardState) waitsFor(a ramp.Attempt) bool {
	return !s.closed && slices.ContainsFunc(s.attempts, func(b ramp.Attempt) bool {
		return b.Number == a.Number && b.Outcome == ramp.Pending
	})
}

// tries returns the number of attempts that reached a replica's connection.
func (s shardState) tries() int {
	tries := 0
	for i := range s.attempts {
		if s.attempts[i].Outcome != ramp.NotStarted {
			tries++
		}
	}
	return tries
}

// hopeless returns the attempts whose replicas must not be asked again: for a
// hedge all that failed, for a retry those that are pending or would fail again.
func (s shardState) hopeless(kind ramp.AttemptKind) []ramp.Attempt {
	return slices.DeleteFunc(slices.Clone(s.attempts), func(a ramp.Attempt) bool {
		if kind == ramp.Hedge {
			return a.Outcome == ramp.Pending
		}
		return a.Outcome != ramp.Pending && a.Outcome != ramp.Draining && !lost(a)
	})
}

// lostVersion reports whether the shard was given up because a replica no
// longer holds the snapshot.
func (s shardState) lostVersion() bool {
	if s.merged {
		return false
	}
	return slices.ContainsFunc(s.attempts, lost)
}

// lost reports whether the replica no longer holds what the attempt asked for.
func lost(a ramp.Attempt) bool {
	return a.Outcome == ramp.VersionNotHeld || a.Outcome == ramp.ShardNotHeld
}

// sentAny reports whether a byte of the shard's attempts may have been sent.
func (s shardState) sentAny() bool {
	return slices.ContainsFunc(s.attempts, func(a ramp.Attempt) bool {
		return a.Sent || a.Outcome == ramp.Pending
	})
}

// settle closes the attempts that have no outcome when the query ends.
func (s shardState) settle(elapsed time.Duration) shardState {
	for _, a := range s.attempts {
		if a.Outcome == ramp.Pending {
			s = s.WithOutcome(a.WithOutcome(ramp.Cancelled, elapsed-a.Started, true))
		}
	}
	return s
}
