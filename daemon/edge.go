package daemon

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/backend"
	"sycamoreramp.example/sycamoreramp/burn"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/peer"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// Sizes of a daemon on the platform.
const (
	edgeWorkers = 1024 // attempts in progress at once; a few hundred while many replicas are silent
	edgeQueue   = 4096 // attempts that may wait for a worker
	newsWorkers = 4    // exchanges with other daemons at once
	newsQueue   = 128  // a leaving daemon tells all others at once
)

// Times of a daemon on the platform.
const (
	// edgeMargin is kept back of an objective: the way to the caller and back, and
	// the time to put an answer together.
	edgeMargin = 12 * time.Millisecond
	// lifeParts is how often an answer about addresses may run out within the time
	// that a daemon has to stop. Some callers keep one three times as long.
	lifeParts = 6
	// lifeKept is how many times its life some callers keep an answer about
	// addresses.
	lifeKept = 3
	// lingerSlack is added for answers on their way.
	lingerSlack = 500 * time.Millisecond
	// exitBefore is how long before it would be killed a daemon ends by itself.
	exitBefore = 400 * time.Millisecond
	// flushLimit bounds the writing of the last log lines.
	flushLimit = 200 * time.Millisecond
)

// Edge is a daemon on the users' platform.
type Edge struct {
	log        *slog.Logger
	lines      *lines
	clock      ramp.Clock
	deployment ramp.Deployment
	reload     func() (ramp.Deployment, error)
	seeds      atomic.Pointer[[]ramp.Daemon]
	self       ramp.Daemon
	pool       *ramp.Pool
	news       *ramp.Pool
	peers      *peer.Client
	peer       *peer.Server
	observer   *fleet.Observer
	routes     *fleet.Routes
	members    *fleet.Members
	instances  *replica.Instances
	picker     *replica.Picker
	metrics    *metrics
	burns      *burn.Ledger
	idle       *idlers
	servers    []server
	leaving    chan struct{} // closed when the daemon starts to leave
}

// server is an HTTP server with its address.
type server struct {
	*http.Server
	address string
}

// NewEdge puts a daemon together. It does not listen yet. Reload reads the
// deployment again. Metrics are served at an address and path unless the address
// is empty. The log goes to out.
func NewEdge(
	d ramp.Deployment, reload func() (ramp.Deployment, error), metricsAddress, metricsPath string, clock ramp.Clock,
	out io.Writer, level slog.Level,
) (*Edge, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	written := newLines(out, clock)
	e := &Edge{
		lines: written, clock: clock, deployment: d, reload: reload,
		log: slog.New(slog.NewTextHandler(written, &slog.HandlerOptions{Level: level})),
		self: ramp.Daemon{
			ID: d.Name, Incarnation: incarnation, Domain: d.Domain,
			CallerAddress: d.CallerAddress, PeerAddress: d.PeerAddress,
		},
		pool: ramp.NewPool(edgeWorkers, edgeQueue), news: ramp.NewPool(newsWorkers, newsQueue),
		peers: peer.NewClient("", clock), routes: fleet.NewRoutes(), instances: replica.NewInstances(d.DrainBound, clock),
		metrics: newMetrics(), burns: burn.NewLedger(clock), leaving: make(chan struct{}),
	}
	e.picker = replica.NewPicker(e.instances, d.Domain, clock)
	e.setSeeds(d)
	e.members = fleet.NewMembers(e.self, clock)
	store := platform.NewClient(d.StoreAddress)
	e.observer = &fleet.Observer{
		Clock: clock, Log: e.log, Self: e.self, Store: store, Registry: platform.Registry{Store: store},
		Translator: platform.Translator{}, Peers: e.peers, Pool: e.news, Mirror: fleet.NewMirror(clock),
		Routes: e.routes, Members: e.members, Replicas: e.instances, Leaving: e.leaving, Bound: d.ApplyBound,
		Seeds: func() []ramp.Daemon { return *e.seeds.Load() },
	}
	e.observer.Init()
	e.peer = peer.NewServer(edgePeer{e.observer}, "", clock)
	e.idle = newIdlers(e.routes, clock)
	e.newServers(metricsAddress, metricsPath)
	return e, nil
}

// newServers makes the servers for callers, the platform and operators.
func (e *Edge) newServers(metricsAddress, metricsPath string) {
	d := e.deployment
	relay := &query.Relay{
		Clock: e.clock, Log: e.log, Pool: e.pool, Routes: e.routes,
		Picker: e.picker,
		Repeater: retry.NewRepeats(retry.Bounds{
			Ratio: d.RetryRatio, Slack: d.RetrySlack, Window: d.RetryWindow,
		}, e.observer.Fleet, e.clock),
		Exchange:  backend.NewExchanger(platform.Framing{}, e.clock),
		Collector: e.peers, Helpers: fleet.NewHelpers(e.members, e.clock),
		Members: e.observer.Fleet, Margin: edgeMargin, Observe: e.observe,
	}
	e.peer.WithCollector(relay.Init())
	front := platform.Front{Asker: relay, Routes: e.routes, Leaving: e.isLeaving}
	e.serve(d.CallerAddress, front).ConnState = e.idle.Observe
	directory := http.NewServeMux()
	directory.HandleFunc("GET /resolve", platform.Addresses(e.members, addressLife(d)))
	e.serve(d.DirectoryAddress, directory)
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /ready", platform.Readiness(e.isReady))
	e.serve(d.ReadinessAddress, readiness)
	if metricsAddress != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+metricsPath, e.metrics.EdgeHandler(e.state))
		mux.HandleFunc("GET /burn", operator.BurnHandler(e.burns.Report))
		mux.HandleFunc("GET /belief", operator.BeliefHandler(e.belief))
		e.serve(metricsAddress, mux)
	}
}

