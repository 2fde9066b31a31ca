// Package daemon wires the packages of the system into a daemon process: the
// servers, the background tasks, metrics, the log and graceful shutdown.
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

// Timeouts of a daemon's servers and of its shutdown.
const (
	headerTimeout   = 5 * time.Second
	handoverTimeout = 2 * time.Second // for handing ticket outcomes to one daemon, and for releasing the slot
	drainTimeout    = 5 * time.Second // for in-flight calls of other daemons

	// lingerTime is the time from the start of leaving until the caller server stops
	// accepting requests. After LeavePropagationTime no daemon returns this daemon's address to
	// callers any more, and cached addresses expire after AddressTTL. The other 2 s
	// are for messages in flight.
	lingerTime = fleet.LeavePropagationTime + fleet.AddressTTL + 2*time.Second
)

// Daemon is a daemon that serves queries under the two lists. Create it with [New].
type Daemon struct {
	log        *slog.Logger
	clock      ramp.Clock
	self       ramp.Daemon
	pool       *ramp.Pool
	lists      *fleet.Lists
	follower   *fleet.Follower
	service    *query.Service
	peers      *peer.Client
	httpServer *http.Server
	peerServer *peer.Server
	settings   settings.Daemon
	slots      *fleet.SlotHolder
	limiter    connectionLimiter
	tickets    *order.TicketStore
	members    *fleet.Members
	inFlight   atomic.Int64
	metrics    *metrics
	leaving    chan struct{} // closed when the daemon starts to leave
}

// New returns a daemon that does not listen yet. It returns a
// [*settings.FieldError] when the settings give more slots than connections.
func New(s settings.Daemon, clock ramp.Clock, log *slog.Logger) (*Daemon, error) {
	if s.Slots > s.Connections {
		return nil, &settings.FieldError{Field: "seats", Want: "at most the connections"}
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	self := ramp.Daemon{
		ID: s.Name, Incarnation: incarnation, Domain: s.Domain, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
	}
	reach := fleet.NewReachability()
	d := &Daemon{
		log: log, clock: clock, settings: s, self: self,
		pool:    ramp.NewPool(s.Workers, s.Queue),
		peers:   peer.NewClient(s.PeerCredential.Reveal(), clock),
		tickets: order.NewTicketStore(s.Name, incarnation),
		lists:   fleet.NewLists(clock, reach),
		members: fleet.NewMembers(self, clock),
		metrics: newMetrics(),
		leaving: make(chan struct{}),
	}
	c := d.newComponents()
	d.limiter = connectionLimiter{c.backends, c.chooser}
	d.slots = d.newSlotHolder(c)
	d.follower = d.newFollower(c, reach)
	d.service = d.newService(c)
	d.peerServer = peer.NewServer(d, s.PeerCredential.Reveal(), clock)
	d.httpServer = &http.Server{Handler: d.countInFlight(d.newMux(c)), ReadHeaderTimeout: headerTimeout}
	return d, nil
}

// Run serves until ctx ends, then shuts down gracefully: it announces that it
// leaves, keeps serving until callers have stopped using its address, and waits for
// the requests in flight. It returns an error when it cannot listen, when a server
// fails, or when the shutdown timed out.
func (d *Daemon) Run(ctx context.Context) error {
	var listen net.ListenConfig
	callers, err := listen.Listen(ctx, "tcp", d.settings.CallerAddress)
	if err != nil {
		return oops.In("daemon").Wrapf(err, "listen for callers")
	}
	daemons, err := listen.Listen(ctx, "tcp", d.settings.PeerAddress)
	if err != nil {
		return oops.In("daemon").Wrapf(err, "listen for daemons")
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	background, stopBackground := context.WithCancel(serving)
	failed := make(chan error, 2)
	go func() { failed <- d.httpServer.Serve(callers) }()
	go func() { failed <- d.peerServer.Serve(serving, daemons) }()
	backgroundDone := make(chan struct{})
	go func() {
		d.follow(background)
		close(backgroundDone)
	}()
	d.log.Info("daemon started", "daemon", d.self.ID, "incarnation", d.self.Incarnation, "caller", d.self.CallerAddress)
	select {
	case <-ctx.Done():
	case err := <-failed:
		stopBackground()
		return oops.In("daemon").Wrapf(err, "serve")
	}
	err = d.shutdown()
	stopBackground()
	<-backgroundDone // deregistered, so no other daemon forwards to this one any more
	err = errors.Join(err, d.drain())
	stopServing()
	d.pool.Close()
	d.release()
	return errors.Join(err, d.peers.Close(), d.metrics.Close())
}

// follow runs the background tasks until ctx ends. It first tries to acquire a
// connection slot, since fetching the inventories of backend servers needs the
// slot's connections.
func (d *Daemon) follow(ctx context.Context) {
	d.slots.Reconcile(ctx)
	slotsDone := make(chan struct{})
	go func() {
		d.slots.Run(ctx)
		close(slotsDone)
	}()
	d.follower.Run(ctx)
	<-slotsDone
}

// HandleGossip implements [ramp.PeerHandler].
func (d *Daemon) HandleGossip(m ramp.GossipMessage) ramp.GossipMessage {
	return d.follower.HandleGossip(m)
}

// HandleForward implements [ramp.PeerHandler].
func (d *Daemon) HandleForward(ctx context.Context, ticket ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	return d.service.RunForwarded(ctx, ticket, q)
}

// HandleHandover implements [ramp.PeerHandler].
func (d *Daemon) HandleHandover(outcomes []ramp.TicketOutcome) {
	d.log.Info("ticket outcomes received", "count", len(outcomes))
	d.tickets.ImportOutcomes(outcomes, d.clock.Now())
}

func (d *Daemon) status() operator.Status {
	lists, confirmed := d.lists.Current()
	return operator.Status{
		Daemon: d.self.ID, Version: lists.Version, Edit: lists.Edit, Leaving: d.isLeaving(),
		StoreAge: operator.FormatAge(d.clock.Now().Sub(confirmed), !confirmed.IsZero()), InFlight: int(d.inFlight.Load()),
	}
}

// gauges returns the current values of the gauges.
func (d *Daemon) gauges(admitter *plan.Admitter) gauges {
	lists, confirmed := d.lists.Current()
	g := gauges{
		State: admitter.State(), inFlight: int(d.inFlight.Load()), queuedTasks: d.pool.QueueLen(),
		listsVersion: lists.Version, leaving: d.isLeaving(),
	}
	if !confirmed.IsZero() {
		g.confirmedAge = d.clock.Now().Sub(confirmed)
	}
	return g
}

// countInFlight returns a handler that counts the requests in flight in next.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// newIncarnation returns a random id, unique to this start of the daemon.
func newIncarnation() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}
