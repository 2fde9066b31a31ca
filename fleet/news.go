package fleet

import (
	"context"
	"errors"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times and sizes of the exchange of news.
const (
	newsPeriod  = time.Second
	newsSpread  = 100 * time.Millisecond // mean time from the start to the first exchange
	newsTimeout = 800 * time.Millisecond
	newsFanout  = 3              // daemons told in a period
	newsQueue   = 2 * newsFanout // exchanges that may wait
)

// exchangeNews exchanges news with a few other daemons in each period.
func (f *Follower) exchangeNews(ctx context.Context) {
	pool := ramp.NewPool(newsFanout, newsQueue)
	defer pool.Close()
	_ = ramp.Sleep(ctx, f.Clock, f.jitter(newsSpread)) // daemons that start together spread out
	for ctx.Err() == nil {
		f.refreshMembers()
		f.Members.Hear(f.self())
		for _, d := range f.partners() {
			pool.Submit(func() { f.exchange(ctx, d) })
		}
		_ = ramp.Sleep(ctx, f.Clock, newsPeriod)
	}
}

// refreshMembers publishes the roster again while the store confirms the
// lists, since a member that is lost with most of the fleet stays for a while.
func (f *Follower) refreshMembers() {
	if _, confirmed := f.Lists.Current(); f.Clock.Now().Sub(confirmed) <= watchWait {
		f.publishMembers()
	}
}

// partners returns the daemons to exchange news with in this period. Every
// member gets its turn, in an order that is drawn anew each time.
func (f *Follower) partners() []ramp.Daemon {
	others := f.others()
	if len(others) == 0 {
		return f.Seeds
	}
	f.round = f.stillMembers(f.round, others)
	var partners []ramp.Daemon
	for len(partners) < min(newsFanout, len(others)) {
		if len(f.round) == 0 {
			f.round = f.shuffled(others)
		}
		partners = append(partners, f.round[0])
		f.round = f.round[1:]
	}
	if reached, _ := f.Reach.Count(f.Clock.Now()); reached == 0 {
		partners = append(partners, f.Seeds...)
	}
	return partners
}

// others returns the daemons that count in a majority without this one.
func (f *Follower) others() []ramp.Daemon {
	var others []ramp.Daemon
	for _, d := range f.Roster.Counted(f.Clock.Now()) {
		if d.ID != f.Self.ID {
			others = append(others, d)
		}
	}
	return others
}

// stillMembers returns the daemons of the round that are still members.
func (f *Follower) stillMembers(round, members []ramp.Daemon) []ramp.Daemon {
	listed := make(map[string]bool, len(members))
	for _, d := range members {
		listed[d.Incarnation] = true
	}
	var kept []ramp.Daemon
	for _, d := range round {
		if listed[d.Incarnation] {
			kept = append(kept, d)
		}
	}
	return kept
}

// exchange tells another daemon what this one has and takes in what it sends
// back. When the other turns out to lack something, it is sent.
func (f *Follower) exchange(ctx context.Context, to ramp.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	reply, err := f.ask(ctx, to, f.news())
	if err != nil {
		f.Log.Debug("news not exchanged", "daemon", to.ID, "error", err)
		return
	}
	if more := f.supplement(reply); more.brings() {
		_, _ = f.ask(ctx, to, more.GossipMessage) // the other asks for it itself otherwise
	}
}

// ask makes one exchange and takes in the reply. Only the reply to an own call
// tells how old the other's confirmation is at most: a call of the other may
// have waited here for any time.
func (f *Follower) ask(ctx context.Context, to ramp.Daemon, news ramp.GossipMessage) (ramp.GossipMessage, error) {
	started := f.Clock.Now()
	reply, err := f.Peers.Gossip(ctx, to, news)
	if to.Incarnation != "" {
		f.Reach.Note(to.Incarnation, err == nil, started)
	}
	if err != nil {
		f.Members.Miss(to.Incarnation)
		return ramp.GossipMessage{}, err
	}
	if err := f.Take(reply); err != nil {
		news.ListsVersion, news.ListsDigest = 0, ramp.Digest{}
		reply, err = f.Peers.Gossip(ctx, to, news)
		if err != nil {
			return ramp.GossipMessage{}, err
		}
		_ = f.Take(reply) // whole lists always apply
	}
	f.reconfirm(reply, started)
	return reply, nil
}

// reconfirm takes in the other daemon's word from the store.
func (f *Follower) reconfirm(reply ramp.GossipMessage, started time.Time) {
	version, digest := f.Lists.Version()
	if version == reply.ListsVersion && digest != reply.ListsDigest {
		f.Log.Error("lists of one version differ", "version", version, "daemon", reply.From.ID)
		return
	}
	f.Lists.Confirm(reply.ListsVersion, started.Add(-reply.ConfirmedAge))
}

// supplied is news with what the receiver lacks.
type supplied struct {
	ramp.GossipMessage
}

// brings reports whether the news carries anything that the receiver lacks.
func (s supplied) brings() bool {
	return s.Lists.Version > 0 || s.ListsChange.Version > 0 || s.MemberChange.ToRevision > 0
}

// Answer takes in news from another daemon and returns what it gets back.
func (f *Follower) Answer(news ramp.GossipMessage) ramp.GossipMessage {
	if err := f.Take(news); err != nil {
		f.Log.Warn("change of the lists not taken", "daemon", news.From.ID, "error", err)
	}
	return f.supplement(news).GossipMessage
}

// supplement returns this daemon's news with what the sender of the given ones
// lacks.
func (f *Follower) supplement(other ramp.GossipMessage) supplied {
	news := f.news()
	news.Lists, news.ListsChange = f.Lists.ChangesSince(other.ListsVersion, other.ListsDigest)
	news.MemberChange = f.Roster.Since(other.MembersRevision)
	return supplied{GossipMessage: news}
}

// news returns what this daemon has, without lists and members.
func (f *Follower) news() ramp.GossipMessage {
	_, confirmed := f.Lists.Current()
	version, digest := f.Lists.Version()
	return ramp.GossipMessage{
		From:            f.self().Identity(),
		ListsVersion:    version,
		ListsDigest:     digest,
		MembersRevision: f.Roster.Revision(),
		ConfirmedAge:    f.Clock.Now().Sub(confirmed),
		Usage:           f.Used(),
		LeavingVMs:      f.Departures.fresh(f.Layouts.LeavingVMs(), f.Clock.Now()),
	}
}

// Take takes in news from another daemon. It returns a [*ramp.BaseMismatchError] when
// its change of the lists does not apply here.
func (f *Follower) Take(news ramp.GossipMessage) error {
	now := f.Clock.Now()
	newer := f.Lists.Update(news.Lists)
	changed, err := f.Lists.ApplyChange(news.ListsChange)
	if newer || changed {
		version, _ := f.Lists.Version()
		f.Log.Info("lists in force", "version", version, "source", news.From.ID)
	}
	if news.MemberChange.ToRevision > 0 {
		f.applyMembers(news.MemberChange)
	}
	for _, id := range news.LeavingVMs {
		f.Layouts.MarkLeavingByPeer(id, now)
	}
	if m, known := f.Roster.Find(news.From.Incarnation); known {
		m.Leaving = m.Leaving || news.From.Leaving
		news.From = m.Daemon
		f.Members.Hear(news.From)
	}
	f.Shared(news)
	var mismatch *ramp.BaseMismatchError
	if errors.As(err, &mismatch) {
		return mismatch
	}
	return err
}
