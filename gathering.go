package sycamoreramp

import (
	"context"
	"time"
)

// Collection is what a daemon of another failure domain is asked for: the parts
// of an answer that replicas near it hold.
type Collection struct {
	Message  Message
	Route    Route     // only its name, its objective and Top are told
	Services []string  // the services whose parts are wanted; never modified
	Deadline time.Time // the answer is due then
}

// Batch brings parts of a collection, none of which an earlier batch brought.
type Batch struct {
	In      []PartIn  // never modified
	Out     []PartOut // what is not in yet; only in the first batch; never modified
	Records []byte    // greatest records of the parts together; never modified
}

// PartIn is a part that is in.
type PartIn struct {
	Index int    // position of the service in the collection
	Stamp string // the replica's signature
}

// PartOut is a part that is not in yet.
type PartOut struct {
	Index   int    // position of the service in the collection
	Replica string // id of the replica that was asked; "" for none
}

// Collector asks daemons of other failure domains for parts.
type Collector interface {
	// Collect passes the batches that the daemon sends to receive, in turn, and
	// returns when there are no more. It returns a [*PeerError] when the daemon is
	// not reached or breaks off.
	Collect(ctx context.Context, to Daemon, c Collection, receive func(Batch)) error
}

// CollectHandler is what a daemon does when it is asked for parts.
type CollectHandler interface {
	// Collected sends batches until all parts are in, none can come any more, or ctx
	// ends.
	Collected(ctx context.Context, c Collection, send func(Batch) error) error
}

// Helpers chooses the daemons that are asked for parts.
type Helpers interface {
	// Helper returns a daemon of the failure domain, or reports false when none is
	// known to answer.
	Helper(domain string) (Daemon, bool)
	// Helped tells whether a daemon answered in time.
	Helped(d Daemon, inTime bool)
}
