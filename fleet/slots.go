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

// Times of the connection slots.
const (
	claimPeriod     = 2 * time.Second  // between attempts to claim a slot
	heldCheckPeriod = 10 * time.Second // between checks of a slot that is held
	vmRemovalGrace  = 30 * time.Second // absence from the VM list after which a VM that was listed counts as ended
	maxVMListLag    = 5 * time.Minute  // absence after which a VM that was never listed counts as ended
	releaseTimeout  = 2 * time.Second  // bound on releasing a slot

	// restoredClaimPause is the time after the discovery that the store was restored in which
	// holders claim their slots again, and no other daemon claims one.
	restoredClaimPause = heldCheckPeriod + claimPeriod
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// SlotHolder claims one of a fixed number of connection slots for a daemon and
// sets the daemon's connection limit by it. The share of a slot is the backend
// servers' limit divided by the number of slots, rounded down. Therefore the
// holders together never exceed the limit, however many daemons there are.
//
// A slot changes hands only when its holder can have no connections any more:
// the holder released it after closing them, its VM has disappeared from the VM
// list, or this daemon listens on the holder's address. The expiry of the
// holder's lease proves nothing, since a paused process keeps its connections.
// Therefore neither an expired lease nor an outage of the store makes a holder
// close connections, and a daemon without a slot has no connections. All fields
// must be set before Run.
//
// A store that was restored from an older copy may have lost claims. Then holders claim the
// slots that they hold again, and other daemons wait for restoredClaimPause before they claim
// one, also those that start, since they cannot know when the store was restored. A holder
// that stands still for longer than that may lose its slot while it has connections.
type SlotHolder struct {
	Clock       ramp.Clock
	Log         *slog.Logger
	Self        ramp.Daemon
	Store       ramp.SlotStore
	VMs         ramp.VMLister
	Connections ramp.ConnectionLimiter
	Slots       int // slots of the fleet; the same on every daemon
	Limit       int // connections that a backend server allows the whole fleet

	share      atomic.Int64 // connections of this daemon to each backend server
	hosts      vmPresence   // used by Run alone, like those below
	era        uint64       // of the store at the last read; 0 for none
	claimsFrom time.Time    // until then only slots of its own are claimed
	held       int          // number of the slot that it holds, if holding is set
	holding    bool
}

// Share returns the number of connections that this daemon may currently open
// to one backend server.
func (s *SlotHolder) Share() int { return int(s.share.Load()) }

// Run claims a slot and checks it periodically until ctx ends. The connections
// must be closed before [SlotHolder.Release] releases the slot.
func (s *SlotHolder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		period := claimPeriod
		if s.Reconcile(ctx) {
			period = heldCheckPeriod
		}
		_ = ramp.Sleep(ctx, s.Clock, period)
	}
}

// Release releases the slot. It must be called after Run has returned and all
// connections are closed.
func (s *SlotHolder) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	slots, _, err := s.Store.Slots(ctx)
	if err != nil {
		s.Log.Warn("releasing the connection slot failed", "error", err)
		return
	}
	for _, slot := range slots {
		if slot.Incarnation != s.Self.Incarnation {
			continue
		}
		if _, err := s.Store.SwapSlot(ctx, slot.WithoutHolder()); err != nil {
			s.Log.Warn("releasing the connection slot failed", "seat", slot.Number, "error", err)
		}
	}
}

// Reconcile reads the slots once, claims one if the daemon holds none, and reports
// whether the daemon holds one. When the store does not answer, the daemon
// keeps what it held. It must not be called while Run runs.
func (s *SlotHolder) Reconcile(ctx context.Context) bool {
	slots, era, err := s.Store.Slots(ctx)
	if err != nil {
		s.Log.Warn("reading the connection slots failed", "error", err)
		return s.Share() > 0
	}
	if era != s.era {
		if s.era = era; era > firstEra {
			s.claimsFrom = s.Clock.Now().Add(restoredClaimPause)
		}
	}
	s.readVMs(ctx, slots)
	slot, held := s.releaseSurplus(ctx, slots)
	if !held {
		slot, held = s.reclaim(ctx, slots)
	}
	if !held {
		s.setShare(0) // another daemon has the slot that this one held, if any
		slot, held = s.claim(ctx, slots)
	}
	s.held, s.holding = slot.Number, held
	if !held {
		return false
	}
	s.setShare(s.Limit / s.Slots)
	if !slot.Listed && s.hosts.contains(slot.Address) {
		_, _ = s.Store.SwapSlot(ctx, slot.WithListed()) // retried by the next check
	}
	return true
}

// releaseSurplus returns the slot that the daemon holds and releases any
// others, since the daemon uses the share of one. A write that took effect late
// may have left it with several.
func (s *SlotHolder) releaseSurplus(ctx context.Context, slots []ramp.Slot) (kept ramp.Slot, held bool) {
	for _, slot := range slots {
		switch {
		case slot.Incarnation != s.Self.Incarnation:
		case held:
			_, _ = s.Store.SwapSlot(ctx, slot.WithoutHolder()) // retried by the next check
		default:
			kept, held = slot, true
		}
	}
	return kept, held
}

