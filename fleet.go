package sycamoreramp

import (
	"slices"
	"time"
)

// VMState is the state of a VM in the VM list.
type VMState string

// The states of a VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an entry of the platform's VM list. The list lags, so the VM may no longer
// exist.
type VM struct {
	ID      string  // unique over time; a replacement has a new one
	Address string  // IP number and port of the backend server on it
	Domain  string  // failure domain
	Service string  // service whose shards it holds
	State   VMState // state in the list
}

// Replica is a backend server that holds shards of a service.
type Replica struct {
	ID      string // the id of its VM
	Address string // IP number and port
	Domain  string // failure domain
}

// Shard is a part of a snapshot.
type Shard struct {
	ID       string    // unique within the snapshot together with the range
	Range    KeyRange  // the keys it owns; disjoint from the other shards' ranges
	Replicas []Replica // the backend servers that hold it; never modified
}

// Snapshot is the layout of one index version of a service.
type Snapshot struct {
	Service string  // name of the service
	Version uint64  // index version; higher is newer
	Shards  []Shard // sorted by range; never modified
}

// Complete reports whether the shards tile the whole key space.
func (s Snapshot) Complete() bool {
	var next uint64
	for _, h := range s.Shards {
		if h.Range.Low != next || h.Range.Size() == 0 {
			return false
		}
		next = h.Range.High
	}
	return next == KeySpace.High
}

// Owner returns the shard that owns key.
func (s Snapshot) Owner(key string) (Shard, bool) {
	hash := HashKey(key)
	i, found := slices.BinarySearchFunc(s.Shards, hash, func(h Shard, hash uint64) int {
		switch {
		case h.Range.High <= hash:
			return -1
		case h.Range.Low > hash:
			return 1
		}
		return 0
	})
	if !found {
		return Shard{}, false
	}
	return s.Shards[i], true
}

// Inventory is a backend server's report of the shards that it holds.
type Inventory struct {
	Replica    Replica     // the backend server
	Service    string      // service whose shards it holds
	Draining   bool        // it accepts no new work
	Shards     []HeldShard // shards of all index versions that it still serves
	ReportedAt time.Time   // time of the report
}

// WithDraining returns the inventory with Draining set to the given value.
func (h Inventory) WithDraining(draining bool) Inventory {
	h.Draining = draining
	return h
}

// HeldShard is a shard of one index version on a backend server.
type HeldShard struct {
	Version uint64   // index version
	ID      string   // shard id
	Range   KeyRange // the keys it owns
}

// Daemon is a member of the fleet of daemons.
type Daemon struct {
	ID            string // set by the settings; unique among live daemons
	Incarnation   string // new at every start
	Domain        string // failure domain
	CallerAddress string // IP number and port for callers
	PeerAddress   string // IP number and port for other daemons
	Leaving       bool   // it is shutting down and gets no new callers
	Capacity      Capacity
}

// Capacity is what the machine of a daemon can carry. The zero value means that it is not
// known.
type Capacity struct {
	Processor float64 `json:"processor"` // processor time per second, in seconds of a usual core
	Link      float64 `json:"link"`      // megabits per second
}

// WithLeaving returns the daemon marked as leaving.
func (d Daemon) WithLeaving() Daemon {
	d.Leaving = true
	return d
}

// Identity returns the daemon without its failure domain and addresses, for
// receivers that know its registration.
func (d Daemon) Identity() Daemon {
	return Daemon{ID: d.ID, Incarnation: d.Incarnation, Leaving: d.Leaving}
}

// DaemonFinder looks up daemons by incarnation.
type DaemonFinder interface {
	// Find returns the member with the given incarnation.
	Find(incarnation string) (Daemon, bool)
	// Successors returns the members that may have received the tickets of an
	// incarnation that left, most likely first.
	Successors(incarnation string) []Daemon
}

// Directory assigns daemons' addresses to callers.
type Directory interface {
	// Addresses returns the addresses for callers in the given failure domain.
	Addresses(domain string) []string
}
