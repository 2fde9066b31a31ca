package fleet

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Periods of the seats.
const (
	seatPeriod = 2 * time.Second  // between tries to take a seat
	heldPeriod = 10 * time.Second // between checks of a seat that is held
	seatGrace  = 30 * time.Second // absence from the VM list that is the end of a VM that it named
	listLag    = 5 * time.Minute  // absence that is the end of a VM that it never named
	seatWithin = 2 * time.Second  // bound on giving a seat back
)

// Seating takes one of a fixed number of seats for a daemon and sets its
// connections by it. A seat's share is the backend servers' limit divided by
// the number of seats, rounded down, so holders together never pass the limit, however many
// daemons there are.
//
// A seat changes hands only when its holder can have no connection any more:
// it has given the seat back after closing them, its VM has gone from the VM
// list, or this daemon listens on the address that the holder listened on. The
// end of the holder's lease proves nothing: a paused process keeps its
// connections. So neither a lapse nor an outage of the store makes a holder
// close connections, and a daemon without a seat has none. All fields must be
// set before Run.
type Seating struct {
	Clock       ramp.Clock
	Log         *slog.Logger
	Self        ramp.Daemon
	Store       ramp.SlotStore
	VMs         ramp.VMLister
	Connections ramp.ConnectionLimiter
	Seats       int // seats of the fleet; the same on every daemon
	Limit       int // connections that a backend server allows the whole fleet

	share atomic.Int64 // of this daemon, per backend server
	hosts hostList     // used by Run alone
}

// Share returns the connections that this daemon may open to one backend
// server now.
func (s *Seating) Share() int { return int(s.share.Load()) }

// Run takes a seat and watches over it until ctx ends. The connections must be
// closed before the seat is given back by [Seating.Release].
func (s *Seating) Run(ctx context.Context) {
	for ctx.Err() == nil {
		period := seatPeriod
		if s.Round(ctx) {
			period = heldPeriod
		}
		_ = ramp.Sleep(ctx, s.Clock, period)
	}
}

// Release gives the seat back. It must be called after Run has returned and
// all connections are closed.
func (s *Seating) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seatWithin)
	defer cancel()
	seats, err := s.Store.Slots(ctx)
	if err != nil {
		s.Log.Warn("seat not given back", "error", err)
		return
	}
	for _, seat := range seats {
		if seat.Incarnation != s.Self.Incarnation {
			continue
		}
		if _, err := s.Store.SwapSlot(ctx, seat.WithoutHolder()); err != nil {
			s.Log.Warn("seat not given back", "seat", seat.Number, "error", err)
		}
	}
}

// Round looks at the seats once and reports whether the daemon holds one. When
// the store does not answer, what it held it still holds. It must not be called
// while Run runs.
func (s *Seating) Round(ctx context.Context) bool {
	seats, err := s.Store.Slots(ctx)
	if err != nil {
		s.Log.Warn("seats not read", "error", err)
		return s.Share() > 0
	}
	s.learn(ctx, seats)
	seat, held := s.keepOne(ctx, seats)
	if !held {
		s.set(0) // the seat that it held, if any, was taken
		seat, held = s.take(ctx, seats)
	}
	if !held {
		return false
	}
	s.set(s.Limit / s.Seats)
	if !seat.Listed && s.hosts.lists(seat.Address) {
		_, _ = s.Store.SwapSlot(ctx, seat.WithListed()) // the next round tries again
	}
	return true
}

// keepOne returns the seat that the daemon holds. A write that took effect late
// may have left it with more, which it gives back: it uses the share of one.
func (s *Seating) keepOne(ctx context.Context, seats []ramp.Slot) (kept ramp.Slot, held bool) {
	for _, seat := range seats {
		switch {
		case seat.Incarnation != s.Self.Incarnation:
		case held:
			_, _ = s.Store.SwapSlot(ctx, seat.WithoutHolder()) // the next round tries again
		default:
			kept, held = seat, true
		}
	}
	return kept, held
}

