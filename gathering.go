package sycamoreramp

import (
	"context"
	"time"
)

// CollectRequest asks a daemon to gather the parts of an answer from the replicas in
// its own failure domain.
type CollectRequest struct {
	Message    Message
	Route      Route         // only Name, Objective and TopK are sent
	Services   []string      // services to gather parts from; never modified
	Deadline   time.Time     // time at which the answer is due
	BatchDelay time.Duration // after which the first batch is due; 0 if the delegate chooses
	Separate   bool          // each part is sent in a batch of its own, as soon as it arrives
	Insist     bool          // replicas that are not healthy are used too
}

// Batch carries parts of a collection. No part is received in two batches, nor pending in
// two.
type Batch struct {
	Received []ReceivedPart // never modified
	Pending  []PendingPart  // parts without a response that are due elsewhere now; never modified
	Records  []byte         // greatest records over the received parts; never modified
}

// ReceivedPart is a part whose response has arrived.
type ReceivedPart struct {
	Index int    // position of the service in the collection
	Stamp string // the replica's signature
}

// PendingPart is a part whose response has not arrived yet.
type PendingPart struct {
	Index   int    // position of the service in the collection
	Replica string // id of the replica that the request was sent to; "" if it was sent to none
	Crashed bool   // that replica ended while it had the request
}

// Collector sends collect requests to other daemons.
type Collector interface {
	// Collect calls receive for each batch that the daemon sends, in order, and
	// returns after the last one. It returns a [*PeerError] when the daemon cannot be
	// reached or the stream breaks.
	Collect(ctx context.Context, to Daemon, c CollectRequest, receive func(Batch)) error
}

// CollectHandler serves collect requests of other daemons.
type CollectHandler interface {
	// HandleCollect sends batches until all parts have arrived, none can arrive any
	// more, or ctx ends.
	HandleCollect(ctx context.Context, c CollectRequest, send func(Batch) error) error
}

// Delegate is a daemon that collects parts from the replicas of a service in its own
// failure domain.
type Delegate struct {
	Daemon
	Self bool // it is the daemon that asks
}

// Found reports whether the delegate is a daemon, as opposed to none.
func (d Delegate) Found() bool { return d.Incarnation != "" || d.ID != "" }

// DelegateSelector selects the daemons that collect requests are delegated to.
type DelegateSelector interface {
	// Select returns, for each of the services, the daemon of the failure domain that
	// collects the service's parts there. It may be this daemon, and is zero when no
	// responsive one is known. Daemons that know the same members select the same one.
	Select(domain string, services []string) []Delegate
	// Grouped reports whether the fleet is so large that a daemon leaves all replicas to
	// their delegates, also those in its own failure domain and for repeated attempts.
	Grouped() bool
	// Count returns the number of daemons that may be selected in the failure domain. If
	// some daemons of the fleet are weak, it is the number of strong ones that carry as much.
	Count(domain string) int
	// Report records whether a daemon answered in time.
	Report(d Daemon, inTime bool)
}
