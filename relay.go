package sycamoreramp

import (
	"context"
	"time"
)

// Picker picks replicas of services based on the outcomes of the daemon's own
// attempts.
type Picker interface {
	// Pick returns the replica for an attempt and how it was picked. The attempt counts
	// as in flight until Done is called for it.
	Pick(r PickRequest) (Instance, PickInfo, bool)
	// Usable reports whether a replica that was picked may still get the attempt, which
	// waits for a connection meanwhile.
	Usable(i Instance) bool
	// Done records the outcome of an attempt.
	Done(a Attempt)
	// Delay returns the time until a replica of the service accepts a request of this
	// daemon, 0 if one does now. It reports false when no replica may get requests.
	Delay(service string) (time.Duration, bool)
	// Domains returns the failure domains in which the service has a healthy replica and
	// that requests may be sent to now, each once, the daemon's own domain first if it is
	// among them. While load returns to a domain after its evacuation, results differ.
	// A domain with cold replicas only is left out if there is another one.
	Domains(service string) []string
	// Near reports whether the service has a healthy replica in the daemon's own failure
	// domain that accepts a request of this daemon now.
	Near(service string) bool
	// Spread returns the number of failure domains in which the service has replicas.
	Spread(service string) int
}

// PickRequest is an attempt that needs a replica.
type PickRequest struct {
	Service string
	Tried   []Attempt // earlier attempts, whose replicas are excluded; never modified
	Limit   int       // replicas with at least that many attempts in flight are excluded
	Near    bool      // only replicas in the daemon's own failure domain

	// Ordered says that attempts are ordered by Priority, and first ones go before
	// repeats: replicas are excluded that have too many attempts of this daemon in flight
	// for one of its kind, see Holders.
	Ordered  bool
	Priority int  // rank; 0 is the highest
	Repeat   bool // it is a retry or a hedge
	Holders  int  // daemons that send requests to the replicas in the own failure domain; at least 1
	// Exceptional says that other daemons send the requests to the replicas in the other
	// failure domains, and with Holders above 1 also to those in the own one.
	Exceptional bool

	// Senders is the number of daemons that send requests to the replicas of the service,
	// this one included. It is 0 where the load that replicas report is not to be used.
	Senders int
	Latency time.Duration // median latency of replies on the route; 0 if unknown
}

// Health is the health of a replica when it was picked.
type Health string

// The health of a replica that may get attempts. A picker prefers HealthOK, then
// HealthSuspect, then HealthDeregistered, then HealthDraining.
const (
	HealthOK           Health = "sound"    // registered and responsive
	HealthDeregistered Health = "vanished" // its entry was removed recently
	HealthSuspect      Health = "avoided"  // it failed recently
	HealthDraining     Health = "drained"  // it began to drain recently
)

// PickInfo describes how a replica was picked. It is an immutable value.
type PickInfo struct {
	Health          Health        // "" if no picker was used
	Candidates      int           // number of replicas that could have been picked
	Saturated       int           // number of replicas at their limit of attempts in flight
	Throttled       int           // number of replicas that accept no request of this daemon yet
	Delay           time.Duration // until the first of the throttled replicas accepts one; 0 if there are none
	ExpectedLatency time.Duration // until a reply, by this daemon's own attempts and with penalties
	EntryAge        time.Duration // age of the replica's entry
	StartedMillis   int64         // start of the replica, as in its [Instance]
	Load            *ReplicaLoad  // the reported load by which it was picked; nil for none; never modified
	LoadAge         time.Duration // age of Load; 0 for none
}

// WithLoad returns the information with the reported load by which the replica was picked.
func (p PickInfo) WithLoad(l ReplicaLoad, age time.Duration) PickInfo {
	p.Load, p.LoadAge = &l, age
	return p
}

// WithThrottled returns the information with one more replica that accepts no request of
// this daemon until the delay has passed.
func (p PickInfo) WithThrottled(delay time.Duration) PickInfo {
	if p.Throttled == 0 || delay < p.Delay {
		p.Delay = delay
	}
	p.Throttled++
	return p
}

