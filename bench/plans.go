//go:build !lockorder

package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/plan"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// Sizes of the deployment in a simulation of admission control. A query goes to
// every shard, and each shard has two replicas in different failure domains.
const (
	simDaemons      = 4
	simShards       = 8
	slotsPerReplica = 2 // requests that a replica runs at once
	simReplyTime    = 10 * time.Millisecond
	simDeadline     = 500 * time.Millisecond
	simService      = "prisms"
)

// simCapacity is the rate of queries, per second, at which all slots are busy.
const simCapacity = 2 * slotsPerReplica * float64(time.Second) / float64(simReplyTime)

// admitAll is an admitter that admits every query.
type admitAll struct{}

// Admit implements [ramp.Admitter].
func (admitAll) Admit(context.Context, ramp.Query, ramp.Allowance, int) (func(), error) {
	return func() {}, nil
}

// fifoAdmitter is an admitter that runs a fixed number of queries at once and queues
// the others in the order of their arrival until their deadline.
type fifoAdmitter struct{ slots chan struct{} }

// Admit implements [ramp.Admitter].
func (f fifoAdmitter) Admit(ctx context.Context, q ramp.Query, _ ramp.Allowance, _ int) (func(), error) {
	expired := make(chan struct{})
	stop := ramp.SystemClock{}.AfterFunc(q.Deadline.Sub(ramp.SystemClock{}.Now()), func() { close(expired) })
	defer stop()
	select {
	case f.slots <- struct{}{}:
		return func() { <-f.slots }, nil
	case <-ctx.Done():
	case <-expired:
	}
	return nil, &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun}
}

// simDaemon is a daemon in a simulation. It uses the production decision code.
type simDaemon struct {
	ramp.Daemon
	engine   *query.Engine
	admitter ramp.Admitter
	layouts  *replica.Layouts
	pool     *ramp.Pool
	cancel   context.CancelFunc
	context  context.Context // cancelled when the daemon fails or the simulation ends
}

// simulation runs daemons, stand-in backend servers and a load of queries on one
// clock.
type simulation struct {
	clock      ramp.Clock
	servers    *standin.Servers
	vms        []ramp.VM
	lists      ramp.Lists
	sharedPlan bool // all customers have the first plan

	mutex   sync.Mutex // guards the fields below
	live    []*simDaemon
	results map[string][]queryResult // by customer
	random  *rand.Rand
	queries sync.WaitGroup
}

// queryResult is the result of one query.
type queryResult struct {
	startedAt time.Duration // since the start of the load
	elapsed   time.Duration
	waited    time.Duration // time until it was admitted or refused
	served    bool
	refused   bool
	attempts  int
}

// newSimulation returns a simulation whose daemons use the admitter of the given
// mode: "plans" for the production admitter, "fifo" for a [fifoAdmitter] or "none"
// for [admitAll]. Each customer has its own plan unless sharedPlan is set.
func newSimulation(mode string, customers int, sharedPlan bool, seed uint64) *simulation {
	s := &simulation{
		sharedPlan: sharedPlan,
		clock:      ramp.SystemClock{}, servers: standin.NewServers(), results: make(map[string][]queryResult),
		random: rand.New(rand.NewPCG(seed, 0)), lists: ramp.Lists{Version: 1},
	}
	for n := range customers {
		s.lists = s.lists.WithAllowance(ramp.Allowance{
			Plan: planName(n), Services: []string{simService}, Share: 1, Prefer: ramp.PreferTail,
			Deadline: simDeadline, Latency: simDeadline / 2, Coverage: 0.99,
		})
	}
	parts := standin.Split(1, simShards)
	for i := range 2 * simShards {
		server := standin.NewBackend(fmt.Sprintf("b%02d", i), simService, slotsPerReplica)
		server.SetShards(parts[i/2 : i/2+1])
		server.SetBehaviour(standin.Behaviour{Delay: simReplyTime, Jitter: 0.2, Queue: 16})
		s.vms = append(s.vms, s.servers.Add(server, domainName((i+i/2)%simDaemons)))
	}
	for i := range simDaemons {
		s.live = append(s.live, s.daemon(i, mode))
	}
	return s
}

func planName(n int) string { return fmt.Sprintf("plan%d", n) }

func domainName(n int) string { return fmt.Sprintf("domain%d", n) }

func (s *simulation) daemon(i int, mode string) *simDaemon {
	domain := domainName(i)
	layouts := replica.NewLayouts(s.clock)
	pool := ramp.NewPool(256, 4096)
	ctx, cancel := context.WithCancel(context.Background())
	d := &simDaemon{
		Daemon:  ramp.Daemon{ID: domain, Incarnation: domain, Domain: domain},
		layouts: layouts, pool: pool, context: ctx, cancel: cancel, admitter: admitAll{},
		engine: &query.Engine{
			Clock: s.clock, Pool: pool, Layouts: layouts, Chooser: replica.NewChooser(layouts, s.clock),
			Retrier: retry.NewPolicy(), Stragglers: retry.CutoffPolicy{},
			Backends: &standin.Link{
				Clock: s.clock, Servers: s.servers, Domain: domain, ConnectDelay: 6 * time.Millisecond,
				HopDelay: 1500 * time.Microsecond, Connections: 25 / simDaemons, CancelGrace: time.Second,
			},
		},
	}
	switch mode {
	case "plans":
		d.admitter = plan.NewAdmitter(plan.Config{
			Clock: s.clock, Capacity: 512, Floor: simShards, Members: s.members,
			Lists: func() ramp.Lists { return s.lists },
		})
	case "fifo":
		d.admitter = fifoAdmitter{slots: make(chan struct{}, 64)}
	}
	return d
}

