package sycamoreramp

import (
	"crypto/sha256"
	"fmt"
	"reflect"
	"slices"
)

// Digest is a hash of the contents of lists, including their version.
type Digest [8]byte

// ListsChange is the difference between two versions of the lists. It applies
// only to the version from which it was computed.
type ListsChange struct {
	BaseVersion      uint64      // version that it applies to
	BaseDigest       Digest      // digest of the lists that it applies to
	Version          uint64      // resulting version; above BaseVersion
	Digest           Digest      // digest of the resulting lists
	Edit             string      // id of the edit that created the version
	Author           string      // operator who made the edit
	Customers        []Customer  // added or replaced; never modified
	Plans            []Allowance // added or replaced; never modified
	RemovedCustomers []string    // names of removed customers; never modified
	RemovedPlans     []string    // names of removed plans; never modified
}

// BaseMismatchError reports a change that was computed from other lists than those
// that it was applied to, or whose result has another digest than the change gives.
type BaseMismatchError struct {
	Version     uint64 // version of the lists that it was applied to
	BaseVersion uint64 // version that the change applies to
}

// Error implements error.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("change does not apply to the lists: version=%d base=%d", e.Version, e.BaseVersion)
}

// Digest returns the digest of the lists. It covers every field of the lists and of
// their entries.
func (l Lists) Digest() Digest {
	h := sha256.New()
	fmt.Fprintf(h, "%d %q %q\n", l.Version, l.Edit, l.Author)
	for _, c := range l.Customers {
		fmt.Fprintf(h, "%+v\n", c)
	}
	for _, a := range l.Plans {
		fmt.Fprintf(h, "%+v\n", a)
	}
	return Digest(h.Sum(nil))
}

// Changes returns the change that turns base into the receiver.
func (l Lists) Changes(base Lists) ListsChange {
	customers, dropped := diffEntries(base.Customers, l.Customers, customerName)
	plans, ended := diffEntries(base.Plans, l.Plans, planName)
	return ListsChange{
		BaseVersion: base.Version, BaseDigest: base.Digest(), Version: l.Version, Digest: l.Digest(),
		Edit: l.Edit, Author: l.Author,
		Customers: customers, Plans: plans, RemovedCustomers: dropped, RemovedPlans: ended,
	}
}

// WithChanges returns the lists with the change applied. It returns a
// [*BaseMismatchError] when the change was computed from other lists, or when the
// digest of the result differs from that of the sender's lists.
func (l Lists) WithChanges(c ListsChange) (Lists, error) {
	if l.Version != c.BaseVersion || l.Digest() != c.BaseDigest {
		return l, &BaseMismatchError{Version: l.Version, BaseVersion: c.BaseVersion}
	}
	next := l.WithVersion(c.Version, c.Edit, c.Author)
	next.Customers = applyEntries(l.Customers, c.Customers, c.RemovedCustomers, customerName, compareCustomers)
	next.Plans = applyEntries(l.Plans, c.Plans, c.RemovedPlans, planName, compareAllowances)
	if next.Digest() != c.Digest {
		return l, &BaseMismatchError{Version: l.Version, BaseVersion: c.BaseVersion}
	}
	return next, nil
}

func customerName(c Customer) string { return c.Name }

func planName(a Allowance) string { return a.Plan }

// diffEntries returns the entries of list that are missing from base or differ in
// it, and the sorted names of the entries that only base has.
func diffEntries[E any](base, list []E, name func(E) string) (changed []E, removed []string) {
	old := make(map[string]E, len(base))
	for _, e := range base {
		old[name(e)] = e
	}
	for _, e := range list {
		before, found := old[name(e)]
		if !found || !reflect.DeepEqual(before, e) {
			changed = append(changed, e)
		}
		delete(old, name(e))
	}
	for n := range old {
		removed = append(removed, n)
	}
	slices.Sort(removed)
	return changed, removed
}

// applyEntries returns a copy of the sorted list with the removed entries dropped
// and the changed ones inserted or replaced.
func applyEntries[E any](list, changed []E, removed []string, name func(E) string, compare func(a, b E) int) []E {
	drop := make(map[string]bool, len(changed)+len(removed))
	for _, n := range removed {
		drop[n] = true
	}
	for _, e := range changed {
		drop[name(e)] = true
	}
	var next []E
	for _, e := range list {
		if !drop[name(e)] {
			next = append(next, e)
		}
	}
	next = append(next, changed...)
	slices.SortFunc(next, compare)
	return next
}
