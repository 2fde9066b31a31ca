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

// The deployment of the runs of admission: a broad query asks every shard, and
// each shard has two replicas in different failure domains.
const (
	planDaemons  = 4
	planShards   = 8
	planSlots    = 2 // for each replica
	planReply    = 10 * time.Millisecond
	planDeadline = 500 * time.Millisecond
	planService  = "prisms"
)

// planCapacity is the number of broad queries a second that all slots carry.
const planCapacity = 2 * planSlots * float64(time.Second) / float64(planReply)

// everyPlan is an admitter that admits every query.
type everyPlan struct{}

// Admit implements [ramp.Admitter].
func (everyPlan) Admit(context.Context, ramp.Query, ramp.Allowance, int) (func(), error) {
	return func() {}, nil
}

// planFIFO is an admitter that runs a fixed number of queries and keeps the others
// in the order of their arrival until their deadline.
type planFIFO struct{ slots chan struct{} }

// Admit implements [ramp.Admitter].
func (f planFIFO) Admit(ctx context.Context, q ramp.Query, _ ramp.Allowance, _ int) (func(), error) {
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

// planDaemon is a daemon of a run, put together from the real decisions.
type planDaemon struct {
	ramp.Daemon
	engine   *query.Engine
	admitter ramp.Admitter
	layouts  *replica.Layouts
	pool     *ramp.Pool
	cancel   context.CancelFunc
	context  context.Context // ends when the daemon is lost
}

// planFleet is a run of daemons, backend servers and callers on one clock.
type planFleet struct {
	clock   ramp.Clock
	servers *standin.Servers
	vms     []ramp.VM
	lists   ramp.Lists
	onePlan bool // all customers hold the first plan

	mutex   sync.Mutex // guards all below
	live    []*planDaemon
	results map[string][]planResult // by customer
	random  *rand.Rand
	queries sync.WaitGroup
}

// planResult is what became of one query.
type planResult struct {
	at       time.Duration // since the start of the run
	elapsed  time.Duration
	waited   time.Duration // until it was admitted or refused
	whole    bool
	refused  bool
	attempts int
}

// newPlanFleet starts the daemons with admitters made by admit: "plans", "none"
// or "fifo". Each customer holds a plan of its own unless onePlan is set.
func newPlanFleet(admit string, customers int, onePlan bool, seed uint64) *planFleet {
	f := &planFleet{
		onePlan: onePlan,
		clock:   ramp.SystemClock{}, servers: standin.NewServers(), results: make(map[string][]planResult),
		random: rand.New(rand.NewPCG(seed, 0)), lists: ramp.Lists{Version: 1},
	}
	for n := range customers {
		f.lists = f.lists.WithAllowance(ramp.Allowance{
			Plan: planName(n), Services: []string{planService}, Share: 1, Prefer: ramp.PreferTail,
			Deadline: planDeadline, Latency: planDeadline / 2, Coverage: 0.99,
		})
	}
	parts := standin.Split(1, planShards)
	for i := range 2 * planShards {
		b := standin.NewBackend(fmt.Sprintf("b%02d", i), planService, planSlots)
		b.SetParts(parts[i/2 : i/2+1])
		b.Set(standin.Behaviour{Delay: planReply, Spread: 0.2, Queue: 16})
		f.vms = append(f.vms, f.servers.Add(b, planDomain((i+i/2)%planDaemons)))
	}
	for i := range planDaemons {
		f.live = append(f.live, f.daemon(i, admit))
	}
	return f
}

func planName(n int) string { return fmt.Sprintf("plan%d", n) }

func planDomain(n int) string { return fmt.Sprintf("domain%d", n) }

func (f *planFleet) daemon(i int, admit string) *planDaemon {
	domain := planDomain(i)
	layouts := replica.NewLayouts(f.clock)
	pool := ramp.NewPool(256, 4096)
	ctx, cancel := context.WithCancel(context.Background())
	d := &planDaemon{
		Daemon:  ramp.Daemon{ID: domain, Incarnation: domain, Domain: domain},
		layouts: layouts, pool: pool, context: ctx, cancel: cancel, admitter: everyPlan{},
		engine: &query.Engine{
			Clock: f.clock, Pool: pool, Layouts: layouts, Chooser: replica.NewChooser(layouts, f.clock),
			Retrier: retry.NewPolicy(), Patience: retry.Patience{},
			Backends: &standin.Link{
				Clock: f.clock, Servers: f.servers, Domain: domain, Connect: 6 * time.Millisecond,
				Hop: 1500 * time.Microsecond, Connections: 25 / planDaemons, Grace: time.Second,
			},
		},
	}
	switch admit {
	case "plans":
		d.admitter = plan.NewAdmitter(plan.Config{
			Clock: f.clock, Room: 512, Floor: planShards, Members: f.members,
			Lists: func() ramp.Lists { return f.lists },
		})
	case "fifo":
		d.admitter = planFIFO{slots: make(chan struct{}, 64)}
	}
	return d
}

func (f *planFleet) members() []ramp.Daemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	members := make([]ramp.Daemon, 0, len(f.live))
	for _, d := range f.live {
		members = append(members, d.Daemon)
	}
	return members
}

