package sycamoreramp

import "context"

// Slot is a connection slot: a fixed share of the connections that a backend server
// allows the whole fleet. A daemon opens connections only while it holds a slot, and
// never more than the slot's share to one backend server.
type Slot struct {
	Number      int    // from 0, below the number of slots of the fleet
	Daemon      string // id of the holder; "" while the slot is free
	Incarnation string // incarnation of the holder; "" while the slot is free
	Address     string // the holder's IP number and port for callers
	Listed      bool   // the holder's VM has been in the VM list since it took the slot
	Revision    uint64 // revision of the entry in the store; 0 for none
}

// Free reports whether no daemon holds the slot.
func (s Slot) Free() bool { return s.Incarnation == "" }

// WithHolder returns the slot held by the daemon.
func (s Slot) WithHolder(d Daemon) Slot {
	s.Daemon, s.Incarnation, s.Address = d.ID, d.Incarnation, d.CallerAddress
	s.Listed = false
	return s
}

// WithListed returns the slot with its holder's VM seen in the VM list.
func (s Slot) WithListed() Slot {
	s.Listed = true
	return s
}

// WithoutHolder returns the slot without a holder.
func (s Slot) WithoutHolder() Slot { return Slot{Number: s.Number, Revision: s.Revision} }

// SlotStore stores the connection slots in the platform's store. Its calls fail like
// those of [Store].
type SlotStore interface {
	// Slots returns the slots that have an entry, sorted by number, and the era of the store.
	Slots(ctx context.Context) (slots []Slot, era uint64, err error)
	// SwapSlot replaces the entry of the slot's number if it has the slot's
	// revision, and returns the new one. Otherwise it returns a [*ConflictError]. The
	// entry has no lease, since a paused holder keeps its connections open.
	SwapSlot(ctx context.Context, s Slot) (uint64, error)
}

// ConnectionLimiter bounds the connections to each backend server.
type ConnectionLimiter interface {
	// SetMaxConnections sets the limit. When it is lowered, idle connections above it
	// are closed at once, those in use when their request ends.
	SetMaxConnections(limit int)
}
