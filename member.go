package sycamoreramp

import "time"

// Member is a daemon's registration as of a revision of the store.
type Member struct {
	Daemon
	Revision uint64 // revision of the registration's last change; at least 1
	Removed  bool   // the change was the end of the registration
}

// MemberChange is what changed in the membership between two revisions.
type MemberChange struct {
	FromRevision uint64   // revision of the membership that it applies to; 0 for any
	ToRevision   uint64   // revision of the membership that it makes
	Members      []Member // registrations changed after After; never modified
}

// Freshness says how far a daemon may trust the lists that it has.
type Freshness struct {
	Version      uint64        // version of the lists in force; 0 for none
	ConfirmedAge time.Duration // age of the last word from the store that no newer version exists
	PeersReached int           // other members that answered lately
	Peers        int           // other members that should have answered lately
}

// HasMajority reports whether the daemon and the members that it reached are more
// than half of all.
func (s Freshness) HasMajority() bool { return 2*(s.PeersReached+1) > s.Peers+1 }
