package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times and sizes of the observer.
const (
	// observerWatchWait is the longest wait of a watch. With the delay of its reply it
	// stays below the bound on contact with the store.
	observerWatchWait = 2 * time.Second
	// watchWaitDivisor divides the bound on applying a change into the wait of a watch
	// in a fleet whose other daemons hear from the watchers: with the time that gossip
	// takes, the store's word reaches them before they would watch it themselves.
	watchWaitDivisor = 3
	// observerPause is the pause after a failed call, which doubles with each further
	// failure, and the pause between checks of whether to watch.
	observerPause = 250 * time.Millisecond
	// observerMaxPause is the longest pause after failed calls. It limits the
	// cost of failed calls, which the platform charges like others.
	observerMaxPause      = time.Second
	observerGossipPeriod  = 400 * time.Millisecond
	observerGossipTimeout = 500 * time.Millisecond
	// selfWatchShare is the share of the bound on applying a change: when the last
	// confirmation from the store is older, any daemon reads the store itself. The rest
	// is for that: a call that hangs and is given up, a pause, a reply over a slow link.
	selfWatchShare = 2.0 / 3
	// confirmWatchShare is the like share of the time within which keys need a confirmation.
	confirmWatchShare = 5.0 / 6
	// relayTime is the time within which the word of a watcher reaches a daemon of its
	// failure domain: two periods of gossip, since one in [randomPeriod] goes to another
	// daemon, and the exchange itself.
	relayTime = 2*observerGossipPeriod + 100*time.Millisecond
	// smallFleet is the greatest number of members with which all of them watch the
	// store.
	smallFleet = 8
	// seenLife is how long a daemon without an entry in the store stays a member after
	// its last gossip message.
	seenLife = 3 * time.Second
	// fleetSizeLife is how long a larger size of the fleet counts after the fleet has
	// shrunk. It is as long as the usage of the larger fleet may count against the
	// shared bounds.
	fleetSizeLife = 10 * time.Second
	// batchDivisor sets the time for which changes of the store accumulate before they
	// are read together: the bound divided by it.
	batchDivisor = 10
	expirePeriod = 500 * time.Millisecond
)

// maxBackoffShift bounds how often a pause doubles.
const maxBackoffShift = 8

// Observer keeps a daemon's view of the store up to date, from the store itself
// or from other daemons, and sends other daemons the changes that they lack.
// All fields must be set before Init.
type Observer struct {
	Clock      ramp.Clock
	Log        *slog.Logger
	Self       ramp.Daemon
	Store      ramp.Store
	Registry   ramp.Registry
	Translator ramp.Translator
	Peers      ramp.Peers
	Pool       *ramp.Pool
	Mirror     *Mirror
	Routes     *Routes
	Members    *Members
	Replicas   ramp.InstanceTracker
	ApplyBound time.Duration        // within which a change in the store must take effect
	Seeds      func() []ramp.Daemon // daemons to contact while no member is known; only PeerAddress is set
	Leaving    <-chan struct{}      // closed when the daemon starts to leave

	Blocks        ramp.BlockList // shares blocked messages with other daemons; nil for none
	Boot          ramp.BootClock // times confirmations; nil for Clock
	Authorization *Authorization // is told of versions and confirmations; nil if keys need none

	ObserveRead   func(StoreRead)     // is told of each read of the store; nil for none
	ObserveGossip func(GossipOutcome) // is told of each exchange that this daemon began; nil for none

	confirmed     atomic.Pointer[confirmation]     // last one from the store; nil for none
	restoration   atomic.Pointer[restoration]      // when the store was last found restored; nil for never
	stored        atomic.Uint64                    // version of the configuration in the view; 0 for none
	outageEndedAt atomic.Pointer[time.Duration]    // uptime of the end of the last outage of the store; nil for none
	announcing    atomic.Bool                      // blocked messages were announced within announcePeriod
	announceAgain atomic.Bool                      // there are others since
	gossipTurn    atomic.Uint64                    // gossip periods so far; selects the next target
	replies       *replyBudget                     // for the changes that other daemons lack
	storeTried    chan struct{}                    // closed when the first call to the store has succeeded or failed
	applyMutex    *ramp.Mutex                      // held while a change is applied
	started       time.Time                        // when Init was called
	fleetSize     *ramp.Table[string, fleetSize]   // a single entry under the key ""
	registered    *ramp.Table[string, ramp.Daemon] // by incarnation, as listed in the store
	deregistered  *ramp.Table[string, time.Time]   // by incarnation, when its registration was found removed
	held          *ramp.Table[string, heldEntry]   // by key, see hold
	seen          *ramp.Table[string, seenDaemon]  // by incarnation, from gossip
	reachable     *ramp.Table[string, bool]        // by dependency, whether its last call was answered
}

