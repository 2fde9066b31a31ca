package fleet

import (
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times for which a daemon that did not help in time is not asked.
const (
	helperRest    = time.Second // at first; doubles
	helperLongest = 8 * time.Second
)

// helping is how a daemon helped lately. It is an immutable value.
type helping struct {
	failures int       // in a row
	until    time.Time // it is not asked before
}

// withFailure returns the state after another failure.
func (h helping) withFailure(now time.Time) helping {
	rest := min(helperRest<<min(h.failures, maxShift), helperLongest)
	return helping{failures: h.failures + 1, until: now.Add(rest)}
}

// Helpers chooses daemons of other failure domains to ask for parts. It
// implements [ramp.DelegateSelector].
type Helpers struct {
	members *Members
	clock   ramp.Clock
	turn    atomic.Uint64
	lately  *ramp.Table[string, helping] // by incarnation, of those that failed
}

// NewHelpers returns helpers out of the members.
func NewHelpers(members *Members, clock ramp.Clock) *Helpers {
	return &Helpers{members: members, clock: clock, lately: ramp.NewTable[string, helping](ramp.RankDaemons)}
}

// Select implements [ramp.DelegateSelector].
func (h *Helpers) Select(domain string) (ramp.Daemon, bool) {
	now := h.clock.Now()
	near := h.members.those(func(m member) bool {
		return m.daemon.Domain == domain && !m.daemon.Leaving && !m.missed && m.daemon.Incarnation != h.members.self
	})
	turn := int(h.turn.Add(1))
	for i := range near {
		d := near[(turn+i)%len(near)]
		if lately, _ := h.lately.Get(d.Incarnation); !now.Before(lately.until) {
			return d, true
		}
	}
	return ramp.Daemon{}, false
}

// Report implements [ramp.DelegateSelector].
func (h *Helpers) Report(d ramp.Daemon, inTime bool) {
	now := h.clock.Now()
	if inTime {
		h.lately.Delete(d.Incarnation)
		return
	}
	h.lately.Update(d.Incarnation, func(old helping) helping { return old.withFailure(now) })
}
