// Package daemon puts the parts of a daemon together.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/order"
	"sycamoreramp.example/sycamoreramp/peer"
	"sycamoreramp.example/sycamoreramp/plan"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/settings"
)

// Limits of the server for callers.
const (
	headerTimeout = 5 * time.Second
	handTimeout   = 2 * time.Second // to hand the tickets over
	drainTimeout  = 5 * time.Second // for the calls of other daemons

	// lingerTime is from leaving to closing. After NoticeTime no daemon names this
	// one to callers any more, and what they were told runs out in AddressLife. The
	// rest is for messages on their way.
	lingerTime = fleet.NoticeTime + fleet.AddressLife + 2*time.Second
)

// Daemon is a running daemon.
type Daemon struct {
	log      *slog.Logger
	clock    ramp.Clock
	self     ramp.Daemon
	pool     *ramp.Pool
	lists    *fleet.Lists
	follower *fleet.Follower
	service  *query.Service
	peers    *peer.Client
	http     *http.Server
	peer     *peer.Server
	settings settings.Daemon
	seating  *fleet.Seating
	granted  granted
	ledger   *order.Ledger
	members  *fleet.Members
	running  atomic.Int64
	metrics  *metrics
	leaving  chan struct{} // closed when the daemon starts to leave
}

// New puts a daemon together. It does not listen yet.
func New(s settings.Daemon, clock ramp.Clock, log *slog.Logger) (*Daemon, error) {
	if s.Seats > s.Connections {
		return nil, &settings.FieldError{Field: "seats", Want: "at most the connections"}
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	self := ramp.Daemon{
		ID: s.Name, Incarnation: incarnation, Domain: s.Domain, CallerAddress: s.Caller, PeerAddress: s.Peer,
	}
	reach := fleet.NewReach()
	d := &Daemon{
		log: log, clock: clock, settings: s, self: self,
		pool:    ramp.NewPool(s.Workers, s.Queue),
		peers:   peer.NewClient(s.Secret.Reveal(), clock),
		ledger:  order.NewLedger(s.Name, incarnation),
		lists:   fleet.NewLists(clock, reach),
		members: fleet.NewMembers(self, clock),
		metrics: newMetrics(),
		leaving: make(chan struct{}),
	}
	p := d.newParts()
	d.granted = granted{p.backends, p.chooser}
	d.seating = d.newSeating(p)
	d.follower = d.newFollower(p, reach)
	d.service = d.newService(p)
	d.peer = peer.NewServer(d, s.Secret.Reveal(), clock)
	d.http = &http.Server{Handler: d.count(d.newMux(p)), ReadHeaderTimeout: headerTimeout}
	return d, nil
}

// Run serves until ctx ends, then shuts down: it first tells callers to go
// elsewhere, stays open until they know, and lets every request end.
func (d *Daemon) Run(ctx context.Context) error {
	var listen net.ListenConfig
	callers, err := listen.Listen(ctx, "tcp", d.settings.Caller)
	if err != nil {
		return oops.In("daemon").Wrapf(err, "listen for callers")
	}
	daemons, err := listen.Listen(ctx, "tcp", d.settings.Peer)
	if err != nil {
		return oops.In("daemon").Wrapf(err, "listen for daemons")
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	following, stopFollowing := context.WithCancel(serving)
	failed := make(chan error, 2)
	go func() { failed <- d.http.Serve(callers) }()
	go func() { failed <- d.peer.Serve(serving, daemons) }()
	followed := make(chan struct{})
	go func() {
		d.follow(following)
		close(followed)
	}()
	d.log.Info("daemon started", "daemon", d.self.ID, "incarnation", d.self.Incarnation, "caller", d.self.CallerAddress)
	select {
	case <-ctx.Done():
	case err := <-failed:
		stopFollowing()
		return oops.In("daemon").Wrapf(err, "serve")
	}
	err = d.shutdown()
	stopFollowing()
	<-followed // no other daemon forwards to this one any more
	err = errors.Join(err, d.drain())
	stopServing()
	d.pool.Close()
	d.release()
	return errors.Join(err, d.peers.Close(), d.metrics.Close())
}

// follow takes a seat, whose connections the daemon needs to ask backend servers
// what they hold, and then keeps up to date until ctx ends.
func (d *Daemon) follow(ctx context.Context) {
	d.seating.Round(ctx)
	seated := make(chan struct{})
	go func() {
		d.seating.Run(ctx)
		close(seated)
	}()
	d.follower.Run(ctx)
	<-seated
}

// HandleGossip implements [ramp.PeerHandler].
func (d *Daemon) HandleGossip(news ramp.GossipMessage) ramp.GossipMessage {
	return d.follower.Answer(news)
}

// HandleForward implements [ramp.PeerHandler].
func (d *Daemon) HandleForward(ctx context.Context, t ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	d.running.Add(1)
	defer d.running.Add(-1)
	return d.service.Forwarded(ctx, t, q)
}

// HandleHandover implements [ramp.PeerHandler].
func (d *Daemon) HandleHandover(settled []ramp.TicketOutcome) {
	d.log.Info("tickets inherited", "count", len(settled))
	d.ledger.Inherit(settled, d.clock.Now())
}

func (d *Daemon) status() operator.Status {
	lists, confirmed := d.lists.Current()
	return operator.Status{
		Daemon: d.self.ID, Version: lists.Version, Edit: lists.Edit, Leaving: d.isLeaving(),
		Age: operator.AgeText(d.clock.Now().Sub(confirmed), !confirmed.IsZero()), Running: int(d.running.Load()),
	}
}

// state returns what the metrics show.
func (d *Daemon) state(admitter *plan.Admitter) state {
	lists, confirmed := d.lists.Current()
	s := state{
		State: admitter.State(), requests: int(d.running.Load()), tasks: d.pool.QueueLen(),
		version: lists.Version, leaving: d.isLeaving(),
	}
	if !confirmed.IsZero() {
		s.age = d.clock.Now().Sub(confirmed)
	}
	return s
}

// count counts the requests in progress.
func (d *Daemon) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.running.Add(1)
		defer d.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// newIncarnation returns a random id that no other start of a daemon has.
func newIncarnation() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}
