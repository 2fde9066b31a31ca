package daemon

import (
	"cmp"
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
	"sycamoreramp.example/sycamoreramp/plan"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// Pool sizes of an edge daemon.
const (
	attemptWorkers = 1024 // attempts in flight at once; a few hundred when many replicas do not respond
	attemptQueue   = 4096 // attempts waiting for a worker
	gossipWorkers  = 4    // gossip exchanges in flight at once
	gossipQueue    = 128  // queued exchanges; a leaving daemon sends to all others at once
)

// Durations of an edge daemon and the factors they are derived from.
const (
	// replyMargin is subtracted from a route's latency objective for the network
	// round trip to the caller and for assembling the answer.
	replyMargin = 12 * time.Millisecond
	// addressTTLDivisor divides the grace period to give the upper bound on the TTL of
	// an address answer. With 6, callers that keep an answer for three times its TTL
	// still stop using the address within half of the grace period.
	addressTTLDivisor = 6
	// addressCacheFactor is the multiple of the TTL for which some callers keep an
	// address answer.
	addressCacheFactor = 3
	// lingerSlack is added to the linger time for address answers in flight.
	lingerSlack = 500 * time.Millisecond
	// exitMargin is the time by which the shutdown ends before the platform's kill.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time before the shutdown ends by which callers are answered.
	answerMargin = 200 * time.Millisecond
	// defaultMemory is the memory of the process, in bytes, if the deployment states none.
	defaultMemory = 512 << 20
	// bodyMemoryDivisor divides the memory of the process to give the memory for bodies.
	// The garbage collector lets as much again go unused, and buffers of connections and
	// the daemon's own state need memory too.
	bodyMemoryDivisor = 8
	// logFlushTimeout bounds the time for writing the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

// Edge is an edge daemon: a daemon on the users' platform, which relays callers'
// messages to replicas. Create it with [NewEdge].
type Edge struct {
	log         *slog.Logger
	logWriter   *logWriter
	clock       ramp.Clock
	deployment  ramp.Deployment
	reload      func() (ramp.Deployment, error)
	seeds       atomic.Pointer[[]ramp.Daemon]
	self        ramp.Daemon
	attemptPool *ramp.Pool
	gossipPool  *ramp.Pool
	peers       *peer.Client
	peerServer  *peer.Server
	observer    *fleet.Observer
	routes      *fleet.Routes
	members     *fleet.Members
	instances   *replica.Instances
	picker      *replica.Picker
	admitter    *plan.Admitter
	coldShares  *fleet.ColdShares
	metrics     *metrics
	burnRates   *burn.Recorder
	idleCloser  *idleCloser
	pauses      *pauseDetector
	allowances  *plan.AllowanceLimiter // nil if the deployment states no bounds on the requests of tenants
	front       *http.Server           // serves callers; one of servers
	servers     []server
	leaving     chan struct{}             // closed when the daemon starts to leave
	answerBy    atomic.Pointer[time.Time] // when answers must have been sent; set before leaving is closed
	answersDue  chan struct{}             // closed at answerBy
}

// server is an HTTP server with its listening address.
type server struct {
	*http.Server
	address string
}

// NewEdge returns an edge daemon that does not listen yet. Reload reads the
// deployment again. Metrics are served at metricsPath on metricsAddress unless the
// address is empty. The log is written to out.
func NewEdge(
	d ramp.Deployment, reload func() (ramp.Deployment, error), metricsAddress, metricsPath string, clock ramp.Clock,
	out io.Writer, level slog.Level,
) (*Edge, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	writer := newLogWriter(out, clock)
	e := &Edge{
		logWriter: writer, clock: clock, deployment: d, reload: reload,
		log: slog.New(slog.NewTextHandler(writer, &slog.HandlerOptions{Level: level})),
		self: ramp.Daemon{
			ID: d.Name, Incarnation: incarnation, Domain: d.Domain,
			CallerAddress: d.CallerAddress, PeerAddress: d.PeerAddress, Capacity: d.Capacity,
		},
		attemptPool: ramp.NewPool(attemptWorkers, attemptQueue), gossipPool: ramp.NewPool(gossipWorkers, gossipQueue),
		peers: peer.NewClient("", clock), routes: fleet.NewRoutes(), instances: replica.NewInstances(d.DrainBound, clock),
		metrics: newMetrics(), burnRates: burn.NewRecorder(clock), leaving: make(chan struct{}),
		answersDue: make(chan struct{}),
	}
	e.pauses = newPauseDetector(clock, systemBootClock{}, e.log)
	e.setSeeds(d)
	e.members = fleet.NewMembers(e.self, clock)
	store := platform.NewClient(d.StoreAddress)
	e.observer = &fleet.Observer{
		Clock: clock, Log: e.log, Self: e.self, Store: store, Registry: platform.Registry{Store: store},
		Translator: platform.Translator{Now: clock.Now}, Peers: e.peers, Pool: e.gossipPool, Mirror: fleet.NewMirror(clock),
		Routes: e.routes, Members: e.members, Replicas: e.instances, Leaving: e.leaving, ApplyBound: d.ApplyBound,
		Seeds: func() []ramp.Daemon { return *e.seeds.Load() },
		Boot:  systemBootClock{}, ObserveRead: e.metrics.ObserveStoreRead, ObserveGossip: e.metrics.ObserveGossip,
	}
	if d.RevocationBound > 0 {
		e.observer.Authorization = fleet.NewAuthorization(d.RevocationBound, systemBootClock{})
	}
	e.observer.Init()
	shares := fleet.LimitShares{Self: e.self, Members: e.members, FleetSize: e.observer.FleetSize}
	e.coldShares = fleet.NewColdShares(e.self, e.members, d.Warmup, e.observer.InTouch, e.observer.FleetSize, clock)
	e.picker = replica.NewPicker(e.instances, d.Domain, shares, e.log, clock).WithRouting(e.routes, e.coldShares)
	e.admitter = plan.NewAdmitter(plan.Config{
		Clock: clock, Capacity: attemptWorkers + attemptQueue, Floor: 1, Leaving: e.leaving,
		Members: func() []ramp.Daemon { return nil }, // tenants share no rates among daemons here
		Lists:   func() ramp.Lists { return ramp.Lists{} },
	})
	e.peerServer = peer.NewServer(edgePeerHandler{e.observer}, "", clock)
	e.idleCloser = newIdleCloser(e.routes, clock)
	e.newServers(metricsAddress, metricsPath)
	return e, nil
}

// newServers sets up the servers for callers, address look-ups, readiness checks
// and, unless metricsAddress is empty, metrics. The peer server then also serves
// collect requests.
func (e *Edge) newServers(metricsAddress, metricsPath string) {
	d := e.deployment
	memory := ramp.NewMemory(cmp.Or(d.MemoryLimit, defaultMemory) / bodyMemoryDivisor)
	crashes := retry.NewCrashes(e.clock, e.announceBlocks, e.logBlock)
	e.observer.Blocks = crashes
	relay := &query.Relay{
		Crashes: crashes,
		Clock:   e.clock, Log: e.log, Pool: e.attemptPool, Routes: e.routes,
		Picker: e.picker,
		Budget: retry.NewFleetBudget(retry.Bounds{
			Ratio: d.RetryRatio, Slack: d.RetrySlack, Window: d.RetryWindow,
		}, e.observer.FleetSize, e.clock),
		Exchanger: backend.NewExchanger(platform.CallCodec{}, memory, e.clock),
		Collector: e.peers, Memory: memory, Delegates: fleet.NewDelegateSelector(e.members, e.clock), Domain: d.Domain,
		FleetSize: e.observer.FleetSize, ReplyMargin: replyMargin, Observe: e.observeRelay,
		AnswerBy: e.answersDueAt, AnswersDue: e.answersDue, Resumed: e.pauses.Resumed,
		ObserveAttempt: e.metrics.ObserveAttempt, ObserveWithheld: e.metrics.ObserveWithheld,
		Admission: &plan.TenantAdmitter{
			Admitter: e.admitter, Clock: e.clock, Log: e.log, Routes: e.routes, Capacity: e.picker.Capacity,
		},
		ConfirmedAge: e.observer.ConfirmedAge,
	}
	if e.observer.Authorization != nil {
		relay.Authorizer = e.observer.Authorization
	}
	e.peerServer.WithCollectHandler(relay.Init())
	if d.Quota.Window > 0 {
		e.allowances = e.newAllowances()
		e.peerServer.WithTokenHandler(e.allowances)
		relay.Allowances = e.allowances
	}
	front := platform.CallerHandler{Messages: relay, Memory: memory, Routing: e.routes, Leaving: e.isLeaving}
	e.front = e.addServer(d.CallerAddress, front)
	e.front.ConnState = e.idleCloser.Observe
	directory := http.NewServeMux()
	directory.HandleFunc("GET /resolve", platform.AddressHandler(e.members, addressTTL(d)))
	e.addServer(d.DirectoryAddress, directory)
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /ready", platform.ReadinessHandler(e.isReady))
	e.addServer(d.ReadinessAddress, readiness)
	if metricsAddress != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+metricsPath, e.metrics.EdgeHandler(e.gauges))
		mux.HandleFunc("GET /burn", operator.BurnHandler(e.burnRates.Report))
		mux.HandleFunc("GET /belief", operator.ViewHandler(e.view))
		if e.allowances != nil {
			mux.HandleFunc("GET /allowances", operator.AllowanceHandler(e.allowances.Views))
		}
		e.addServer(metricsAddress, mux)
	}
}

