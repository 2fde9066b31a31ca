package order_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/order"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/retry"
)

const planDeadline = 2 * time.Second

// node is one incarnation of a daemon with the real service, engine and ticket
// store. It is the fake of their clock, peers, backend servers and layouts: a
// call of those blocks while the node is frozen and ends its goroutine when the
// node is dead.
type node struct {
	*simulation
	daemon     ramp.Daemon
	service    *query.Service
	store      *order.TicketStore
	members    *fleet.Members
	pool       *ramp.Pool
	overloaded atomic.Bool   // the admitter refuses queries
	thawed     chan struct{} // closed when the node is thawed; nil unless it is frozen
	dead       chan struct{} // closed when the node is killed
}

// waitThawed blocks while the node is frozen.
func (n *node) waitThawed() {
	n.mutex.Lock()
	thawed := n.thawed
	n.mutex.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// checkpoint blocks while the node is frozen and ends the goroutine if the node
// is dead.
func (n *node) checkpoint() {
	n.waitThawed()
	if n.isDead() {
		runtime.Goexit()
	}
}

func (n *node) isFrozen() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.thawed != nil
}

func (n *node) isDead() bool {
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

func (n *node) freeze() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.thawed == nil {
		n.thawed = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.thawed != nil {
		close(n.thawed)
		n.thawed = nil
	}
}

func (n *node) kill() {
	if !n.isDead() {
		close(n.dead)
	}
	n.thaw()
}

func (n *node) Now() time.Time {
	n.waitThawed()
	return time.Now()
}

func (n *node) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, func() {
		n.waitThawed()
		f()
	})
	return func() { t.Stop() }
}

func (n *node) Check(time.Time) error                 { return nil }
func (n *node) Current() (ramp.Lists, time.Time)      { return n.lists, time.Time{} }
func (n *node) MarkLeaving(string, time.Time)         {}
func (n *node) Done(ramp.Attempt)                     {}
func (n *node) Snapshot(string) (ramp.Snapshot, bool) { return n.snapshot, true }

func (n *node) FetchInventory(context.Context, ramp.VM) (h ramp.Inventory, err error) { return h, err }

func (n *node) Gossip(context.Context, ramp.Daemon, ramp.GossipMessage) (reply ramp.GossipMessage, err error) {
	return reply, err
}

func (n *node) Admit(context.Context, ramp.Query, ramp.Allowance, int) (release func(), err error) {
	n.checkpoint()
	if n.overloaded.Load() {
		return nil, &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun}
	}
	return func() {}, nil
}

func (n *node) Choose(
	a ramp.Attempt, tried []ramp.Attempt, _ func(ramp.Replica, bool),
) (ramp.Replica, ramp.Placement) {
	for _, r := range a.Shard.Replicas {
		if !slices.ContainsFunc(tried, func(t ramp.Attempt) bool { return t.Replica.ID == r.ID }) {
			return r, ramp.Placed
		}
	}
	return ramp.Replica{}, ramp.Refused
}

// Send logs the query as started once its first byte may have arrived.
func (n *node) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	n.checkpoint()
	mode, _ := n.mode.Load().(string)
	if mode == "refuse" || ctx.Err() != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Unreachable}
	}
	n.mutex.Lock()
	n.startedWork = append(n.startedWork, a.Query)
	n.mutex.Unlock()
	delay := 20 * time.Millisecond
	if mode == "slow" {
		delay = 3 * time.Second
	}
	err := ramp.Sleep(ctx, ramp.SystemClock{}, delay)
	n.checkpoint()
	if err != nil || mode == "shed" {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Shed, Sent: true}
	}
	return ramp.Reply{
		Query: a.Query.ID, Attempt: a.Number, Shard: a.Shard.ID, IndexVersion: a.IndexVersion, Range: a.Shard.Range,
	}, nil
}

// Forward runs an order on another node.
func (n *node) Forward(ctx context.Context, to ramp.Daemon, t ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	n.checkpoint()
	target := n.find(to.Incarnation)
	if target.isDead() {
		return ramp.Answer{}, &ramp.PeerError{Daemon: to.ID, Cause: errors.New("connection refused")}
	}
	replyLost := n.loseReply.Swap(false)
	type reply struct {
		answer ramp.Answer
		err    error
	}
	replies := make(chan reply, 1)
	go func() {
		target.checkpoint()
		answer, err := target.service.RunForwarded(n.ctx, t, q)
		if !replyLost {
			replies <- reply{answer, err}
		}
	}()
	select {
	case r := <-replies:
		n.checkpoint()
		return r.answer, r.err
	case <-target.dead:
	case <-ctx.Done():
	}
	n.checkpoint()
	return ramp.Answer{}, &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: errors.New("no reply")}
}

// leave shuts the node down gracefully and hands over its outcomes.
func (n *node) leave() {
	n.checkpoint()
	_ = n.store.Close(n.ctx)
	outcomes := n.store.Outcomes(n.Now())
	for _, d := range n.members.Successors(n.daemon.Incarnation) {
		if successor := n.find(d.Incarnation); !successor.isDead() {
			successor.store.ImportOutcomes(outcomes, time.Now())
		}
	}
	n.checkpoint()
	n.expireLease(n)
	n.kill()
}

