package standin

import (
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

// keptVersions bounds the older versions that the store keeps of a key.
const keptVersions = 64

// Causes of the errors that faults bring about.
var (
	errDown = errors.New("the service is down")
	errLost = errors.New("the reply was lost")
)

// Fault is how the store fails. The zero value is no fault.
type Fault struct {
	Down  bool          // every call fails without an effect, waiting watches included
	Slow  time.Duration // delay of every call; half of it passes after the effect
	Lose  int           // so many writes take effect but lose their reply
	Stale uint64        // reads see the state of so many revisions ago
}

// Calls counts the calls that the store got. A waiting watch is one read.
type Calls struct {
	Reads  int
	Writes int
}

// Store stands in for the platform's key-value service and its VM list, in
// memory and on any clock. It implements [ramp.Store] and [ramp.VMLister] for a
// client without a name.
type Store struct {
	*Client

	// Rewrite changes values as they are written; nil for none. It is set before the
	// first call.
	Rewrite func(key string, value []byte) []byte

	clock    ramp.Clock
	mutex    sync.Mutex
	keys     map[string][]version // oldest version first
	leases   map[string]lease
	revision uint64
	changed  chan struct{}    // closed and replaced at each change
	faults   map[string]Fault // by client; "" is for all
	calls    Calls
	lists    []vmList // oldest first
	lag      time.Duration
}

// Client is one client's view of a store, with faults of its own.
type Client struct {
	store *Store
	name  string
}

// version is an entry between two changes of its key.
type version struct {
	ramp.Entry
	lease string
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type vmList struct {
	vms  []ramp.VM
	from time.Time
}

// NewStore returns an empty store on the given clock.
func NewStore(clock ramp.Clock) *Store {
	s := &Store{
		clock: clock, keys: map[string][]version{}, leases: map[string]lease{},
		changed: make(chan struct{}), faults: map[string]Fault{},
	}
	s.Client = s.For("")
	return s
}

// For returns the store as the named client sees it.
func (s *Store) For(client string) *Client { return &Client{store: s, name: client} }

// SetFault makes the store fail for the named client, or for all when the name
// is empty.
func (s *Store) SetFault(client string, f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[client] = f
	s.wake()
}

// SetVMs replaces the VM list. Clients see it after the lag.
func (s *Store) SetVMs(vms []ramp.VM) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists = append(s.lists, vmList{vms: slices.Clone(vms), from: s.clock.Now()})
}

// SetLag sets how far the VM list lags.
func (s *Store) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
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
	err := c.read(ctx, "get", func(at uint64) error {
		v, ok := c.store.at(key, at)
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
	err := c.read(ctx, "list", func(at uint64) error {
		entries, revision = c.store.list(prefix, at), at
		return nil
	})
	return entries, revision, err
}

// Watch implements [ramp.Store].
func (c *Client) Watch(
	ctx context.Context, prefix string, revision uint64, wait time.Duration,
) ([]ramp.Entry, uint64, error) {
	s := c.store
	end := s.clock.Now().Add(wait)
	if err := c.enter(ctx, "watch", &s.calls.Reads); err != nil {
		return nil, 0, err
	}
	for {
		s.mutex.Lock()
		s.expire()
		fault := c.fault()
		at := s.revision - min(fault.Stale, s.revision)
		changed, entries, next := s.changed, s.changes(prefix, revision, at), s.nextEnd(end)
		s.mutex.Unlock()
		switch {
		case fault.Down:
			return nil, 0, &ramp.StoreError{Call: "watch", Cause: errDown}
		case len(entries) > 0 || !s.clock.Now().Before(end):
			return entries, at, nil
		}
		if err := s.await(ctx, changed, next); err != nil {
			return nil, 0, &ramp.StoreError{Call: "watch", Cause: err}
		}
	}
}

// Swap implements [ramp.Store].
func (c *Client) Swap(
	ctx context.Context, key string, value []byte, revision uint64, leaseID string,
) (uint64, error) {
	s := c.store
	var next uint64
	err := c.write(ctx, "swap", func() error {
		current, _ := s.at(key, s.revision)
		if current.Revision != revision {
			return &ramp.ConflictError{Key: key, Revision: current.Revision}
		}
		if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
			return &ramp.NotFoundError{Key: leaseID}
		}
		value = slices.Clone(value)
		if s.Rewrite != nil {
			value = s.Rewrite(key, value)
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
	err := c.write(ctx, "grant", func() error {
		s.revision++
		id = strconv.FormatUint(s.revision, 10)
		s.leases[id] = lease{ttl: ttl, end: s.clock.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// KeepAlive implements [ramp.Store].
func (c *Client) KeepAlive(ctx context.Context, id string) error {
	s := c.store
	return c.write(ctx, "keep", func() error {
		l, ok := s.leases[id]
		if !ok {
			return &ramp.NotFoundError{Key: id}
		}
		l.end = s.clock.Now().Add(l.ttl)
		s.leases[id] = l
		return nil
	})
}

// Revoke implements [ramp.Store].
func (c *Client) Revoke(ctx context.Context, id string) error {
	return c.write(ctx, "revoke", func() error {
		c.store.end(id)
		return nil
	})
}

// ListVMs implements [ramp.VMLister].
func (c *Client) ListVMs(ctx context.Context) ([]ramp.VM, error) {
	s := c.store
	var vms []ramp.VM
	err := c.read(ctx, "vms", func(uint64) error {
		for _, l := range s.lists {
			if !l.from.Add(s.lag).After(s.clock.Now()) {
				vms = slices.Clone(l.vms)
			}
		}
		return nil
	})
	return vms, err
}

// enter counts the call, and delays or fails it as the fault says.
func (c *Client) enter(ctx context.Context, call string, counter *int) error {
	c.store.mutex.Lock()
	*counter++
	fault := c.fault()
	c.store.mutex.Unlock()
	if err := c.store.delay(ctx, fault.Slow/2); err != nil {
		return &ramp.StoreError{Call: call, Cause: err}
	}
	if fault.Down {
		return &ramp.StoreError{Call: call, Cause: errDown}
	}
	return nil
}

// read runs a call with the revision that the client sees, under the mutex.
func (c *Client) read(ctx context.Context, call string, run func(at uint64) error) error {
	s := c.store
	if err := c.enter(ctx, call, &s.calls.Reads); err != nil {
		return err
	}
	s.mutex.Lock()
	s.expire()
	fault := c.fault()
	err := run(s.revision - min(fault.Stale, s.revision))
	s.mutex.Unlock()
	if waited := s.delay(ctx, fault.Slow/2); waited != nil {
		return &ramp.StoreError{Call: call, Cause: waited}
	}
	return err
}

// write runs a call under the mutex. The reply may be lost after its effect.
func (c *Client) write(ctx context.Context, call string, run func() error) error {
	s := c.store
	if err := c.enter(ctx, call, &s.calls.Writes); err != nil {
		return err
	}
	s.mutex.Lock()
	s.expire()
	fault := c.fault()
	err := run()
	lost := err == nil && c.lose()
	s.mutex.Unlock()
	if waited := s.delay(ctx, fault.Slow/2); waited != nil {
		return &ramp.StoreError{Call: call, Cause: waited}
	}
	if lost {
		return &ramp.StoreError{Call: call, Cause: errLost}
	}
	return err
}

// fault returns the faults that apply to the client, put together. The caller
// holds the mutex.
func (c *Client) fault() Fault {
	all, own := c.store.faults[""], c.store.faults[c.name]
	return Fault{
		Down: all.Down || own.Down, Slow: max(all.Slow, own.Slow), Stale: max(all.Stale, own.Stale),
	}
}

// lose reports whether the reply to a write gets lost. The caller holds the
// mutex.
func (c *Client) lose() bool {
	for _, name := range []string{c.name, ""} {
		if f := c.store.faults[name]; f.Lose > 0 {
			f.Lose--
			c.store.faults[name] = f
			return true
		}
	}
	return false
}

// delay blocks for d. It does not block when d is 0.
func (s *Store) delay(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return ramp.Sleep(ctx, s.clock, d)
}

// await blocks until the store changes or end has come.
func (s *Store) await(ctx context.Context, changed <-chan struct{}, end time.Time) error {
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

// at returns the entry of key as it was at a revision.
func (s *Store) at(key string, revision uint64) (version, bool) {
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
		if v, ok := s.at(k, revision); ok {
			entries = append(entries, v.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b ramp.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// changes returns the entries under prefix that changed after one revision and
// up to another, removed ones included unless the first revision is 0.
func (s *Store) changes(prefix string, after, until uint64) []ramp.Entry {
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

// put appends a version of a key and returns its revision.
func (s *Store) put(v version) uint64 {
	s.revision++
	v.Revision = s.revision
	older := s.keys[v.Key]
	older = older[max(0, len(older)-keptVersions):]
	s.keys[v.Key] = append(slices.Clip(older), v)
	s.wake()
	return s.revision
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed in time.
func (s *Store) expire() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !s.clock.Now().Before(s.leases[id].end) {
			s.end(id)
		}
	}
}

// nextEnd returns when the first lease ends, or the given time when that is
// earlier.
func (s *Store) nextEnd(first time.Time) time.Time {
	for _, l := range s.leases {
		if l.end.Before(first) {
			first = l.end
		}
	}
	return first
}

// end ends a lease and removes its entries.
func (s *Store) end(id string) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if v, ok := s.at(k, s.revision); ok && v.lease == id {
			s.put(version{Entry: ramp.Entry{Key: k, Removed: true}})
		}
	}
}
