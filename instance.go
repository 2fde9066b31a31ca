package sycamoreramp

import "time"

// Instance is one start of a replica, as described by its entry in the store.
type Instance struct {
	Replica
	Service       string        // service whose requests it serves
	Capacity      int           // requests that it serves at once
	State         VMState       // Leaving while it drains
	WarmupLeft    time.Duration // remaining warm-up time when the entry was written
	StartedMillis int64         // Unix time of the start in milliseconds; 0 if unknown
	Sequence      uint64        // number of the entry since this start; never decreases
}

// SameStart reports whether both describe the same start of the same replica.
func (i Instance) SameStart(other Instance) bool {
	return i.ID == other.ID && i.StartedMillis == other.StartedMillis &&
		i.Address == other.Address && i.Service == other.Service
}

// Newer reports whether the entry i is the same as other or was written after it.
// A replica that restarts under the same id has a later StartedMillis.
func (i Instance) Newer(other Instance) bool {
	if i.StartedMillis != other.StartedMillis {
		return i.StartedMillis > other.StartedMillis
	}
	return i.Sequence >= other.Sequence
}
