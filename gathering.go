package sycamoreramp

import (
	"context"
	"time"
)

// CollectRequest asks a daemon of another failure domain to gather the parts of an
// answer from the replicas in its own domain.
type CollectRequest struct {
	Message  Message
	Route    Route     // only Name, Objective and TopK are sent
	Services []string  // services to gather parts from; never modified
	Deadline time.Time // time at which the answer is due
}

// Batch carries parts of a collection. No part is in two batches.
type Batch struct {
	Received []ReceivedPart // never modified
	Pending  []PendingPart  // parts without a response yet; set only in the first batch; never modified
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
	Replica string // id of the replica that the request was sent to; "" for none
}

// Collector sends collect requests to daemons of other failure domains.
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

// DelegateSelector selects the daemons that collect requests are delegated to.
type DelegateSelector interface {
	// Select returns a responsive daemon of the failure domain, or false when none is
	// known.
	Select(domain string) (Daemon, bool)
	// Report records whether a daemon answered in time.
	Report(d Daemon, inTime bool)
}