// StoreRead is a read of the store that has ended. It is an immutable value.
type StoreRead struct {
	Overdue bool          // the daemon is no watcher, and read because its last confirmation was too old
	Age     time.Duration // age of the last confirmation when the read began; 0 if there was none
	Elapsed time.Duration
	From    uint64 // revision after which changes were asked for; 0 for all entries
	To      uint64 // revision of the reply; 0 if the read failed
	Era     uint64 // era of the store in the reply; 0 if it is not known
	Entries int    // entries in the reply
	Partial bool   // the reply may not reach the present
	Stale   bool   // the reply is older than the view, and was dropped
	Err     error
}

// confirmation is the word of the store that the view of an era was complete. It is an
// immutable value.
type confirmation struct {
	era uint64
	at  time.Duration // uptime for which the view was complete
}

// seenDaemon is a daemon as stated in its own last gossip message. It is an
// immutable value.
type seenDaemon struct {
	daemon ramp.Daemon
	at     time.Time // when the message arrived
}

// Init prepares the observer for gossip messages. It must be called before Run.
func (o *Observer) Init() {
	o.applyMutex = ramp.NewMutex(ramp.RankStoreChanges)
	o.storeTried = make(chan struct{})
	o.replies = newReplyBudget(o.Self.Capacity.Link, o.Clock)
	o.started = o.Clock.Now()
	if o.Boot == nil {
		o.Boot = clockUptime{clock: o.Clock, started: o.started}
	}
	o.fleetSize = ramp.NewTable[string, fleetSize](ramp.RankDaemons)
	o.registered = ramp.NewTable[string, ramp.Daemon](ramp.RankDaemons)
	o.deregistered = ramp.NewTable[string, time.Time](ramp.RankDaemons)
	o.held = ramp.NewTable[string, heldEntry](ramp.RankDaemons)
	o.seen = ramp.NewTable[string, seenDaemon](ramp.RankDaemons)
	o.reachable = ramp.NewTable[string, bool](ramp.RankDaemons)
	o.gossipTurn.Store(ramp.HashKey(o.Self.Incarnation)) // daemons that start together ask different ones
}

// Run keeps the view up to date until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	tasks := []func(context.Context){o.registrar().run, o.watchStore, o.gossip, o.expireReplicas}
	ended := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			task(ctx)
			ended <- struct{}{}
		}()
	}
	for range tasks {
		<-ended
	}
}

// registrar returns the registrar of the daemon.
func (o *Observer) registrar() registrar {
	return registrar{
		clock: o.Clock, log: o.Log, daemon: o.Self, registry: o.Registry, leaving: o.Leaving,
		members: func() int { return o.registered.Len() }, era: func() uint64 { return o.Mirror.Position().Era },
	}
}

// FleetSize returns the number of daemons that share bounds with this one: the
// greatest number of members within [fleetSizeLife], and at least [smallFleet]
// during the first [leaseTTL], while some daemons may not be known yet.
func (o *Observer) FleetSize() int {
	now := o.Clock.Now()
	size, _ := o.fleetSize.Get("")
	if now.Sub(o.started) < leaseTTL {
		return max(size.peak, smallFleet)
	}
	return max(size.peak, 1)
}

