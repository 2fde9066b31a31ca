package fleet

import (
	"context"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// lookTime is how long a daemon that starts waits for the store before it asks
// others. An answer takes milliseconds, and a good second while the store is slow.
const lookTime = time.Second

// everyone is how many daemons a leaving one tells at once.
const everyone = 64

// tell exchanges news with one other daemon at a time. A daemon that starts to
// leave tells all.
func (o *Observer) tell(ctx context.Context) {
	o.awaitStore(ctx)
	leaving := o.Leaving
	for ctx.Err() == nil {
		for _, d := range o.partners() {
			o.Pool.Submit(func() { o.exchange(ctx, d) })
		}
		expired := make(chan struct{})
		stop := o.Clock.AfterFunc(tellPeriod, func() { close(expired) })
		select {
		case <-expired:
		case <-leaving:
			leaving = nil
			o.publish()
			others := o.others()
			for _, d := range others[:min(everyone, len(others))] {
				o.Pool.Submit(func() { o.exchange(ctx, d) })
			}
		case <-ctx.Done():
		}
		stop()
	}
}

// awaitStore waits for the first word from the store, so that daemons which start
// together do not ask a few others for all that the store can tell them.
func (o *Observer) awaitStore(ctx context.Context) {
	expired := make(chan struct{})
	stop := o.Clock.AfterFunc(lookTime, func() { close(expired) })
	defer stop()
	select {
	case <-o.looked:
	case <-expired:
	case <-ctx.Done():
	}
}

// others returns the members without this daemon.
func (o *Observer) others() []ramp.Daemon {
	var others []ramp.Daemon
	for _, d := range o.Members.All() {
		if d.ID != o.Self.ID {
			others = append(others, d)
		}
	}
	return others
}

// partners returns the daemons whose turn it is. Those that do not watch the
// store ask the watchers of their failure domain more often than others.
func (o *Observer) partners() []ramp.Daemon {
	others := o.others()
	if len(others) == 0 {
		return o.Seeds()
	}
	turn := int(o.turn.Add(1))
	if near := o.nearWatchers(others); len(near) > 0 && turn%4 != 0 && !o.watches() {
		return near[turn%len(near) : turn%len(near)+1]
	}
	return others[turn%len(others) : turn%len(others)+1]
}

// nearWatchers returns those of the daemons that watch the store for this one's
// failure domain.
func (o *Observer) nearWatchers(others []ramp.Daemon) []ramp.Daemon {
	var near []ramp.Daemon
	members := o.Members.All()
	for _, d := range others {
		if d.Domain == o.Self.Domain && !d.Leaving && Watches(d, members) {
			near = append(near, d)
		}
	}
	return near
}

// exchange asks another daemon for what this one lacks.
func (o *Observer) exchange(ctx context.Context, to ramp.Daemon) {
	limited, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	started := o.Clock.Now()
	reply, err := o.Peers.Gossip(limited, to, o.news())
	if ctx.Err() == nil || err == nil {
		o.reached("daemon "+to.PeerAddress, err)
	}
	if err != nil {
		o.Members.Miss(to.Incarnation)
		return
	}
	o.hear(reply)
	if reply.EntryChange.ToRevision > 0 {
		o.apply(reply.EntryChange, reply.From.ID)
	}
	if reply.ConfirmedAge >= 0 && reply.MembersRevision >= o.Mirror.Revision() {
		o.confirm(started.Add(-reply.ConfirmedAge))
	}
}

// Answer takes in news from another daemon and returns what it lacks.
func (o *Observer) Answer(news ramp.GossipMessage) ramp.GossipMessage {
	o.hear(news)
	reply := o.news()
	reply.EntryChange = o.Mirror.Since(news.MembersRevision)
	return reply
}

// news returns what this daemon says of itself. Without a word from the store
// its confirmation is negative.
func (o *Observer) news() ramp.GossipMessage {
	age, known := o.Age()
	if !known {
		age = -1
	}
	return ramp.GossipMessage{From: o.tenure().self(), MembersRevision: o.Mirror.Revision(), ConfirmedAge: age}
}

// hear takes in that another daemon is there, and whether it leaves.
func (o *Observer) hear(news ramp.GossipMessage) {
	if news.From.Incarnation == "" || news.From.ID == o.Self.ID {
		return
	}
	o.heard.Put(news.From.Incarnation, heardFrom{daemon: news.From, at: o.Clock.Now()})
	o.Members.Hear(news.From)
}
