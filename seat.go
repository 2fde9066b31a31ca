package sycamoreramp

import "context"

// Slot is a fixed share of the connections that a backend server allows the
// whole fleet. A daemon opens connections only while it holds a seat, and never
// more than the seat's share to one backend server.
type Slot struct {
	Number      int    // from 0, below the number of seats of the fleet
	Daemon      string // id of the holder; "" while the seat is free
	Incarnation string // incarnation of the holder; "" while the seat is free
	Address     string // the holder's IP number and port for callers
	Listed      bool   // the VM list has named the holder's VM since it took the seat
	Revision    uint64 // revision of the entry in the store; 0 for none
}

// Free reports whether no daemon holds the seat.
func (s Slot) Free() bool { return s.Incarnation == "" }

// WithHolder returns the seat held by the daemon.
func (s Slot) WithHolder(d Daemon) Slot {
	s.Daemon, s.Incarnation, s.Address = d.ID, d.Incarnation, d.CallerAddress
	s.Listed = false
	return s
}

// WithListed returns the seat of a holder whose VM the VM list has named.
func (s Slot) WithListed() Slot {
	s.Listed = true
	return s
}

// WithoutHolder returns the seat as free.
func (s Slot) WithoutHolder() Slot { return Slot{Number: s.Number, Revision: s.Revision} }

// SlotStore keeps the seats in the platform's store. Its calls fail like those
// of [Store].
type SlotStore interface {
	// Slots returns the seats that have an entry, sorted by number.
	Slots(ctx context.Context) ([]Slot, error)
	// SwapSlot replaces the entry of the seat's number if that has the seat's
	// revision, and returns the new one. Else it returns a [*ConflictError]. The
	// entry belongs to no lease: a holder that is paused keeps its connections.
	SwapSlot(ctx context.Context, s Slot) (uint64, error)
}

// ConnectionLimiter bounds the connections to each backend server.
type ConnectionLimiter interface {
	// SetMaxConnections sets the bound. With a lower one, idle connections above it are
	// closed at once, those in use when their request ends.
	SetMaxConnections(limit int)
}
