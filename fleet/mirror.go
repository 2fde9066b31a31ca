package fleet

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// entryTombstoneLife is how long removed entries are passed on to other
// daemons. It is longer than any daemon stays without contact to the store and
// to all other daemons.
const entryTombstoneLife = 5 * time.Minute

// mirrorEntry is an entry of the store with the time at which this daemon
// received it.
type mirrorEntry struct {
	ramp.Entry
	updatedAt time.Time
}

// mirrorState is a view of the store. It is an immutable value.
type mirrorState struct {
	entries   map[string]mirrorEntry // by key, removed ones included; never modified
	at        ramp.Position          // position of the store up to which the view is complete
	compacted uint64                 // removals up to this revision of the era may be missing from entries
}

// Mirror keeps the entries of the store as of a position, and can return the
// changes since an earlier one.
type Mirror struct {
	clock ramp.Clock
	state *ramp.Table[string, mirrorState] // a single entry under the key ""
}

// NewMirror returns a mirror without entries.
func NewMirror(clock ramp.Clock) *Mirror {
	return &Mirror{clock: clock, state: ramp.NewTable[string, mirrorState](ramp.RankDaemons)}
}

// Position returns the position of the store up to which the view is complete.
func (m *Mirror) Position() ramp.Position {
	s, _ := m.state.Get("")
	return s.at
}

// Apply applies a change and returns the entries that it changed in the mirror,
// in the order of their revisions. It ignores a change that starts after the
// current position, since that leaves a gap, and a change that ends before it. A later
// era of the store begins with all entries.
func (m *Mirror) Apply(c ramp.EntryChange) []ramp.Entry {
	now := m.clock.Now()
	var changed []ramp.Entry
	m.state.Update("", func(s mirrorState) mirrorState {
		switch {
		case c.ToRevision == 0 || c.To().Compare(s.at) < 0:
			return s
		case c.Era > s.at.Era:
			if c.FromRevision == 0 {
				s, changed = s.withEra(c, now)
			}
			return s
		case c.FromRevision > s.at.Revision:
			return s
		case len(c.Entries) == 0 && c.FromRevision > 0:
			s.at = c.To()
			return s
		}
		s, changed = s.withChange(c, now)
		return s
	})
	slices.SortFunc(changed, func(a, b ramp.Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
	return changed
}

// ChangesSince returns the changes after the given position. It returns the complete view
// when removals after that position may have been dropped, and for an earlier era.
func (m *Mirror) ChangesSince(from ramp.Position) ramp.EntryChange {
	s, _ := m.state.Get("")
	after, behind := changesAfter(from, s.at, s.compacted)
	if !behind {
		return ramp.EntryChange{}
	}
	change := ramp.EntryChange{Era: s.at.Era, FromRevision: after, ToRevision: s.at.Revision}
	for _, e := range s.entries {
		if e.Revision > after && (after > 0 || !e.Removed) {
			change.Entries = append(change.Entries, e.Entry)
		}
	}
	slices.SortFunc(change.Entries, func(a, b ramp.Entry) int { return strings.Compare(a.Key, b.Key) })
	return change
}

// changesAfter returns the revision after which a view lacks changes of another one, and reports
// whether it lacks any. It is 0, for the complete state, when the view is of an earlier era, or
// from before the revision up to which the other one may lack removals.
func changesAfter(view, other ramp.Position, compacted uint64) (after uint64, behind bool) {
	if view.Era < other.Era || view.Revision < compacted {
		return 0, view.Compare(other) < 0
	}
	return view.Revision, view.Compare(other) < 0
}

// withEra returns the view that begins an era with a complete list, and the entries that
// differ from the era before.
func (s mirrorState) withEra(c ramp.EntryChange, now time.Time) (mirrorState, []ramp.Entry) {
	next := mirrorState{entries: make(map[string]mirrorEntry, len(c.Entries)), at: c.To(), compacted: c.ToRevision}
	var changed []ramp.Entry
	for _, e := range c.Entries {
		next.entries[e.Key] = mirrorEntry{Entry: e, updatedAt: now}
		if old, known := s.entries[e.Key]; !known || old.Removed || !bytes.Equal(old.Value, e.Value) {
			changed = append(changed, e)
		}
	}
	for k, old := range s.entries {
		if _, listed := next.entries[k]; !listed && !old.Removed {
			changed = append(changed, ramp.Entry{Key: k, Revision: c.ToRevision, Removed: true})
		}
	}
	return next, changed
}

// withChange returns the view after the change, and the entries that the change
// modified.
func (s mirrorState) withChange(c ramp.EntryChange, now time.Time) (mirrorState, []ramp.Entry) {
	next := mirrorState{
		entries: make(map[string]mirrorEntry, len(s.entries)+len(c.Entries)),
		at:      c.To(), compacted: s.compacted,
	}
	for k, e := range s.entries {
		if e.Removed && now.Sub(e.updatedAt) > entryTombstoneLife {
			next.compacted = max(next.compacted, e.Revision)
			continue
		}
		next.entries[k] = e
	}
	if c.FromRevision == 0 {
		next.compacted = c.ToRevision // the list does not tell what was removed
	}
	changed := next.removeUnlisted(c, now)
	for _, e := range c.Entries {
		old, known := next.entries[e.Key]
		if known && old.Revision >= e.Revision {
			continue
		}
		next.entries[e.Key] = mirrorEntry{Entry: e, updatedAt: now}
		if !e.Removed || known && !old.Removed {
			changed = append(changed, e)
		}
	}
	return next, changed
}

// removeUnlisted marks as removed the entries that a complete list does not
// contain, and returns them. It modifies s.entries, which the caller must own.
func (s mirrorState) removeUnlisted(c ramp.EntryChange, now time.Time) []ramp.Entry {
	if c.FromRevision > 0 {
		return nil
	}
	listed := make(map[string]bool, len(c.Entries))
	for _, e := range c.Entries {
		listed[e.Key] = true
	}
	var removed []ramp.Entry
	for k, e := range s.entries {
		if listed[k] || e.Removed || e.Revision > c.ToRevision {
			continue
		}
		tombstone := ramp.Entry{Key: k, Revision: c.ToRevision, Removed: true}
		s.entries[k] = mirrorEntry{Entry: tombstone, updatedAt: now}
		removed = append(removed, tombstone)
	}
	return removed
}