// recordFleetSize records the current number of members.
func (o *Observer) recordFleetSize(members int) {
	now := o.Clock.Now()
	o.fleetSize.Update("", func(old fleetSize) fleetSize {
		if members >= old.peak || now.Sub(old.at) > fleetSizeLife {
			return fleetSize{peak: members, at: now}
		}
		return old
	})
}

// fleetSize is the greatest recent number of members. It is an immutable value.
type fleetSize struct {
	peak int
	at   time.Time // when the number of members last reached peak
}

// clockUptime is a [ramp.BootClock] that a [ramp.Clock] drives, for machines that are never
// suspended.
type clockUptime struct {
	clock   ramp.Clock
	started time.Time
}

// Uptime implements [ramp.BootClock].
func (c clockUptime) Uptime() time.Duration { return c.clock.Now().Sub(c.started) }

// ConfirmedAge returns the age of the last confirmation from the store, and reports
// whether there was one. It counts the time for which the machine was suspended, so that
// other daemons can rely on it.
func (o *Observer) ConfirmedAge() (time.Duration, bool) {
	last := o.confirmed.Load()
	if last == nil {
		return 0, false
	}
	return o.Boot.Uptime() - last.at, true
}

// confirmBound returns the time within which the confirmation from the store is renewed.
func (o *Observer) confirmBound() time.Duration {
	if o.Authorization == nil {
		return o.ApplyBound
	}
	return min(o.ApplyBound, o.Authorization.ConfirmWithin())
}

// isWatcher reports whether the daemon watches the store all the time: all daemons of a
// small fleet do, and the watchers of each failure domain in a larger one.
func (o *Observer) isWatcher() bool {
	members := o.Members.All()
	return len(members) <= smallFleet || IsWatcher(o.Self, members)
}

// isOverdue reports whether the last confirmation from the store is so old that any daemon
// watches the store itself.
func (o *Observer) isOverdue() bool {
	age, known := o.ConfirmedAge()
	return !known || age > o.selfWatchAge()
}

// selfWatchAge is the greatest age of a confirmation that is not overdue.
func (o *Observer) selfWatchAge() time.Duration {
	age := time.Duration(selfWatchShare * float64(o.ApplyBound))
	if o.Authorization != nil {
		age = min(age, time.Duration(confirmWatchShare*float64(o.Authorization.ConfirmWithin())))
	}
	return age
}

// Registered reports whether the store lists this daemon, by the daemon's view of the store.
func (o *Observer) Registered() bool {
	_, registered := o.registered.Get(o.Self.Incarnation)
	return registered
}

// InTouch reports whether other daemons count this one as a member, as far as it knows: its
// view was confirmed within the lifetime of its registration and contains the registration.
func (o *Observer) InTouch() bool {
	age, known := o.ConfirmedAge()
	return known && age < leaseTTL && o.Registered()
}

// shouldWatch reports whether this daemon watches the store itself: a watcher, and any
// daemon whose last confirmation from the store is too old.
func (o *Observer) shouldWatch() bool { return o.isWatcher() || o.isOverdue() }

// watchWait returns the wait of a watch, which ends before the last confirmation is overdue,
// and in a fleet whose other daemons hear from the watchers so long before that the word
// reaches them. A daemon of a small fleet waits for longer, since no other relies on it.
func (o *Observer) watchWait() time.Duration {
	small := len(o.Members.All()) <= smallFleet
	if small && o.Authorization == nil {
		return observerWatchWait
	}
	age, known := o.ConfirmedAge()
	if !known {
		return 0
	}
	wait, left := min(observerWatchWait, o.confirmBound()/watchWaitDivisor), o.selfWatchAge()-age
	switch {
	case o.Authorization == nil:
		left -= relayTime
	case small:
		wait *= 2
	}
	return max(0, min(wait, left))
}

// idlePause returns the time until a daemon that does not watch the store checks again
// whether it should.
func (o *Observer) idlePause() time.Duration {
	age, known := o.ConfirmedAge()
	if !known {
		return observerPause
	}
	return min(observerPause, max(0, o.selfWatchAge()-age)+time.Millisecond)
}

