package sycamoreramp

import (
	"context"
	"time"
)

// Placement says what became of an attempt that needs a replica.
type Placement string

// The placements of an attempt.
const (
	Placed  Placement = "placed"  // it has its replica
	Queued  Placement = "queued"  // it waits for the first replica with room
	Full    Placement = "full"    // too many wait already; it may ask again later
	Refused Placement = "refused" // no replica that was not tried may get new work
)

// Chooser picks the replica for an attempt.
type Chooser interface {
	// Choose picks one of the shard's replicas for the attempt, and none that is
	// in tried. When all of them have as much work as they take, the attempt is
	// queued: ready is called once, from another goroutine, with a replica, or
	// with false when none may get new work any more. It must not block. Without
	// ready the attempt is not queued. A replica counts as busy from being
	// handed out until Done is called for the attempt.
	Choose(a Attempt, tried []Attempt, ready func(Replica, bool)) (Replica, Placement)
	// Done tells how an attempt ended that had a replica.
	Done(a Attempt)
}

// Retrier decides on further attempts. It never allows one for an operation
// that is not idempotent once a byte may have been sent.
type Retrier interface {
	// HedgeDelay returns how long to wait for the attempt before a second one is
	// started beside it. It reports false for no hedge.
	HedgeDelay(a Attempt) (time.Duration, bool)
	// RetryDelay returns the delay before the next attempt after a failed one. It
	// reports false when the shard must be given up.
	RetryDelay(failed Attempt, earlier int, now time.Time) (time.Duration, bool)
	// Allow reports whether the budget allows the retry or the hedge now, and
	// spends it.
	Allow(a Attempt) bool
	// Observe tells how an attempt ended.
	Observe(a Attempt)
}

// StragglerPolicy decides how long a query waits for its last shards.
type StragglerPolicy interface {
	// Cutoff returns when a query stops waiting for missing shards.
	Cutoff(q Query, a Allowance, admitted time.Time) time.Time
}

// Admitter decides whether a query may run now.
type Admitter interface {
	// Admit returns a function to call when the query has ended, or a
	// [*RefusedError] with Ran set to NotRun. Cost is the number of sub-requests.
	// It may block for a small part of the query's time, until a turn comes or ctx
	// ends.
	Admit(ctx context.Context, q Query, a Allowance, cost int) (release func(), err error)
}

// Layouts tells which shards a service has.
type Layouts interface {
	// Snapshot returns the newest index version of the service for which every
	// shard has a replica that may get new work. Without one it returns a version
	// that covers as much as is known, and reports false when nothing is.
	Snapshot(service string) (Snapshot, bool)
	// MarkLeaving marks a backend server as leaving: it gets no new work from now on.
	MarkLeaving(vm string, now time.Time)
}

// InventoryTracker takes in what becomes known of backend servers.
type InventoryTracker interface {
	// Update takes in what a backend server says it holds.
	Update(h Inventory)
	// Remove drops a backend server that the VM list no longer names.
	Remove(vm string)
	// MarkLeaving takes in a sign, seen by this daemon, that a backend server leaves.
	MarkLeaving(vm string, now time.Time)
	// MarkLeavingByPeer takes in such a sign that another daemon saw.
	MarkLeavingByPeer(vm string, now time.Time)
	// LeavingVMs returns the ids of the backend servers that leave.
	LeavingVMs() []string
	// KnownVMs returns the ids of all backend servers that are known.
	KnownVMs() []string
}