// reclaim claims the slot again that the daemon holds and the restored store has lost. The
// daemon keeps its share as long as the store does not answer.
func (s *SlotHolder) reclaim(ctx context.Context, slots []ramp.Slot) (ramp.Slot, bool) {
	if !s.holding || !s.Clock.Now().Before(s.claimsFrom) {
		return ramp.Slot{}, false
	}
	slot := allSlots(slots, s.Slots)[s.held].WithHolder(s.Self)
	revision, err := s.Store.SwapSlot(ctx, slot)
	var conflict *ramp.ConflictError
	if errors.As(err, &conflict) {
		return ramp.Slot{}, false
	}
	s.Log.Warn("connection slot claimed again after the store was restored", "seat", slot.Number, "error", err)
	slot.Revision = revision
	return slot, true
}

// claim claims the first claimable slot. When another daemon claimed it first,
// it tries the next. A claim whose reply was lost is found by the next check.
func (s *SlotHolder) claim(ctx context.Context, slots []ramp.Slot) (ramp.Slot, bool) {
	for _, slot := range allSlots(slots, s.Slots) {
		now := s.Clock.Now()
		if now.Before(s.claimsFrom) && slot.Address != s.Self.CallerAddress || !claimable(slot, s.Self, s.hosts, now) {
			continue
		}
		claimed := slot.WithHolder(s.Self)
		revision, err := s.Store.SwapSlot(ctx, claimed)
		var conflict *ramp.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			s.Log.Warn("claiming the connection slot failed", "seat", slot.Number, "error", err)
			return slot, false
		}
		claimed.Revision = revision
		s.Log.Info("connection slot claimed", "seat", slot.Number, "before", slot.Daemon)
		return claimed, true
	}
	s.Log.Warn("no connection slot is claimable", "seats", s.Slots)
	return ramp.Slot{}, false
}

func (s *SlotHolder) setShare(share int) {
	if s.share.Swap(int64(share)) != int64(share) || share == 0 {
		s.Connections.SetMaxConnections(share)
	}
}

// readVMs reads the VM list. If that fails, it discards the absences recorded so
// far.
func (s *SlotHolder) readVMs(ctx context.Context, slots []ramp.Slot) {
	vms, err := s.VMs.ListVMs(ctx)
	if err != nil {
		s.Log.Warn("reading the VM list failed", "error", err)
		s.hosts = vmPresence{}
		return
	}
	s.hosts = s.hosts.WithVMs(vms, slots, s.Clock.Now())
}

// allSlots returns all slots of the fleet, including those without an entry.
func allSlots(slots []ramp.Slot, count int) []ramp.Slot {
	all := make([]ramp.Slot, count)
	for i := range all {
		all[i].Number = i
	}
	for _, slot := range slots {
		if slot.Number < count {
			all[slot.Number] = slot
		}
	}
	return all
}

// claimable reports whether the slot's holder, if any, can have no connections.
// Absence from the VM list counts only if the list has this daemon's own VM,
// since some platforms list only backend servers.
func claimable(slot ramp.Slot, self ramp.Daemon, hosts vmPresence, now time.Time) bool {
	switch {
	case slot.Free():
		return true
	case slot.Address == self.CallerAddress:
		return true // the holder's process has ended: this one listens on its address
	}
	grace := maxVMListLag
	if slot.Listed {
		grace = vmRemovalGrace
	}
	return hosts.contains(self.CallerAddress) && hosts.absence(slot.Address, now) >= grace
}

// vmPresence records which of the VMs that slot holders run on are in the VM
// list. It is an immutable value.
type vmPresence struct {
	listed       map[string]bool      // IP numbers in the VM list
	missingSince map[string]time.Time // by IP number of a holder not listed: first of the consecutive answers without it
}

// WithVMs returns the presence after another answer of the VM list.
func (h vmPresence) WithVMs(vms []ramp.VM, slots []ramp.Slot, now time.Time) vmPresence {
	next := vmPresence{listed: make(map[string]bool), missingSince: make(map[string]time.Time)}
	for _, vm := range vms {
		next.listed[hostOf(vm.Address)] = true
	}
	for _, slot := range slots {
		host := hostOf(slot.Address)
		if next.listed[host] {
			continue
		}
		since, ok := h.missingSince[host]
		if !ok {
			since = now
		}
		next.missingSince[host] = since
	}
	return next
}

func (h vmPresence) contains(address string) bool { return h.listed[hostOf(address)] }

// absence returns how long the address has been absent from the VM list.
func (h vmPresence) absence(address string, now time.Time) time.Duration {
	since, ok := h.missingSince[hostOf(address)]
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
