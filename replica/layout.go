// Package replica decides which replica of a shard gets an attempt, from what
// backend servers say they hold and from the outcomes of earlier attempts.
package replica

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Periods of the layouts.
const (
	deriveEvery = 50 * time.Millisecond // between two derivations of a service's snapshot
	repairEvery = time.Second           // between two while no version is complete
	settleTime  = 3 * time.Second       // until a service without a complete version is served in part
	forgetTime  = 30 * time.Second      // for which a replica that the VM list lost may still serve
)

// Layouts keeps what backend servers hold and derives snapshots from it. It
// implements [ramp.Layouts].
type Layouts struct {
	signs
	holdings *ramp.Table[string, ramp.Inventory] // by VM id
	services *ramp.Table[string, service]        // by name
	clock    ramp.Clock

	forgotten func(id string) // told of every backend server that is forgotten
}

// service is what is known of a service. It is an immutable value.
type service struct {
	members    []string  // sorted VM ids with a holding; never modified
	first      time.Time // when the first holding was learned
	forgot     time.Time // when the last holding was forgotten
	derived    time.Time // when the last derivation began
	generation int       // derivations begun so far
	dirty      bool      // a holding or a sign changed since then
	known      bool      // snapshot is set
	whole      bool      // the last derivation found a complete version
	snapshot   ramp.Snapshot
}

// NewLayouts returns empty layouts.
func NewLayouts(clock ramp.Clock) *Layouts {
	return &Layouts{
		signs:    newSigns(),
		holdings: ramp.NewTable[string, ramp.Inventory](ramp.RankLayouts),
		services: ramp.NewTable[string, service](ramp.RankLayouts),
		clock:    clock,

		forgotten: func(string) {},
	}
}

// Snapshot implements [ramp.Layouts]. After a change it derives the snapshot
// anew, at most once in each derivation period.
func (l *Layouts) Snapshot(name string) (ramp.Snapshot, bool) {
	now := l.clock.Now()
	s, _ := l.services.Get(name)
	if !s.due(now) {
		return s.snapshot, s.known
	}
	claimed := 0
	s = l.services.Update(name, func(s service) service {
		if !s.due(now) {
			return s
		}
		s.dirty = false
		s.derived = now
		s.generation++
		claimed = s.generation
		return s
	})
	if claimed == 0 {
		return s.snapshot, s.known
	}
	snapshot, ok, whole := l.derive(name, s, now)
	s = l.services.Update(name, func(s service) service {
		if s.generation == claimed {
			s.snapshot, s.known, s.whole = snapshot, ok, whole
		}
		return s
	})
	return s.snapshot, s.known
}

// due reports whether the snapshot must be derived anew.
func (s service) due(now time.Time) bool {
	passed := now.Sub(s.derived)
	switch {
	case s.dirty:
		return !s.known || passed >= deriveEvery
	case !s.whole && len(s.members) > 0:
		return passed >= repairEvery
	}
	return false
}

// Update takes in what a backend server holds. It costs next to nothing when
// nothing changed.
func (l *Layouts) Update(h ramp.Inventory) {
	if h.Draining {
		l.MarkLeaving(h.Replica.ID, h.ReportedAt)
	}
	changed := false
	l.holdings.Update(h.Replica.ID, func(old ramp.Inventory) ramp.Inventory {
		changed = old.Replica != h.Replica || old.Service != h.Service || !slices.Equal(old.Shards, h.Shards)
		return h
	})
	if !changed {
		return
	}
	l.services.Update(h.Service, func(s service) service {
		if i, found := slices.BinarySearch(s.members, h.Replica.ID); !found {
			s.members = slices.Insert(slices.Clone(s.members), i, h.Replica.ID)
		}
		if s.first.IsZero() {
			s.first = h.ReportedAt
		}
		s.dirty = true
		return s
	})
}

// Remove drops a backend server that the VM list no longer names. A snapshot
// that cannot do without it stays in use for a while, and as long as no other
// covers more, so that a list that lost its entries does not end the service.
func (l *Layouts) Remove(id string) {
	h, ok := l.holdings.Get(id)
	if !ok {
		return
	}
	l.holdings.Delete(id)
	l.forgotten(id)
	now := l.clock.Now()
	l.services.Update(h.Service, func(s service) service {
		s.members = slices.DeleteFunc(slices.Clone(s.members), func(m string) bool { return m == id })
		s.forgot = now
		s.dirty = true
		return s
	})
}

// MarkLeaving marks a backend server as leaving by a sign that this daemon saw: it
// gets no new work from now on.
func (l *Layouts) MarkLeaving(id string, now time.Time) {
	if l.see(id, now, true) {
		l.touch(id)
	}
}

// MarkLeavingByPeer marks a backend server as leaving by the word of another daemon.
func (l *Layouts) MarkLeavingByPeer(id string, now time.Time) {
	if l.see(id, now, false) {
		l.touch(id)
	}
}

// LeavingVMs returns the ids of the backend servers that other daemons must be told
// to be leaving, sorted, and drops the signs that have run out.
func (l *Layouts) LeavingVMs() []string {
	now := l.clock.Now()
	for _, id := range l.expire(now) {
		l.touch(id)
	}
	return l.told(now)
}

// KnownVMs returns the ids of all backend servers that are known, sorted.
func (l *Layouts) KnownVMs() []string {
	var ids []string
	l.holdings.Each(func(id string, _ ramp.Inventory) bool {
		ids = append(ids, id)
		return true
	})
	slices.Sort(ids)
	return ids
}

// touch makes the snapshot of the backend server's service due.
func (l *Layouts) touch(id string) {
	h, ok := l.holdings.Get(id)
	if !ok {
		return
	}
	l.services.Update(h.Service, func(s service) service {
		s.dirty = true
		return s
	})
}

// derive returns the newest version whose shards tile the key space and all
// have a replica that may get new work. Without one it returns the earlier
// snapshot or the version that covers most, whichever has more live shards.
func (l *Layouts) derive(name string, s service, now time.Time) (snapshot ramp.Snapshot, known, whole bool) {
	holdings := make([]ramp.Inventory, 0, len(s.members))
	for _, id := range s.members {
		if h, ok := l.holdings.Get(id); ok && !l.IsLeaving(id) {
			holdings = append(holdings, h)
		}
	}
	var best ramp.Snapshot
	var size uint64
	for _, version := range versions(holdings) {
		snapshot := ramp.Snapshot{Service: name, Version: version, Shards: tile(candidates(version, holdings))}
		if snapshot.Complete() {
			return snapshot, true, true
		}
		if covered := sizeOf(snapshot.Shards); covered > size {
			best, size = snapshot, covered
		}
	}
	if s.known && l.liveSize(s, now) >= size {
		return s.snapshot, true, false
	}
	return best, size > 0 && (s.known || now.Sub(s.first) >= settleTime), false
}

// liveSize returns the number of hashes of the snapshot's shards that a replica
// holds that may get new work. A replica that was known until lately counts.
func (l *Layouts) liveSize(s service, now time.Time) uint64 {
	lately := now.Sub(s.forgot) < forgetTime
	live := slices.DeleteFunc(slices.Clone(s.snapshot.Shards), func(h ramp.Shard) bool {
		held := ramp.HeldShard{Version: s.snapshot.Version, ID: h.ID, Range: h.Range}
		return !slices.ContainsFunc(h.Replicas, func(r ramp.Replica) bool {
			holding, known := l.holdings.Get(r.ID)
			return !l.IsLeaving(r.ID) && (slices.Contains(holding.Shards, held) || (!known && lately))
		})
	})
	return sizeOf(live)
}
