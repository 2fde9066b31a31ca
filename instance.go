package sycamoreramp

import "time"

// Instance is one start of a replica, as its entry in the store describes it.
type Instance struct {
	Replica
	Service       string        // service whose requests it takes
	Capacity      int           // requests that it works on at once
	State         VMState       // Leaving once it drains
	WarmupLeft    time.Duration // how much longer it is slow after its start, when the entry was written
	StartedMillis int64         // Unix time of its start in milliseconds; 0 if it does not say
	Sequence      uint64        // number of the entry within this start; never decreases
}

// SameStart reports whether both describe the same start of the same replica.
func (i Instance) SameStart(other Instance) bool {
	return i.ID == other.ID && i.StartedMillis == other.StartedMillis && i.Address == other.Address && i.Service == other.Service
}

// Newer reports whether i was written after other. A replica that starts again
// under its id has a later Born.
func (i Instance) Newer(other Instance) bool {
	if i.StartedMillis != other.StartedMillis {
		return i.StartedMillis > other.StartedMillis
	}
	return i.Sequence >= other.Sequence
}
