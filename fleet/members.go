package fleet

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times of the membership.
const (
	// AddressTTL is how long a caller may keep an answer about addresses.
	AddressTTL = 5 * time.Second
	// unresponsiveGrace is how long a member that did not answer counts as live
	// after it was last seen, in the store or by a message of its own.
	unresponsiveGrace = 3 * time.Second
	// LeavePropagationTime is the time within which every daemon that still answers
	// callers knows that a member leaves: from the store, from the member
	// itself, or because the member does not answer. In the worst case the
	// member is cut off and the store fails when the member's lease expires.
	// Then the store's last reply is used for [memberWatchWait], and the member
	// counts as live for [unresponsiveGrace] more.
	LeavePropagationTime = leaseTTL + memberWatchWait + unresponsiveGrace
)

// Sizes of an answer about addresses.
const (
	maxAddresses      = 8 // addresses in all
	maxLocalAddresses = 6 // addresses in the caller's failure domain
)

// member is a daemon of the fleet as last seen. It is an immutable value.
type member struct {
	daemon       ramp.Daemon // its Leaving is never reset
	hash         uint64      // of its incarnation
	lastSeen     time.Time   // last time that the store listed the member or the member sent a message
	unresponsive bool        // whether a call to the member has failed since lastSeen
	failedAt     time.Time   // last time that a call to the member failed; zero for never
	silentAt     time.Time   // last time that gossip with the member failed since lastSeen; zero for none
	calledAt     time.Time   // last call of this daemon to the member that ended; zero for never
	answered     bool        // the member answered that call
}

// WithDaemon returns the member as seen now.
func (m member) WithDaemon(d ramp.Daemon, now time.Time) member {
	d.Leaving = d.Leaving || m.daemon.Leaving
	if m.lastSeen.IsZero() {
		m.hash = ramp.HashKey(d.Incarnation)
	}
	m.daemon = d
	m.lastSeen = now
	m.unresponsive = false
	m.silentAt = time.Time{}
	return m
}

// WithUnresponsive returns the member after a call that failed.
func (m member) WithUnresponsive(now time.Time) member {
	m.unresponsive = true
	m.failedAt = now
	return m
}

// failedRecently reports whether a call to the member failed since it was last seen
// and within [maxDelegateBackoff]. In a large fleet a member is seldom seen.
func (m member) failedRecently(now time.Time) bool {
	return m.unresponsive && now.Sub(m.failedAt) < maxDelegateBackoff
}

// live reports whether the member is responsive or was seen within
// [unresponsiveGrace].
func (m member) live(now time.Time) bool {
	return !m.unresponsive || now.Sub(m.lastSeen) <= unresponsiveGrace
}

// Members keeps the daemons of the fleet, as listed by the store or seen in
// gossip, and when each of them was last seen.
type Members struct {
	clock   ramp.Clock
	self    string // incarnation of this daemon
	created time.Time
	answers atomic.Uint64               // number of answers about addresses so far
	members *ramp.Table[string, member] // by incarnation

	// changedAt is the time from created to when a member was last added or removed, or
	// began to leave, in ns; 0 for never.
	changedAt atomic.Int64
}

// NewMembers returns Members without any daemon.
func NewMembers(self ramp.Daemon, clock ramp.Clock) *Members {
	return &Members{
		clock: clock, self: self.Incarnation, created: clock.Now(),
		members: ramp.NewTable[string, member](ramp.RankDaemons),
	}
}

// Replace sets the members to the daemons that the store lists now, and marks
// all of them as seen.
func (m *Members) Replace(daemons []ramp.Daemon) {
	now := m.clock.Now()
	listed := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		listed[d.Incarnation] = true
		m.members.Update(d.Incarnation, func(old member) member {
			m.recordChange(old, d, now)
			return old.WithDaemon(d, now)
		})
	}
	m.deleteOthers(listed, now)
}

// Update sets the members to the given daemons without marking known ones as
// seen: a member that is unresponsive remains so.
func (m *Members) Update(daemons []ramp.Daemon) {
	now := m.clock.Now()
	present := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		present[d.Incarnation] = true
		m.members.Update(d.Incarnation, func(old member) member {
			m.recordChange(old, d, now)
			if old.lastSeen.IsZero() {
				return old.WithDaemon(d, now)
			}
			d.Leaving = d.Leaving || old.daemon.Leaving
			old.daemon = d
			return old
		})
	}
	m.deleteOthers(present, now)
}

// deleteOthers deletes the members that are not in the set of incarnations.
func (m *Members) deleteOthers(kept map[string]bool, now time.Time) {
	m.members.DeleteFunc(func(incarnation string, _ member) bool {
		if !kept[incarnation] {
			m.changedAt.Store(int64(now.Sub(m.created)))
		}
		return !kept[incarnation]
	})
}

// recordChange records the time if the daemon is new or begins to leave.
func (m *Members) recordChange(old member, d ramp.Daemon, now time.Time) {
	if old.lastSeen.IsZero() || d.Leaving && !old.daemon.Leaving {
		m.changedAt.Store(int64(now.Sub(m.created)))
	}
}

