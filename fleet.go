package sycamoreramp

import (
	"slices"
	"time"
)

// VMState is the state that the VM list gives for a VM.
type VMState string

// The states of a VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an entry of the platform's VM list. The list lags, so the VM may
// already be gone.
type VM struct {
	ID      string  // unique over time; a replacement has a new one
	Address string  // IP number and port of the backend server on it
	Domain  string  // failure domain
	Service string  // service whose shards it holds
	State   VMState // as the list says
}

// Replica is a backend server that holds shards of a service.
type Replica struct {
	ID      string // the id of its VM
	Address string // IP number and port
	Domain  string // failure domain
}

// Shard is a part of a snapshot.
type Shard struct {
	ID       string    // with its range unique within the snapshot
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

// Inventory is what a backend server says it holds.
type Inventory struct {
	Replica    Replica     // the backend server
	Service    string      // service it belongs to
	Draining   bool        // it takes no new work
	Shards     []HeldShard // shards of every index version it still serves
	ReportedAt time.Time   // when it said so
}

// WithDraining returns the holding with another word on whether it drains.
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
	Leaving       bool   // it shuts down and gets no new callers
}

// WithLeaving returns the daemon marked as leaving.
func (d Daemon) WithLeaving() Daemon {
	d.Leaving = true
	return d
}

// Identity returns the daemon with what those need who know its registration.
func (d Daemon) Identity() Daemon {
	return Daemon{ID: d.ID, Incarnation: d.Incarnation, Leaving: d.Leaving}
}

// DaemonFinder finds daemons by their incarnation.
type DaemonFinder interface {
	// Find returns the member with the given incarnation.
	Find(incarnation string) (Daemon, bool)
	// Successors returns the members to which an incarnation that left has handed over
	// its tickets, most likely first.
	Successors(incarnation string) []Daemon
}

// Directory tells callers which addresses to use.
type Directory interface {
	// Addresses returns the addresses to use from the given failure domain.
	Addresses(domain string) []string
}