// storeCursor is the state of the daemon's own reads of the store, which go on from the
// position of its view. It is an immutable value.
type storeCursor struct {
	partial  bool // the last reply may not have reached the present
	failures int  // calls that failed since the last reply
}

// WithFailure returns the cursor after a call that failed.
func (c storeCursor) WithFailure() storeCursor {
	c.failures++
	return c
}

// watchStore applies the changes of the store until ctx ends, whenever this
// daemon should watch it.
func (o *Observer) watchStore(ctx context.Context) {
	var cursor storeCursor
	tried := sync.OnceFunc(func() { close(o.storeTried) })
	for ctx.Err() == nil {
		if !o.shouldWatch() {
			_ = ramp.Sleep(ctx, o.Clock, o.idlePause())
			continue
		}
		var pause time.Duration
		cursor, pause = o.readStore(ctx, cursor)
		if ctx.Err() != nil {
			return
		}
		tried()
		if pause > 0 {
			_ = ramp.Sleep(ctx, o.Clock, pause)
		}
	}
}

// readStore watches the store once, and returns the new cursor and the pause before the next
// call. After a partial reply it reads on at once, and confirms nothing: changes that the
// reply lacks may be older than the call.
func (o *Observer) readStore(ctx context.Context, last storeCursor) (next storeCursor, pause time.Duration) {
	started, wait, at := o.Boot.Uptime(), o.watchWait(), o.Mirror.Position()
	if last.partial || last.failures > 0 {
		wait = 0 // after an outage, the era of the store must be known at once
	}
	age, _ := o.ConfirmedAge()
	change, err := o.watchFrom(ctx, at, wait)
	if ctx.Err() != nil {
		return last, 0
	}
	ended := o.Boot.Uptime()
	stale := err == nil && change.To().Compare(at) < 0
	o.observeRead(StoreRead{
		Overdue: !o.isWatcher(), Age: age, Elapsed: ended - started, From: change.FromRevision, To: change.ToRevision,
		Era: change.Era, Entries: len(change.Entries), Partial: change.Partial, Stale: stale, Err: err,
	})
	if err != nil {
		return last.WithFailure(), min(observerMaxPause, observerPause<<min(last.failures, maxBackoffShift))
	}
	if last.failures > 0 {
		o.recordOutage()
	}
	next = storeCursor{partial: change.Partial}
	o.applyChange(change, "store")
	switch {
	case stale:
		return next, observerPause
	case change.Partial:
		return next, 0
	}
	if !o.confirm(change.Era, confirmedAt(started, ended, wait, len(change.Entries))) {
		return next, observerPause
	}
	if len(change.Entries) > 0 {
		return next, o.ApplyBound / batchDivisor
	}
	return next, 0
}

// watchFrom watches the store after a position, or reads all entries if the store has no
// changes from there: it discarded them, or was restored from an older copy.
func (o *Observer) watchFrom(ctx context.Context, at ramp.Position, wait time.Duration) (ramp.EntryChange, error) {
	change, err := o.Store.Watch(ctx, "", at.Revision, wait)
	switch {
	case isCompacted(err):
		o.Log.Info("store history compacted, reading all entries", "after", at.Revision, "era", at.Era)
	case err == nil && at.Revision > 0 && change.Era != at.Era:
		o.Log.Info("store restored, reading all entries", "after", at.Revision, "era", at.Era, "current", change.Era)
	default:
		return change, err
	}
	return o.Store.Watch(ctx, "", 0, 0)
}

// observeRead reports a read of the store. It logs stale replies, and the reads of daemons that
// are no watchers, which are rare while watchers pass on what the store says.
func (o *Observer) observeRead(r StoreRead) {
	o.logReachability("store", r.Err)
	if r.Overdue || r.Stale {
		o.Log.Info("store read", "age", r.Age, "elapsed", r.Elapsed, "from", r.From, "to", r.To, "era", r.Era,
			"entries", r.Entries, "partial", r.Partial, "stale", r.Stale, "error", r.Err)
	}
	if o.ObserveRead != nil {
		o.ObserveRead(r)
	}
}

