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

// node is one incarnation of a daemon with the real service, engine and ledger.
// It stands in for its clock, peers, backend servers and layouts; each call of
// those blocks while the node is frozen, and ends the goroutine of a dead one.
type node struct {
	*simulation
	daemon  ramp.Daemon
	service *query.Service
	ledger  *order.Ledger
	members *fleet.Members
	pool    *ramp.Pool
	full    atomic.Bool // admission refuses
	frozen  chan struct{}
	dead    chan struct{}
}

// wait blocks while the node is frozen.
func (n *node) wait() {
	n.mutex.Lock()
	frozen := n.frozen
	n.mutex.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// pass lets the goroutine go on unless the node is frozen or dead.
func (n *node) pass() {
	n.wait()
	if n.isDead() {
		runtime.Goexit()
	}
}

func (n *node) isFrozen() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.frozen != nil
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
	if n.frozen == nil {
		n.frozen = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

func (n *node) kill() {
	if !n.isDead() {
		close(n.dead)
	}
	n.thaw()
}

func (n *node) Now() time.Time {
	n.wait()
	return time.Now()
}

func (n *node) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, func() {
		n.wait()
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

func (n *node) Gossip(context.Context, ramp.Daemon, ramp.GossipMessage) (news ramp.GossipMessage, err error) {
	return news, err
}

func (n *node) Admit(context.Context, ramp.Query, ramp.Allowance, int) (release func(), err error) {
	n.pass()
	if n.full.Load() {
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

// Send logs the work once its first byte may have arrived.
func (n *node) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	n.pass()
	mode, _ := n.mode.Load().(string)
	if mode == "refuse" || ctx.Err() != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Unreachable}
	}
	n.mutex.Lock()
	n.started = append(n.started, a.Query)
	n.mutex.Unlock()
	delay := 20 * time.Millisecond
	if mode == "slow" {
		delay = 3 * time.Second
	}
	err := ramp.Sleep(ctx, ramp.SystemClock{}, delay)
	n.pass()
	if err != nil || mode == "shed" {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Shed, Sent: true}
	}
	return ramp.Reply{
		Query: a.Query.ID, Attempt: a.Number, Shard: a.Shard.ID, IndexVersion: a.IndexVersion, Range: a.Shard.Range,
	}, nil
}

// Forward carries an order to another node.
func (n *node) Forward(ctx context.Context, to ramp.Daemon, t ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	n.pass()
	target := n.find(to.Incarnation)
	if target.isDead() {
		return ramp.Answer{}, &ramp.PeerError{Daemon: to.ID, Cause: errors.New("connection refused")}
	}
	lost := n.lose.Swap(false)
	type reply struct {
		answer ramp.Answer
		err    error
	}
	replies := make(chan reply, 1)
	go func() {
		target.pass()
		answer, err := target.service.Forwarded(n.running, t, q)
		if !lost {
			replies <- reply{answer, err}
		}
	}()
	select {
	case r := <-replies:
		n.pass()
		return r.answer, r.err
	case <-target.dead:
	case <-ctx.Done():
	}
	n.pass()
	return ramp.Answer{}, &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: errors.New("no reply")}
}

// leave shuts the node down gracefully and hands over its tickets.
func (n *node) leave() {
	n.pass()
	_ = n.ledger.Close(n.running)
	settled := n.ledger.Settlements(n.Now())
	for _, d := range n.members.Successors(n.daemon.Incarnation) {
		if successor := n.find(d.Incarnation); !successor.isDead() {
			successor.ledger.Inherit(settled, time.Now())
		}
	}
	n.pass()
	n.forget(n)
	n.kill()
}

// simulation is a fleet of nodes, its backend servers and its callers.
type simulation struct {
	mutex    sync.Mutex
	lists    ramp.Lists
	snapshot ramp.Snapshot
	nodes    []*node // all incarnations
	names    int
	mode     atomic.Value // how backend servers behave, a string
	lose     atomic.Bool  // the reply to the next forwarded order is lost
	started  []ramp.Query // the backend servers' log of started work
	tickets  []ramp.Ticket
	calls    []call
	running  context.Context
	variant  variant
}

