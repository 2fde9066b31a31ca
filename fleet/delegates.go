package fleet

import (
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times for which a daemon that did not answer in time is not selected.
const (
	delegateBackoff    = time.Second // after the first failure; doubles with each further one
	maxDelegateBackoff = 8 * time.Second
)

// delegateState is the recent record of a delegate. It is an immutable value.
type delegateState struct {
	failures int       // consecutive failures
	retryAt  time.Time // earliest time of the next selection
}

// withFailure returns the state after another failure.
func (h delegateState) withFailure(now time.Time) delegateState {
	backoff := min(delegateBackoff<<min(h.failures, maxBackoffShift), maxDelegateBackoff)
	return delegateState{failures: h.failures + 1, retryAt: now.Add(backoff)}
}

// DelegateSelector selects daemons of other failure domains that gather parts
// on this daemon's behalf. It implements [ramp.DelegateSelector].
type DelegateSelector struct {
	members    *Members
	clock      ramp.Clock
	selections atomic.Uint64                      // calls of Select so far; selects the next candidate
	failed     *ramp.Table[string, delegateState] // by incarnation, of those whose last call failed
}

// NewDelegateSelector returns a selector among the members.
func NewDelegateSelector(members *Members, clock ramp.Clock) *DelegateSelector {
	return &DelegateSelector{
		members: members, clock: clock,
		failed: ramp.NewTable[string, delegateState](ramp.RankDaemons),
	}
}

// Select implements [ramp.DelegateSelector].
func (h *DelegateSelector) Select(domain string) (ramp.Daemon, bool) {
	now := h.clock.Now()
	candidates := h.members.filter(func(m member) bool {
		return m.daemon.Domain == domain && !m.daemon.Leaving && !m.unresponsive && m.daemon.Incarnation != h.members.self
	})
	turn := int(h.selections.Add(1))
	for i := range candidates {
		d := candidates[(turn+i)%len(candidates)]
		if failed, _ := h.failed.Get(d.Incarnation); !now.Before(failed.retryAt) {
			return d, true
		}
	}
	return ramp.Daemon{}, false
}

// Report implements [ramp.DelegateSelector].
func (h *DelegateSelector) Report(d ramp.Daemon, inTime bool) {
	now := h.clock.Now()
	if inTime {
		h.failed.Delete(d.Incarnation)
		return
	}
	h.failed.Update(d.Incarnation, func(old delegateState) delegateState { return old.withFailure(now) })
}
