package sycamoreramp

import (
	"context"
	"time"
)

// CollectRequest is what a daemon of another failure domain is asked for: the parts
// of an answer that replicas near it hold.
type CollectRequest struct {
	Message  Message
	Route    Route     // only its name, its objective and Top are told
	Services []string  // the services whose parts are wanted; never modified
	Deadline time.Time // the answer is due then
}

// Batch brings parts of a collection, none of which an earlier batch brought.
type Batch struct {
	Received []ReceivedPart // never modified
	Pending  []PendingPart  // what is not in yet; only in the first batch; never modified
	Records  []byte         // greatest records of the parts together; never modified
}

// ReceivedPart is a part that is in.
type ReceivedPart struct {
	Index int    // position of the service in the collection
	Stamp string // the replica's signature
}

// PendingPart is a part that is not in yet.
type PendingPart struct {
	Index   int    // position of the service in the collection
	Replica string // id of the replica that was asked; "" for none
}

// Collector asks daemons of other failure domains for parts.
type Collector interface {
	// Collect passes the batches that the daemon sends to receive, in turn, and
	// returns when there are no more. It returns a [*PeerError] when the daemon is
	// not reached or breaks off.
	Collect(ctx context.Context, to Daemon, c CollectRequest, receive func(Batch)) error
}

// CollectHandler is what a daemon does when it is asked for parts.
type CollectHandler interface {
	// HandleCollect sends batches until all parts are in, none can come any more, or ctx
	// ends.
	HandleCollect(ctx context.Context, c CollectRequest, send func(Batch) error) error
}

// DelegateSelector chooses the daemons that are asked for parts.
type DelegateSelector interface {
	// Select returns a daemon of the failure domain, or reports false when none is
	// known to answer.
	Select(domain string) (Daemon, bool)
	// Report tells whether a daemon answered in time.
	Report(d Daemon, inTime bool)
}
