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
	observeWait  = 2 * time.Second        // of a watch; with its reply's delay below the bound on being in touch
	observePause = 250 * time.Millisecond // after a failed call, doubling, and between looks at whether to watch
	observeRest  = time.Second            // longest pause after failed calls; they are priced like others
	tellPeriod   = 400 * time.Millisecond // between exchanges with other daemons
	tellTimeout  = 500 * time.Millisecond
	silentAfter  = 2500 * time.Millisecond // age of the store's last word at which a daemon watches by itself, at most
	silentShare  = 5.0 / 6                 // of the bound; the rest is for its own call
	smallFleet   = 8                       // daemons up to which every one watches
	heardLife    = 3 * time.Second         // for which a daemon that the store does not list counts after its last word
	sizeLife     = 10 * time.Second        // for which a larger fleet counts, as long as what its daemons used may
	settleShare  = 10                      // part of the bound that changes may gather before they are read together
	expirePeriod = 500 * time.Millisecond
)

// maxShift bounds how often a pause doubles.
const maxShift = 8

// Observer keeps a daemon's view of the store up to date, from the store or from
// other daemons, and tells those what they lack. All fields must be set before
// Init.
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
	Bound      time.Duration        // within which what the store says must take effect
	Seeds      func() []ramp.Daemon // daemons to ask while no member is known; only Peer is set
	Leaving    <-chan struct{}      // closed when the daemon starts to leave

	confirmed  atomic.Int64 // time from started to the last word from the store, in nanoseconds; 0 for none
	turn       atomic.Uint64
	looked     chan struct{} // closed when the store has answered or failed for the first time
	changes    *ramp.Mutex   // held while a change is taken in
	started    time.Time
	size       *ramp.Table[string, fleetSize]   // one entry
	registered *ramp.Table[string, ramp.Daemon] // by incarnation, as the store lists them
	heard      *ramp.Table[string, heardFrom]   // by incarnation
	contact    *ramp.Table[string, bool]        // by peer, whether the last call to it was answered
}

// heardFrom is a daemon's own word. It is an immutable value.
type heardFrom struct {
	daemon ramp.Daemon
	at     time.Time
}

// Init makes the observer ready for calls of others, before Run.
func (o *Observer) Init() {
	o.changes = ramp.NewMutex(ramp.RankStoreChanges)
	o.looked = make(chan struct{})
	o.started = o.Clock.Now()
	o.size = ramp.NewTable[string, fleetSize](ramp.RankDaemons)
	o.registered = ramp.NewTable[string, ramp.Daemon](ramp.RankDaemons)
	o.heard = ramp.NewTable[string, heardFrom](ramp.RankDaemons)
	o.contact = ramp.NewTable[string, bool](ramp.RankDaemons)
}

// Run observes until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	tasks := []func(context.Context){o.tenure().keep, o.watch, o.tell, o.expire}
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

func (o *Observer) tenure() tenure {
	return tenure{
		clock: o.Clock, log: o.Log, daemon: o.Self, registry: o.Registry, leaving: o.Leaving,
		members: func() int { return o.registered.Len() },
	}
}

// Fleet returns the number of daemons that share bounds with this one: the most
// that there were lately, and at least a small fleet while others may not be
// known yet.
func (o *Observer) Fleet() int {
	now := o.Clock.Now()
	size, _ := o.size.Get("")
	if now.Sub(o.started) < leaseTTL {
		return max(size.most, smallFleet)
	}
	return max(size.most, 1)
}

// count takes in how many daemons there are.
func (o *Observer) count(members int) {
	now := o.Clock.Now()
	o.size.Update("", func(old fleetSize) fleetSize {
		if members >= old.most || now.Sub(old.at) > sizeLife {
			return fleetSize{most: members, at: now}
		}
		return old
	})
}

// fleetSize is the most daemons there were lately. It is an immutable value.
type fleetSize struct {
	most int
	at   time.Time // when there were last so many
}

// Age returns the age of the last word from the store, and reports whether there
// was one.
func (o *Observer) Age() (time.Duration, bool) {
	at := o.confirmed.Load()
	return o.Clock.Now().Sub(o.started) - time.Duration(at), at != 0
}

// watches reports whether this daemon watches the store itself: all do in a
// small fleet, a few of each failure domain in a larger one, and any that has had
// no word from the store for too long.
func (o *Observer) watches() bool {
	members := o.Members.All()
	if len(members) <= smallFleet || Watches(o.Self, members) {
		return true
	}
	age, known := o.Age()
	return !known || age > min(silentAfter, time.Duration(silentShare*float64(o.Bound)))
}

