package fleet

import (
	"slices"
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

// withFailure returns the state after another failure. Failures of calls that
// were in flight together count once.
func (h delegateState) withFailure(now time.Time) delegateState {
	if now.Before(h.retryAt) {
		return h
	}
	backoff := min(delegateBackoff<<min(h.failures, maxBackoffShift), maxDelegateBackoff)
	return delegateState{failures: h.failures + 1, retryAt: now.Add(backoff)}
}

// DelegateSelector selects the daemons that collect parts of answers. In each
// failure domain the replicas of a service have one such daemon, chosen by
// rendezvous hashing, so that few daemons share the connections to a replica and
// each of them uses its own often. It implements [ramp.DelegateSelector].
type DelegateSelector struct {
	members    *Members
	clock      ramp.Clock
	selections atomic.Uint64                      // selections in a small fleet so far; selects the next candidate
	failed     *ramp.Table[string, delegateState] // by incarnation, of those whose last call failed
}

// NewDelegateSelector returns a selector among the members.
func NewDelegateSelector(members *Members, clock ramp.Clock) *DelegateSelector {
	return &DelegateSelector{
		members: members, clock: clock,
		failed: ramp.NewTable[string, delegateState](ramp.RankDaemons),
	}
}

// Grouped implements [ramp.DelegateSelector]. In a small fleet each daemon itself uses
// its connections to a replica often, and sees soon when the replica stalls.
func (h *DelegateSelector) Grouped() bool { return h.members.members.Len() > smallFleet }

// Select implements [ramp.DelegateSelector]. In a small fleet it selects one daemon for
// all services, each candidate in turn, since fewer calls are cheaper there.
func (h *DelegateSelector) Select(domain string, services []string) []ramp.Delegate {
	candidates := h.candidates(domain)
	selected := make([]ramp.Delegate, len(services))
	if len(candidates) == 0 {
		return selected
	}
	if !h.Grouped() {
		turn := int(h.selections.Add(1) % uint64(len(candidates)))
		candidates = candidates[turn : turn+1]
	}
	hashes := make([]uint64, len(candidates))
	for i, d := range candidates {
		hashes[i] = ramp.HashKey(d.Incarnation)
	}
	weights := delegateWeights(candidates)
	for i, service := range services {
		d := candidates[highestHash(ramp.HashKey(service), hashes, weights)]
		selected[i] = ramp.Delegate{Daemon: d, Self: d.Incarnation == h.members.self}
	}
	return selected
}

// Count implements [ramp.DelegateSelector].
func (h *DelegateSelector) Count(domain string) int {
	return equivalents(h.candidates(domain), h.members.All())
}

// candidates returns the daemons of the failure domain that may be selected, this
// daemon included, sorted by id.
func (h *DelegateSelector) candidates(domain string) []ramp.Daemon {
	now := h.clock.Now()
	responsive := h.members.filter(func(m member) bool {
		isSelf := m.daemon.Incarnation == h.members.self
		return m.daemon.Domain == domain && !m.daemon.Leaving && (isSelf || !m.failedRecently(now))
	})
	return slices.DeleteFunc(responsive, func(d ramp.Daemon) bool {
		failed, _ := h.failed.Get(d.Incarnation)
		return d.Incarnation != h.members.self && now.Before(failed.retryAt)
	})
}

// Report implements [ramp.DelegateSelector].
func (h *DelegateSelector) Report(d ramp.Daemon, inTime bool) {
	now := h.clock.Now()
	h.members.RecordCall(d.Incarnation, inTime)
	if inTime {
		h.failed.Delete(d.Incarnation)
		h.members.MarkSeen(d)
		return
	}
	h.members.MarkUnresponsive(d.Incarnation) // until it answers gossip
	h.failed.Update(d.Incarnation, func(old delegateState) delegateState { return old.withFailure(now) })
}

// mixHashes returns the weight of a daemon for a key in rendezvous hashing, from
// the hashes of both. It is the finaliser of splitmix64.
func mixHashes(key, daemon uint64) uint64 {
	x := key<<32 ^ daemon
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
