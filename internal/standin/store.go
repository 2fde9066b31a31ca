package standin

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// maxVersions is the number of older versions that the store retains for a key.
const maxVersions = 64

// Causes of the errors that injected faults return.
var (
	errDown      = errors.New("the service is down")
	errReplyLost = errors.New("the reply was lost")
	errRestored  = errors.New("the store was restored from a copy")
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// Fault describes the failures to inject into a store. The zero value injects none.
type Fault struct {
	Down        bool          // every call fails without an effect, pending watches included
	Delay       time.Duration // delay of every call, half of it before the effect and half after
	LoseReplies int           // number of writes yet to come that take effect but whose reply is lost
	Stale       uint64        // number of revisions by which reads lag
}

// Calls counts the calls that the store received. A watch counts as one read,
// however long it waits.
type Calls struct {
	Reads  int
	Writes int
}

// Store is an in-memory implementation of the platform's key-value service and
// its VM list, on any clock. Its embedded client, which has no name, implements
// [ramp.Store] and [ramp.VMLister].
type Store struct {
	*Client

	// RewriteValue, if not nil, returns the value to store in place of the one written.
	// It must be set before the first call.
	RewriteValue func(key string, value []byte) []byte

	// MaxEvents is the greatest number of entries in the reply of a watch after a revision,
	// 0 for no limit. It must be set before the first call.
	MaxEvents int

	clock    ramp.Clock
	mutex    sync.Mutex
	keys     map[string][]version // oldest version first
	leases   map[string]lease
	revision uint64
	era      uint64           // rises by one when the store is restored
	changed  chan struct{}    // closed and replaced at each change or new fault
	faults   map[string]Fault // by client name; "" applies to all clients
	calls    Calls
	vmLists  []vmList // oldest first
	vmLag    time.Duration
}

// Client accesses a store under a client name, for which faults can be set
// separately.
type Client struct {
	store *Store
	name  string
}

// version is the state of a key from one change of it to the next. The lease is
// empty for an entry that does not expire.
type version struct {
	ramp.Entry
	lease string
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type vmList struct {
	vms   []ramp.VM
	setAt time.Time
}

// NewStore returns an empty store that uses the given clock.
func NewStore(clock ramp.Clock) *Store {
	s := &Store{
		clock: clock, keys: map[string][]version{}, leases: map[string]lease{}, era: firstEra,
		changed: make(chan struct{}), faults: map[string]Fault{},
	}
	s.Client = s.For("")
	return s
}

// For returns a client of the store with the given name.
func (s *Store) For(client string) *Client { return &Client{store: s, name: client} }

// Copy is the state of a store at one time. It is an immutable value.
type Copy struct {
	keys     map[string][]version
	leases   map[string]lease
	revision uint64
	takenAt  time.Time
}

// Copy returns the current state.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	return Copy{
		keys: maps.Clone(s.keys), leases: maps.Clone(s.leases), revision: s.revision, takenAt: s.clock.Now(),
	}
}

// Restore replaces the state by an earlier one. What was written since is lost, its revisions
// are given out again, watches that wait end with an error, and leases have the time left
// that they had. Other calls must not be in progress, so a [Fault] should keep clients away.
func (s *Store) Restore(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys, s.leases, s.revision = maps.Clone(c.keys), maps.Clone(c.leases), c.revision
	away := s.clock.Now().Sub(c.takenAt)
	for id, l := range s.leases {
		l.expiresAt = l.expiresAt.Add(away)
		s.leases[id] = l
	}
	s.era++
	s.notifyChange()
}

// Era returns the era of the store, which rises by one when it is restored.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// SetFault replaces the fault that the named client sees, or the one that all
// clients see if the name is empty. Pending watches see it too.
func (s *Store) SetFault(client string, f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[client] = f
	s.notifyChange()
}

// SetVMs replaces the VM list. Clients see it once the lag of [Store.SetLag] has
// passed.
func (s *Store) SetVMs(vms []ramp.VM) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.vmLists = append(s.vmLists, vmList{vms: slices.Clone(vms), setAt: s.clock.Now()})
}

// SetLag sets the time after which clients see a change of the VM list.
func (s *Store) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.vmLag = lag
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Get implements [ramp.Store].
func (c *Client) Get(ctx context.Context, key string) (ramp.Entry, error) {
	var found ramp.Entry
	err := c.runRead(ctx, "get", func(at uint64) error {
		v, ok := c.store.entryAt(key, at)
		if !ok {
			return &ramp.NotFoundError{Key: key}
		}
		found = v.Entry
		return nil
	})
	return found, err
}

// List implements [ramp.Store].
func (c *Client) List(ctx context.Context, prefix string) ([]ramp.Entry, uint64, error) {
	var entries []ramp.Entry
	var revision uint64
	err := c.runRead(ctx, "list", func(at uint64) error {
		entries, revision = c.store.list(prefix, at), at
		return nil
	})
	return entries, revision, err
}