// RetryBudget bounds retries and hedges over all daemons.
type RetryBudget interface {
	// CountRequest counts a caller's request for the service.
	CountRequest(service string)
	// Allow reports whether another attempt at the service fits in the budget now,
	// and deducts it. Share is this daemon's part of the slack of the fleet, or 0 for
	// an equal part.
	Allow(service string, share float64) bool
	// HedgeDelay returns the time after which an attempt on the route is hedged.
	HedgeDelay(route Route) time.Duration
	// MedianLatency returns the median latency of replies on the route, 0 if unknown.
	MedianLatency(route string) time.Duration
	// Observe records the outcome of an attempt on the route.
	Observe(route string, a Attempt)
}

// RelayResult is the answer to a message: the response of one replica, or one
// assembled from parts.
type RelayResult struct {
	Route          Route     // route that the message matched; its Name is "" for none
	RoutingVersion uint64    // version of the routing under which the message was answered
	Response       Response  // response of one replica; only the body is set for a gathered answer
	Stamps         []string  // signatures of the parts in the answer; never modified
	MissingParts   int       // number of parts that are not in the answer
	TotalParts     int       // number of parts of a complete answer; 1 for the response of one replica
	Attempts       []Attempt // never modified
	Tenant         string    // name of the caller's tenant; "" for none
	Priority       int       // rank of the request; 0 is the highest
	Elapsed        time.Duration
	PriorWait      time.Duration // estimated time that the caller spent on earlier tries of the request
}

// MissedObjective reports whether the caller waited longer than the route's latency
// objective.
func (d RelayResult) MissedObjective() bool {
	return d.Route.Objective > 0 && d.PriorWait+d.Elapsed > d.Route.Objective
}

// Gathered reports whether the answer is assembled from parts.
func (d RelayResult) Gathered() bool { return len(d.Stamps) > 0 }

// InstanceTracker tracks the replicas registered in the store.
type InstanceTracker interface {
	// Update records the entry of a replica, which the store acknowledged no earlier
	// than notBefore. It reports whether the replica is new or registered again, or its
	// state or start changed.
	Update(i Instance, notBefore time.Time) bool
	// MarkRemoved records that an entry was removed, which the store acknowledged no
	// earlier than notBefore. It reports whether the replica is known.
	MarkRemoved(id string, notBefore time.Time) bool
	// Departed reports whether the entry is no later than one by which this start of the
	// replica was seen to leave.
	Departed(i Instance) bool
	// SetEvacuated records that the replicas of a failure domain must get no requests, or
	// that they may get them again, which the store acknowledged no earlier than notBefore.
	// It reports whether that is new.
	SetEvacuated(domain string, evacuated bool, notBefore time.Time) bool
	// Expire evicts and returns the replicas whose entries have been missing for
	// longer than the grace period.
	Expire() []Instance
}

// ReplicaView is a daemon's view of a replica.
type ReplicaView struct {
	Instance
	Health       Health        // "" if it may get no attempts
	EntryAge     time.Duration // age of its entry
	InFlight     int           // attempts in flight
	Latency      time.Duration // moving average over replies; 0 for none yet
	FailureRatio float64       // share of failures and refusals among recent outcomes
	Stalled      bool          // an attempt has been without a reply for too long
	Signals      Signals       // what the replica last said of itself; zero for nothing
	SignalsAge   time.Duration // age of Signals; 0 for none
	Delay        time.Duration // until it accepts a request of this daemon; 0 if it does
	ColdLeft     time.Duration // for which it is still cold
	Load         ReplicaLoad   // load that it last reported; zero for none
	LoadAge      time.Duration // age of Load; 0 for none
	Share        float64       // requests per second of this daemon under the replica's rate limit, if there is one
}

// WithSignals returns the view with what the replica said of itself.
func (v ReplicaView) WithSignals(s Signals, age time.Duration, share float64) ReplicaView {
	v.Signals, v.SignalsAge, v.Share = s, age, share
	return v
}

// DaemonView is a daemon's view of another daemon.
type DaemonView struct {
	Daemon
	ContactAge   time.Duration // time since the last contact with it
	Unresponsive bool          // it failed to answer since the last contact
}

// MessageHandler handles callers' messages.
type MessageHandler interface {
	// Handle returns the answer to a message whose caller waits for up to limit, 0 if
	// unknown. It returns a [*RefusedError] when there is no answer.
	Handle(ctx context.Context, m Message, limit time.Duration) (RelayResult, error)
}
