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
	memberWatchWait     = 5 * time.Second        // wait of a watch for members
	listsWatchWait      = time.Second            // wait of a watch for lists; bounds the age of a confirmation
	retryPause          = 500 * time.Millisecond // between calls after a failed one
	batchDelayPerMember = time.Millisecond       // for each member, between watches for members
	fallbackAfter       = 6 * time.Second        // age of the confirmation at which non-watchers read the store
	fallbackRate        = 200                    // reads per second of all non-watchers together
	minFallbackInterval = time.Second            // least mean time between reads of one non-watcher
)

// StaleReadError is a read of the store that returned an older state than an
// earlier read.
type StaleReadError struct {
	At   ramp.Position // position of the store in this read
	Seen ramp.Position // position of the store in the earlier read
}

// Error implements error.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("stale read: revision=%d era=%d seen=%d era=%d",
		e.At.Revision, e.At.Era, e.Seen.Revision, e.Seen.Era)
}

// readPlan says whether and how a daemon reads the store now.
type readPlan struct {
	read  bool          // whether to read the store; false if other daemons supply the changes
	wait  time.Duration // wait of the watch; 0 for a plain read
	pause time.Duration // time until the next plan
}

// planRead returns how the daemon reads the store now, where wait is the wait
// of a watch. Only the watchers of each failure domain watch. The other daemons
// read only when no confirmation reaches them through gossip, and then at a
// rate that all of them together keep below [fallbackRate].
func (f *Follower) planRead(wait time.Duration) readPlan {
	now := f.Clock.Now()
	members := f.Registrations.Live(now)
	if IsWatcher(f.self(), members) {
		return readPlan{read: true, wait: wait}
	}
	_, confirmed := f.Lists.Current()
	if now.Sub(confirmed) <= fallbackAfter {
		return readPlan{pause: retryPause}
	}
	mean := max(minFallbackInterval, time.Duration(len(members))*time.Second/fallbackRate)
	return readPlan{read: true, pause: f.jitter(mean)}
}

// listsCursor is the position of the daemon's own reads of the lists. It is an
// immutable value.
type listsCursor struct {
	at      ramp.Position // position of the store at the last read
	version uint64        // version of the lists at that position
}

// watchLists keeps the lists up to date from the store.
func (f *Follower) watchLists(ctx context.Context) {
	var last listsCursor
	for ctx.Err() == nil {
		plan := f.planRead(listsWatchWait)
		if plan.read {
			var err error
			last, err = f.readLists(ctx, last, plan.wait)
			if err != nil {
				f.Log.Warn("reading the lists failed", "error", err)
				plan.pause = max(plan.pause, retryPause)
			}
		}
		_ = ramp.Sleep(ctx, f.Clock, plan.pause)
	}
}

// readLists reads the lists once, applies them and returns the new cursor. It
// returns a [*StaleReadError] for a stale read, which confirms nothing.
func (f *Follower) readLists(ctx context.Context, last listsCursor, wait time.Duration) (listsCursor, error) {
	started := f.Clock.Now()
	lists, current, err := f.Registry.WatchLists(ctx, last.at, wait)
	restored := current.Era != last.at.Era
	switch {
	case isCompacted(err):
		return listsCursor{version: last.version}, err
	case err != nil:
		return last, err
	case current.Compare(last.at) < 0 || !restored && lists.Version > 0 && lists.Version < last.version:
		return last, &StaleReadError{At: current, Seen: last.at}
	}
	if last.at = current; restored {
		last.version = lists.Version
	}
	last.version = max(last.version, lists.Version)
	f.applyListsReply(lists, last.version, started)
	if version, _ := f.Lists.Version(); last.version < version {
		return last, f.rewriteLists(ctx)
	}
	return last, nil
}

// rewriteLists writes the lists of this daemon to a store that was restored from a copy with
// older ones, since nobody else does. It leaves lists alone that this daemon has not had.
func (f *Follower) rewriteLists(ctx context.Context) error {
	stored, revision, err := f.Registry.Lists(ctx)
	own, _ := f.Lists.Current()
	if err != nil || stored.Version >= own.Version {
		return err
	}
	if _, change := f.Lists.ChangesSince(stored.Version, stored.Digest()); stored.Version > 0 && change.Version == 0 {
		f.Log.Error("lists of the restored store differ from the earlier ones", "stored", stored.Version,
			"version", own.Version)
		return nil
	}
	if err := f.Registry.SwapLists(ctx, own, revision); err != nil {
		return err
	}
	f.Log.Warn("lists written again after the store was restored", "stored", stored.Version, "version", own.Version)
	return nil
}

// applyListsReply applies a reply of the store to a call started at the given
// time. Lists older than version stand for a reply without lists, which
// confirms that version as the newest.
func (f *Follower) applyListsReply(lists ramp.Lists, version uint64, started time.Time) {
	if lists.Version < version {
		f.Lists.Confirm(version, started)
		return
	}
	if f.Lists.Refresh(lists, started) {
		f.Log.Info("lists applied", "version", lists.Version, "edit", lists.Edit, "source", "store")
	}
}

// watchMembers keeps the registrations up to date from the store.
func (f *Follower) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		plan := f.planRead(memberWatchWait)
		if plan.read {
			if err := f.readMembers(ctx, plan.wait); err != nil {
				f.Log.Warn("reading the registrations failed", "error", err)
				plan.pause = max(plan.pause, retryPause)
			}
			plan.pause = max(plan.pause, f.batchDelay())
		}
		_ = ramp.Sleep(ctx, f.Clock, plan.pause)
	}
}

// readMembers reads the changed registrations once and applies them.
func (f *Follower) readMembers(ctx context.Context, wait time.Duration) error {
	change, err := f.Registry.WatchMembers(ctx, f.Registrations.Position(), wait)
	if isCompacted(err) {
		change, err = f.Registry.WatchMembers(ctx, ramp.Position{}, 0)
	}
	if err != nil {
		return err
	}
	f.applyMembers(change)
	return nil
}

// batchDelay returns how long to wait after reading the members, at most
// [retryPause], so that changes that come close together in a large fleet are
// read together.
func (f *Follower) batchDelay() time.Duration {
	return min(time.Duration(len(f.Registrations.Live(f.Clock.Now())))*batchDelayPerMember, retryPause)
}

// applyMembers applies a change of the membership.
func (f *Follower) applyMembers(c ramp.MemberChange) {
	if !f.Registrations.Apply(c, f.Clock.Now()) {
		return
	}
	f.publishMembers()
	for _, m := range c.Members {
		f.Log.Debug("member changed", "daemon", m.ID, "incarnation", m.Incarnation, "gone", m.Removed)
	}
}

// publishMembers updates the members from the registrations, and the number of
// other members of which a majority is counted.
func (f *Follower) publishMembers() {
	now := f.Clock.Now()
	f.Members.Replace(f.Registrations.Live(now))
	f.Reachability.SetPeers(len(f.otherMembers()))
}

// isCompacted reports whether the store no longer has the requested changes.
func isCompacted(err error) bool {
	var missing *ramp.NotFoundError
	return errors.As(err, &missing)
}