func (e *Edge) serve(address string, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(
		e.log.Handler(), slog.LevelDebug)}
	e.servers = append(e.servers, server{Server: s, address: address})
	return s
}

// Run serves until ctx ends, then leaves the fleet and lets every request end. It
// reads the settings again when something is sent on hangups.
func (e *Edge) Run(ctx context.Context, hangups <-chan struct{}) error {
	failed := make(chan error, len(e.servers)+1)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var listen net.ListenConfig
	for _, s := range e.servers {
		listener, err := listen.Listen(ctx, "tcp", s.address)
		if err != nil {
			return oops.In("daemon").Wrapf(err, "listen")
		}
		go func() { failed <- s.Serve(listener) }()
	}
	daemons, err := listen.Listen(ctx, "tcp", e.deployment.PeerAddress)
	if err != nil {
		return oops.In("daemon").Wrapf(err, "listen for daemons")
	}
	go func() { failed <- e.peer.Serve(serving, daemons) }()
	observed := make(chan struct{})
	go func() {
		e.observer.Run(serving)
		close(observed)
	}()
	go e.followSettings(serving, hangups)
	go e.idle.Run(serving)
	e.log.Info("daemon started", "daemon", e.self.ID, "incarnation", e.self.Incarnation, "domain", e.self.Domain,
		"caller", e.self.CallerAddress, "store", e.deployment.StoreAddress)
	select {
	case <-ctx.Done():
		err = e.leave()
	case err = <-failed:
		err = oops.In("daemon").Wrapf(err, "serve")
	}
	stop()
	e.log.Info("daemon stopped", "daemon", e.self.ID, "error", err)
	_ = e.peers.Close() // the process ends
	e.lines.Close(flushLimit)
	return err
}

// leave tells everybody that this daemon goes, serves on until no caller comes
// any more, and lets the requests in progress end.
func (e *Edge) leave() error {
	close(e.leaving)
	linger := min(lifeKept*addressLife(e.deployment)+lingerSlack, e.deployment.GracePeriod/2)
	e.log.Info("daemon leaving", "daemon", e.self.ID, "linger", linger, "grace", e.deployment.GracePeriod)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer e.clock.AfterFunc(e.deployment.GracePeriod-exitBefore, cancel)()
	_ = ramp.Sleep(ctx, e.clock, linger) // ends with ctx at the latest
	var errs error
	for _, s := range e.servers {
		errs = errors.Join(errs, s.Shutdown(ctx))
	}
	return errs
}

// addressLife returns how long callers may keep an answer about addresses.
func addressLife(d ramp.Deployment) time.Duration { return min(d.AddressTTL, d.GracePeriod/lifeParts) }

func (e *Edge) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// observe takes in every message of a caller.
func (e *Edge) observe(d ramp.RelayResult, err error) {
	e.metrics.ObserveDelivery(d, err)
	e.burns.ObserveDelivery(d, err)
}

// belief returns what the daemon takes to be true.
func (e *Edge) belief() operator.Belief {
	b := operator.Belief{
		Daemon: e.self.ID, Incarnation: e.self.Incarnation, Domain: e.self.Domain, Leaving: e.isLeaving(),
		Revision: e.observer.Mirror.Revision(), Age: operator.AgeText(e.observer.Age()),
	}
	routing, _ := e.routes.Current()
	return b.WithRouting(routing).WithReplicas(e.picker.Views()).WithDaemons(e.members.Views())
}

// state returns what the metrics show.
func (e *Edge) state() edgeState {
	routing, _ := e.routes.Current()
	age, _ := e.observer.Age()
	return edgeState{
		version: routing.Version, age: age, members: e.observer.Fleet(), replicas: e.instances.Count(),
		tasks: e.pool.QueueLen(), dropped: e.lines.Dropped(), leaving: e.isLeaving(),
	}
}

// isReady reports whether the daemon can answer callers.
func (e *Edge) isReady(context.Context) bool {
	_, known := e.routes.Current()
	return known && !e.isLeaving()
}

// edgePeer answers the calls of other daemons. Orders and their tickets are not
// served on the platform.
type edgePeer struct {
	observer *fleet.Observer
}

// HandleGossip implements [ramp.PeerHandler].
func (p edgePeer) HandleGossip(news ramp.GossipMessage) ramp.GossipMessage {
	return p.observer.Answer(news)
}

// HandleForward implements [ramp.PeerHandler].
func (edgePeer) HandleForward(context.Context, ramp.Ticket, ramp.Query) (ramp.Answer, error) {
	return ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonTicket, Ran: ramp.NotRun}
}

// HandleHandover implements [ramp.PeerHandler].
func (edgePeer) HandleHandover([]ramp.TicketOutcome) {}
