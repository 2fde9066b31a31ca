package fleet

import (
	"context"
	"math"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// startupStoreWait is how long a starting daemon waits for the store before it
// gossips. The store answers within milliseconds, and within little more than a
// second while it is slow.
const startupStoreWait = time.Second

// leaveFanout is the greatest number of daemons that a leaving daemon notifies
// at once.
const leaveFanout = 64

// randomPeriod is the number of periods in which a daemon that does not watch the store asks
// a member once that need not be a watcher.
const randomPeriod = 4

// gossip exchanges messages with one other daemon in each period. When this
// daemon starts to leave, it notifies up to [leaveFanout] daemons at once.
func (o *Observer) gossip(ctx context.Context) {
	o.awaitStore(ctx)
	leaving := o.Leaving
	for ctx.Err() == nil {
		for _, d := range o.gossipTargets() {
			o.Pool.Submit(func() { o.gossipWith(ctx, d) })
		}
		expired := make(chan struct{})
		stop := o.Clock.AfterFunc(observerGossipPeriod, func() { close(expired) })
		select {
		case <-expired:
		case <-leaving:
			leaving = nil
			o.publishMembers()
			others := o.otherMembers()
			for _, d := range others[:min(leaveFanout, len(others))] {
				o.Pool.Submit(func() { o.gossipWith(ctx, gossipTarget{Daemon: d}) })
			}
		case <-ctx.Done():
		}
		stop()
	}
}

// awaitStore waits for the first reply or failure of the store, for at most
// [startupStoreWait]. Otherwise daemons that start together would fetch the
// whole view from a few others, although the store can send it.
func (o *Observer) awaitStore(ctx context.Context) {
	expired := make(chan struct{})
	stop := o.Clock.AfterFunc(startupStoreWait, func() { close(expired) })
	defer stop()
	select {
	case <-o.storeTried:
	case <-expired:
	case <-ctx.Done():
	}
}

// otherMembers returns the members except this daemon.
func (o *Observer) otherMembers() []ramp.Daemon {
	var others []ramp.Daemon
	for _, d := range o.Members.All() {
		if d.ID != o.Self.ID {
			others = append(others, d)
		}
	}
	return others
}

// gossipTarget is a daemon to gossip with in this period.
type gossipTarget struct {
	ramp.Daemon
	probe bool // only ask whether it answers, not for changes
}

// gossipTargets returns the daemons to gossip with in this period: one member
// in round-robin order, or the seeds while no other member is known. A daemon
// that does not watch the store picks a watcher of its failure domain in three
// periods out of four. Besides, one of the members that did not answer lately is
// asked again, since in a large fleet its turn comes after minutes only. All others ask
// it too, so it is not asked for changes, which might fill its link.
func (o *Observer) gossipTargets() []gossipTarget {
	others := o.otherMembers()
	if len(others) == 0 {
		seeds := o.Seeds()
		targets := make([]gossipTarget, len(seeds))
		for i, d := range seeds {
			targets[i].Daemon = d
		}
		return targets
	}
	turn := int(o.gossipTurn.Add(1))
	target := others[turn%len(others)]
	if watchers := o.domainWatchers(others); len(watchers) > 0 && !o.shouldWatch() {
		target = watchers[turn%len(watchers)]
		if turn%randomPeriod == 0 {
			target = others[turn/randomPeriod%len(others)]
		}
	}
	targets := []gossipTarget{{Daemon: target}}
	if silent := o.Members.Unresponsive(); len(silent) > 0 {
		targets = append(targets, gossipTarget{Daemon: silent[turn%len(silent)], probe: true})
	}
	return targets
}

// domainWatchers returns the daemons among others that watch the store for this
// daemon's failure domain.
func (o *Observer) domainWatchers(others []ramp.Daemon) []ramp.Daemon {
	return slices.DeleteFunc(watchersOf(o.Self.Domain, o.Members.All()), func(d ramp.Daemon) bool {
		return d.Leaving || !slices.ContainsFunc(others, func(other ramp.Daemon) bool { return other.ID == d.ID })
	})
}

// gossipWith exchanges messages with another daemon and applies the changes
// that the reply carries.
func (o *Observer) gossipWith(ctx context.Context, to gossipTarget) {
	limited, cancel := context.WithTimeout(ctx, observerGossipTimeout)
	defer cancel()
	started, message := o.Boot.Uptime(), o.summary()
	if to.probe {
		message.StoreEra, message.MembersRevision = math.MaxUint64, math.MaxUint64
	}
	reply, err := o.Peers.Gossip(limited, to.Daemon, message)
	if ctx.Err() == nil || err == nil {
		o.logReachability("daemon "+to.PeerAddress, err)
	}
	o.Members.RecordCall(to.Incarnation, err == nil)
	if o.ObserveGossip != nil {
		o.ObserveGossip(gossipOutcome(message, reply, err))
	}
	if err != nil {
		o.Members.MarkSilent(to.Incarnation)
		return
	}
	o.markSeen(reply)
	o.importBlocks(reply)
	if reply.EntryChange.ToRevision > 0 {
		o.applyChange(reply.EntryChange, reply.From.ID)
	}
	if reply.ConfirmedAge >= 0 {
		o.confirmFrom(reply, started)
	}
}

// GossipOutcome is what became of an exchange.
type GossipOutcome string

// The outcomes of an exchange.
const (
	GossipAnswered GossipOutcome = "answered"
	GossipWithheld GossipOutcome = "withheld" // the reply lacked the changes that the other daemon has
	GossipFailed   GossipOutcome = "failed"
)

// gossipOutcome returns the outcome of an exchange.
func gossipOutcome(message, reply ramp.GossipMessage, err error) GossipOutcome {
	switch {
	case err != nil:
		return GossipFailed
	case reply.Position().Compare(message.Position()) > 0 && reply.EntryChange.ToRevision == 0:
		return GossipWithheld
	}
	return GossipAnswered
}

// confirmFrom records the confirmation of another daemon that was asked at the uptime
// started, if this daemon's view contains the same changes and no later ones. A change that
// is being applied meanwhile must be complete before, since the confirmation may be later
// than that change.
func (o *Observer) confirmFrom(reply ramp.GossipMessage, started time.Duration) {
	o.applyMutex.Lock()
	defer o.applyMutex.Unlock()
	if reply.Position() == o.Mirror.Position() {
		o.confirm(reply.StoreEra, started-reply.ConfirmedAge)
	}
}

// HandleGossip handles a gossip message of another daemon and returns this daemon's
// summary with the entries that the sender lacks. If they do not fit into what its link
// carries now, the reply has none, and no confirmation either.
func (o *Observer) HandleGossip(msg ramp.GossipMessage) ramp.GossipMessage {
	o.markSeen(msg)
	o.importBlocks(msg)
	reply := o.summary()
	change := o.Mirror.ChangesSince(msg.Position())
	if !o.replies.take(change) {
		reply.ConfirmedAge = -1
		return reply
	}
	reply.EntryChange = change
	return reply
}

// summary returns the gossip message that states this daemon's position without any
// changes. ConfirmedAge is negative if the store has not confirmed the view in its era.
func (o *Observer) summary() ramp.GossipMessage {
	age := time.Duration(-1)
	last, at := o.confirmed.Load(), o.Mirror.Position()
	if last != nil && last.era == at.Era {
		age = o.Boot.Uptime() - last.at
	}
	message := ramp.GossipMessage{
		From: o.registrar().self(), StoreEra: at.Era, MembersRevision: at.Revision, ConfirmedAge: age,
	}
	if o.Blocks != nil {
		message.Blocked = o.Blocks.Blocks()
	}
	return message
}

// announcePeriod is the least time between two announcements of blocked messages.
const announcePeriod = 50 * time.Millisecond

// AnnounceBlocks tells up to [leaveFanout] other daemons at once which messages are blocked, or
// when [announcePeriod] has passed since the last time. The rest hears of it by gossip.
func (o *Observer) AnnounceBlocks(ctx context.Context) {
	if !o.announcing.CompareAndSwap(false, true) {
		o.announceAgain.Store(true)
		return
	}
	o.Clock.AfterFunc(announcePeriod, func() {
		o.announcing.Store(false)
		if o.announceAgain.Swap(false) {
			o.AnnounceBlocks(ctx)
		}
	})
	others := o.otherMembers()
	for _, d := range others[:min(leaveFanout, len(others))] {
		o.Pool.Submit(func() { o.gossipWith(ctx, gossipTarget{Daemon: d, probe: true}) })
	}
}

// importBlocks takes over the blocked messages of another daemon.
func (o *Observer) importBlocks(msg ramp.GossipMessage) {
	if o.Blocks == nil || len(msg.Blocked) == 0 {
		return
	}
	for _, b := range o.Blocks.Import(msg.Blocked) {
		o.Log.Info("message blocked by another daemon", "message", b.Fingerprint, "left", b.Left, "times", b.Times,
			"source", msg.From.ID)
	}
}

// markSeen records that the sender of a message is alive, and whether it
// leaves.
func (o *Observer) markSeen(msg ramp.GossipMessage) {
	if msg.From.Incarnation == "" || msg.From.ID == o.Self.ID {
		return
	}
	o.seen.Put(msg.From.Incarnation, seenDaemon{daemon: msg.From, at: o.Clock.Now()})
	o.Members.MarkSeen(msg.From)
}
