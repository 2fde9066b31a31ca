package sycamoreramp

import (
	"context"
	"time"
)

// Entry is a key of the platform's store with its value.
type Entry struct {
	Key      string
	Value    []byte // never modified; empty for a removed entry
	Revision uint64 // revision of the store at the last change; at least 1
	Removed  bool   // the change was the removal; set only by Watch
}

// Store is the platform's key-value service. A call that fails with a
// [*StoreError] may have taken effect.
type Store interface {
	// Get returns the entry, or a [*NotFoundError].
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key, and
	// the revision of the store.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Swap sets the value if the entry's revision is the given one, where 0 is
	// for no entry, and returns the new revision. Else it returns a
	// [*ConflictError]. A lease other than "" removes the entry at its end.
	Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
	// Watch waits until an entry under prefix changes after revision, or for the
	// given time. It returns the entries that have changed since, removals
	// included, and the revision up to which it looked, which a stale read may put
	// below the given one. Revision 0 asks for all entries there are. It returns a
	// [*NotFoundError] when the store no longer knows the changes since revision.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// KeepAlive renews a lease, or returns a [*NotFoundError] if it has ended.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease string) error
}

// EntryChange is what changed in the store between two of its revisions.
type EntryChange struct {
	FromRevision uint64  // revision that it applies to; 0 when Entries is all there is
	ToRevision   uint64  // revision that it leads to
	Entries      []Entry // last change of each key; never modified
}

// Record is what an entry of the store says. At most one of its fields is set.
type Record struct {
	Routing  *Routing  // the operator's configuration
	Instance *Instance // a replica; of a removed entry only the id is set
	Member   *Member   // a daemon
}

// Translator reads entries of the store.
type Translator interface {
	// Translate returns the record of the entry, or an error for one that cannot
	// be used.
	Translate(e Entry) (Record, error)
}

// ArchiveSize is how many earlier versions of the lists are kept.
const ArchiveSize = 256

// VMLister is the platform's VM list.
type VMLister interface {
	// ListVMs returns the ListVMs that the list names now.
	ListVMs(ctx context.Context) ([]VM, error)
}

// Registry is what the system keeps in the platform's store, in typed form.
// Its calls fail like those of [Store].
type Registry interface {
	// Lists returns the lists in force and their revision. The version and the
	// revision are 0 when there are none yet.
	Lists(ctx context.Context) (Lists, uint64, error)
	// WatchLists returns like Lists once they have changed after the revision.
	// After the wait it returns lists of version 0 and the revision up to which
	// nothing has changed.
	WatchLists(ctx context.Context, revision uint64, wait time.Duration) (Lists, uint64, error)
	// SwapLists replaces the lists of the given revision, or returns a
	// [*ConflictError].
	SwapLists(ctx context.Context, lists Lists, revision uint64) error
	// ArchivedLists returns an earlier version of the lists, or a [*NotFoundError] when it
	// is none of the [ArchiveSize] last archived ones.
	ArchivedLists(ctx context.Context, version uint64) (Lists, error)
	// ArchiveLists keeps a version for Past. It may be called again for the same one.
	ArchiveLists(ctx context.Context, lists Lists) error
	// Register sets the daemon's entry, which ends with the lease.
	Register(ctx context.Context, d Daemon, lease string) error
	// WatchDaemons returns the registered daemons, sorted by id, once the
	// revision is above the given one, or after the wait.
	WatchDaemons(ctx context.Context, revision uint64, wait time.Duration) ([]Daemon, uint64, error)
	// WatchMembers waits like [Store] Watch and returns the registrations that
	// have changed after the revision, or all for revision 0.
	WatchMembers(ctx context.Context, revision uint64, wait time.Duration) ([]Member, uint64, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// KeepAlive renews a lease, or returns a [*NotFoundError] if it has ended.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease string) error
}