// confirmedAt returns the uptime for which a watch confirms the view. The store ends a
// watch without changes after the wait, counted from the arrival of the call. Any
// other reply may have been on its way since the call.
func confirmedAt(started, ended, wait time.Duration, changes int) time.Duration {
	if changes == 0 && ended-started >= wait {
		return started + wait
	}
	return started
}

// confirm records a confirmation from the store for the given uptime, by a view of the given
// era. It reports whether the daemon may rely on it.
func (o *Observer) confirm(era uint64, at time.Duration) bool {
	if era != o.Mirror.Position().Era || !o.hasSettled() {
		return false
	}
	next := &confirmation{era: era, at: at}
	for old := o.confirmed.Load(); old == nil || at > old.at; old = o.confirmed.Load() {
		if o.confirmed.CompareAndSwap(old, next) {
			break
		}
	}
	if o.Authorization != nil {
		o.Authorization.Confirm(at)
	}
	return true
}

// logReachability records whether a call to a dependency succeeded, and logs
// when the dependency becomes unreachable or reachable.
func (o *Observer) logReachability(dependency string, err error) {
	reachable, known := o.reachable.Get(dependency)
	o.reachable.Put(dependency, err == nil)
	switch {
	case err != nil && (reachable || !known):
		o.Log.Warn("dependency unreachable", "dependency", dependency, "error", err)
	case err == nil && !reachable:
		o.Log.Info("dependency reachable", "dependency", dependency)
	}
}

// recordOutage records that the store answers again after an outage.
func (o *Observer) recordOutage() {
	now := o.Boot.Uptime()
	o.outageEndedAt.Store(&now)
}

// changedNotBefore returns the earliest time at which the store can have acknowledged a
// change that the view does not contain yet: that of the last confirmation. It is zero
// without one. What the store changed during an outage counts from its end, since the
// entries that expired meanwhile are about to be written again.
func (o *Observer) changedNotBefore() time.Time {
	age, known := o.ConfirmedAge()
	if !known {
		return time.Time{}
	}
	if ended := o.outageEndedAt.Load(); ended != nil {
		age = min(age, o.Boot.Uptime()-*ended)
	}
	return o.Clock.Now().Add(-age)
}

// applyChange applies a change of the store.
func (o *Observer) applyChange(c ramp.EntryChange, source string) {
	o.applyMutex.Lock()
	defer o.applyMutex.Unlock()
	notBefore, before := o.changedNotBefore(), o.Mirror.Position()
	changed := o.Mirror.Apply(c)
	at := o.Mirror.Position()
	restored := at.Era != before.Era && before.Era > 0
	if restored {
		o.recordRestoration(before, at, source)
	}
	records := make([]ramp.Record, len(changed))
	for i, e := range changed {
		o.held.Delete(e.Key)
		records[i] = o.translate(e, source)
		if restored && o.takesBack(e, records[i]) {
			o.hold(e)
			records[i] = ramp.Record{}
		}
		if m := records[i].Member; restored && m != nil && m.Removed {
			o.keepMissing(*m)
		}
		if domain := records[i].Evacuated; domain != "" {
			o.applyEvacuation(e, domain, notBefore, source)
		}
	}
	for i, e := range changed {
		o.applyEntry(e, records[i], notBefore, source)
	}
	o.publishMembers()
}

// translate returns the record of an entry, the zero one for an unusable entry.
func (o *Observer) translate(e ramp.Entry, source string) ramp.Record {
	record, err := o.Translator.Translate(e)
	if err != nil {
		o.Log.Warn("store entry ignored", "key", e.Key, "revision", e.Revision, "source", source, "error", err)
		return ramp.Record{}
	}
	return record
}

