package replica

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Lifetimes and bound of leaving marks.
const (
	leavingTTL       = 10 * time.Minute // after the last confirmation, until the mark counts as erroneous
	ownGossipPeriod  = 30 * time.Second // for which a mark observed by this daemon is gossiped
	peerGossipPeriod = 5 * time.Second  // for which a mark reported by another daemon is gossiped
	maxLeaving       = 1 << 14          // marks kept at once
)

// leavingMark records that a backend server is leaving. It is an immutable value.
type leavingMark struct {
	confirmed   time.Time // last observation or report that was accepted
	gossipUntil time.Time // the mark is gossiped to other daemons until then
}

// leavingSet keeps the backend servers that accept no new work. A mark expires after
// leavingTTL without confirmation. The replacement of a VM has a new id, so a mark
// never applies to it. Marks reported by other daemons are renewed rarely and gossiped
// briefly, so that daemons do not keep a mark alive among themselves.
type leavingSet struct {
	table *ramp.Table[string, leavingMark] // by VM id
}

func newLeavingSet() leavingSet {
	return leavingSet{table: ramp.NewTable[string, leavingMark](ramp.RankLayouts)}
}

// IsLeaving reports whether the backend server must get no new work.
func (s leavingSet) IsLeaving(id string) bool {
	_, ok := s.table.Get(id)
	return ok
}

// mark adds or confirms a mark and reports whether it is new. Local marks were observed
// by this daemon, others were reported by another one. A mark beyond maxLeaving is
// dropped.
func (s leavingSet) mark(id string, now time.Time, local bool) bool {
	if !s.IsLeaving(id) && s.table.Len() >= maxLeaving {
		return false
	}
	added := false
	s.table.Update(id, func(old leavingMark) leavingMark {
		added = old.confirmed.IsZero()
		switch {
		case local:
			return leavingMark{confirmed: now, gossipUntil: now.Add(ownGossipPeriod)}
		case now.Sub(old.confirmed) >= leavingTTL/2:
			return leavingMark{confirmed: now, gossipUntil: now.Add(peerGossipPeriod)}
		}
		return old
	})
	return added
}

// toGossip returns the ids whose marks must be gossiped to other daemons, sorted.
func (s leavingSet) toGossip(now time.Time) []string {
	var ids []string
	s.table.Each(func(id string, m leavingMark) bool {
		if now.Before(m.gossipUntil) {
			ids = append(ids, id)
		}
		return true
	})
	slices.Sort(ids)
	return ids
}

// expire deletes the expired marks and returns their ids.
func (s leavingSet) expire(now time.Time) []string {
	var ids []string
	s.table.DeleteFunc(func(id string, m leavingMark) bool {
		if now.Sub(m.confirmed) < leavingTTL {
			return false
		}
		ids = append(ids, id)
		return true
	})
	return ids
}