// announceBlocks tells other daemons which messages must not be sent.
func (e *Edge) announceBlocks() { e.observer.AnnounceBlocks(context.Background()) }

// logBlock records that a message is blocked, with the evidence.
func (e *Edge) logBlock(b ramp.BlockedMessage) {
	e.metrics.ObserveBlock()
	e.log.Warn("message blocked", "message", b.Fingerprint, "left", b.Left, "times", b.Times, "crashes", b.Crashes,
		"replicas", b.Replicas, "certainty", b.Certainty)
}

// newAllowances returns the limiter of tenants' allowances.
func (e *Edge) newAllowances() *plan.AllowanceLimiter {
	return plan.NewAllowanceLimiter(plan.AllowanceConfig{
		Clock: e.clock, Log: e.log, Self: e.self, Bounds: e.deployment.Quota, Ranker: e.members, Source: e.peers,
		Routes: e.routes, FleetSize: e.observer.FleetSize, Pauses: e.pauses.Pauses, Observe: e.metrics.ObserveAllowance,
		Registered: e.observer.Registered,
		InTouch: func() bool {
			age, known := e.observer.ConfirmedAge()
			return known && age <= e.deployment.ApplyBound
		},
	})
}

// addServer adds a server that Run starts at the address, and returns it.
func (e *Edge) addServer(address string, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(
		e.log.Handler(), slog.LevelDebug)}
	e.servers = append(e.servers, server{Server: s, address: address})
	return s
}