// variant replaces a mechanism by a naive one.
type variant struct {
	name   string
	ledger func(ramp.TicketStore) ramp.TicketStore
	peers  func(*node) ramp.Peers
}

// call is a caller's request.
type call struct {
	order      int // index of the ticket; -1 for a read
	query      string
	begun, end time.Duration
	ran        ramp.Ran
}

func newSimulation(ctx context.Context, v variant, names, orders int) *simulation {
	s := &simulation{running: ctx, variant: v, names: names}
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
	for i := range names {
		s.start(i)
	}
	for i := range orders {
		ticket, _ := s.nodes[i%names].service.Ticket("key")
		s.tickets = append(s.tickets, ticket)
	}
	return s
}

// start starts a new incarnation of a daemon.
func (s *simulation) start(name int) {
	d := ramp.Daemon{ID: fmt.Sprint("d", name), Incarnation: fmt.Sprint("d", name, "-", len(s.nodes))}
	n := &node{simulation: s, daemon: d, dead: make(chan struct{}), pool: ramp.NewPool(2, 2)}
	n.ledger = order.NewLedger(d.ID, d.Incarnation)
	n.members = fleet.NewMembers(d, n)
	n.service = &query.Service{
		Clock: n, Log: slog.New(slog.DiscardHandler), Self: d, Lists: n, Members: n.members, Admitter: n,
		Ledger: s.variant.ledger(n.ledger), Peers: s.variant.peers(n),
		Engine: &query.Engine{
			Clock: n, Pool: n.pool, Layouts: n, Chooser: n, Retrier: retry.NewPolicy(), Patience: retry.Patience{}, Backends: n,
		},
		Observe: func(ramp.Query, ramp.Allowance, ramp.Answer, error) {},
	}
	s.mutex.Lock()
	s.nodes = append(s.nodes, n)
	s.mutex.Unlock()
	s.list()
}

// all returns all incarnations, oldest first.
func (s *simulation) all() []*node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.nodes)
}

// list tells every node the members that are neither dead nor forgotten.
func (s *simulation) list() {
	var members []ramp.Daemon
	for _, n := range s.all() {
		if !n.isDead() {
			members = append(members, n.daemon)
		}
	}
	for _, n := range s.all() {
		if !n.isDead() && !n.isFrozen() {
			n.members.Replace(members)
		}
	}
}

// forget removes a node from what the others know, as at the end of its lease.
func (s *simulation) forget(gone *node) {
	for _, n := range s.all() {
		if n != gone && !n.isDead() && !n.isFrozen() {
			n.members.Replace(slices.DeleteFunc(n.members.All(), func(d ramp.Daemon) bool { return d == gone.daemon }))
		}
	}
}

func (s *simulation) find(incarnation string) *node {
	all := s.all()
	return all[slices.IndexFunc(all, func(n *node) bool { return n.daemon.Incarnation == incarnation })]
}

// current returns the newest incarnation of a daemon.
func (s *simulation) current(name int) *node {
	id := fmt.Sprint("d", name)
	for _, n := range slices.Backward(s.all()) {
		if n.daemon.ID == id {
			return n
		}
	}
	return nil
}

// ask sends a request through a daemon. A reply that does not come leaves the
// outcome unknown for ever.
func (s *simulation) ask(started time.Time, name, number int) {
	n := s.current(name)
	if n.isDead() {
		return
	}
	s.mutex.Lock()
	index := len(s.calls)
	s.calls = append(s.calls, call{order: number, begun: time.Since(started), end: time.Hour, ran: ramp.RanUnknown})
	s.mutex.Unlock()
	request := query.Request{Credential: "key", Operation: ramp.Read, Service: "desk", Key: "k"}
	if number >= 0 {
		request.Operation, request.Ticket, request.Body = ramp.Order, s.tickets[number], fmt.Sprint("order ", number)
	}
	go func() {
		n.pass()
		answer, err := n.service.Run(s.running, request)
		n.pass()
		ran := answer.Ran
		var refused *ramp.RefusedError
		if errors.As(err, &refused) {
			ran = refused.Ran
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.calls[index].query, s.calls[index].ran = answer.ID, ran
		if ran != ramp.RanUnknown {
			s.calls[index].end = time.Since(started)
		}
	}()
}