// take claims the first seat that may change hands. When another daemon was
// faster it tries the next. A claim whose reply was lost is found by the next
// round.
func (s *Seating) take(ctx context.Context, seats []ramp.Slot) (ramp.Slot, bool) {
	for _, seat := range candidates(seats, s.Seats) {
		if !vacant(seat, s.Self, s.hosts, s.Clock.Now()) {
			continue
		}
		claimed := seat.WithHolder(s.Self)
		revision, err := s.Store.SwapSlot(ctx, claimed)
		var lost *ramp.ConflictError
		if errors.As(err, &lost) {
			continue
		}
		if err != nil {
			s.Log.Warn("seat not taken", "seat", seat.Number, "error", err)
			return seat, false
		}
		claimed.Revision = revision
		s.Log.Info("seat taken", "seat", seat.Number, "before", seat.Daemon)
		return claimed, true
	}
	s.Log.Warn("no seat is free", "seats", s.Seats)
	return ramp.Slot{}, false
}

func (s *Seating) set(share int) {
	if s.share.Swap(int64(share)) != int64(share) || share == 0 {
		s.Connections.SetMaxConnections(share)
	}
}

// learn takes in the VM list. Without an answer the absences seen so far count
// for nothing.
func (s *Seating) learn(ctx context.Context, seats []ramp.Slot) {
	vms, err := s.VMs.ListVMs(ctx)
	if err != nil {
		s.Log.Warn("VM list not read", "error", err)
		s.hosts = hostList{}
		return
	}
	s.hosts = s.hosts.WithVMs(vms, seats, s.Clock.Now())
}

// candidates returns all seats of the fleet, those without an entry included.
func candidates(seats []ramp.Slot, count int) []ramp.Slot {
	all := make([]ramp.Slot, count)
	for i := range all {
		all[i].Number = i
	}
	for _, seat := range seats {
		if seat.Number < count {
			all[seat.Number] = seat
		}
	}
	return all
}

// vacant reports whether the seat's holder, if any, can have no connections.
// What the VM list does not name counts only if it names this daemon's VM: some
// platforms list backend servers alone.
func vacant(seat ramp.Slot, self ramp.Daemon, hosts hostList, now time.Time) bool {
	switch {
	case seat.Free():
		return true
	case seat.Address == self.CallerAddress:
		return true // the holder's process has ended: this one listens in its place
	}
	grace := listLag
	if seat.Listed {
		grace = seatGrace
	}
	return hosts.lists(self.CallerAddress) && hosts.absent(seat.Address, now) >= grace
}

// hostList is what the VM list says of the VMs that the seats' holders run on.
// It is an immutable value.
type hostList struct {
	named   map[string]bool      // IP numbers that the VM list names
	missing map[string]time.Time // first answer in a row without the IP number, for the holders that it does not name
}

// WithVMs returns the hosts after another answer of the VM list.
func (h hostList) WithVMs(vms []ramp.VM, seats []ramp.Slot, now time.Time) hostList {
	next := hostList{named: make(map[string]bool), missing: make(map[string]time.Time)}
	for _, vm := range vms {
		next.named[hostOf(vm.Address)] = true
	}
	for _, seat := range seats {
		host := hostOf(seat.Address)
		if next.named[host] {
			continue
		}
		since, ok := h.missing[host]
		if !ok {
			since = now
		}
		next.missing[host] = since
	}
	return next
}

func (h hostList) lists(address string) bool { return h.named[hostOf(address)] }

// absent returns for how long the VM list has not named the address.
func (h hostList) absent(address string, now time.Time) time.Duration {
	since, ok := h.missing[hostOf(address)]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// hostOf returns the IP number of an address.
func hostOf(address string) string {
	colon := strings.LastIndexByte(address, ':')
	return address[:max(colon, 0)]
}
