package fleet

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

func changed(key string, revision uint64, removed bool) ramp.Entry {
	return ramp.Entry{Key: key, Revision: revision, Removed: removed}
}

// TestMirror records what a view of the store makes of changes in and out of
// order.
func TestMirror(t *testing.T) {
	tests := []struct {
		name    string
		changes []ramp.EntryChange
	}{
		{
			"follows",
			[]ramp.EntryChange{
				{ToRevision: 5, Entries: []ramp.Entry{changed("a", 3, false)}},
				{FromRevision: 5, ToRevision: 7, Entries: []ramp.Entry{changed("a", 6, true), changed("b", 7, false)}},
			},
		},
		{
			"a gap",
			[]ramp.EntryChange{
				{ToRevision: 5, Entries: []ramp.Entry{changed("a", 3, false)}},
				{FromRevision: 6, ToRevision: 9, Entries: []ramp.Entry{changed("b", 9, false)}},
			},
		},
		{
			"an older one late",
			[]ramp.EntryChange{
				{ToRevision: 9, Entries: []ramp.Entry{changed("a", 8, false)}},
				{ToRevision: 5, Entries: []ramp.Entry{changed("a", 3, false)}},
			},
		},
		{
			"overlapping",
			[]ramp.EntryChange{
				{ToRevision: 5, Entries: []ramp.Entry{changed("a", 5, false)}},
				{FromRevision: 2, ToRevision: 6, Entries: []ramp.Entry{changed("a", 4, true), changed("b", 6, false)}},
			},
		},
		{
			"whole, with one missing",
			[]ramp.EntryChange{
				{ToRevision: 5, Entries: []ramp.Entry{changed("a", 3, false), changed("b", 4, false)}},
				{ToRevision: 9, Entries: []ramp.Entry{changed("b", 4, false)}},
			},
		},
		{"nothing new", []ramp.EntryChange{
			{ToRevision: 5, Entries: []ramp.Entry{changed("a", 3, false)}}, {FromRevision: 5, ToRevision: 8},
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		m := NewMirror(ramp.SystemClock{})
		fmt.Fprintf(&b, "%s\n", test.name)
		for _, c := range test.changes {
			fmt.Fprintf(&b, "  after %d until %d: news", c.FromRevision, c.ToRevision)
			for _, e := range m.Apply(c) {
				fmt.Fprintf(&b, " %s@%d removed=%t", e.Key, e.Revision, e.Removed)
			}
			fmt.Fprintf(&b, "; revision %d\n", m.Revision())
		}
	}
	golden.Check(t, "mirror", b.String())
}

// TestMirrorsAgree lets views take in changes of a store and of each other in any
// order. Each view is at any time what the store was at its revision.
func TestMirrorsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore(ramp.SystemClock{})
			mirrors := []*Mirror{NewMirror(ramp.SystemClock{}), NewMirror(ramp.SystemClock{}), NewMirror(ramp.SystemClock{})}
			history := map[uint64]string{}
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				if e, err := store.Get(t.Context(), key); err != nil || rapid.Bool().Draw(rt, "write") {
					_, _ = store.Swap(t.Context(), key, []byte("v"), e.Revision, "")
				}
				all, at, _ := store.List(t.Context(), "")
				history[at] = fmt.Sprint(all)
				m := rapid.SampledFrom(mirrors).Draw(rt, "mirror")
				if rapid.Bool().Draw(rt, "from the store") {
					after := m.Revision()
					entries, until, err := store.Watch(t.Context(), "", after, 0)
					if err == nil {
						m.Apply(ramp.EntryChange{FromRevision: after, ToRevision: until, Entries: entries})
					}
				} else {
					m.Apply(rapid.SampledFrom(mirrors).Draw(rt, "other").Since(m.Revision()))
				}
				if m.Revision() > 0 && fmt.Sprint(m.Since(0).Entries) != "[]" {
					c := m.Since(0)
					if want := history[c.ToRevision]; want != fmt.Sprint(c.Entries) {
						rt.Fatalf("at %d: have %v, want %v", c.ToRevision, c.Entries, want)
					}
				}
			}
		})
	})
}

// observed is a daemon with its own way to the store.
type observed struct {
	*Observer
	replicas *takenReplicas
}

// takenReplicas notes what is learnt of replicas. It implements [ramp.InstanceTracker].
type takenReplicas struct{ log []string }

func (r *takenReplicas) Update(i ramp.Instance) bool {
	r.log = append(r.log, "known "+i.ID)
	return true
}

func (r *takenReplicas) MarkRemoved(id string) bool {
	r.log = append(r.log, "vanished "+id)
	return true
}

func (r *takenReplicas) Expire() []ramp.Instance { return nil }