// applyEvacuation applies the start or the end of an evacuation. It is applied before the
// other entries of a change, so that a daemon that reads the whole store does not use a
// replica in the failure domain before it knows of the evacuation.
func (o *Observer) applyEvacuation(e ramp.Entry, domain string, notBefore time.Time, source string) {
	if !o.Replicas.SetEvacuated(domain, !e.Removed, notBefore) {
		return
	}
	age, _ := o.ConfirmedAge()
	message := "evacuation applied"
	if e.Removed {
		message = "evacuation ended"
	}
	o.Log.Info(message, "zone", domain, "revision", e.Revision, "source", source, "age", age)
}

// applyEntry applies an entry that the store changed no earlier than notBefore.
func (o *Observer) applyEntry(e ramp.Entry, r ramp.Record, notBefore time.Time, source string) {
	age, _ := o.ConfirmedAge()
	switch {
	case r.Routing != nil:
		o.stored.Store(r.Routing.Version)
		if o.Authorization != nil {
			o.Authorization.Found(r.Routing.Version)
		}
		if o.Routes.Update(*r.Routing) {
			o.Log.Info("configuration applied", "version", r.Routing.Version, "routes", len(r.Routing.Routes),
				"revision", e.Revision, "source", source, "age", age)
		}
	case r.Instance != nil && e.Removed:
		if o.Replicas.MarkRemoved(r.Instance.ID, notBefore) {
			o.Log.Info("replica deregistered", "replica", r.Instance.ID, "revision", e.Revision, "source", source)
		}
	case r.Instance != nil:
		if o.Replicas.Update(*r.Instance, notBefore) {
			o.Log.Info("replica updated", "replica", r.Instance.ID, "service", r.Instance.Service,
				"address", r.Instance.Address, "state", r.Instance.State, "born", r.Instance.StartedMillis,
				"revision", e.Revision, "source", source)
		}
	case r.Member != nil && e.Removed:
		o.registered.Delete(r.Member.Incarnation)
		o.deregistered.Put(r.Member.Incarnation, o.Clock.Now())
		o.Log.Info("daemon deregistered", "daemon", r.Member.ID, "incarnation", r.Member.Incarnation, "source", source)
	case r.Member != nil:
		o.registered.Put(r.Member.Incarnation, r.Member.Daemon)
		o.deregistered.Delete(r.Member.Incarnation)
		o.Log.Info("daemon updated", "daemon", r.Member.ID, "incarnation", r.Member.Incarnation,
			"leaving", r.Member.Leaving, "source", source)
	}
}

// publishMembers updates the members: this daemon, the registered daemons, and
// those that sent a message within [seenLife].
func (o *Observer) publishMembers() {
	now := o.Clock.Now()
	self := o.registrar().self()
	members := map[string]ramp.Daemon{self.Incarnation: self}
	o.seen.DeleteFunc(func(_ string, h seenDaemon) bool { return now.Sub(h.at) > seenLife })
	o.seen.Each(func(incarnation string, h seenDaemon) bool {
		members[incarnation] = h.daemon
		return true
	})
	o.registered.Each(func(incarnation string, d ramp.Daemon) bool {
		if incarnation != self.Incarnation {
			d.Leaving = d.Leaving || members[incarnation].Leaving
			members[incarnation] = d
		}
		return true
	})
	all := make([]ramp.Daemon, 0, len(members))
	for _, d := range members {
		all = append(all, d)
	}
	o.Members.Update(all)
	o.recordFleetSize(len(all))
}

// expireReplicas periodically removes the replicas whose entries have been
// missing for too long, and publishes the members.
func (o *Observer) expireReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range o.Replicas.Expire() {
			o.Log.Info("replica expired", "replica", i.ID, "service", i.Service, "address", i.Address)
		}
		o.applyHeld()
		now := o.Clock.Now()
		o.deregistered.DeleteFunc(func(_ string, at time.Time) bool { return now.Sub(at) > entryTombstoneLife })
		o.publishMembers()
		_ = ramp.Sleep(ctx, o.Clock, expirePeriod)
	}
}
