// Package fleet keeps what the daemons of the system agree on: the lists in
// force and the members of the fleet. It follows the platform and passes news
// on between daemons.
package fleet

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// staleAfter is how long a daemon goes on under its lists without word from
// the store, of its own or by way of other daemons, and without contact to most
// of the fleet.
const staleAfter = 10 * time.Second

// keptLists is how many earlier versions a daemon keeps, to tell others what
// has changed since.
const keptLists = 16

// settleTime is how long a daemon that has just started waits for word from
// another one. What it read from the store may have been stale.
const settleTime = 3 * time.Second

// inForce is the state of the lists on a daemon. It is an immutable value.
type inForce struct {
	lists     ramp.Lists   // the newest lists seen; its version never decreases
	digest    ramp.Digest  // of lists
	confirmed time.Time    // when the store still had no newer version than lists
	first     time.Time    // when the first lists were learnt
	past      []ramp.Lists // versions before lists, oldest first; never modified
}

// WithLists returns the state with newer lists. They are not confirmed by an
// older confirmation, which remains true of the time it was made.
func (s inForce) WithLists(lists ramp.Lists, now time.Time) inForce {
	if s.lists.Version == 0 {
		s.first = now
	} else {
		past := append(slices.Clone(s.past), s.lists)
		s.past = past[max(0, len(past)-keptLists):]
	}
	s.lists = lists
	s.digest = lists.Digest()
	return s
}

// WithConfirmed returns the state with the later of two confirmations.
func (s inForce) WithConfirmed(at time.Time) inForce {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	return s
}

// Lists keeps the newest lists a daemon has seen. An older version never
// replaces a newer one, wherever it comes from. It implements [ramp.ListsCache].
type Lists struct {
	clock ramp.Clock
	reach *Reach                       // contacts to the other members
	state *ramp.Table[string, inForce] // one entry
}

// NewLists returns a keeper without lists.
func NewLists(clock ramp.Clock, reach *Reach) *Lists {
	return &Lists{clock: clock, reach: reach, state: ramp.NewTable[string, inForce](ramp.RankLists)}
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
	l.state.Update("", func(s inForce) inForce {
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

// Confirm implements [ramp.ListsCache]. The word is of no use to a daemon that has
// another version: with an older one it is out of date, with a newer one the word
// came from a stale read.
func (l *Lists) Confirm(version uint64, at time.Time) {
	l.state.Update("", func(s inForce) inForce {
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
	for _, base := range slices.Backward(s.past) {
		if base.Version == version && base.Digest() == digest {
			return ramp.Lists{}, s.lists.Changes(base)
		}
	}
	return s.lists, ramp.ListsChange{}
}

// Freshness implements [ramp.ListsCache].
func (l *Lists) Freshness(now time.Time) ramp.Freshness {
	s, _ := l.state.Get("")
	reached, others := l.reach.Count(now)
	return ramp.Freshness{
		Version: s.lists.Version, ConfirmedAge: now.Sub(s.confirmed), PeersReached: reached, Peers: others,
	}
}

// Check implements [ramp.ListsCache]. The daemon refuses while it has no lists,
// until it has heard another daemon or waited for one, and when its lists may be
// out of date: the store has not confirmed them lately, neither to this daemon
// nor to one that told it so, and the daemon is cut off from half of the fleet or
// more. A store that most of the fleet cannot reach either does not stop it.
func (l *Lists) Check(now time.Time) error {
	s, _ := l.state.Get("")
	standing := l.Freshness(now)
	switch {
	case standing.Version == 0:
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun, Detail: "no lists are known yet"}
	case standing.PeersReached == 0 && !l.reach.Alone() && now.Sub(s.first) < settleTime:
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun, Detail: "no other daemon was heard yet"}
	case standing.ConfirmedAge > staleAfter && !standing.HasMajority():
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun, Detail: "the lists may be out of date"}
	}
	return nil
}
