package sycamoreramp

import (
	"context"
	"time"
)

// GossipMessage is what daemons tell each other. It states what the sender has, and
// carries only what the receiver is known to lack.
type GossipMessage struct {
	From            Daemon        // the sender; at least its id, its incarnation and Leaving
	ListsVersion    uint64        // version of the sender's lists; 0 for none
	ListsDigest     Digest        // of the sender's lists
	MembersRevision uint64        // store revision of the sender's membership; 0 for none
	Lists           Lists         // whole lists for the receiver; Version 0 for none
	ListsChange     ListsChange   // from the receiver's lists to the sender's; Version 0 for none
	EntryChange     EntryChange   // from the receiver's view of the store to the sender's; Until 0 for none
	MemberChange    MemberChange  // from the receiver's membership to the sender's; Until 0 for none
	ConfirmedAge    time.Duration // age of the sender's last word from the store
	Usage           []Usage       // counters by plan; at most 64
	LeavingVMs      []string      // VM ids that the sender knows to take no new work
}

// Usage counts what a plan used on a daemon since the daemon's incarnation
// started. The counters never decrease, so news that is lost, repeated or out
// of order does no harm.
type Usage struct {
	Plan      string
	Uptime    time.Duration // age of the incarnation when the counters were read
	Requested uint64        // sub-requests asked for; at least Served
	Admitted  uint64        // sub-requests admitted
}

// Peers sends messages to other daemons.
type Peers interface {
	// Gossip sends news and returns the other daemon's, or a [*PeerError].
	Gossip(ctx context.Context, to Daemon, news GossipMessage) (GossipMessage, error)
	// Forward lets the issuer of the order's ticket run the order. It returns the
	// issuer's answer, a [*RefusedError] of the issuer, or a [*PeerError].
	Forward(ctx context.Context, to Daemon, ticket Ticket, q Query) (Answer, error)
}

// PeerHandler is what a daemon does with the calls of others.
type PeerHandler interface {
	// HandleGossip takes in news and returns the daemon's own.
	HandleGossip(news GossipMessage) GossipMessage
	// HandleForward runs an order whose ticket this daemon may have issued.
	HandleForward(ctx context.Context, ticket Ticket, q Query) (Answer, error)
	// HandleHandover takes in what a leaving daemon knows of its tickets.
	HandleHandover(settled []TicketOutcome)
}