func (s *simulation) members() []ramp.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	members := make([]ramp.Daemon, 0, len(s.live))
	for _, d := range s.live {
		members = append(members, d.Daemon)
	}
	return members
}

// gossipLoop makes every daemon fetch the inventories of the backend servers and
// gossip its usage to the other daemons, each second until ctx ends.
func (s *simulation) gossipLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mutex.Lock()
		live := slices.Clone(s.live)
		s.mutex.Unlock()
		for _, d := range live {
			for _, vm := range s.vms {
				if h, err := d.engine.Backends.FetchInventory(ctx, vm); err == nil {
					d.layouts.Update(h)
				}
			}
			s.gossip(d, live)
		}
		_ = ramp.Sleep(ctx, s.clock, time.Second)
	}
}

// gossip merges a daemon's usage counters into the other live daemons' admitters.
func (s *simulation) gossip(from *simDaemon, live []*simDaemon) {
	sender, ok := from.admitter.(*plan.Admitter)
	if !ok {
		return
	}
	usage := sender.Report()
	for _, to := range live {
		if to != from {
			to.admitter.(*plan.Admitter).MergeUsage(from.Daemon, usage)
		}
	}
}

// generateLoad sends a customer's queries, each to a random live daemon, until end.
// The intervals between them are exponentially distributed; rate is their mean
// number per second.
func (s *simulation) generateLoad(customer int, rate float64, started, end time.Time) {
	for {
		s.mutex.Lock()
		interval := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		d := s.live[s.random.IntN(len(s.live))]
		s.mutex.Unlock()
		_ = ramp.Sleep(context.Background(), s.clock, interval)
		now := s.clock.Now()
		if now.After(end) {
			return
		}
		s.queries.Go(func() { s.measureQuery(d, customer, now, started) })
	}
}

// measureQuery runs one query on a daemon and records its result.
func (s *simulation) measureQuery(d *simDaemon, customer int, now, started time.Time) {
	planIndex := customer
	if s.sharedPlan {
		planIndex = 0
	}
	a, _ := s.lists.Allowance(planName(planIndex))
	q := ramp.Query{
		ID: fmt.Sprintf("%s-%d", d.ID, now.UnixNano()), Customer: planName(customer), Plan: a.Plan, Service: simService,
		Operation: ramp.Search, Deadline: now.Add(a.Deadline),
	}
	answer, waited, err := d.runQuery(q, a)
	r := queryResult{
		startedAt: now.Sub(started), waited: waited, elapsed: s.clock.Now().Sub(now), attempts: len(answer.Attempts),
	}
	var refused *ramp.RefusedError
	r.refused = errors.As(err, &refused)
	r.served = err == nil && answer.Complete() && r.elapsed <= a.Deadline
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.results[q.Customer] = append(s.results[q.Customer], r)
}

// runQuery admits and runs a query. It also returns the time until the query was
// admitted or refused.
func (d *simDaemon) runQuery(q ramp.Query, a ramp.Allowance) (ramp.Answer, time.Duration, error) {
	arrived := d.engine.Clock.Now()
	release, err := d.admitter.Admit(d.context, q, a, d.engine.Cost(q))
	waited := d.engine.Clock.Now().Sub(arrived)
	if err != nil {
		return ramp.Answer{}, waited, err
	}
	defer release()
	answer, err := d.engine.Run(d.context, q, a)
	if m, ok := d.admitter.(*plan.Admitter); ok {
		m.Observe(q, answer)
	}
	return answer, waited, err
}

// fail stops the i-th live daemon. If domain is set, it also removes all backend
// servers of its failure domain.
func (s *simulation) fail(i int, domain bool) {
	s.mutex.Lock()
	d := s.live[i]
	s.live = slices.Delete(s.live, i, i+1)
	s.mutex.Unlock()
	d.cancel()
	d.pool.Close()
	for _, vm := range s.vms {
		if domain && vm.Domain == d.Daemon.Domain {
			s.servers.Remove(vm.ID)
		}
	}
}

// queryStats summarises the queries that were sent within an interval.
type queryStats struct {
	offered, served, attempts int
	p99                       time.Duration // 99th percentile of the latency of served queries
	normalisedWait            float64       // normalised user wait time: time waited over time used by attempts
}

// stats summarises a customer's queries that were sent in the interval [from, to).
func (s *simulation) stats(customer int, from, to time.Duration) queryStats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sum queryStats
	var elapsed []time.Duration
	var waited, used time.Duration
	for _, r := range s.results[planName(customer)] {
		if r.startedAt < from || r.startedAt >= to {
			continue
		}
		sum.offered++
		sum.attempts += r.attempts
		waited += r.waited
		used += time.Duration(r.attempts) * simReplyTime
		if r.served {
			sum.served++
			elapsed = append(elapsed, r.elapsed)
		}
	}
	if used > 0 {
		sum.normalisedWait = float64(waited) / float64(used)
	}
	slices.Sort(elapsed)
	if len(elapsed) > 0 {
		sum.p99 = elapsed[len(elapsed)*99/100]
	}
	return sum
}