// watch follows the store.
func (o *Observer) watch(ctx context.Context) {
	after, failures := uint64(0), 0
	looked := sync.OnceFunc(func() { close(o.looked) })
	for ctx.Err() == nil {
		if !o.watches() {
			_ = ramp.Sleep(ctx, o.Clock, observePause)
			continue
		}
		after = max(after, o.Mirror.Revision())
		started := o.Clock.Now()
		entries, until, err := o.Store.Watch(ctx, "", after, observeWait)
		if isCompacted(err) {
			o.Log.Info("history of the store is gone, reading it whole", "after", after)
			after = 0
			entries, until, err = o.Store.Watch(ctx, "", after, 0)
		}
		if ctx.Err() != nil {
			return
		}
		o.reached("store", err)
		pause := min(observeRest, observePause<<min(failures, maxShift))
		failures++
		if err == nil {
			failures = 0
			o.confirm(started)
			o.apply(ramp.EntryChange{FromRevision: after, ToRevision: until, Entries: entries}, "store")
			after, pause = max(after, until), 0
			if len(entries) > 0 {
				pause = o.Bound / settleShare
			}
		}
		looked()
		if pause > 0 {
			_ = ramp.Sleep(ctx, o.Clock, pause)
		}
	}
}

// confirm notes a word from the store that was asked for at the given time.
func (o *Observer) confirm(asked time.Time) {
	at := max(1, int64(asked.Sub(o.started)))
	for old := o.confirmed.Load(); at > old && !o.confirmed.CompareAndSwap(old, at); old = o.confirmed.Load() {
	}
}

// reached logs when a dependency is lost or regained.
func (o *Observer) reached(name string, err error) {
	answered, known := o.contact.Get(name)
	o.contact.Put(name, err == nil)
	switch {
	case err != nil && (answered || !known):
		o.Log.Warn("dependency lost", "dependency", name, "error", err)
	case err == nil && !answered:
		o.Log.Info("dependency reached", "dependency", name)
	}
}

// apply takes in a change of the store.
func (o *Observer) apply(c ramp.EntryChange, source string) {
	o.changes.Lock()
	defer o.changes.Unlock()
	news := o.Mirror.Apply(c)
	for _, e := range news {
		record, err := o.Translator.Translate(e)
		if err != nil {
			o.Log.Warn("entry left out", "key", e.Key, "revision", e.Revision, "source", source, "error", err)
			continue
		}
		o.take(e, record, source)
	}
	o.publish()
}

// take takes in one entry of the store.
func (o *Observer) take(e ramp.Entry, r ramp.Record, source string) {
	age, _ := o.Age()
	switch {
	case r.Routing != nil:
		if o.Routes.Learn(*r.Routing) {
			o.Log.Info("configuration in force", "version", r.Routing.Version, "routes", len(r.Routing.Routes),
				"revision", e.Revision, "source", source, "age", age)
		}
	case r.Instance != nil && e.Removed:
		if o.Replicas.MarkRemoved(r.Instance.ID) {
			o.Log.Info("replica vanished", "replica", r.Instance.ID, "revision", e.Revision, "source", source)
		}
	case r.Instance != nil:
		if o.Replicas.Update(*r.Instance) {
			o.Log.Info("replica known", "replica", r.Instance.ID, "service", r.Instance.Service,
				"address", r.Instance.Address, "state", r.Instance.State, "born", r.Instance.StartedMillis,
				"revision", e.Revision, "source", source)
		}
	case r.Member != nil && e.Removed:
		o.registered.Delete(r.Member.Incarnation)
		o.Log.Info("daemon unregistered", "daemon", r.Member.ID, "incarnation", r.Member.Incarnation, "source", source)
	case r.Member != nil:
		o.registered.Put(r.Member.Incarnation, r.Member.Daemon)
		o.Log.Info("daemon known", "daemon", r.Member.ID, "incarnation", r.Member.Incarnation,
			"leaving", r.Member.Leaving, "source", source)
	}
}

// publish passes the daemons on that are registered or spoke for themselves a
// moment ago.
func (o *Observer) publish() {
	now := o.Clock.Now()
	self := o.tenure().self()
	members := map[string]ramp.Daemon{self.Incarnation: self}
	o.heard.DeleteFunc(func(_ string, h heardFrom) bool { return now.Sub(h.at) > heardLife })
	o.heard.Each(func(incarnation string, h heardFrom) bool {
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
	o.count(len(all))
}

// expire forgets the replicas that have been missing for too long.
func (o *Observer) expire(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range o.Replicas.Expire() {
			o.Log.Info("replica gone", "replica", i.ID, "service", i.Service, "address", i.Address)
		}
		o.publish()
		_ = ramp.Sleep(ctx, o.Clock, expirePeriod)
	}
}
