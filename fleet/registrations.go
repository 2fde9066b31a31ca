package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times of the registrations.
const (
	memberTombstoneLife = 10 * time.Minute // how long removed registrations are passed on to other daemons
	expiredQuorumTime   = time.Minute      // how long a member whose registration expired counts towards the majority
	massExpiryGrace     = 5 * time.Second  // how long members whose registrations expired along with most others stay live
)

// memberRecord is a registration with the time of its last change.
type memberRecord struct {
	ramp.Member
	updatedAt time.Time // when this daemon received the last change
}

// expired reports whether the registration ended although the daemon was not
// leaving. It is false for a daemon of which only the removal is known.
func (e memberRecord) expired() bool { return e.Removed && !e.Leaving && e.PeerAddress != "" }

// registrationsState is the state of [Registrations]. It is an immutable value.
type registrationsState struct {
	members       map[string]memberRecord // by incarnation, removed ones included; never modified
	at            ramp.Position           // position of the store up to which members is complete
	compacted     uint64                  // removals up to this revision of the era may be missing from members
	live          []ramp.Daemon           // members not removed, sorted by id; never modified
	liveWithGrace []ramp.Daemon           // live, with members that expired along with most of the fleet; never modified
	graceUntil    time.Time               // when live replaces liveWithGrace
}

// Registrations keeps the registrations of daemons as of a revision of the
// store, and can return the changes since an earlier revision.
type Registrations struct {
	state *ramp.Table[string, registrationsState] // a single entry under the key ""
}

// NewRegistrations returns Registrations without any member.
func NewRegistrations() *Registrations {
	return &Registrations{state: ramp.NewTable[string, registrationsState](ramp.RankDaemons)}
}

// Position returns the position of the store up to which the registrations are complete.
func (r *Registrations) Position() ramp.Position {
	s, _ := r.state.Get("")
	return s.at
}

// Apply applies a change and reports whether it advanced the position. It
// ignores a change that starts after the current position, since that leaves a
// gap, and a change that ends at or before it. A later era of the store begins with all
// registrations.
func (r *Registrations) Apply(c ramp.MemberChange, now time.Time) bool {
	newer := false
	r.state.Update("", func(s registrationsState) registrationsState {
		newer = c.To().Compare(s.at) > 0 &&
			(c.FromRevision == 0 || c.Era == s.at.Era && c.FromRevision <= s.at.Revision)
		if newer {
			return s.withChange(c, now)
		}
		return s
	})
	return newer
}

// ChangesSince returns the changes after the given position. It returns the
// complete registrations when removals after that position may have been
// dropped, and for an earlier era.
func (r *Registrations) ChangesSince(from ramp.Position) ramp.MemberChange {
	s, _ := r.state.Get("")
	after, behind := changesAfter(from, s.at, s.compacted)
	if !behind {
		return ramp.MemberChange{}
	}
	change := ramp.MemberChange{Era: s.at.Era, FromRevision: after, ToRevision: s.at.Revision}
	for _, m := range s.members {
		if m.Revision > after && (after > 0 || !m.Removed) {
			change.Members = append(change.Members, m.Member)
		}
	}
	slices.SortFunc(change.Members, func(a, b ramp.Member) int { return cmp.Compare(a.Revision, b.Revision) })
	return change
}

// Live returns the registered daemons sorted by id. Members whose registrations
// expired along with most of the fleet stay live for [massExpiryGrace], since
// after an outage of the store they register again. The caller must not modify
// the result.
func (r *Registrations) Live(now time.Time) []ramp.Daemon {
	s, _ := r.state.Get("")
	if now.Before(s.graceUntil) {
		return s.liveWithGrace
	}
	return s.live
}

// QuorumMembers returns the daemons of which a majority is counted, one
// incarnation of each, sorted by id: the registered ones, and those whose
// registration expired within [expiredQuorumTime], since they may register
// again.
func (r *Registrations) QuorumMembers(now time.Time) []ramp.Daemon {
	s, _ := r.state.Get("")
	latest := make(map[string]memberRecord, len(s.members))
	for _, e := range s.members {
		if e.Removed && (!e.expired() || now.Sub(e.updatedAt) > expiredQuorumTime) {
			continue
		}
		old, known := latest[e.ID]
		if !known || old.Removed && !e.Removed || old.Removed == e.Removed && old.Revision < e.Revision {
			latest[e.ID] = e
		}
	}
	daemons := make([]ramp.Daemon, 0, len(latest))
	for _, e := range latest {
		daemons = append(daemons, e.Daemon)
	}
	slices.SortFunc(daemons, compareDaemons)
	return daemons
}

