// Package fleet holds the state that daemons share: the lists and routes in
// force and the members of the fleet. It follows the platform's store and
// gossips with other daemons.
package fleet

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// staleAfter is how long a daemon admits queries under its lists after the last
// confirmation from the store, direct or relayed by another daemon, while it
// reaches no majority of the fleet.
const staleAfter = 10 * time.Second

// listsHistorySize is the number of earlier versions that a daemon keeps, so
// that it can send other daemons a change instead of the whole lists.
const listsHistorySize = 16

// startupWait is how long a daemon that has just received its first lists
// refuses queries until another daemon answers. Its first read of the store may
// have been stale.
const startupWait = 3 * time.Second

// listsState is the state of the lists on a daemon. It is an immutable value.
type listsState struct {
	lists         ramp.Lists   // newest lists received; the version never decreases
	digest        ramp.Digest  // digest of lists
	confirmed     time.Time    // latest time at which the store had no version newer than lists
	firstReceived time.Time    // when the first lists were received
	history       []ramp.Lists // versions before lists, oldest first; never modified
}

// WithLists returns the state with newer lists. It keeps the time of the last
// confirmation: the store had no version newer than the old one at that time.
func (s listsState) WithLists(lists ramp.Lists, now time.Time) listsState {
	if s.lists.Version == 0 {
		s.firstReceived = now
	} else {
		past := append(slices.Clone(s.history), s.lists)
		s.history = past[max(0, len(past)-listsHistorySize):]
	}
	s.lists = lists
	s.digest = lists.Digest()
	return s
}

// WithConfirmed returns the state with the later of its confirmation and at.
func (s listsState) WithConfirmed(at time.Time) listsState {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	return s
}

// Lists keeps the newest lists that a daemon has received. An older version
// never replaces a newer one, whichever source it comes from. It implements
// [ramp.ListsCache].
type Lists struct {
	clock        ramp.Clock
	reachability *Reachability                   // recent calls to the other members
	state        *ramp.Table[string, listsState] // a single entry under the key ""
}

// NewLists returns a cache without lists.
func NewLists(clock ramp.Clock, reach *Reachability) *Lists {
	return &Lists{clock: clock, reachability: reach, state: ramp.NewTable[string, listsState](ramp.RankLists)}
}

// Refresh implements [ramp.ListsCache].
func (l *Lists) Refresh(lists ramp.Lists, started time.Time) bool {
	newer := l.Update(lists)
	l.Confirm(lists.Version, started)
	return newer
}

// Update implements [ramp.ListsCache].
func (l *Lists) Update(lists ramp.Lists) bool {
	now := l.clock.Now()
	newer := false
	l.state.Update("", func(s listsState) listsState {
		newer = lists.Version > s.lists.Version
		if newer {
			return s.WithLists(lists, now)
		}
		return s
	})
	return newer
}

// ApplyChange implements [ramp.ListsCache].
func (l *Lists) ApplyChange(c ramp.ListsChange) (bool, error) {
	s, _ := l.state.Get("")
	if c.Version <= s.lists.Version {
		return false, nil
	}
	next, err := s.lists.WithChanges(c)
	if err != nil {
		return false, err
	}
	return l.Update(next), nil
}

// Confirm implements [ramp.ListsCache]. It ignores a confirmation of another
// version than the daemon's own: with an older version the daemon is out of
// date, and with a newer one the confirmation came from a stale read.
func (l *Lists) Confirm(version uint64, at time.Time) {
	l.state.Update("", func(s listsState) listsState {
		if version != s.lists.Version {
			return s
		}
		return s.WithConfirmed(at)
	})
}

// Current implements [ramp.ListsCache].
func (l *Lists) Current() (lists ramp.Lists, confirmed time.Time) {
	s, _ := l.state.Get("")
	return s.lists, s.confirmed
}

// Version implements [ramp.ListsCache].
func (l *Lists) Version() (uint64, ramp.Digest) {
	s, _ := l.state.Get("")
	return s.lists.Version, s.digest
}

// ChangesSince implements [ramp.ListsCache].
func (l *Lists) ChangesSince(version uint64, digest ramp.Digest) (whole ramp.Lists, change ramp.ListsChange) {
	s, _ := l.state.Get("")
	if version >= s.lists.Version {
		return ramp.Lists{}, ramp.ListsChange{}
	}
	for _, base := range slices.Backward(s.history) {
		if base.Version == version && base.Digest() == digest {
			return ramp.Lists{}, s.lists.Changes(base)
		}
	}
	return s.lists, ramp.ListsChange{}
}

// Freshness implements [ramp.ListsCache].
func (l *Lists) Freshness(now time.Time) ramp.Freshness {
	s, _ := l.state.Get("")
	reached, peers := l.reachability.Count(now)
	return ramp.Freshness{
		Version: s.lists.Version, ConfirmedAge: now.Sub(s.confirmed), PeersReached: reached, Peers: peers,
	}
}

// Check implements [ramp.ListsCache]. It refuses in three cases: the daemon has
// no lists; no other daemon has answered yet and [startupWait] has not passed;
// or the lists may be out of date, because the daemon has had no confirmation
// from the store, direct or relayed, for [staleAfter], and reaches at most half
// of the fleet. When most of the fleet cannot reach the store either, the
// daemon continues to admit.
func (l *Lists) Check(now time.Time) error {
	s, _ := l.state.Get("")
	freshness := l.Freshness(now)
	switch {
	case freshness.Version == 0:
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun, Detail: "no lists are known yet"}
	case freshness.PeersReached == 0 && !l.reachability.HasNoPeers() && now.Sub(s.firstReceived) < startupWait:
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun, Detail: "no other daemon has answered yet"}
	case freshness.ConfirmedAge > staleAfter && !freshness.HasMajority():
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun, Detail: "the lists may be out of date"}
	}
	return nil
}
