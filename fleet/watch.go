package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times and rates of reading the store.
const (
	watchWait       = 5 * time.Second        // of a watch for members
	confirmWait     = time.Second            // of a watch for lists; bounds the age of a confirmation
	pausePeriod     = 500 * time.Millisecond // between calls after a failed one
	settlePerMember = time.Millisecond       // between watches for members, for each member
	quietAfter      = 6 * time.Second        // age of the lists' confirmation at which a daemon reads by itself
	fallbackRate    = 200                    // reads a second of all daemons that read by themselves
	fallbackFloor   = time.Second            // least mean time between such reads of a daemon
)

// StaleError is a read of the store that returned an older state than one
// before.
type StaleError struct {
	Revision uint64 // of the store, as the read says
	Seen     uint64 // of the read before
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stale read: revision=%d seen=%d", e.Revision, e.Seen)
}

// storeTurn says whether and how a daemon reads the store now.
type storeTurn struct {
	reads bool          // false for a daemon that others tell
	wait  time.Duration // of the watch; 0 for a plain read
	pause time.Duration // before the next turn
}

// turn returns what the daemon does now. Few daemons of each failure domain
// watch. The others read only when no confirmation reaches them by way of other
// daemons, at a rate that the store can bear from all of them together.
func (f *Follower) turn(wait time.Duration) storeTurn {
	now := f.Clock.Now()
	members := f.Roster.Live(now)
	if Watches(f.self(), members) {
		return storeTurn{reads: true, wait: wait}
	}
	_, confirmed := f.Lists.Current()
	if now.Sub(confirmed) <= quietAfter {
		return storeTurn{pause: pausePeriod}
	}
	mean := max(fallbackFloor, time.Duration(len(members))*time.Second/fallbackRate)
	return storeTurn{reads: true, pause: f.jitter(mean)}
}

// listsRead is what a daemon knows from its own reads of the lists. It is an
// immutable value.
type listsRead struct {
	revision uint64 // of the store, at the last read
	version  uint64 // of the lists at that revision
}

// watchLists keeps the lists up to date from the store.
func (f *Follower) watchLists(ctx context.Context) {
	var last listsRead
	for ctx.Err() == nil {
		turn := f.turn(confirmWait)
		if turn.reads {
			var err error
			last, err = f.readLists(ctx, last, turn.wait)
			if err != nil {
				f.Log.Warn("lists not read", "error", err)
				turn.pause = max(turn.pause, pausePeriod)
			}
		}
		_ = ramp.Sleep(ctx, f.Clock, turn.pause)
	}
}

// readLists reads the lists once and takes them in. A stale read, which it
// returns as a [*StaleError], confirms nothing.
func (f *Follower) readLists(ctx context.Context, last listsRead, wait time.Duration) (listsRead, error) {
	started := f.Clock.Now()
	lists, current, err := f.Registry.WatchLists(ctx, last.revision, wait)
	switch {
	case isCompacted(err):
		return listsRead{version: last.version}, err
	case err != nil:
		return last, err
	case current < last.revision || lists.Version > 0 && lists.Version < last.version:
		return last, &StaleError{Revision: current, Seen: last.revision}
	}
	last.revision = current
	last.version = max(last.version, lists.Version)
	f.confirm(lists, last.version, started)
	return last, nil
}

// confirm takes in a reply of the store, which brought lists or said that the
// given version is still the newest.
func (f *Follower) confirm(lists ramp.Lists, version uint64, started time.Time) {
	if lists.Version < version {
		f.Lists.Confirm(version, started)
		return
	}
	if f.Lists.Refresh(lists, started) {
		f.Log.Info("lists in force", "version", lists.Version, "edit", lists.Edit, "source", "store")
	}
}

// watchMembers keeps the roster up to date from the store.
func (f *Follower) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		turn := f.turn(watchWait)
		if turn.reads {
			if err := f.readMembers(ctx, turn.wait); err != nil {
				f.Log.Warn("daemons not read", "error", err)
				turn.pause = max(turn.pause, pausePeriod)
			}
			turn.pause = max(turn.pause, f.settle())
		}
		_ = ramp.Sleep(ctx, f.Clock, turn.pause)
	}
}

// readMembers reads the registrations once and takes them in.
func (f *Follower) readMembers(ctx context.Context, wait time.Duration) error {
	after := f.Roster.Revision()
	members, current, err := f.Registry.WatchMembers(ctx, after, wait)
	if isCompacted(err) {
		after = 0
		members, current, err = f.Registry.WatchMembers(ctx, after, 0)
	}
	if err != nil {
		return err
	}
	f.applyMembers(ramp.MemberChange{FromRevision: after, ToRevision: current, Members: members})
	return nil
}

// settle returns how long to wait after a change of the membership, so that in
// a large fleet changes that come close together are read together.
func (f *Follower) settle() time.Duration {
	return min(time.Duration(len(f.Roster.Live(f.Clock.Now())))*settlePerMember, pausePeriod)
}

// applyMembers takes in a change of the membership.
func (f *Follower) applyMembers(c ramp.MemberChange) {
	if !f.Roster.Apply(c, f.Clock.Now()) {
		return
	}
	f.publishMembers()
	for _, m := range c.Members {
		f.Log.Debug("member changed", "daemon", m.ID, "incarnation", m.Incarnation, "gone", m.Removed)
	}
}

// publishMembers passes the roster on to those who use it.
func (f *Follower) publishMembers() {
	now := f.Clock.Now()
	f.Members.Replace(f.Roster.Live(now))
	f.Reach.Expect(len(f.others()))
}

// isCompacted reports whether the store no longer knows the changes asked for.
func isCompacted(err error) bool {
	var missing *ramp.NotFoundError
	return errors.As(err, &missing)
}
