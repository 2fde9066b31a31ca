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

// NewServers returns an empty set of backend servers.
func NewServers() *Servers {
	return &Servers{servers: make(map[string]*Backend), domains: make(map[string]string)}
}

// Add adds a backend server under its id as its address, and returns its entry
// for the VM list.
func (s *Servers) Add(b *Backend, domain string) ramp.VM {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers[b.ID] = b
	s.domains[b.ID] = domain
	return ramp.VM{ID: b.ID, Address: b.ID, Domain: domain, Service: b.Service, State: ramp.Live}
}

// Remove removes a backend server. Its address is unreachable from then on.
func (s *Servers) Remove(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.servers, id)
}

func (s *Servers) lookUp(address string) (*Backend, string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, ok := s.servers[address]
	return b, s.domains[address], ok && !b.Behaviour().Unreachable
}

// Link sends the attempts of one daemon to backend servers in this process. It
// implements [ramp.Backends] and simulates a network transport: a limit of
// connections to each backend server, a delay for each new one, and the latency
// between failure domains.
type Link struct {
	Clock        ramp.Clock
	Servers      *Servers
	Domain       string        // failure domain of the daemon
	ConnectDelay time.Duration // delay of a new connection
	HopDelay     time.Duration // one-way latency between failure domains; a tenth of it within one
	Connections  int           // limit of open connections to each backend server
	CancelGrace  time.Duration // time that a cancelled request may take to finish before its connection is closed

	mutex     sync.Mutex
	idleCount map[string]int
	openCount map[string]int
	count     Counts
}

// Counts holds the counters of a link.
type Counts struct {
	Sent   int // attempts for which a connection was available or opened
	Opened int // connections opened while a request waited for them
	Closed int // connections closed without a complete reply
	Most   int // highest number of connections to one backend server
}

// Counts returns the current counters of the link.
func (l *Link) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// FetchInventory implements [ramp.Backends].
func (l *Link) FetchInventory(_ context.Context, vm ramp.VM) (ramp.Inventory, error) {
	b, _, ok := l.Servers.lookUp(vm.Address)
	if !ok {
		return ramp.Inventory{}, errors.New("connection refused")
	}
	behaviour := b.Behaviour()
	return InventoryOf(b, vm.Domain).WithDraining(behaviour.Drain && !behaviour.HideDrain), nil
}

// InventoryOf returns the inventory that a backend server holds, stamped by its
// clock.
func InventoryOf(b *Backend, domain string) ramp.Inventory {
	inventory := ramp.Inventory{
		Replica: ramp.Replica{ID: b.ID, Address: b.ID, Domain: domain}, Service: b.Service, ReportedAt: b.Clock.Now(),
	}
	for _, p := range b.Shards() {
		inventory.Shards = append(inventory.Shards, ramp.HeldShard{
			Version: p.Version, ID: p.Shard, Range: ramp.KeyRange{Low: p.Low, High: p.High},
		})
	}
	return inventory
}

// Send implements [ramp.Backends].
func (l *Link) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	fail := func(outcome ramp.Outcome, sent, connected bool) (ramp.Reply, error) {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: outcome, Sent: sent, NewConnection: connected}
	}
	b, domain, ok := l.Servers.lookUp(a.Replica.Address)
	hop := l.HopDelay
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
	if connected && ramp.Sleep(ctx, l.Clock, l.ConnectDelay) != nil {
		l.release(a.Replica.Address, false)
		return fail(l.outcomeAtEnd(a), false, true)
	}
	reply, outcome, err := l.serveAttempt(ctx, b, a, hop)
	l.release(a.Replica.Address, err == nil && outcome != ramp.Truncated && outcome != ramp.Mismatched)
	switch {
	case err != nil:
		return fail(l.outcomeAtEnd(a), true, connected)
	case outcome != "":
		return fail(outcome, true, connected)
	}
	reply.NewConnection = connected
	return reply, nil
}

// serveAttempt sends the attempt over an open connection. The request goes on for
// up to Link.Grace after ctx has ended.
func (l *Link) serveAttempt(
	ctx context.Context, b *Backend, a ramp.Attempt, hop time.Duration,
) (ramp.Reply, ramp.Outcome, error) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer l.Clock.AfterFunc(a.Query.Deadline.Sub(l.Clock.Now()), cancel)()
	defer context.AfterFunc(ctx, func() { l.Clock.AfterFunc(l.CancelGrace, cancel) })()
	if err := ramp.Sleep(extended, l.Clock, hop); err != nil {
		return ramp.Reply{}, "", err
	}
	reply, outcome, err := b.Serve(extended, Request{
		Query: a.Query.ID, Attempt: a.Number, Operation: string(a.Query.Operation), Shard: a.Shard.ID,
		Version: a.IndexVersion, Key: a.Query.Key, Body: a.Query.Body,
	})
	if err == nil {
		err = ramp.Sleep(extended, l.Clock, hop)
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

// acquire takes an idle connection, or opens one if the limit allows; connected
// reports that it is new.
func (l *Link) acquire(address string) (connected, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.openCount == nil {
		l.idleCount, l.openCount = make(map[string]int), make(map[string]int)
	}
	switch {
	case l.idleCount[address] > 0:
		l.idleCount[address]--
	case l.openCount[address] >= l.Connections:
		return false, false
	default:
		l.openCount[address]++
		l.count.Opened++
		l.count.Most = max(l.count.Most, l.openCount[address])
		connected = true
	}
	l.count.Sent++
	return connected, true
}

func (l *Link) release(address string, keep bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if keep {
		l.idleCount[address]++
		return
	}
	l.openCount[address]--
	l.count.Closed++
}

// outcomeAtEnd returns the outcome of an attempt whose context ended without a
// reply.
func (l *Link) outcomeAtEnd(a ramp.Attempt) ramp.Outcome {
	if l.Clock.Now().Before(a.Query.Deadline) {
		return ramp.Cancelled
	}
	return ramp.Expired
}
