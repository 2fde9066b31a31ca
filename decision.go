package sycamoreramp

import (
	"context"
	"time"
)

// Placement is the result of choosing a replica for an attempt.
type Placement string

// The placements of an attempt.
const (
	Placed  Placement = "placed"  // a replica was assigned
	Queued  Placement = "queued"  // the attempt waits for the first replica with free capacity
	Full    Placement = "full"    // the queue is full; the attempt may be retried later
	Refused Placement = "refused" // no untried replica may get new work
)

// Chooser picks the replica for an attempt.
type Chooser interface {
	// Choose returns one of the shard's replicas for the attempt, excluding those
	// in tried. When all of them are at capacity, the attempt is queued: ready is
	// called once, from another goroutine, with a replica, or with false when no
	// replica may get new work any more. Ready must not block; if it is nil, the
	// attempt is not queued. An attempt counts as in flight on its replica from
	// here until Done is called for it.
	Choose(a Attempt, tried []Attempt, ready func(Replica, bool)) (Replica, Placement)
	// Done records the outcome of an attempt that was assigned a replica.
	Done(a Attempt)
}

// Retrier decides on retries and hedges. It allows none for an operation that is
// not idempotent once a byte may have been sent.
type Retrier interface {
	// HedgeDelay returns the time after which the attempt is hedged by a second one.
	// It reports false for no hedge.
	HedgeDelay(a Attempt) (time.Duration, bool)
	// RetryDelay returns the backoff before the attempt that follows a failed one.
	// It reports false when the shard is not to be retried.
	RetryDelay(failed Attempt, earlier int, now time.Time) (time.Duration, bool)
	// Allow reports whether the retry budget allows the retry or hedge now, and
	// deducts it.
	Allow(a Attempt) bool
	// Observe records the outcome of an attempt.
	Observe(a Attempt)
}

// StragglerPolicy decides how long a query waits for its slowest shards.
type StragglerPolicy interface {
	// Cutoff returns the time at which a query stops waiting for missing shards.
	Cutoff(q Query, a Allowance, admitted time.Time) time.Time
}

// Admitter is the admission control for queries.
type Admitter interface {
	// Admit returns a function to call when the query has ended, or a
	// [*RefusedError] with Ran set to NotRun. Cost is the number of sub-requests.
	// It may block for a small part of the query's time, until the query is
	// admitted or ctx ends.
	Admit(ctx context.Context, q Query, a Allowance, cost int) (release func(), err error)
}

// Layouts holds the index layouts of the services.
type Layouts interface {
	// Snapshot returns the layout of the service's newest index version in which
	// every shard has a replica that may get new work. If there is none, it returns
	// an incomplete layout that covers as much as possible, or false when nothing is
	// known.
	Snapshot(service string) (Snapshot, bool)
	// MarkLeaving marks a backend server as leaving: it gets no new work from now on.
	MarkLeaving(vm string, now time.Time)
}

// InventoryTracker tracks the shards and the draining of backend servers.
type InventoryTracker interface {
	// Update records the inventory that a backend server reported.
	Update(h Inventory)
	// Remove deletes a backend server that is no longer in the VM list.
	Remove(vm string)
	// MarkLeaving records that this daemon saw a backend server leaving.
	MarkLeaving(vm string, now time.Time)
	// MarkLeavingByPeer records that another daemon saw a backend server leaving.
	MarkLeavingByPeer(vm string, now time.Time)
	// LeavingVMs returns the ids of the leaving backend servers that are to be
	// gossiped to other daemons.
	LeavingVMs() []string
	// KnownVMs returns the ids of all backend servers with a known inventory.
	KnownVMs() []string
}