// MarkSeen records a message from a daemon: that it is alive, and whether it
// leaves. It ignores a daemon that is not a member.
func (m *Members) MarkSeen(d ramp.Daemon) {
	now := m.clock.Now()
	m.members.UpdateExisting(d.Incarnation, func(old member) member {
		m.recordChange(old, d, now)
		known := old.daemon
		known.Leaving = known.Leaving || d.Leaving
		return old.WithDaemon(known, now)
	})
}

// MarkUnresponsive records that a member did not answer. The next [Members.Replace] that
// lists the member or [Members.MarkSeen] resets this.
func (m *Members) MarkUnresponsive(incarnation string) {
	now := m.clock.Now()
	m.members.UpdateExisting(incarnation, func(old member) member { return old.WithUnresponsive(now) })
}

// MarkSilent records that gossip with a member failed. Unlike a call that was merely late,
// this makes other daemons take its place in [Members.Ranked].
func (m *Members) MarkSilent(incarnation string) {
	now := m.clock.Now()
	m.members.UpdateExisting(incarnation, func(old member) member {
		old.silentAt = now
		return old.WithUnresponsive(now)
	})
}

// RecordCall records whether a member answered a call of this daemon.
func (m *Members) RecordCall(incarnation string, answered bool) {
	now := m.clock.Now()
	m.members.UpdateExisting(incarnation, func(old member) member {
		old.calledAt, old.answered = now, answered
		return old
	})
}

// Unresponsive returns the members that did not answer since they were last seen,
// sorted by id.
func (m *Members) Unresponsive() []ramp.Daemon {
	return m.filter(func(other member) bool { return other.unresponsive })
}

// All returns the members sorted by id.
func (m *Members) All() []ramp.Daemon {
	return m.filter(func(member) bool { return true })
}

// Views returns the state of each member as known to this daemon, sorted by id.
func (m *Members) Views() []ramp.DaemonView {
	now := m.clock.Now()
	var views []ramp.DaemonView
	m.members.Each(func(_ string, other member) bool {
		views = append(views, ramp.DaemonView{
			Daemon: other.daemon, ContactAge: now.Sub(other.lastSeen), Unresponsive: other.unresponsive,
		})
		return true
	})
	slices.SortFunc(views, func(a, b ramp.DaemonView) int { return compareDaemons(a.Daemon, b.Daemon) })
	return views
}

// Find returns the member with the given incarnation.
func (m *Members) Find(incarnation string) (ramp.Daemon, bool) {
	found, ok := m.members.Get(incarnation)
	return found.daemon, ok
}

// Addresses returns the addresses that a caller in the given failure domain
// should use: those of a few live members that are not leaving, the caller's
// domain first. If there are members in other failure domains, some of them are
// included in case the caller's own domain fails. Successive answers start with
// successive members, which spreads callers that use the first address evenly.
func (m *Members) Addresses(domain string) []string {
	now := m.clock.Now()
	turn := int(m.answers.Add(1) - 1)
	candidates := m.filter(func(other member) bool {
		return !other.daemon.Leaving && (other.live(now) || other.daemon.Incarnation == m.self)
	})
	var local, remote []string
	for _, d := range strongest(candidates) {
		if d.Domain == domain {
			local = append(local, d.CallerAddress)
		} else {
			remote = append(remote, d.CallerAddress)
		}
	}
	local = rotate(local, turn, maxLocalAddresses)
	return append(local, rotate(remote, turn, maxAddresses-len(local))...)
}

// rotate returns at most limit addresses in the same circular order, starting
// at the one with index turn modulo the number of addresses.
func rotate(addresses []string, turn, limit int) []string {
	if len(addresses) == 0 {
		return nil
	}
	start := turn % len(addresses)
	rotated := append(slices.Clone(addresses[start:]), addresses[:start]...)
	return rotated[:min(limit, len(rotated))]
}

// filter returns the members that keep accepts, sorted by id.
func (m *Members) filter(keep func(member) bool) []ramp.Daemon {
	var all []ramp.Daemon
	m.members.Each(func(_ string, other member) bool {
		if keep(other) {
			all = append(all, other.daemon)
		}
		return true
	})
	slices.SortFunc(all, compareDaemons)
	return all
}

// successorCount is the number of daemons to which a leaving daemon hands over
// its tickets.
const successorCount = 3

// Successors returns the members to which the given incarnation hands over its
// tickets when it leaves. They are chosen by rendezvous hashing: the members
// with the highest hash of both incarnations, so that a membership change
// replaces few of them.
func (m *Members) Successors(incarnation string) []ramp.Daemon {
	members := m.filter(func(other member) bool {
		return !other.daemon.Leaving && other.daemon.Incarnation != incarnation
	})
	slices.SortStableFunc(members, func(a, b ramp.Daemon) int {
		return cmp.Compare(rendezvousHash(b, incarnation), rendezvousHash(a, incarnation))
	})
	return members[:min(successorCount, len(members))]
}

// rendezvousHash returns the weight of a daemon for a key in rendezvous hashing.
func rendezvousHash(d ramp.Daemon, seed string) uint64 {
	return ramp.HashKey(seed + " " + d.Incarnation)
}
