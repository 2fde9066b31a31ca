package fleet

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times after the store was found restored from an older copy. What the operator and the
// replicas had written since the copy was taken is written again, not all of it at once.
const (
	// restoreSettle is the time for which nothing confirms the view. A change that was
	// acknowledged right before the outage may be known to no daemon.
	restoreSettle = 500 * time.Millisecond
	// restoreHold is the time after which what the copy lacks counts as not written again. It
	// is longer than the store keeps the entries of replicas that have ended.
	restoreHold = 10 * time.Second
)

// sourceHold is the source of an entry that was held.
const sourceHold = "hold"

// restoration is the discovery that the store was restored. It is an immutable value.
type restoration struct {
	at time.Duration // uptime
}

// recordRestoration records that the view has begun another era.
func (o *Observer) recordRestoration(before, at ramp.Position, source string) {
	o.restoration.Store(&restoration{at: o.Boot.Uptime()})
	o.Log.Warn("store was restored from an older copy", "era", at.Era, "revision", at.Revision,
		"before", before.Era, "reached", before.Revision, "source", source)
}

// heldEntry is an entry of a copy, or the lack of one, that takes back what this daemon knows
// to have been acknowledged. It is an immutable value.
type heldEntry struct {
	ramp.Entry
	until time.Duration // uptime at which it applies, unless the entry is written again before
}

// takesBack reports whether an entry with which a restored store begins takes back what this
// daemon has seen: a replica or a daemon that had left, or the lack of an evacuation.
func (o *Observer) takesBack(e ramp.Entry, r ramp.Record) bool {
	switch {
	case r.Evacuated != "":
		return e.Removed
	case e.Removed:
		return false
	case r.Instance != nil:
		return o.Replicas.Departed(*r.Instance)
	case r.Member != nil:
		_, left := o.deregistered.Get(r.Member.Incarnation)
		return left
	}
	return false
}

// hold puts off the entry until it is written again, or for restoreHold.
func (o *Observer) hold(e ramp.Entry) {
	o.held.Put(e.Key, heldEntry{Entry: e, until: o.Boot.Uptime() + restoreHold})
	o.Log.Info("entry of the restored store held", "key", e.Key, "revision", e.Revision, "removed", e.Removed)
}

// applyHeld applies the entries that were held for long enough.
func (o *Observer) applyHeld() {
	o.applyMutex.Lock()
	defer o.applyMutex.Unlock()
	now, notBefore := o.Boot.Uptime(), o.changedNotBefore()
	var due []ramp.Entry
	o.held.DeleteFunc(func(_ string, h heldEntry) bool {
		if now < h.until {
			return false
		}
		due = append(due, h.Entry)
		return true
	})
	for _, e := range due {
		record := o.translate(e, sourceHold)
		if record.Evacuated != "" {
			o.applyEvacuation(e, record.Evacuated, notBefore, sourceHold)
		}
		o.applyEntry(e, record, notBefore, sourceHold)
	}
}

// keepMissing keeps a daemon a member for as long as one without a registration that sent a
// message, since the store of the new era may lack its registration for a moment.
func (o *Observer) keepMissing(m ramp.Member) {
	if d, registered := o.registered.Get(m.Incarnation); registered && m.Incarnation != o.Self.Incarnation {
		o.seen.Put(m.Incarnation, seenDaemon{daemon: d, at: o.Clock.Now()})
	}
}

// hasSettled reports whether the view of the store contains what the store had acknowledged
// before it was restored, as far as this daemon can know: the newest configuration.
func (o *Observer) hasSettled() bool {
	last := o.restoration.Load()
	if last == nil {
		return true
	}
	since := o.Boot.Uptime() - last.at
	routing, _ := o.Routes.Current()
	return since >= restoreHold || since >= restoreSettle && o.stored.Load() >= routing.Version
}
