package sycamoreramp

import "time"

// Member is a daemon's registration as of a revision of the store.
type Member struct {
	Daemon
	Revision uint64 // revision of the registration's last change; at least 1
	Removed  bool   // the registration was removed
}

// MemberChange is the change of the membership between two revisions.
type MemberChange struct {
	Era          uint64   // era of the store to which both revisions belong; 0 if it is not known
	FromRevision uint64   // revision of the membership that it applies to; 0 if Members is the full state
	ToRevision   uint64   // revision of the resulting membership
	Members      []Member // registrations changed after FromRevision; never modified
}

// To returns the resulting position of the membership.
func (c MemberChange) To() Position { return Position{Era: c.Era, Revision: c.ToRevision} }

// Freshness describes how recent a daemon's lists are known to be.
type Freshness struct {
	Version      uint64        // version of the lists in force; 0 for none
	ConfirmedAge time.Duration // time since the store last confirmed that no newer version exists
	PeersReached int           // other members that answered recently
	Peers        int           // other members that should have answered recently
}

// HasMajority reports whether the daemon and the PeersReached members are more than
// half of the daemon and all Peers.
func (s Freshness) HasMajority() bool { return 2*(s.PeersReached+1) > s.Peers+1 }
