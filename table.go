package sycamoreramp

import "sync"

// Rank is a lock's position in the lock order. A goroutine that holds a lock may
// take only locks of a higher rank; two locks of one rank are never held
// together. Builds with the lockorder tag check this at every lock.
type Rank int

// The lock order over the shared tables, lowest first.
const (
	RankStoreChanges Rank = iota + 1 // changes to the view of the store, applied one at a time
	RankLists                        // lists in force
	RankDaemons                      // members of the fleet
	RankLayouts                      // inventories and snapshots
	RankPlans                        // shares and usage per plan
	RankOrders                       // tickets and their outcomes
	RankBatches                      // batches of parts, merged one at a time
	RankQueries                      // queries in progress
	RankReplicas                     // load and outcomes per replica
	RankBudgets                      // retry and hedge budgets
	RankReports                      // service-level counters
)

// Mutex is a mutual exclusion lock with a position in the lock order.
type Mutex struct {
	rank   Rank
	mutex  sync.Mutex
	holder string // goroutine that holds the lock, in builds with the lockorder tag
}

// NewMutex returns an unlocked mutex of the given rank.
func NewMutex(rank Rank) *Mutex { return &Mutex{rank: rank} }

// Lock locks the mutex. In a build with the lockorder tag it panics with a
// [*LockOrderError] when the goroutine holds a lock of the same or a higher
// rank.
func (m *Mutex) Lock() {
	holder := checkLock(m.rank)
	m.mutex.Lock()
	m.holder = holder
}

// Unlock unlocks the mutex.
func (m *Mutex) Unlock() {
	holder := m.holder
	m.mutex.Unlock()
	checkUnlock(holder, m.rank)
}

// Table is a shared table of immutable values. Its methods may be called from
// any goroutine; the functions passed to them run under the table's lock.
type Table[K comparable, V any] struct {
	mutex   *Mutex
	entries map[K]V
}

// NewTable returns an empty table whose lock has the given rank.
func NewTable[K comparable, V any](rank Rank) *Table[K, V] {
	return &Table[K, V]{mutex: NewMutex(rank), entries: make(map[K]V)}
}

// Get returns the value of key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	value, ok := t.entries[key]
	return value, ok
}

// Put sets the value of key.
func (t *Table[K, V]) Put(key K, value V) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.entries[key] = value
}

// Delete removes key.
func (t *Table[K, V]) Delete(key K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.entries, key)
}

// Update replaces the value of key by the result of change, and returns the new
// value. Old is the zero value if there is no entry.
func (t *Table[K, V]) Update(key K, change func(old V) V) V {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	value := change(t.entries[key])
	t.entries[key] = value
	return value
}

// UpdateExisting replaces the value of key like Update if there is an entry. It
// reports whether there is one.
func (t *Table[K, V]) UpdateExisting(key K, change func(old V) V) (V, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	old, ok := t.entries[key]
	if !ok {
		return old, false
	}
	value := change(old)
	t.entries[key] = value
	return value, true
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.entries)
}

// Each calls visit for every entry, in unspecified order, until it returns false.
func (t *Table[K, V]) Each(visit func(key K, value V) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for k, v := range t.entries {
		if !visit(k, v) {
			return
		}
	}
}

// DeleteFunc removes every entry for which drop returns true.
func (t *Table[K, V]) DeleteFunc(drop func(key K, value V) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for k, v := range t.entries {
		if drop(k, v) {
			delete(t.entries, k)
		}
	}
}
