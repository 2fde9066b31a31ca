package sycamoreramp

import (
	"context"
	"time"
)

// GossipMessage is the state that daemons exchange. It gives the versions that the
// sender has, and carries only data that the receiver is known to be missing.
type GossipMessage struct {
	From            Daemon           // sender; at least its ID, Incarnation and Leaving
	ListsVersion    uint64           // version of the sender's lists; 0 for none
	ListsDigest     Digest           // of the sender's lists
	StoreEra        uint64           // era of the store to which MembersRevision belongs
	MembersRevision uint64           // store revision of the sender's membership; 0 for none
	Lists           Lists            // whole lists for the receiver; Version 0 for none
	ListsChange     ListsChange      // from the receiver's lists to the sender's; Version 0 for none
	EntryChange     EntryChange      // from the receiver's view of the store to the sender's; ToRevision 0 for none
	MemberChange    MemberChange     // from the receiver's membership to the sender's; ToRevision 0 for none
	ConfirmedAge    time.Duration    // time since the store last confirmed the sender's lists
	Usage           []Usage          // counters by plan; at most 64 entries
	LeavingVMs      []string         // ids of the VMs that the sender knows to accept no new work
	Blocked         []BlockedMessage // messages that the sender knows to crash replicas, or suspects; at most a few dozen
}

// Position returns the position in the history of the store of the sender's membership.
func (m GossipMessage) Position() Position {
	return Position{Era: m.StoreEra, Revision: m.MembersRevision}
}

// Usage counts what a plan used on a daemon since the daemon's incarnation
// started. The counters never decrease, so lost, repeated or reordered messages
// do no harm.
type Usage struct {
	Plan      string
	Uptime    time.Duration // age of the incarnation when the counters were read
	Requested uint64        // sub-requests requested; at least Admitted
	Admitted  uint64        // sub-requests admitted
}

// Peers sends messages to other daemons.
type Peers interface {
	// Gossip sends a message and returns the other daemon's reply, or a [*PeerError].
	Gossip(ctx context.Context, to Daemon, m GossipMessage) (GossipMessage, error)
	// Forward sends the order to the issuer of its ticket, which runs it. It returns
	// the issuer's answer, the issuer's [*RefusedError], or a [*PeerError].
	Forward(ctx context.Context, to Daemon, ticket Ticket, q Query) (Answer, error)
}

// PeerHandler serves the calls of other daemons.
type PeerHandler interface {
	// HandleGossip merges the message and returns the daemon's own.
	HandleGossip(m GossipMessage) GossipMessage
	// HandleForward runs a forwarded order whose ticket this daemon may have issued.
	HandleForward(ctx context.Context, ticket Ticket, q Query) (Answer, error)
	// HandleHandover stores the ticket outcomes of a leaving daemon.
	HandleHandover(outcomes []TicketOutcome)
}
