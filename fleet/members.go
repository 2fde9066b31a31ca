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
	// AddressLife is how long a caller may keep an answer about addresses.
	AddressLife = 5 * time.Second
	// missedLife is how long a member that did not answer counts as live after the
	// last word of it, from the store or from itself.
	missedLife = 3 * time.Second
	// NoticeTime is within which every daemon that still answers callers knows that
	// a member leaves: from the store, from the member, or as missing. At worst the
	// member is cut off and the store goes down when its lease ends; then the store's
	// last word counts for watchWait, and the member as live for missedLife more.
	NoticeTime = leaseTTL + watchWait + missedLife
)

// Sizes of an answer about addresses.
const (
	maxAddresses = 8 // addresses in all
	maxNear      = 6 // addresses in the caller's failure domain
)

// member is a daemon as last seen. It is an immutable value.
type member struct {
	daemon ramp.Daemon // once it is leaving it stays so
	seen   time.Time   // last word of it
	missed bool        // it did not answer since
}

func (m member) WithDaemon(d ramp.Daemon, now time.Time) member {
	d.Leaving = d.Leaving || m.daemon.Leaving
	m.daemon = d
	m.seen = now
	m.missed = false
	return m
}

func (m member) WithMissed() member {
	m.missed = true
	return m
}

func (m member) live(now time.Time) bool { return !m.missed || now.Sub(m.seen) <= missedLife }

// Members keeps the daemons of the fleet as the store last listed them, and
// when each was last seen.
type Members struct {
	clock   ramp.Clock
	self    string                      // incarnation of this daemon
	turn    atomic.Uint64               // answers about addresses so far
	members *ramp.Table[string, member] // by incarnation
}

// NewMembers returns a membership in which no other daemon is known to this one.
func NewMembers(self ramp.Daemon, clock ramp.Clock) *Members {
	return &Members{
		clock: clock, self: self.Incarnation,
		members: ramp.NewTable[string, member](ramp.RankDaemons),
	}
}

// Replace takes in the daemons that the store lists now.
func (m *Members) Replace(daemons []ramp.Daemon) {
	now := m.clock.Now()
	listed := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		listed[d.Incarnation] = true
		m.members.Update(d.Incarnation, func(old member) member {
			return old.WithDaemon(d, now)
		})
	}
	m.members.DeleteFunc(func(incarnation string, _ member) bool { return !listed[incarnation] })
}

// Update takes in the daemons that there are, without word of them. One that did
// not answer stays so.
func (m *Members) Update(daemons []ramp.Daemon) {
	now := m.clock.Now()
	there := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		there[d.Incarnation] = true
		m.members.Update(d.Incarnation, func(old member) member {
			if old.seen.IsZero() {
				return old.WithDaemon(d, now)
			}
			d.Leaving = d.Leaving || old.daemon.Leaving
			old.daemon = d
			return old
		})
	}
	m.members.DeleteFunc(func(incarnation string, _ member) bool { return !there[incarnation] })
}

// Hear takes in word from a daemon that is a member: that it is there, and
// whether it leaves. A daemon that the store does not list stays unknown.
func (m *Members) Hear(d ramp.Daemon) {
	now := m.clock.Now()
	m.members.UpdateExisting(d.Incarnation, func(old member) member {
		known := old.daemon
		known.Leaving = known.Leaving || d.Leaving
		return old.WithDaemon(known, now)
	})
}

// Miss takes in that a member did not answer. While the store lists it anew it
// counts as live all the same.
func (m *Members) Miss(incarnation string) { m.members.UpdateExisting(incarnation, member.WithMissed) }

// All returns the members sorted by id.
func (m *Members) All() []ramp.Daemon {
	return m.those(func(member) bool { return true })
}

// Views returns what this daemon takes to be true of each member, sorted by id.
func (m *Members) Views() []ramp.DaemonView {
	now := m.clock.Now()
	var views []ramp.DaemonView
	m.members.Each(func(_ string, other member) bool {
		views = append(views, ramp.DaemonView{
			Daemon: other.daemon, ContactAge: now.Sub(other.seen), Unresponsive: other.missed,
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

// Addresses returns the addresses that a caller should use: those of a few live
// members that stay, the caller's failure domain first. Members of other failure
// domains are among them, if there are any, for the loss of the caller's own.
// Each answer starts with the next member, so that callers who take the first
// address spread evenly.
func (m *Members) Addresses(domain string) []string {
	now := m.clock.Now()
	turn := int(m.turn.Add(1) - 1)
	staying := m.those(func(other member) bool {
		return !other.daemon.Leaving && (other.live(now) || other.daemon.Incarnation == m.self)
	})
	var near, far []string
	for _, d := range staying {
		if d.Domain == domain {
			near = append(near, d.CallerAddress)
		} else {
			far = append(far, d.CallerAddress)
		}
	}
	near = rotate(near, turn, maxNear)
	return append(near, rotate(far, turn, maxAddresses-len(near))...)
}

// rotate returns at most limit of the addresses, in the same circular order from
// another start.
func rotate(addresses []string, turn, limit int) []string {
	if len(addresses) == 0 {
		return nil
	}
	start := turn % len(addresses)
	rotated := append(slices.Clone(addresses[start:]), addresses[:start]...)
	return rotated[:min(limit, len(rotated))]
}

// those returns the members that keep accepts, sorted by id.
func (m *Members) those(keep func(member) bool) []ramp.Daemon {
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

// successors is the number of daemons to which a leaving one hands over its tickets.
const successors = 3

// Successors returns the members to which the given incarnation hands over its
// tickets when it leaves: those with the highest hash of both incarnations. A
// change of the membership changes few of them.
func (m *Members) Successors(incarnation string) []ramp.Daemon {
	members := m.those(func(other member) bool {
		return !other.daemon.Leaving && other.daemon.Incarnation != incarnation
	})
	slices.SortStableFunc(members, func(a, b ramp.Daemon) int {
		return cmp.Compare(weight(b, incarnation), weight(a, incarnation))
	})
	return members[:min(successors, len(members))]
}

func weight(d ramp.Daemon, seed string) uint64 { return ramp.HashKey(seed + " " + d.Incarnation) }
