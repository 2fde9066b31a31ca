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
	attempts []ramp.Attempt // in the order of their start; never modified
	hits     []ramp.Hit     // of the merged reply; never modified
	merged   bool           // a reply was merged into the answer; implies closed
	closed   bool           // no attempt may start and no reply may be merged any more

	context context.Context    // of the attempts; ends with the fan-out
	cancel  context.CancelFunc // cancels the attempts in flight
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

// WithOutcome returns the state with the attempt of the same number replaced by
// a.
func (s shardState) WithOutcome(a ramp.Attempt) shardState {
	s.attempts = slices.Clone(s.attempts)
	for i := range s.attempts {
		if s.attempts[i].Number == a.Number {
			s.attempts[i] = a
		}
	}
	return s
}

// hasPending reports whether any attempt is still pending.
func (s shardState) hasPending() bool {
	return slices.ContainsFunc(s.attempts, func(a ramp.Attempt) bool { return a.Outcome == ramp.Pending })
}

// awaits reports whether the attempt is still pending and the shard still needs
// its reply.
func (s shardState) awaits(a ramp.Attempt) bool {
	return !s.closed && slices.ContainsFunc(s.attempts, func(b ramp.Attempt) bool {
		return b.Number == a.Number && b.Outcome == ramp.Pending
	})
}

// startedCount returns the number of attempts that were started, which are all
// but those with the outcome NotStarted.
func (s shardState) startedCount() int {
	n := 0
	for i := range s.attempts {
		if s.attempts[i].Outcome != ramp.NotStarted {
			n++
		}
	}
	return n
}

// excludedAttempts returns the attempts whose replicas must not be chosen
// again: for a hedge all that have ended, for a retry those that are pending
// and those whose replica is leaving or no longer holds the shard.
func (s shardState) excludedAttempts(kind ramp.AttemptKind) []ramp.Attempt {
	return slices.DeleteFunc(slices.Clone(s.attempts), func(a ramp.Attempt) bool {
		if kind == ramp.Hedge {
			return a.Outcome == ramp.Pending
		}
		return a.Outcome != ramp.Pending && a.Outcome != ramp.Draining && !notHeld(a)
	})
}

// lostSnapshot reports whether the shard has no reply and a replica no longer
// holds the snapshot.
func (s shardState) lostSnapshot() bool {
	if s.merged {
		return false
	}
	return slices.ContainsFunc(s.attempts, notHeld)
}

// notHeld reports whether the attempt failed because its replica no longer
// holds the index version or the shard.
func notHeld(a ramp.Attempt) bool {
	return a.Outcome == ramp.VersionNotHeld || a.Outcome == ramp.ShardNotHeld
}

// mayHaveSent reports whether a byte of any of the shard's attempts may have
// been sent.
func (s shardState) mayHaveSent() bool {
	return slices.ContainsFunc(s.attempts, func(a ramp.Attempt) bool {
		return a.Sent || a.Outcome == ramp.Pending
	})
}

// cancelPending returns the state with its pending attempts marked as
// cancelled. Elapsed is the time since the query was admitted.
func (s shardState) cancelPending(elapsed time.Duration) shardState {
	for _, a := range s.attempts {
		if a.Outcome == ramp.Pending {
			s = s.WithOutcome(a.WithOutcome(ramp.Cancelled, elapsed-a.Started, true))
		}
	}
	return s
}
