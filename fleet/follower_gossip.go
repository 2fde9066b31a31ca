package fleet

import (
	"context"
	"errors"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times and sizes of the follower's gossip.
const (
	gossipPeriod      = time.Second
	gossipStartJitter = 100 * time.Millisecond // mean delay of the first exchange
	gossipTimeout     = 800 * time.Millisecond
	gossipFanout      = 3                // daemons contacted in a period
	gossipQueue       = 2 * gossipFanout // exchanges that may wait for a worker
)

// gossip exchanges messages with a few other daemons in each period until ctx
// ends.
func (f *Follower) gossip(ctx context.Context) {
	pool := ramp.NewPool(gossipFanout, gossipQueue)
	defer pool.Close()
	_ = ramp.Sleep(ctx, f.Clock, f.jitter(gossipStartJitter)) // spreads out daemons that start together
	for ctx.Err() == nil {
		f.refreshMembers()
		f.Members.MarkSeen(f.self())
		for _, d := range f.gossipTargets() {
			pool.Submit(func() { f.gossipWith(ctx, d) })
		}
		_ = ramp.Sleep(ctx, f.Clock, gossipPeriod)
	}
}

// refreshMembers publishes the members again while the store confirms the
// lists, since [Registrations.Live] changes with time after a mass expiry.
func (f *Follower) refreshMembers() {
	if _, confirmed := f.Lists.Current(); f.Clock.Now().Sub(confirmed) <= memberWatchWait {
		f.publishMembers()
	}
}

// gossipTargets returns the daemons to gossip with in this period. Every member
// is contacted once per round, in an order that is shuffled for each round.
// While no member answers, the seeds are added.
func (f *Follower) gossipTargets() []ramp.Daemon {
	others := f.otherMembers()
	if len(others) == 0 {
		return f.Seeds
	}
	f.pendingTargets = f.retainMembers(f.pendingTargets, others)
	var targets []ramp.Daemon
	for len(targets) < min(gossipFanout, len(others)) {
		if len(f.pendingTargets) == 0 {
			f.pendingTargets = f.shuffled(others)
		}
		targets = append(targets, f.pendingTargets[0])
		f.pendingTargets = f.pendingTargets[1:]
	}
	if reached, _ := f.Reachability.Count(f.Clock.Now()); reached == 0 {
		targets = append(targets, f.Seeds...)
	}
	return targets
}

// otherMembers returns the daemons of which a majority is counted, except this
// one.
func (f *Follower) otherMembers() []ramp.Daemon {
	var others []ramp.Daemon
	for _, d := range f.Registrations.QuorumMembers(f.Clock.Now()) {
		if d.ID != f.Self.ID {
			others = append(others, d)
		}
	}
	return others
}

// retainMembers returns the targets that are still members.
func (f *Follower) retainMembers(targets, members []ramp.Daemon) []ramp.Daemon {
	listed := make(map[string]bool, len(members))
	for _, d := range members {
		listed[d.Incarnation] = true
	}
	var retained []ramp.Daemon
	for _, d := range targets {
		if listed[d.Incarnation] {
			retained = append(retained, d)
		}
	}
	return retained
}

// gossipWith sends this daemon's summary to another daemon and applies the
// reply. If the reply shows that the other daemon lacks something, it sends
// that in a second message.
func (f *Follower) gossipWith(ctx context.Context, to ramp.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply, err := f.exchange(ctx, to, f.summary())
	if err != nil {
		f.Log.Debug("gossip failed", "daemon", to.ID, "error", err)
		return
	}
	if push := f.deltaFor(reply); push.hasChanges() {
		_, _ = f.exchange(ctx, to, push.GossipMessage) // on failure the other daemon requests it itself
	}
}

// exchange sends one message and applies the reply. Only the reply to a
// daemon's own call bounds the age of the other's confirmation: an incoming
// call may have waited here for any time.
func (f *Follower) exchange(ctx context.Context, to ramp.Daemon, msg ramp.GossipMessage) (ramp.GossipMessage, error) {
	started := f.Clock.Now()
	reply, err := f.Peers.Gossip(ctx, to, msg)
	if to.Incarnation != "" {
		f.Reachability.Record(to.Incarnation, err == nil, started)
	}
	if err != nil {
		f.Members.MarkUnresponsive(to.Incarnation)
		return ramp.GossipMessage{}, err
	}
	if err := f.Merge(reply); err != nil {
		msg.ListsVersion, msg.ListsDigest = 0, ramp.Digest{}
		reply, err = f.Peers.Gossip(ctx, to, msg)
		if err != nil {
			return ramp.GossipMessage{}, err
		}
		_ = f.Merge(reply) // whole lists always apply
	}
	f.confirmFromPeer(reply, started)
	return reply, nil
}

// confirmFromPeer applies the store confirmation that another daemon relays.
func (f *Follower) confirmFromPeer(reply ramp.GossipMessage, started time.Time) {
	version, digest := f.Lists.Version()
	if version == reply.ListsVersion && digest != reply.ListsDigest {
		f.Log.Error("digest mismatch between lists of the same version", "version", version, "daemon", reply.From.ID)
		return
	}
	f.Lists.Confirm(reply.ListsVersion, started.Add(-reply.ConfirmedAge))
}

// delta is a gossip message with the changes that its receiver lacks.
type delta struct {
	ramp.GossipMessage
}

// hasChanges reports whether the message carries any changes.
func (s delta) hasChanges() bool {
	return s.Lists.Version > 0 || s.ListsChange.Version > 0 || s.MemberChange.ToRevision > 0
}

// HandleGossip handles a gossip message of another daemon and returns this daemon's
// summary with the changes that the sender lacks.
func (f *Follower) HandleGossip(msg ramp.GossipMessage) ramp.GossipMessage {
	if err := f.Merge(msg); err != nil {
		f.Log.Warn("change of the lists rejected", "daemon", msg.From.ID, "error", err)
	}
	return f.deltaFor(msg).GossipMessage
}

// deltaFor returns this daemon's summary with the changes that the sender of
// the other message lacks.
func (f *Follower) deltaFor(other ramp.GossipMessage) delta {
	msg := f.summary()
	msg.Lists, msg.ListsChange = f.Lists.ChangesSince(other.ListsVersion, other.ListsDigest)
	msg.MemberChange = f.Registrations.ChangesSince(other.Position())
	return delta{GossipMessage: msg}
}

// summary returns the gossip message that states this daemon's versions, usage
// and recently leaving backend servers, without lists and members.
func (f *Follower) summary() ramp.GossipMessage {
	_, confirmed := f.Lists.Current()
	version, digest := f.Lists.Version()
	at := f.Registrations.Position()
	return ramp.GossipMessage{
		From:            f.self().Identity(),
		ListsVersion:    version,
		ListsDigest:     digest,
		StoreEra:        at.Era,
		MembersRevision: at.Revision,
		ConfirmedAge:    f.Clock.Now().Sub(confirmed),
		Usage:           f.Usage(),
		LeavingVMs:      f.LeavingAnnouncements.recent(f.Layouts.LeavingVMs(), f.Clock.Now()),
	}
}

// Merge merges a gossip message of another daemon. It returns a
// [*ramp.BaseMismatchError] when the message's change of the lists does not
// apply to the current lists.
func (f *Follower) Merge(msg ramp.GossipMessage) error {
	now := f.Clock.Now()
	newer := f.Lists.Update(msg.Lists)
	changed, err := f.Lists.ApplyChange(msg.ListsChange)
	if newer || changed {
		version, _ := f.Lists.Version()
		f.Log.Info("lists applied", "version", version, "source", msg.From.ID)
	}
	if msg.MemberChange.ToRevision > 0 {
		f.applyMembers(msg.MemberChange)
	}
	for _, id := range msg.LeavingVMs {
		f.Layouts.MarkLeavingByPeer(id, now)
	}
	if m, known := f.Registrations.Find(msg.From.Incarnation); known {
		m.Leaving = m.Leaving || msg.From.Leaving
		msg.From = m.Daemon
		f.Members.MarkSeen(msg.From)
	}
	f.OnGossip(msg)
	var mismatch *ramp.BaseMismatchError
	if errors.As(err, &mismatch) {
		return mismatch
	}
	return err
}
