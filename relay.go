package sycamoreramp

import (
	"context"
	"time"
)

// Picker chooses replicas of services by the daemon's own attempts.
type Picker interface {
	// Pick returns the replica for an attempt, none of those tried and none that has
	// as many attempts in progress as it has room for, and why it was picked. It
	// counts as busy until Done is called for the attempt.
	Pick(service string, tried []Attempt, room int) (Instance, PickInfo, bool)
	// Done tells how an attempt ended.
	Done(a Attempt)
	// Domains tells whether the service has a sound replica in the daemon's own
	// failure domain, and in which others it has one. Each domain is named once.
	Domains(service string) (near bool, others []string)
}

// Health says how a replica stood when it was picked.
type Health string

// The footings of a replica, best first.
const (
	HealthOK           Health = "sound"    // registered and answering
	HealthDeregistered Health = "vanished" // its entry was removed a moment ago
	HealthSuspect      Health = "avoided"  // it failed lately
	HealthDraining     Health = "drained"  // it began to drain a moment ago
)

// PickInfo are what a replica was picked by. They are an immutable value.
type PickInfo struct {
	Health          Health        // "" when no picker was asked
	Candidates      int           // replicas that could have been picked
	Saturated       int           // replicas that had no room
	ExpectedLatency time.Duration // until a reply, with penalties; the shortest of those on the same footing
	EntryAge        time.Duration // of the entry that describes the replica
}

// RetryBudget bounds the attempts beyond the first over all daemons.
type RetryBudget interface {
	// CountRequest counts a caller's request for the service.
	CountRequest(service string)
	// Allow reports whether another attempt at the service fits in the budget now,
	// and spends it.
	Allow(service string) bool
	// HedgeDelay returns how long an attempt on the route may take before another
	// one is started beside it.
	HedgeDelay(route Route) time.Duration
	// MedianLatency returns the median time of a reply on the route, 0 if unknown.
	MedianLatency(route string) time.Duration
	// Observe tells how an attempt on the route ended.
	Observe(route string, a Attempt)
}

// RelayResult is the answer to a message. It has a response of one replica, or is
// put together from parts.
type RelayResult struct {
	Route          Route     // that the message matched; without a name for none
	RoutingVersion uint64    // of the routing under which the message was answered
	Response       Response  // of one replica; of a gathered answer only the body is set
	Stamps         []string  // signatures of the parts that are in; never modified
	MissingParts   int       // parts that are left out
	TotalParts     int       // parts that a complete answer has; 1 for a response of one replica
	Attempts       []Attempt // never modified
	Elapsed        time.Duration
	PriorWait      time.Duration // for which the caller had been asking before, as far as it can be told
}

// MissedObjective reports whether the caller has waited longer than the route's
// objective.
func (d RelayResult) MissedObjective() bool {
	return d.Route.Objective > 0 && d.PriorWait+d.Elapsed > d.Route.Objective
}

// Gathered reports whether the answer is put together from parts.
func (d RelayResult) Gathered() bool { return len(d.Stamps) > 0 }

// InstanceTracker takes in what the store says of replicas.
type InstanceTracker interface {
	// Update takes in the entry of a replica and reports whether it brought news.
	Update(i Instance) bool
	// MarkRemoved takes in that an entry was removed. It reports whether the replica is
	// known.
	MarkRemoved(id string) bool
	// Expire forgets the replicas whose entries have been missing for too long, and
	// returns them.
	Expire() []Instance
}

// ReplicaView is what a daemon takes to be true of a replica.
type ReplicaView struct {
	Instance
	Health       Health        // "" when it may get nothing
	EntryAge     time.Duration // age of the entry that describes it
	InFlight     int           // attempts in progress
	Latency      time.Duration // moving average over replies; 0 for none yet
	FailureRatio float64       // share of failures and refusals among the last outcomes
	Stalled      bool          // a reply is long overdue
}

// DaemonView is what a daemon takes to be true of another.
type DaemonView struct {
	Daemon
	ContactAge   time.Duration // age of the last word of it
	Unresponsive bool          // it did not answer since
}

// MessageHandler answers callers' messages.
type MessageHandler interface {
	// Handle answers a message that the caller waits for up to limit, 0 if it does not
	// say. It returns a [*RefusedError] when there is no answer.
	Handle(ctx context.Context, m Message, limit time.Duration) (RelayResult, error)
}
