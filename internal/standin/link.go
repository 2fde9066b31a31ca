package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Servers is a set of backend servers in this process, by address.
type Servers struct {
	mutex   sync.Mutex
	servers map[string]*Backend
	domains map[string]string // failure domain, by address
}

// NewServers returns an empty set.
func NewServers() *Servers {
	return &Servers{servers: make(map[string]*Backend), domains: make(map[string]string)}
}

// Add adds a backend server, whose address is its id, and returns its entry of
// the VM list.
func (s *Servers) Add(b *Backend, domain string) ramp.VM {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers[b.ID] = b
	s.domains[b.ID] = domain
	return ramp.VM{ID: b.ID, Address: b.ID, Domain: domain, Service: b.Service, State: ramp.Live}
}

// Remove ends a backend server: its address answers no more.
func (s *Servers) Remove(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.servers, id)
}

func (s *Servers) find(address string) (*Backend, string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, ok := s.servers[address]
	return b, s.domains[address], ok && !b.Behaviour().Lost
}

// Link carries the attempts of one daemon to backend servers of this process.
// It implements [ramp.Backends] with the limits of a real transport: so many
// connections to each backend server, a delay for each new one, and the way
// between failure domains.
type Link struct {
	Clock       ramp.Clock
	Servers     *Servers
	Domain      string        // failure domain of the daemon
	Connect     time.Duration // delay of a new connection
	Hop         time.Duration // one way between failure domains; a tenth within one
	Connections int           // to each backend server
	Grace       time.Duration // how long a cancelled request may go on before its connection is closed

	mutex sync.Mutex
	idle  map[string]int
	open  map[string]int
	count Counts
}

// Counts is what a link has done so far.
type Counts struct {
	Sent   int // attempts that reached a connection
	Opened int // new connections on the path of a request
	Closed int // connections closed without a whole reply
	Most   int // highest number of connections to one backend server
}

// Counts returns what the link has done so far.
func (l *Link) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// FetchInventory implements [ramp.Backends].
func (l *Link) FetchInventory(_ context.Context, vm ramp.VM) (ramp.Inventory, error) {
	b, _, ok := l.Servers.find(vm.Address)
	if !ok {
		return ramp.Inventory{}, errors.New("connection refused")
	}
	behaviour := b.Behaviour()
	return HoldingOf(b, vm.Domain).WithDraining(behaviour.Drain && !behaviour.KeepQuiet), nil
}

// HoldingOf returns what a backend server holds now, by its clock.
func HoldingOf(b *Backend, domain string) ramp.Inventory {
	h := ramp.Inventory{
		Replica: ramp.Replica{ID: b.ID, Address: b.ID, Domain: domain}, Service: b.Service, ReportedAt: b.Clock.Now(),
	}
	for _, p := range b.Parts() {
		h.Shards = append(h.Shards, ramp.HeldShard{
			Version: p.Version, ID: p.Shard, Range: ramp.KeyRange{Low: p.Low, High: p.High},
		})
	}
	return h
}

// Send implements [ramp.Backends].
func (l *Link) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	fail := func(outcome ramp.Outcome, sent, connected bool) (ramp.Reply, error) {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: outcome, Sent: sent, NewConnection: connected}
	}
	b, domain, ok := l.Servers.find(a.Replica.Address)
	hop := l.Hop
	if domain == l.Domain {
		hop /= 10
	}
	if !ok {
		_ = ramp.Sleep(ctx, l.Clock, 2*hop)
		return fail(ramp.Unreachable, false, false)
	}
	connected, ok := l.acquire(a.Replica.Address)
	if !ok {
		return fail(ramp.NotStarted, false, false)
	}
	if connected && ramp.Sleep(ctx, l.Clock, l.Connect) != nil {
		l.release(a.Replica.Address, false)
		return fail(l.ended(a), false, true)
	}
	reply, outcome, err := l.serve(ctx, b, a, hop)
	l.release(a.Replica.Address, err == nil && outcome != ramp.Truncated && outcome != ramp.Mismatched)
	switch {
	case err != nil:
		return fail(l.ended(a), true, connected)
	case outcome != "":
		return fail(outcome, true, connected)
	}
	reply.NewConnection = connected
	return reply, nil
}

// serve carries the attempt over an open connection. It goes on for the grace
// time after ctx has ended.
func (l *Link) serve(
	ctx context.Context, b *Backend, a ramp.Attempt, hop time.Duration,
) (ramp.Reply, ramp.Outcome, error) {
	lasting, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer l.Clock.AfterFunc(a.Query.Deadline.Sub(l.Clock.Now()), cancel)()
	defer context.AfterFunc(ctx, func() { l.Clock.AfterFunc(l.Grace, cancel) })()
	if err := ramp.Sleep(lasting, l.Clock, hop); err != nil {
		return ramp.Reply{}, "", err
	}
	reply, outcome, err := b.Serve(lasting, Run{
		Query: a.Query.ID, Attempt: a.Number, Operation: string(a.Query.Operation), Shard: a.Shard.ID,
		Version: a.IndexVersion, Key: a.Query.Key, Body: a.Query.Body,
	})
	if err == nil {
		err = ramp.Sleep(lasting, l.Clock, hop)
	}
	switch {
	case err != nil || outcome != "":
	case b.Behaviour().Truncate:
		outcome = ramp.Truncated
	case reply.Check(a) != nil:
		outcome = ramp.Mismatched
	}
	return reply, outcome, err
}

// acquire takes an idle connection or opens one.
func (l *Link) acquire(address string) (connected, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open == nil {
		l.idle, l.open = make(map[string]int), make(map[string]int)
	}
	switch {
	case l.idle[address] > 0:
		l.idle[address]--
	case l.open[address] >= l.Connections:
		return false, false
	default:
		l.open[address]++
		l.count.Opened++
		l.count.Most = max(l.count.Most, l.open[address])
		connected = true
	}
	l.count.Sent++
	return connected, true
}

func (l *Link) release(address string, keep bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if keep {
		l.idle[address]++
		return
	}
	l.open[address]--
	l.count.Closed++
}

// ended says why an attempt ended without a reply.
func (l *Link) ended(a ramp.Attempt) ramp.Outcome {
	if l.Clock.Now().Before(a.Query.Deadline) {
		return ramp.Cancelled
	}
	return ramp.Expired
}
