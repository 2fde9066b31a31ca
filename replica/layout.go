// Package replica selects the replica that serves each attempt, from the inventories
// that backend servers report and from the outcomes of earlier attempts.
package replica

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Intervals and grace periods of the layouts.
const (
	deriveInterval           = 50 * time.Millisecond // least time between two derivations of a service's snapshot
	incompleteDeriveInterval = time.Second           // between derivations without a change, while no version is complete
	partialServeDelay        = 3 * time.Second       // from the first inventory until an incomplete version is served
	removedGrace             = 30 * time.Second      // for which a replica removed from the VM list still counts as live
)

// Layouts keeps the inventories of backend servers and derives the snapshots of
// services from them. It implements [ramp.Layouts].
type Layouts struct {
	leavingSet
	inventories *ramp.Table[string, ramp.Inventory] // by VM id
	services    *ramp.Table[string, serviceState]   // by name
	clock       ramp.Clock

	onRemove func(id string) // called with the id of every removed backend server
}

// serviceState is the state of one service. It is an immutable value.
type serviceState struct {
	vmIDs       []string  // VMs with an inventory, sorted by id; never modified
	firstSeen   time.Time // when the first inventory was reported; zero for never
	lastRemoved time.Time // when an inventory was last removed; zero for never
	derivedAt   time.Time // when the last derivation began
	generation  int       // derivations begun so far
	dirty       bool      // an inventory or a leaving mark changed since derivedAt
	hasSnapshot bool      // snapshot is set
	complete    bool      // the last derivation found a complete version
	snapshot    ramp.Snapshot
}

// NewLayouts returns layouts without any inventory.
func NewLayouts(clock ramp.Clock) *Layouts {
	return &Layouts{
		leavingSet:  newLeavingSet(),
		inventories: ramp.NewTable[string, ramp.Inventory](ramp.RankLayouts),
		services:    ramp.NewTable[string, serviceState](ramp.RankLayouts),
		clock:       clock,

		onRemove: func(string) {},
	}
}

// Snapshot implements [ramp.Layouts]. After a change it derives the snapshot again, at
// most once per deriveInterval if there is one already. While no version is complete it
// also does so without a change, after incompleteDeriveInterval.
func (l *Layouts) Snapshot(name string) (ramp.Snapshot, bool) {
	now := l.clock.Now()
	s, _ := l.services.Get(name)
	if !s.deriveDue(now) {
		return s.snapshot, s.hasSnapshot
	}
	claimed := 0
	s = l.services.Update(name, func(s serviceState) serviceState {
		if !s.deriveDue(now) {
			return s
		}
		s.dirty = false
		s.derivedAt = now
		s.generation++
		claimed = s.generation
		return s
	})
	if claimed == 0 {
		return s.snapshot, s.hasSnapshot
	}
	snapshot, ok, complete := l.derive(name, s, now)
	s = l.services.Update(name, func(s serviceState) serviceState {
		if s.generation == claimed {
			s.snapshot, s.hasSnapshot, s.complete = snapshot, ok, complete
		}
		return s
	})
	return s.snapshot, s.hasSnapshot
}

// deriveDue reports whether the snapshot must be derived again.
func (s serviceState) deriveDue(now time.Time) bool {
	passed := now.Sub(s.derivedAt)
	switch {
	case s.dirty:
		return !s.hasSnapshot || passed >= deriveInterval
	case !s.complete && len(s.vmIDs) > 0:
		return passed >= incompleteDeriveInterval
	}
	return false
}

// Update stores the inventory of a backend server. An unchanged inventory does not
// trigger a derivation.
func (l *Layouts) Update(h ramp.Inventory) {
	if h.Draining {
		l.MarkLeaving(h.Replica.ID, h.ReportedAt)
	}
	changed := false
	l.inventories.Update(h.Replica.ID, func(old ramp.Inventory) ramp.Inventory {
		changed = old.Replica != h.Replica || old.Service != h.Service || !slices.Equal(old.Shards, h.Shards)
		return h
	})
	if !changed {
		return
	}
	l.services.Update(h.Service, func(s serviceState) serviceState {
		if i, found := slices.BinarySearch(s.vmIDs, h.Replica.ID); !found {
			s.vmIDs = slices.Insert(slices.Clone(s.vmIDs), i, h.Replica.ID)
		}
		if s.firstSeen.IsZero() {
			s.firstSeen = h.ReportedAt
		}
		s.dirty = true
		return s
	})
}