// Run serves until ctx ends, then leaves the fleet and waits for the requests in
// flight. It reloads the settings for each value received from hangups. It returns
// an error when it cannot listen, when a server fails, or when the shutdown timed
// out.
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
	go func() { failed <- e.peerServer.Serve(serving, daemons) }()
	observerDone := make(chan struct{})
	go func() {
		e.observer.Run(serving)
		close(observerDone)
	}()
	go e.watchSettings(serving, hangups)
	go e.coldShares.Run(serving)
	go e.idleCloser.Run(serving)
	go e.pauses.Run(serving)
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
	_ = e.peers.Close() // the process exits, so an error does not matter
	e.logWriter.Close(logFlushTimeout)
	return err
}

// leave announces that this daemon leaves, keeps serving until callers' cached
// addresses have expired, and waits for the requests in flight. It listens until the
// callers' connections are closed, since a server that shuts down reads requests and
// drops them. It returns an error if some are cut off because the grace period is
// about to end.
func (e *Edge) leave() error {
	serving := e.deployment.GracePeriod - exitMargin - answerMargin
	answerBy := e.clock.Now().Add(serving)
	e.answerBy.Store(&answerBy)
	defer e.clock.AfterFunc(serving, func() { close(e.answersDue) })()
	close(e.leaving)
	linger := min(addressCacheFactor*addressTTL(e.deployment)+lingerSlack, e.deployment.GracePeriod/2)
	e.log.Info("daemon leaving", "daemon", e.self.ID, "linger", linger, "grace", e.deployment.GracePeriod)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer e.clock.AfterFunc(e.deployment.GracePeriod-exitMargin, cancel)()
	_ = ramp.Sleep(ctx, e.clock, linger) // returns early if ctx ends
	e.front.SetKeepAlivesEnabled(false)
	e.idleCloser.AwaitClosed(e.answersDue)
	var errs error
	for _, s := range e.servers {
		errs = errors.Join(errs, s.Shutdown(ctx))
	}
	return errors.Join(errs, e.peerServer.Drain(ctx)) // parts that are being collected for other daemons
}

