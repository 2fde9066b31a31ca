package sycamoreramp

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"time"
)

// KeyHash is the SHA-256 hash of a customer's key.
type KeyHash [sha256.Size]byte

// HashCredential returns the hash that the lists keep of a customer's key.
func HashCredential(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Names of the two lists in errors.
const (
	listCustomers = "customers"
	listPlans     = "plans"
)

// Customer is an entry of the first list: a customer and the plan it holds.
type Customer struct {
	Name string  // unique in the list
	Plan string  // an existing plan of the second list
	Key  KeyHash // unique in the list
}

// Allowance is an entry of the second list: what a plan may use.
type Allowance struct {
	Plan     string        // unique in the list
	Services []string      // sorted names; never modified
	Share    int           // weight among the plans under load; at least 1
	Rate     int           // sub-requests per second over all daemons; 0 for no limit
	Prefer   Preference    // which of coverage and tail latency an answer keeps when it cannot have both
	Deadline time.Duration // bound on a query's deadline; positive
	Latency  time.Duration // latency objective for 99 of 100 answers; positive, at most Deadline
	Coverage float64       // objective for the covered share, from 0 to 1
}

// Preference is what a plan's answers keep when coverage and tail latency conflict.
type Preference string

// The preferences of a plan.
const (
	PreferCoverage Preference = "coverage" // wait for stragglers until the deadline
	PreferTail     Preference = "tail"     // return a partial answer at the latency objective
)

// Lists is one version of the two lists that operators maintain. Both lists share
// the version, so that they change together.
type Lists struct {
	Version   uint64      // 0 for no lists; incremented by each accepted edit
	Edit      string      // id of the edit that created the version
	Author    string      // operator who made the edit
	Customers []Customer  // sorted by name; never modified
	Plans     []Allowance // sorted by plan; never modified
}

// WithVersion returns the lists with another version, edit and author.
func (l Lists) WithVersion(version uint64, edit, author string) Lists {
	l.Version = version
	l.Edit = edit
	l.Author = author
	return l
}

// WithCustomer returns the lists with c added or replaced.
func (l Lists) WithCustomer(c Customer) Lists {
	l.Customers = withEntry(l.Customers, c, compareCustomers)
	return l
}

// WithAllowance returns the lists with a added or replaced.
func (l Lists) WithAllowance(a Allowance) Lists {
	l.Plans = withEntry(l.Plans, a, compareAllowances)
	return l
}

// Customer returns the customer whose key has the given hash. Every entry is
// compared in constant time.
func (l Lists) Customer(key KeyHash) (Customer, bool) {
	var found Customer
	ok := false
	for i := range l.Customers {
		if subtle.ConstantTimeCompare(l.Customers[i].Key[:], key[:]) == 1 {
			found = l.Customers[i]
			ok = true
		}
	}
	return found, ok
}

// Allowance returns what the named plan may use.
func (l Lists) Allowance(plan string) (Allowance, bool) {
	i, found := slices.BinarySearchFunc(l.Plans, Allowance{Plan: plan}, compareAllowances)
	if !found {
		return Allowance{}, false
	}
	return l.Plans[i], true
}

// Check returns a [*ListError] for the first entry that violates an invariant.
func (l Lists) Check() error {
	for i, a := range l.Plans {
		if err := a.check(); err != nil {
			return err
		}
		if i > 0 && l.Plans[i-1].Plan == a.Plan {
			return &ListError{List: listPlans, Entry: a.Plan, Reason: "is listed twice"}
		}
	}
	keys := make(map[KeyHash]string, len(l.Customers))
	for i, c := range l.Customers {
		if c.Name == "" {
			return &ListError{List: listCustomers, Entry: c.Name, Reason: "has no name"}
		}
		if i > 0 && l.Customers[i-1].Name == c.Name {
			return &ListError{List: listCustomers, Entry: c.Name, Reason: "is listed twice"}
		}
		if _, ok := l.Allowance(c.Plan); !ok {
			return &ListError{List: listCustomers, Entry: c.Name, Reason: "holds unknown plan " + c.Plan}
		}
		if other, ok := keys[c.Key]; ok {
			return &ListError{List: listCustomers, Entry: c.Name, Reason: "has the same key as " + other}
		}
		keys[c.Key] = c.Name
	}
	return nil
}

// Allows reports whether the plan may use the service.
func (a Allowance) Allows(service string) bool {
	_, found := slices.BinarySearch(a.Services, service)
	return found
}

func (a Allowance) check() error {
	fail := func(reason string) error {
		return &ListError{List: listPlans, Entry: a.Plan, Reason: reason}
	}
	switch {
	case a.Plan == "":
		return fail("has no name")
	case a.Share < 1:
		return fail("has a share below 1")
	case a.Rate < 0:
		return fail("has a negative rate")
	case a.Prefer != PreferCoverage && a.Prefer != PreferTail:
		return fail("prefers neither coverage nor tail")
	case a.Deadline <= 0:
		return fail("has no positive deadline")
	case a.Latency <= 0 || a.Latency > a.Deadline:
		return fail("has a latency objective outside (0, deadline]")
	case a.Coverage < 0 || a.Coverage > 1:
		return fail("has a coverage objective outside [0, 1]")
	case !slices.IsSorted(a.Services):
		return fail("has services out of order")
	}
	return nil
}

func compareCustomers(a, b Customer) int { return cmp.Compare(a.Name, b.Name) }

func compareAllowances(a, b Allowance) int { return cmp.Compare(a.Plan, b.Plan) }

// withEntry returns a copy of the sorted list with entry added or replaced.
func withEntry[E any](list []E, entry E, compare func(a, b E) int) []E {
	i, found := slices.BinarySearchFunc(list, entry, compare)
	if found {
		list = slices.Clone(list)
		list[i] = entry
		return list
	}
	return slices.Insert(slices.Clone(list), i, entry)
}

// ListsSource returns the lists in force on a daemon.
type ListsSource interface {
	// Current returns the lists in force and the time at which the store last
	// confirmed that there is no newer version.
	Current() (lists Lists, confirmed time.Time)
	// Check returns a [*RefusedError] when no query may be admitted under the lists.
	Check(now time.Time) error
}

// ListsCache is a daemon's cache of the lists in the store. The version in force
// never decreases.
type ListsCache interface {
	ListsSource
	// Refresh merges lists that the store returned for a call started at the given
	// time, and reports whether they newly came into force. Version 0 means that the
	// store has no lists.
	Refresh(lists Lists, started time.Time) bool
	// Update merges lists from any source, and reports whether they newly came into
	// force.
	Update(lists Lists) bool
	// ApplyChange applies a change sent by another daemon, and reports whether its
	// version newly came into force. It returns a [*BaseMismatchError] for a change
	// to newer lists that was computed from other lists than those in force.
	ApplyChange(c ListsChange) (bool, error)
	// Confirm records that the store had no version newer than the given one at the
	// given time. It has no effect unless that version is in force.
	Confirm(version uint64, at time.Time)
	// Version returns the version of the lists in force and their digest.
	Version() (uint64, Digest)
	// ChangesSince returns what a daemon with the given version is missing: nothing,
	// a change, or the whole lists when the version is not known here.
	ChangesSince(version uint64, digest Digest) (whole Lists, change ListsChange)
	// Freshness returns how recent the lists are known to be at the given time.
	Freshness(now time.Time) Freshness
}
