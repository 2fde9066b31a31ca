package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// removalMemory is how long removed entries are passed on. It is longer than any
// daemon stays without word from the store and from all others.
const removalMemory = 5 * time.Minute

// kept is an entry of the store with the time at which it was read.
type kept struct {
	ramp.Entry
	since time.Time
}

// copied is a view of the store. It is an immutable value.
type copied struct {
	entries  map[string]kept // by key, removed ones included; never modified
	revision uint64          // of the store, up to which the view is complete; 0 for none
	floor    uint64          // removals up to this revision may be forgotten
}

// Mirror keeps the entries of the store as of a revision, so that daemons can
// tell each other what changed.
type Mirror struct {
	clock ramp.Clock
	state *ramp.Table[string, copied] // one entry
}

// NewMirror returns a view of nothing.
func NewMirror(clock ramp.Clock) *Mirror {
	return &Mirror{clock: clock, state: ramp.NewTable[string, copied](ramp.RankDaemons)}
}

// Revision returns the revision of the store up to which the view is complete.
func (m *Mirror) Revision() uint64 {
	s, _ := m.state.Get("")
	return s.revision
}

// Apply takes in a change and returns the entries that are new to the view, in
// the order of their revisions. A change that does not follow on the view is
// left out.
func (m *Mirror) Apply(c ramp.EntryChange) []ramp.Entry {
	now := m.clock.Now()
	var news []ramp.Entry
	m.state.Update("", func(s copied) copied {
		if c.FromRevision > s.revision || c.ToRevision < s.revision || c.ToRevision == 0 {
			return s
		}
		if len(c.Entries) == 0 && c.FromRevision > 0 {
			s.revision = c.ToRevision
			return s
		}
		s, news = s.with(c, now)
		return s
	})
	slices.SortFunc(news, func(a, b ramp.Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
	return news
}

// Since returns what a daemon lacks whose view has the given revision.
func (m *Mirror) Since(revision uint64) ramp.EntryChange {
	s, _ := m.state.Get("")
	if revision >= s.revision {
		return ramp.EntryChange{}
	}
	if revision < s.floor {
		revision = 0
	}
	change := ramp.EntryChange{FromRevision: revision, ToRevision: s.revision}
	for _, e := range s.entries {
		if e.Revision > revision && (revision > 0 || !e.Removed) {
			change.Entries = append(change.Entries, e.Entry)
		}
	}
	slices.SortFunc(change.Entries, func(a, b ramp.Entry) int { return strings.Compare(a.Key, b.Key) })
	return change
}

// with returns the view after the change, and the entries that it brought.
func (s copied) with(c ramp.EntryChange, now time.Time) (copied, []ramp.Entry) {
	next := copied{entries: make(map[string]kept, len(s.entries)+len(c.Entries)), revision: c.ToRevision, floor: s.floor}
	for k, e := range s.entries {
		if e.Removed && now.Sub(e.since) > removalMemory {
			next.floor = max(next.floor, e.Revision)
			continue
		}
		next.entries[k] = e
	}
	news := next.removeUnlisted(c, now)
	for _, e := range c.Entries {
		old, known := next.entries[e.Key]
		if known && old.Revision >= e.Revision {
			continue
		}
		next.entries[e.Key] = kept{Entry: e, since: now}
		if !e.Removed || known && !old.Removed {
			news = append(news, e)
		}
	}
	return next, news
}

// removeUnlisted marks the entries as removed that a complete list lacks, and
// returns them. The caller owns the view's entries.
func (s copied) removeUnlisted(c ramp.EntryChange, now time.Time) []ramp.Entry {
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
		gone := ramp.Entry{Key: k, Revision: c.ToRevision, Removed: true}
		s.entries[k] = kept{Entry: gone, since: now}
		removed = append(removed, gone)
	}
	return removed
}