// simulation is a fleet of nodes with its backend servers and its callers.
type simulation struct {
	mutex       sync.Mutex
	lists       ramp.Lists
	snapshot    ramp.Snapshot
	nodes       []*node       // all incarnations, oldest first
	daemons     int           // number of daemons
	mode        atomic.Value  // behaviour of the backend servers, a string
	loseReply   atomic.Bool   // the reply to the next forwarded order is lost
	startedWork []ramp.Query  // queries that backend servers have started
	tickets     []ramp.Ticket // by order
	calls       []call
	ctx         context.Context
	variant     variant
}

// variant is a choice of mechanisms, of which some may be naive.
type variant struct {
	name  string
	store func(ramp.TicketStore) ramp.TicketStore
	peers func(*node) ramp.Peers
}

// call is a caller's request and its result.
type call struct {
	order      int // index of the ticket; -1 for a read
	query      string
	start, end time.Duration // since the start of the schedule
	ran        ramp.Ran
}

func newSimulation(ctx context.Context, v variant, daemons, orders int) *simulation {
	s := &simulation{ctx: ctx, variant: v, daemons: daemons}
	s.lists = ramp.Lists{}.
		WithAllowance(ramp.Allowance{
			Plan: "plan", Services: []string{"desk"}, Share: 1, Prefer: ramp.PreferCoverage, Deadline: planDeadline,
			Latency: planDeadline,
		}).
		WithCustomer(ramp.Customer{Name: "keeper", Plan: "plan", Key: ramp.HashCredential("key")}).
		WithVersion(1, "edit", "test")
	s.snapshot = ramp.Snapshot{Service: "desk", Version: 1, Shards: []ramp.Shard{
		{ID: "s0", Range: ramp.KeySpace, Replicas: []ramp.Replica{{ID: "r0"}, {ID: "r1"}}},
	}}
	for i := range daemons {
		s.start(i)
	}
	for i := range orders {
		ticket, _ := s.nodes[i%daemons].service.IssueTicket("key")
		s.tickets = append(s.tickets, ticket)
	}
	return s
}

// start starts a new incarnation of a daemon.
func (s *simulation) start(daemon int) {
	d := ramp.Daemon{ID: fmt.Sprint("d", daemon), Incarnation: fmt.Sprint("d", daemon, "-", len(s.nodes))}
	n := &node{simulation: s, daemon: d, dead: make(chan struct{}), pool: ramp.NewPool(2, 2)}
	n.store = order.NewTicketStore(d.ID, d.Incarnation)
	n.members = fleet.NewMembers(d, n)
	n.service = &query.Service{
		Clock: n, Log: slog.New(slog.DiscardHandler), Self: d, Lists: n, Members: n.members, Admitter: n,
		Tickets: s.variant.store(n.store), Peers: s.variant.peers(n),
		Engine: &query.Engine{
			Clock: n, Pool: n.pool, Layouts: n, Chooser: n, Retrier: retry.NewPolicy(),
			Stragglers: retry.CutoffPolicy{}, Backends: n,
		},
		Observe: func(ramp.Query, ramp.Allowance, ramp.Answer, error) {},
	}
	s.mutex.Lock()
	s.nodes = append(s.nodes, n)
	s.mutex.Unlock()
	s.updateMembers()
}

// incarnations returns all incarnations, oldest first.
func (s *simulation) incarnations() []*node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.nodes)
}

// updateMembers sets the membership of every node that is neither dead nor frozen
// to the nodes that are not dead.
func (s *simulation) updateMembers() {
	var members []ramp.Daemon
	for _, n := range s.incarnations() {
		if !n.isDead() {
			members = append(members, n.daemon)
		}
	}
	for _, n := range s.incarnations() {
		if !n.isDead() && !n.isFrozen() {
			n.members.Replace(members)
		}
	}
}

// expireLease removes a node from the membership of the others, as at the end of
// its lease.
func (s *simulation) expireLease(expired *node) {
	for _, n := range s.incarnations() {
		if n != expired && !n.isDead() && !n.isFrozen() {
			n.members.Replace(slices.DeleteFunc(n.members.All(), func(d ramp.Daemon) bool { return d == expired.daemon }))
		}
	}
}

func (s *simulation) find(incarnation string) *node {
	all := s.incarnations()
	return all[slices.IndexFunc(all, func(n *node) bool { return n.daemon.Incarnation == incarnation })]
}

// current returns the newest incarnation of a daemon.
func (s *simulation) current(daemon int) *node {
	id := fmt.Sprint("d", daemon)
	for _, n := range slices.Backward(s.incarnations()) {
		if n.daemon.ID == id {
			return n
		}
	}
	return nil
}

// send sends a request to a daemon and records its result. Without a reply the
// outcome stays unknown.
func (s *simulation) send(epoch time.Time, daemon, order int) {
	n := s.current(daemon)
	if n.isDead() {
		return
	}
	s.mutex.Lock()
	index := len(s.calls)
	s.calls = append(s.calls, call{order: order, start: time.Since(epoch), end: time.Hour, ran: ramp.RanUnknown})
	s.mutex.Unlock()
	request := query.Request{Credential: "key", Operation: ramp.Read, Service: "desk", Key: "k"}
	if order >= 0 {
		request.Operation, request.Ticket, request.Body = ramp.Order, s.tickets[order], fmt.Sprint("order ", order)
	}
	go func() {
		n.checkpoint()
		answer, err := n.service.Run(s.ctx, request)
		n.checkpoint()
		ran := answer.Ran
		var refused *ramp.RefusedError
		if errors.As(err, &refused) {
			ran = refused.Ran
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.calls[index].query, s.calls[index].ran = answer.ID, ran
		if ran != ramp.RanUnknown {
			s.calls[index].end = time.Since(epoch)
		}
	}()
}