// Watch implements [ramp.Store].
func (c *Client) Watch(
	ctx context.Context, prefix string, revision uint64, wait time.Duration,
) (ramp.EntryChange, error) {
	s := c.store
	end := s.clock.Now().Add(wait)
	if err := c.startCall(ctx, "watch", &s.calls.Reads); err != nil {
		return ramp.EntryChange{}, err
	}
	for era := s.Era(); ; {
		s.mutex.Lock()
		s.expireLeases()
		fault, restored := c.currentFault(), s.era != era
		known := revision <= s.revision || s.era == firstEra
		at := s.revision - min(fault.Stale, s.revision)
		changed, entries, next := s.changed, s.changesBetween(prefix, revision, at), s.nextExpiry(end)
		s.mutex.Unlock()
		switch {
		case fault.Down:
			return ramp.EntryChange{}, &ramp.StoreError{Call: "watch", Cause: errDown}
		case restored:
			return ramp.EntryChange{}, &ramp.StoreError{Call: "watch", Cause: errRestored}
		case !known:
			return ramp.EntryChange{}, &ramp.NotFoundError{Key: prefix}
		case len(entries) > 0 || !s.clock.Now().Before(end):
			return s.page(ramp.EntryChange{Era: era, FromRevision: revision, ToRevision: at, Entries: entries}), nil
		}
		if err := s.waitForChange(ctx, changed, next); err != nil {
			return ramp.EntryChange{}, &ramp.StoreError{Call: "watch", Cause: err}
		}
	}
}

// Swap implements [ramp.Store].
func (c *Client) Swap(
	ctx context.Context, key string, value []byte, revision uint64, leaseID string,
) (uint64, error) {
	s := c.store
	var next uint64
	err := c.runWrite(ctx, "swap", func() error {
		current, _ := s.entryAt(key, s.revision)
		if current.Revision != revision {
			return &ramp.ConflictError{Key: key, Revision: current.Revision}
		}
		if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
			return &ramp.NotFoundError{Key: leaseID}
		}
		value = slices.Clone(value)
		if s.RewriteValue != nil {
			value = s.RewriteValue(key, value)
		}
		next = s.put(version{Entry: ramp.Entry{Key: key, Value: value}, lease: leaseID})
		return nil
	})
	return next, err
}