// Remove deletes a backend server that the VM list no longer contains. A snapshot that
// depends on it stays in use until another version is complete or covers more; for
// removedGrace the server still counts as live in this comparison. So a VM list that
// lost entries does not end the service.
func (l *Layouts) Remove(id string) {
	h, ok := l.inventories.Get(id)
	if !ok {
		return
	}
	l.inventories.Delete(id)
	l.onRemove(id)
	now := l.clock.Now()
	l.services.Update(h.Service, func(s serviceState) serviceState {
		s.vmIDs = slices.DeleteFunc(slices.Clone(s.vmIDs), func(m string) bool { return m == id })
		s.lastRemoved = now
		s.dirty = true
		return s
	})
}

// MarkLeaving marks a backend server as leaving, as observed by this daemon. It gets no
// new work from now on.
func (l *Layouts) MarkLeaving(id string, now time.Time) {
	if l.mark(id, now, true) {
		l.markDirty(id)
	}
}

// MarkLeavingByPeer marks a backend server as leaving, as reported by another daemon.
func (l *Layouts) MarkLeavingByPeer(id string, now time.Time) {
	if l.mark(id, now, false) {
		l.markDirty(id)
	}
}

// LeavingVMs returns the ids of the leaving backend servers that must be gossiped to
// other daemons, sorted, and deletes expired leaving marks.
func (l *Layouts) LeavingVMs() []string {
	now := l.clock.Now()
	for _, id := range l.expire(now) {
		l.markDirty(id)
	}
	return l.toGossip(now)
}

// KnownVMs returns the ids of all backend servers with an inventory, sorted.
func (l *Layouts) KnownVMs() []string {
	var ids []string
	l.inventories.Each(func(id string, _ ramp.Inventory) bool {
		ids = append(ids, id)
		return true
	})
	slices.Sort(ids)
	return ids
}

// markDirty schedules a derivation for the service of a backend server.
func (l *Layouts) markDirty(id string) {
	h, ok := l.inventories.Get(id)
	if !ok {
		return
	}
	l.services.Update(h.Service, func(s serviceState) serviceState {
		s.dirty = true
		return s
	})
}

// derive returns the newest version whose shards partition the key space and each have
// a replica that accepts new work. Without one it returns the earlier snapshot or the
// version with the largest coverage, whichever has more of the key space on live
// replicas. Known is false if there is nothing to serve, or if there is only a first,
// incomplete version and partialServeDelay has not passed.
func (l *Layouts) derive(name string, s serviceState, now time.Time) (snapshot ramp.Snapshot, known, complete bool) {
	inventories := make([]ramp.Inventory, 0, len(s.vmIDs))
	for _, id := range s.vmIDs {
		if h, ok := l.inventories.Get(id); ok && !l.IsLeaving(id) {
			inventories = append(inventories, h)
		}
	}
	var best ramp.Snapshot
	var bestHashes uint64
	for _, version := range versions(inventories) {
		snapshot := ramp.Snapshot{Service: name, Version: version, Shards: maxCoverage(candidateShards(version, inventories))}
		if snapshot.Complete() {
			return snapshot, true, true
		}
		if covered := hashCount(snapshot.Shards); covered > bestHashes {
			best, bestHashes = snapshot, covered
		}
	}
	if s.hasSnapshot && l.liveHashes(s, now) >= bestHashes {
		return s.snapshot, true, false
	}
	return best, bestHashes > 0 && (s.hasSnapshot || now.Sub(s.firstSeen) >= partialServeDelay), false
}

// liveHashes returns the number of key hashes in the snapshot's shards that still have
// a replica that accepts new work. A replica whose inventory is gone counts during
// removedGrace.
func (l *Layouts) liveHashes(s serviceState, now time.Time) uint64 {
	inGrace := now.Sub(s.lastRemoved) < removedGrace
	live := slices.DeleteFunc(slices.Clone(s.snapshot.Shards), func(h ramp.Shard) bool {
		held := ramp.HeldShard{Version: s.snapshot.Version, ID: h.ID, Range: h.Range}
		return !slices.ContainsFunc(h.Replicas, func(r ramp.Replica) bool {
			inventory, known := l.inventories.Get(r.ID)
			return !l.IsLeaving(r.ID) && (slices.Contains(inventory.Shards, held) || (!known && inGrace))
		})
	})
	return hashCount(live)
}