// answersDueAt returns the time by which all answers must have been sent, if the
// daemon is leaving.
func (e *Edge) answersDueAt() (time.Time, bool) {
	if at := e.answerBy.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// addressTTL returns the TTL of address answers.
func addressTTL(d ramp.Deployment) time.Duration {
	return min(d.AddressTTL, d.GracePeriod/addressTTLDivisor)
}

func (e *Edge) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// observeRelay records the result of a caller's message in the metrics and burn
// rates.
func (e *Edge) observeRelay(d ramp.RelayResult, err error) {
	e.metrics.ObserveRelay(d, err)
	e.burnRates.ObserveRelay(d, err)
}

// view returns the daemon's view of the fleet, for operators.
func (e *Edge) view() operator.View {
	position := e.observer.Mirror.Position()
	b := operator.View{
		Daemon: e.self.ID, Incarnation: e.self.Incarnation, Domain: e.self.Domain, Leaving: e.isLeaving(),
		Era: position.Era, Revision: position.Revision, StoreAge: operator.FormatAge(e.observer.ConfirmedAge()),
		Evacuated: e.instances.Evacuated(),
	}
	routing, _ := e.routes.Current()
	return b.WithRouting(routing).WithReplicas(e.picker.Views()).WithDaemons(e.members.Views())
}

// gauges returns the current values of the gauges.
func (e *Edge) gauges() edgeGauges {
	routing, _ := e.routes.Current()
	age, _ := e.observer.ConfirmedAge()
	return edgeGauges{
		State:          e.admitter.State(),
		routingVersion: routing.Version, confirmedAge: age, members: e.observer.FleetSize(), replicas: e.instances.Count(),
		queuedTasks: e.attemptPool.QueueLen(), droppedLines: e.logWriter.Dropped(), leaving: e.isLeaving(),
		evacuated: len(e.instances.Evacuated()),
	}
}

// isReady reports whether the daemon has a routing configuration and is not
// leaving.
func (e *Edge) isReady(context.Context) bool {
	_, known := e.routes.Current()
	return known && !e.isLeaving()
}

// edgePeerHandler serves the calls of other daemons. Edge daemons serve no orders, so
// it refuses forwarded ones and ignores ticket outcomes.
type edgePeerHandler struct {
	observer *fleet.Observer
}

// HandleGossip implements [ramp.PeerHandler].
func (h edgePeerHandler) HandleGossip(m ramp.GossipMessage) ramp.GossipMessage {
	return h.observer.HandleGossip(m)
}

// HandleForward implements [ramp.PeerHandler].
func (edgePeerHandler) HandleForward(context.Context, ramp.Ticket, ramp.Query) (ramp.Answer, error) {
	return ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonTicket, Ran: ramp.NotRun}
}

// HandleHandover implements [ramp.PeerHandler].
func (edgePeerHandler) HandleHandover([]ramp.TicketOutcome) {}
