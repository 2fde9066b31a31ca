package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times and sizes of the roster.
const (
	goneMemory = 10 * time.Minute // how long ended registrations are passed on
	goneCounts = time.Minute      // how long a lost member counts in a majority
	goneGrace  = 5 * time.Second  // how long members stay that were lost with most others
)

// enrolment is a member with the time from which it is known here.
type enrolment struct {
	ramp.Member
	since time.Time // when the last change was learnt
}

// lost reports whether the registration of a daemon that was seen here ended
// without the daemon's own doing.
func (e enrolment) lost() bool { return e.Removed && !e.Leaving && e.PeerAddress != "" }

// enrolled is the state of a roster. It is an immutable value.
type enrolled struct {
	members  map[string]enrolment // by incarnation; never modified
	revision uint64               // of the store, up to which members is complete
	floor    uint64               // ended registrations up to this revision may be forgotten
	live     []ramp.Daemon        // those not ended, sorted by id; never modified
	held     []ramp.Daemon        // live, with those lost together with most of the fleet
	until    time.Time            // when held no longer counts
}

// Roster keeps the registrations of daemons as of a revision of the store, so
// that daemons can tell each other the difference.
type Roster struct {
	state *ramp.Table[string, enrolled] // one entry
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{state: ramp.NewTable[string, enrolled](ramp.RankDaemons)}
}

// Revision returns the revision of the store up to which the roster is
// complete.
func (r *Roster) Revision() uint64 {
	s, _ := r.state.Get("")
	return s.revision
}

// Apply takes in a change and reports whether it brought anything new. A change
// that does not follow on what the roster has is left out.
func (r *Roster) Apply(c ramp.MemberChange, now time.Time) bool {
	newer := false
	r.state.Update("", func(s enrolled) enrolled {
		newer = c.ToRevision > s.revision && c.FromRevision <= s.revision
		if newer {
			return s.with(c, now)
		}
		return s
	})
	return newer
}

// Since returns what a daemon lacks whose roster has the given revision.
func (r *Roster) Since(revision uint64) ramp.MemberChange {
	s, _ := r.state.Get("")
	if revision >= s.revision {
		return ramp.MemberChange{}
	}
	if revision < s.floor {
		revision = 0
	}
	change := ramp.MemberChange{FromRevision: revision, ToRevision: s.revision}
	for _, m := range s.members {
		if m.Revision > revision && (revision > 0 || !m.Removed) {
			change.Members = append(change.Members, m.Member)
		}
	}
	slices.SortFunc(change.Members, func(a, b ramp.Member) int { return cmp.Compare(a.Revision, b.Revision) })
	return change
}

// Live returns the registered daemons sorted by id. Daemons that were lost
// together with most of the fleet stay for a while: after an outage of the store
// they register anew. The caller must not modify the result.
func (r *Roster) Live(now time.Time) []ramp.Daemon {
	s, _ := r.state.Get("")
	if now.Before(s.until) {
		return s.held
	}
	return s.live
}

// Counted returns the daemons that count in a majority, one incarnation of each,
// sorted by id: those that are registered, and those that were lost a short while
// ago and may be back before the store says so.
func (r *Roster) Counted(now time.Time) []ramp.Daemon {
	s, _ := r.state.Get("")
	latest := make(map[string]enrolment, len(s.members))
	for _, e := range s.members {
		if e.Removed && (!e.lost() || now.Sub(e.since) > goneCounts) {
			continue
		}
		old, known := latest[e.ID]
		if !known || old.Removed && !e.Removed || old.Removed == e.Removed && old.Revision < e.Revision {
			latest[e.ID] = e
		}
	}
	counted := make([]ramp.Daemon, 0, len(latest))
	for _, e := range latest {
		counted = append(counted, e.Daemon)
	}
	slices.SortFunc(counted, compareDaemons)
	return counted
}

// Find returns the registration of an incarnation.
func (r *Roster) Find(incarnation string) (ramp.Member, bool) {
	s, _ := r.state.Get("")
	m, ok := s.members[incarnation]
	return m.Member, ok && !m.Removed
}

// with returns the state after the change.
func (s enrolled) with(c ramp.MemberChange, now time.Time) enrolled {
	members := make(map[string]enrolment, len(s.members)+len(c.Members))
	for k, m := range s.members {
		if !m.Removed || now.Sub(m.since) <= goneMemory {
			members[k] = m
		} else {
			s.floor = max(s.floor, m.Revision)
		}
	}
	if c.FromRevision == 0 {
		endUnlisted(members, c, now)
	}
	for _, m := range c.Members {
		old, known := members[m.Incarnation]
		if known && old.Revision >= m.Revision {
			continue
		}
		if m.Removed && known {
			m.Daemon = old.Daemon // the store no longer says what it was
		}
		members[m.Incarnation] = enrolment{Member: m, since: now}
	}
	return enrolled{members: members, revision: c.ToRevision, floor: s.floor}.withLive(now)
}

// withLive returns the state with its live and held members.
func (s enrolled) withLive(now time.Time) enrolled {
	s.live = s.those(func(e enrolment) bool { return !e.Removed })
	held := s.those(func(e enrolment) bool { return !e.Removed || e.lost() && now.Sub(e.since) < goneGrace })
	if len(held) > 2*len(s.live) {
		s.held, s.until = held, now.Add(goneGrace)
	}
	return s
}

// endUnlisted ends the registrations that a complete list lacks.
func endUnlisted(members map[string]enrolment, c ramp.MemberChange, now time.Time) {
	listed := make(map[string]bool, len(c.Members))
	for _, m := range c.Members {
		listed[m.Incarnation] = true
	}
	for k, m := range maps.All(members) {
		if !listed[k] && !m.Removed {
			m.Removed, m.Revision, m.since = true, c.ToRevision, now
			members[k] = m
		}
	}
}

func (s enrolled) those(keep func(enrolment) bool) []ramp.Daemon {
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

// watchers is how many daemons of a failure domain watch the store.
const watchers = 2

// Watches reports whether self is one of the daemons of its failure domain that
// watch the store for the others: those with the highest hashes. Every daemon
// comes to the same result from the same members, and a change of members moves
// few of them.
func Watches(self ramp.Daemon, members []ramp.Daemon) bool {
	own := watchRank(self)
	above := 0
	for _, d := range members {
		if d.Domain == self.Domain && d.Incarnation != self.Incarnation && watchRank(d) > own {
			above++
		}
	}
	return above < watchers
}

func watchRank(d ramp.Daemon) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Incarnation + " " + d.Domain)) // a hash.Hash never fails to write
	return mix(h.Sum64())
}
