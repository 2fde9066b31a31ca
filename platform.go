package sycamoreramp

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Entry is a key of the platform's store with its value.
type Entry struct {
	Key      string
	Value    []byte // never modified; empty for a removed entry
	Revision uint64 // revision of the store at the last change; at least 1
	Removed  bool   // the change removed the entry; set only by Watch
}

// Store is the platform's key-value service. A call that fails with a
// [*StoreError] may have taken effect.
type Store interface {
	// Get returns the entry, or a [*NotFoundError].
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key, and
	// the revision of the store.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Swap sets the value if the entry's revision is the given one, where 0 means
	// no entry, and returns the new revision. Otherwise it returns a
	// [*ConflictError]. If lease is not "", the entry is removed when it ends.
	Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
	// Watch waits until an entry under prefix changes after revision, or for the
	// given time. It returns the changes since, including removals. The resulting
	// revision is below the given one after a stale read. Revision 0 returns all
	// entries. It returns a [*NotFoundError] when the store has discarded the changes
	// since revision, or has not reached it since it was restored. A result of another era
	// than that of the given revision lacks changes.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (EntryChange, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// KeepAlive renews a lease, or returns a [*NotFoundError] if it has ended.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease string) error
}

// Position is a point in the history of the store. Revisions rise within an era. When the store
// is restored from an older copy, its era rises by one, and revisions of the era before are
// given out again.
type Position struct {
	Era      uint64 // 0 if the store does not state it, or for the zero position
	Revision uint64 // 0 for the empty store
}

// Compare returns -1, 0 or +1 if the position is before, at or after the other one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// EntryChange is the change of the store between two of its revisions.
type EntryChange struct {
	Era          uint64  // era of the store to which both revisions belong; 0 if it is not known
	FromRevision uint64  // revision that it applies to; 0 if Entries is the full state
	ToRevision   uint64  // resulting revision
	Entries      []Entry // last change of each key; never modified

	// Partial is set by Watch if the store may have made further changes before it replied.
	// Then the result is as of ToRevision, but nothing is known of what came after it.
	Partial bool
}

// To returns the resulting position.
func (c EntryChange) To() Position { return Position{Era: c.Era, Revision: c.ToRevision} }

// WithNext returns the change followed by one of the same era that applies to its result.
func (c EntryChange) WithNext(next EntryChange) EntryChange {
	replaced := make(map[string]bool, len(next.Entries))
	for _, e := range next.Entries {
		replaced[e.Key] = true
	}
	c.Entries = slices.DeleteFunc(slices.Clone(c.Entries), func(e Entry) bool { return replaced[e.Key] })
	c.Entries = append(c.Entries, next.Entries...)
	c.ToRevision, c.Partial = next.ToRevision, next.Partial
	return c
}

// Record is the decoded form of an entry of the store. At most one field is set.
type Record struct {
	Routing   *Routing  // the operator's configuration; of version 0 if the entry was removed
	Evacuated string    // failure domain that is evacuated, or not any more if the entry was removed; "" for none
	Instance  *Instance // a replica; only the ID is set for a removed entry
	Member    *Member   // a daemon
}

// Translator decodes entries of the store.
type Translator interface {
	// Translate returns the record of the entry, or an error for an unusable entry.
	Translate(e Entry) (Record, error)
}

// ArchiveSize is the number of earlier versions of the lists that are kept.
const ArchiveSize = 256

// VMLister is the platform's VM list.
type VMLister interface {
	// ListVMs returns the VMs that are currently in the list.
	ListVMs(ctx context.Context) ([]VM, error)
}

// Registry is typed access to the system's entries in the platform's store. Its
// calls fail like those of [Store].
type Registry interface {
	// Lists returns the lists in force and their revision. The version and the
	// revision are 0 when there are none yet.
	Lists(ctx context.Context) (Lists, uint64, error)
	// WatchLists waits until the lists change after the position, and returns them
	// like Lists. When the wait expires, it returns lists of version 0 and the
	// position up to which nothing has changed. In a later era than that of the given
	// position, it returns the lists in force.
	WatchLists(ctx context.Context, after Position, wait time.Duration) (Lists, Position, error)
	// SwapLists replaces the lists of the given revision, or returns a
	// [*ConflictError].
	SwapLists(ctx context.Context, lists Lists, revision uint64) error
	// ArchivedLists returns an earlier version of the lists, or a [*NotFoundError]
	// when it is not among the last [ArchiveSize] archived ones.
	ArchivedLists(ctx context.Context, version uint64) (Lists, error)
	// ArchiveLists stores a version for ArchivedLists. It is idempotent.
	ArchiveLists(ctx context.Context, lists Lists) error
	// Register sets the daemon's entry, which is removed when the lease ends.
	Register(ctx context.Context, d Daemon, lease string) error
	// WatchDaemons returns the registered daemons, sorted by ID, once the revision
	// is above the given one or the wait has expired.
	WatchDaemons(ctx context.Context, revision uint64, wait time.Duration) ([]Daemon, uint64, error)
	// WatchMembers waits like [Store] Watch and returns the registrations that
	// have changed after the position, or all for revision 0 and in a later era.
	WatchMembers(ctx context.Context, after Position, wait time.Duration) (MemberChange, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// KeepAlive renews a lease, or returns a [*NotFoundError] if it has ended.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease string) error
}