// Grant implements [ramp.Store].
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	s := c.store
	var id string
	err := c.runWrite(ctx, "grant", func() error {
		s.revision++
		id = strconv.FormatUint(s.revision, 10)
		s.leases[id] = lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// KeepAlive implements [ramp.Store].
func (c *Client) KeepAlive(ctx context.Context, id string) error {
	s := c.store
	return c.runWrite(ctx, "keep", func() error {
		l, ok := s.leases[id]
		if !ok {
			return &ramp.NotFoundError{Key: id}
		}
		l.expiresAt = s.clock.Now().Add(l.ttl)
		s.leases[id] = l
		return nil
	})
}

// Revoke implements [ramp.Store].
func (c *Client) Revoke(ctx context.Context, id string) error {
	return c.runWrite(ctx, "revoke", func() error {
		c.store.endLease(id)
		return nil
	})
}

// ListVMs implements [ramp.VMLister].
func (c *Client) ListVMs(ctx context.Context) ([]ramp.VM, error) {
	s := c.store
	var vms []ramp.VM
	err := c.runRead(ctx, "vms", func(uint64) error {
		for _, l := range s.vmLists {
			if !l.setAt.Add(s.vmLag).After(s.clock.Now()) {
				vms = slices.Clone(l.vms)
			}
		}
		return nil
	})
	return vms, err
}

// startCall counts the call, and delays or fails it according to the client's fault.
func (c *Client) startCall(ctx context.Context, call string, counter *int) error {
	c.store.mutex.Lock()
	*counter++
	fault := c.currentFault()
	c.store.mutex.Unlock()
	if err := c.store.delay(ctx, fault.Delay/2); err != nil {
		return &ramp.StoreError{Call: call, Cause: err}
	}
	if fault.Down {
		return &ramp.StoreError{Call: call, Cause: errDown}
	}
	return nil
}

// runRead calls run, under the mutex, with the revision that the client sees.
func (c *Client) runRead(ctx context.Context, call string, run func(at uint64) error) error {
	s := c.store
	if err := c.startCall(ctx, call, &s.calls.Reads); err != nil {
		return err
	}
	s.mutex.Lock()
	s.expireLeases()
	fault := c.currentFault()
	err := run(s.revision - min(fault.Stale, s.revision))
	s.mutex.Unlock()
	if delayErr := s.delay(ctx, fault.Delay/2); delayErr != nil {
		return &ramp.StoreError{Call: call, Cause: delayErr}
	}
	return err
}

// runWrite calls run under the mutex. With a fault that loses replies, it returns an
// error although the call took effect.
func (c *Client) runWrite(ctx context.Context, call string, run func() error) error {
	s := c.store
	if err := c.startCall(ctx, call, &s.calls.Writes); err != nil {
		return err
	}
	s.mutex.Lock()
	s.expireLeases()
	fault := c.currentFault()
	err := run()
	lost := err == nil && c.loseReply()
	s.mutex.Unlock()
	if waited := s.delay(ctx, fault.Delay/2); waited != nil {
		return &ramp.StoreError{Call: call, Cause: waited}
	}
	if lost {
		return &ramp.StoreError{Call: call, Cause: errReplyLost}
	}
	return err
}

// currentFault returns the client's own fault merged with the one for all
// clients, except for lost replies. The caller must hold the mutex.
func (c *Client) currentFault() Fault {
	all, own := c.store.faults[""], c.store.faults[c.name]
	return Fault{
		Down: all.Down || own.Down, Delay: max(all.Delay, own.Delay), Stale: max(all.Stale, own.Stale),
	}
}

// loseReply reports whether to lose the reply to a write, and counts it if so.
// The caller must hold the mutex.
func (c *Client) loseReply() bool {
	for _, name := range []string{c.name, ""} {
		if f := c.store.faults[name]; f.LoseReplies > 0 {
			f.LoseReplies--
			c.store.faults[name] = f
			return true
		}
	}
	return false
}

// delay blocks for d, or until ctx ends. It does not block if d is 0.
func (s *Store) delay(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return ramp.Sleep(ctx, s.clock, d)
}

// waitForChange blocks until the store changes, end is reached or ctx ends.
func (s *Store) waitForChange(ctx context.Context, changed <-chan struct{}, end time.Time) error {
	timeout := make(chan struct{})
	stop := s.clock.AfterFunc(end.Sub(s.clock.Now()), func() { close(timeout) })
	defer stop()
	select {
	case <-changed:
	case <-timeout:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// entryAt returns the state of key as of a revision, and whether the key existed.
func (s *Store) entryAt(key string, revision uint64) (version, bool) {
	versions := s.keys[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].Revision > revision {
			continue
		}
		if versions[i].Removed {
			return version{}, false
		}
		return versions[i], true
	}
	return version{}, false
}

func (s *Store) list(prefix string, revision uint64) []ramp.Entry {
	var entries []ramp.Entry
	for k := range s.keys {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		if v, ok := s.entryAt(k, revision); ok {
			entries = append(entries, v.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b ramp.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// changesBetween returns the entries under prefix that changed after one revision
// and up to another. Removed entries are included unless the first revision is 0.
func (s *Store) changesBetween(prefix string, after, until uint64) []ramp.Entry {
	if after == 0 {
		return s.list(prefix, until)
	}
	var entries []ramp.Entry
	for k, versions := range s.keys {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		for _, v := range slices.Backward(versions) {
			if v.Revision <= until {
				if v.Revision > after {
					entries = append(entries, v.Entry)
				}
				break
			}
		}
	}
	slices.SortFunc(entries, func(a, b ramp.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// page returns the part of a change that fits into the reply of a watch: the entries that
// changed first.
func (s *Store) page(c ramp.EntryChange) ramp.EntryChange {
	if c.FromRevision == 0 || s.MaxEvents == 0 || len(c.Entries) <= s.MaxEvents {
		return c
	}
	slices.SortFunc(c.Entries, func(a, b ramp.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	c.Entries = c.Entries[:s.MaxEvents]
	c.ToRevision, c.Partial = c.Entries[len(c.Entries)-1].Revision, true
	return c
}

// put appends a version of a key, notifies watches and returns its revision.
func (s *Store) put(v version) uint64 {
	s.revision++
	v.Revision = s.revision
	older := s.keys[v.Key]
	older = older[max(0, len(older)-maxVersions):]
	s.keys[v.Key] = append(slices.Clip(older), v)
	s.notifyChange()
	return s.revision
}

func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have expired.
func (s *Store) expireLeases() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !s.clock.Now().Before(s.leases[id].expiresAt) {
			s.endLease(id)
		}
	}
}

// nextExpiry returns when the first lease expires, or the given time if that is
// earlier.
func (s *Store) nextExpiry(first time.Time) time.Time {
	for _, l := range s.leases {
		if l.expiresAt.Before(first) {
			first = l.expiresAt
		}
	}
	return first
}

// endLease ends a lease and removes the entries that are attached to it. It does
// nothing if the lease is unknown.
func (s *Store) endLease(id string) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if v, ok := s.entryAt(k, s.revision); ok && v.lease == id {
			s.put(version{Entry: ramp.Entry{Key: k, Removed: true}})
		}
	}
}