// follow lets the daemons learn the layout and exchange news each second.
func (f *planFleet) follow(ctx context.Context) {
	for ctx.Err() == nil {
		f.mutex.Lock()
		live := slices.Clone(f.live)
		f.mutex.Unlock()
		for _, d := range live {
			for _, vm := range f.vms {
				if h, err := d.engine.Backends.FetchInventory(ctx, vm); err == nil {
					d.layouts.Update(h)
				}
			}
			f.tell(d, live)
		}
		_ = ramp.Sleep(ctx, f.clock, time.Second)
	}
}

func (f *planFleet) tell(from *planDaemon, live []*planDaemon) {
	sender, ok := from.admitter.(*plan.Admitter)
	if !ok {
		return
	}
	used := sender.Report()
	for _, to := range live {
		if to != from {
			to.admitter.(*plan.Admitter).Hear(from.Daemon, used)
		}
	}
}

// offer sends a customer's broad queries at a rate a second, each to a random
// live daemon, until the time given.
func (f *planFleet) offer(customer int, rate float64, started, until time.Time) {
	for {
		f.mutex.Lock()
		pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		d := f.live[f.random.IntN(len(f.live))]
		f.mutex.Unlock()
		_ = ramp.Sleep(context.Background(), f.clock, pause)
		now := f.clock.Now()
		if now.After(until) {
			return
		}
		f.queries.Go(func() { f.ask(d, customer, now, started) })
	}
}

// ask runs one query at a daemon and keeps its result.
func (f *planFleet) ask(d *planDaemon, customer int, now, started time.Time) {
	holds := customer
	if f.onePlan {
		holds = 0
	}
	a, _ := f.lists.Allowance(planName(holds))
	q := ramp.Query{
		ID: fmt.Sprintf("%s-%d", d.ID, now.UnixNano()), Customer: planName(customer), Plan: a.Plan, Service: planService,
		Operation: ramp.Search, Deadline: now.Add(a.Deadline),
	}
	answer, waited, err := d.run(q, a)
	r := planResult{at: now.Sub(started), waited: waited, elapsed: f.clock.Now().Sub(now), attempts: len(answer.Attempts)}
	var refused *ramp.RefusedError
	r.refused = errors.As(err, &refused)
	r.whole = err == nil && answer.Complete() && r.elapsed <= a.Deadline
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.results[q.Customer] = append(f.results[q.Customer], r)
}

// run runs a query and returns how long it waited to be admitted.
func (d *planDaemon) run(q ramp.Query, a ramp.Allowance) (ramp.Answer, time.Duration, error) {
	came := d.engine.Clock.Now()
	release, err := d.admitter.Admit(d.context, q, a, d.engine.Cost(q))
	waited := d.engine.Clock.Now().Sub(came)
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

// lose ends a daemon, and with domain set all backend servers of its failure
// domain.
func (f *planFleet) lose(i int, domain bool) {
	f.mutex.Lock()
	d := f.live[i]
	f.live = slices.Delete(f.live, i, i+1)
	f.mutex.Unlock()
	d.cancel()
	d.pool.Close()
	for _, vm := range f.vms {
		if domain && vm.Domain == d.Daemon.Domain {
			f.servers.Remove(vm.ID)
		}
	}
}

// planStats sums up the queries of a time.
type planStats struct {
	offered, served, attempts int
	tail                      time.Duration // 99th percentile of the whole answers
	wait                      float64       // normalised user wait time: waiting over time used by sub-requests
}

// stats sums up a customer's queries that were sent in the given time.
func (f *planFleet) stats(customer int, from, to time.Duration) planStats {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var s planStats
	var elapsed []time.Duration
	var waited, used time.Duration
	for _, r := range f.results[planName(customer)] {
		if r.at < from || r.at >= to {
			continue
		}
		s.offered++
		s.attempts += r.attempts
		waited += r.waited
		used += time.Duration(r.attempts) * planReply
		if r.whole {
			s.served++
			elapsed = append(elapsed, r.elapsed)
		}
	}
	if used > 0 {
		s.wait = float64(waited) / float64(used)
	}
	slices.Sort(elapsed)
	if len(elapsed) > 0 {
		s.tail = elapsed[len(elapsed)*99/100]
	}
	return s
}