// Find returns the registration of an incarnation, and reports whether it
// exists.
func (r *Registrations) Find(incarnation string) (ramp.Member, bool) {
	s, _ := r.state.Get("")
	m, ok := s.members[incarnation]
	return m.Member, ok && !m.Removed
}

// withChange returns the state after the change. Revisions of an earlier era say nothing about
// the order of changes in the era that the change begins.
func (s registrationsState) withChange(c ramp.MemberChange, now time.Time) registrationsState {
	members := make(map[string]memberRecord, len(s.members)+len(c.Members))
	begins := c.Era != s.at.Era
	if c.FromRevision == 0 {
		s.compacted = c.ToRevision // the list does not tell what was removed
	}
	for k, m := range s.members {
		if begins {
			m.Revision = 0
		}
		if !m.Removed || now.Sub(m.updatedAt) <= memberTombstoneLife {
			members[k] = m
		} else {
			s.compacted = max(s.compacted, m.Revision)
		}
	}
	if c.FromRevision == 0 {
		removeUnlisted(members, c, now)
	}
	for _, m := range c.Members {
		old, known := members[m.Incarnation]
		if known && old.Revision >= m.Revision {
			continue
		}
		if m.Removed && known {
			m.Daemon = old.Daemon // the store sends removals without the daemon
		}
		members[m.Incarnation] = memberRecord{Member: m, updatedAt: now}
	}
	return registrationsState{members: members, at: c.To(), compacted: s.compacted}.withLive(now)
}

// withLive returns the state with live computed from members, and also
// liveWithGrace if it has more than twice as many members.
func (s registrationsState) withLive(now time.Time) registrationsState {
	s.live = s.filter(func(e memberRecord) bool { return !e.Removed })
	graced := s.filter(func(e memberRecord) bool {
		return !e.Removed || e.expired() && now.Sub(e.updatedAt) < massExpiryGrace
	})
	if len(graced) > 2*len(s.live) {
		s.liveWithGrace, s.graceUntil = graced, now.Add(massExpiryGrace)
	}
	return s
}

// removeUnlisted marks as removed the members that a complete list does not
// contain.
func removeUnlisted(members map[string]memberRecord, c ramp.MemberChange, now time.Time) {
	listed := make(map[string]bool, len(c.Members))
	for _, m := range c.Members {
		listed[m.Incarnation] = true
	}
	for k, m := range maps.All(members) {
		if !listed[k] && !m.Removed {
			m.Removed, m.Revision, m.updatedAt = true, c.ToRevision, now
			members[k] = m
		}
	}
}

// filter returns the daemons whose records match, sorted by id.
func (s registrationsState) filter(keep func(memberRecord) bool) []ramp.Daemon {
	var daemons []ramp.Daemon
	for _, m := range s.members {
		if keep(m) {
			daemons = append(daemons, m.Daemon)
		}
	}
	slices.SortFunc(daemons, compareDaemons)
	return daemons
}

func compareDaemons(a, b ramp.Daemon) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// watchersPerDomain is the number of daemons of a failure domain that watch the
// store.
const watchersPerDomain = 2

// IsWatcher reports whether self is one of the daemons that watch the store on
// behalf of their failure domain, see [watchersOf].
func IsWatcher(self ramp.Daemon, members []ramp.Daemon) bool {
	isSelf := func(d ramp.Daemon) bool { return d.Incarnation == self.Incarnation }
	if !slices.ContainsFunc(members, isSelf) {
		members = append(slices.Clip(members), self)
	}
	return slices.ContainsFunc(watchersOf(self.Domain, members), isSelf)
}

// watchersOf returns the members that watch the store on behalf of a failure domain:
// those with the highest hashes. All daemons select the same watchers from the same
// members, and a membership change replaces few of them. Weak daemons watch only
// where there are not enough others, since a watcher passes every change of the
// store on to its failure domain.
func watchersOf(domain string, members []ramp.Daemon) []ramp.Daemon {
	type candidate struct {
		daemon ramp.Daemon
		weak   bool
		hash   uint64
	}
	isWeak := weakness(members)
	var best []candidate
	for _, d := range members {
		if d.Domain != domain {
			continue
		}
		c := candidate{daemon: d, weak: isWeak(d), hash: watcherHash(d)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			if a.weak != b.weak && a.weak || a.weak == b.weak && a.hash < b.hash {
				return 1
			}
			return -1
		})
		if at < watchersPerDomain {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), watchersPerDomain)]
		}
	}
	watchers := make([]ramp.Daemon, 0, watchersPerDomain)
	for _, c := range best {
		watchers = append(watchers, c.daemon)
	}
	return watchers
}

func watcherHash(d ramp.Daemon) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Incarnation + " " + d.Domain)) // a hash.Hash never fails to write
	return mix(h.Sum64())
}
