//go:build !lockorder

// Package bench measures the decisions against baselines on the sizes of both
// deployments. The decisions are the real ones; backend servers are small
// stand-ins on the fake clock.
package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

const (
	seed    = 20261204
	shards  = 20 // search services of either deployment, each a part of a broad query
	daemons = 4
	work    = 10 * time.Millisecond // of a reply, half longer or shorter
)

// deployment is the size of a user's search services.
type deployment struct {
	name    string
	domains int
	plan    ramp.Allowance
}

var deployments = []deployment{
	{"lens archive", 4, ramp.Allowance{
		Plan: "keepers", Prefer: ramp.PreferCoverage, Latency: 220 * time.Millisecond, Deadline: 2 * time.Second,
	}},
	{"consortium", 3, ramp.Allowance{
		Plan: "desks", Prefer: ramp.PreferTail, Latency: 220 * time.Millisecond, Deadline: 2 * time.Second,
	}},
}

// policy is a set of decisions to compare.
type policy struct {
	name    string
	grace   time.Duration
	chooser func(*replica.Layouts) ramp.Chooser
	retrier func() ramp.Retrier
	held    int // connections to each replica that a daemon may hold
}

func own(l *replica.Layouts) ramp.Chooser {
	c := replica.NewChooser(l, ramp.SystemClock{})
	c.SetConnections(25 / daemons)
	return c
}

func random(*replica.Layouts) ramp.Chooser {
	return &randomChooser{draw: rand.New(rand.NewPCG(seed, 1))}
}

const grace = 10 * time.Millisecond

var (
	ours      = policy{"sycamoreramp", grace, own, func() ramp.Retrier { return retry.NewPolicy() }, 25 / daemons}
	noHedge   = policy{"random, no hedge", grace, random, constant(fixed{}), 25}
	fixedWait = policy{"random, hedge at 20 ms", grace, random, constant(fixed{hedge: 20 * time.Millisecond}), 25}
	unlimited = policy{"random, unlimited retry", grace, random, constant(fixed{retry: 10 * time.Millisecond}), 25}
)

// randomChooser picks any replica that was not tried.
type randomChooser struct {
	mutex sync.Mutex
	draw  *rand.Rand
}

func (c *randomChooser) Choose(
	a ramp.Attempt, tried []ramp.Attempt, _ func(ramp.Replica, bool),
) (ramp.Replica, ramp.Placement) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	first := c.draw.IntN(len(a.Shard.Replicas))
	for i := range a.Shard.Replicas {
		r := a.Shard.Replicas[(first+i)%len(a.Shard.Replicas)]
		if !slices.ContainsFunc(tried, func(t ramp.Attempt) bool { return t.Replica.ID == r.ID }) {
			return r, ramp.Placed
		}
	}
	return ramp.Replica{}, ramp.Refused
}

func (c *randomChooser) Done(ramp.Attempt) {}

// fixed hedges and retries after fixed delays, without a budget; 0 is never.
type fixed struct{ hedge, retry time.Duration }

func constant(f fixed) func() ramp.Retrier { return func() ramp.Retrier { return f } }

func (f fixed) HedgeDelay(a ramp.Attempt) (time.Duration, bool) {
	return f.hedge, f.hedge > 0 && a.Kind != ramp.Hedge
}

func (f fixed) RetryDelay(ramp.Attempt, int, time.Time) (time.Duration, bool) {
	return f.retry, f.retry > 0
}
func (f fixed) Allow(ramp.Attempt) bool { return true }
func (f fixed) Observe(ramp.Attempt)    {}

// run is one run of a policy on a deployment.
type run struct {
	deployment deployment
	policy     policy
	load       float64                                   // share of the slots in use by first tries
	length     time.Duration                             // queries start for so long
	fault      func(servers map[string]*standin.Backend) // at a quarter of the length
}

// result is what a run measured after the fault, or after the first quarter.
type result struct {
	queries  int
	p50, p99 time.Duration
	coverage float64 // mean over queries
	extra    float64 // attempts for each part of a query, less 1
	opened   float64 // new connections in a thousand sent attempts
	most     int     // connections of all daemons to one replica, at most
}

func (r run) play(t *testing.T) (res result) {
	synctest.Test(t, func(t *testing.T) {
		clock := ramp.SystemClock{}
		set, servers := standin.NewServers(), map[string]*standin.Backend{}
		var vms []ramp.VM
		for i := range shards * 2 {
			b := standin.NewBackend(fmt.Sprintf("vm%d-%d", i/2, i%2), "search", 2)
			b.SetParts(standin.Split(1, shards)[i/2 : i/2+1])
			b.Set(standin.Behaviour{Delay: work, Spread: 0.5, Straggle: 100, Queue: 200})
			servers[b.ID] = b
			vms = append(vms, set.Add(b, fmt.Sprintf("d%d", (i/2+i%2)%r.deployment.domains)))
		}
		var links []*standin.Link
		var engines []*query.Engine
		for i := range daemons {
			layouts := replica.NewLayouts(clock)
			for _, vm := range vms {
				layouts.Update(standin.HoldingOf(servers[vm.ID], vm.Domain))
			}
			link := &standin.Link{
				Clock: clock, Servers: set, Domain: fmt.Sprintf("d%d", i%r.deployment.domains), Hop: 1500 * time.Microsecond,
				Connect: 6 * time.Millisecond, Connections: r.policy.held, Grace: r.policy.grace,
			}
			links = append(links, link)
			engines = append(engines, &query.Engine{
				Clock: clock, Pool: ramp.NewPool(1024, 1<<16), Layouts: layouts, Chooser: r.policy.chooser(layouts),
				Retrier: r.policy.retrier(), Patience: retry.Patience{}, Backends: link,
			})
		}
		res = r.measure(links, engines, servers)
		for _, e := range engines {
			e.Pool.Close()
		}
	})
	return res
}

// measure starts queries at seeded random times and collects their answers.
func (r run) measure(links []*standin.Link, engines []*query.Engine, servers map[string]*standin.Backend) (res result) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var elapsed []time.Duration
	draw := rand.New(rand.NewPCG(seed, 2))
	mean := float64(work) * 1.19 / 4 / r.load // between queries; 4 slots a shard, stragglers included
	start, counted, tries := time.Now(), false, 0
	before := map[*standin.Link]standin.Counts{}
	for i := 0; time.Since(start) < r.length; i++ {
		time.Sleep(time.Duration(draw.ExpFloat64() * mean))
		if !counted && time.Since(start) > r.length/4 {
			counted = true
			if r.fault != nil {
				r.fault(servers)
			}
			for _, l := range links {
				before[l] = l.Counts()
			}
		}
		measured := counted
		group.Go(func() {
			q := ramp.Query{ID: fmt.Sprint("q", i), Service: "search", Operation: ramp.Search}
			q.Deadline = time.Now().Add(r.deployment.plan.Deadline)
			began := time.Now()
			answer, err := engines[i%daemons].Run(context.Background(), q, r.deployment.plan)
			if !measured {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			elapsed = append(elapsed, time.Since(began))
			for _, a := range answer.Attempts {
				if a.Outcome != ramp.NotStarted {
					tries++
				}
			}
			if err == nil {
				res.coverage += answer.Coverage.Ratio(answer.Requested)
			}
		})
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	sent := 0
	for _, l := range links {
		counts := l.Counts()
		sent += counts.Sent - before[l].Sent
		res.opened += float64(counts.Opened - before[l].Opened)
		res.most += counts.Most
	}
	slices.Sort(elapsed)
	res.queries = len(elapsed)
	res.p50, res.p99 = elapsed[len(elapsed)/2], elapsed[len(elapsed)*99/100]
	res.coverage /= float64(len(elapsed))
	res.extra = float64(tries)/float64(shards*len(elapsed)) - 1
	res.opened *= 1000 / float64(max(1, sent))
	return res
}

func (r run) report(t *testing.T, scenario string) result {
	res := r.play(t)
	t.Logf("%-12s | %-12s | %-24s | queries %5d | p50 %6.1f ms | p99 %6.1f ms | coverage %.5f | extra load %5.1f%% | "+
		"new connections %5.2f in 1000 | most connections to a replica %3d", scenario, r.deployment.name, r.policy.name,
		res.queries, ms(res.p50), ms(res.p99), res.coverage, res.extra*100, res.opened, res.most)
	return res
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func bound(t *testing.T, ok bool, text string) {
	t.Helper()
	if !ok {
		t.Errorf("past the bound: %s", text)
	}
}

// TestBoundsStragglers bounds the tail and the extra load while one reply in a
// hundred takes twenty times as long. The baselines wait for every reply.
func TestBoundsStragglers(t *testing.T) {
	for _, d := range deployments {
		waiting := d
		waiting.plan.Prefer = ramp.PreferCoverage
		base := run{deployment: waiting, policy: noHedge, load: 0.5, length: 20 * time.Second}.report(t, "stragglers")
		run{deployment: waiting, policy: fixedWait, load: 0.5, length: 20 * time.Second}.report(t, "stragglers")
		closing := ours
		closing.name, closing.grace = "sycamoreramp, no grace", 0
		run{deployment: d, policy: closing, load: 0.5, length: 20 * time.Second}.report(t, "stragglers")
		lasting := ours
		lasting.name, lasting.grace = "sycamoreramp, no cancel", time.Second
		run{deployment: d, policy: lasting, load: 0.5, length: 20 * time.Second}.report(t, "stragglers")
		res := run{deployment: d, policy: ours, load: 0.5, length: 20 * time.Second}.report(t, "stragglers")
		bound(t, 3*res.p99 <= base.p99, "p99 at most a third of that without hedges")
		bound(t, res.extra <= 0.05, "extra load at most 5%")
		bound(t, res.coverage >= 0.999, "coverage at least 99.9%")
		bound(t, res.most <= 25, "at most 25 connections to a replica")
		bound(t, res.opened <= 50, "at most 50 new connections in 1000 attempts")
	}
}

// lose makes one replica of each of so many shards fail.
func lose(count int, change func(*standin.Behaviour)) func(map[string]*standin.Backend) {
	return func(servers map[string]*standin.Backend) {
		for i := range count {
			behaviour := servers[fmt.Sprintf("vm%d-0", i)].Behaviour()
			change(&behaviour)
			servers[fmt.Sprintf("vm%d-0", i)].Set(behaviour)
		}
	}
}

// TestBoundsCoverage bounds the key ranges that answers miss while one replica
// of each of five services is lost.
func TestBoundsCoverage(t *testing.T) {
	faults := map[string]func(*standin.Behaviour){
		"lost": func(b *standin.Behaviour) { b.Lost = true },
		"hung": func(b *standin.Behaviour) { b.Hang = true },
		"cold": func(b *standin.Behaviour) { b.Warm = time.Now().Add(20 * time.Second) },
	}
	for _, name := range []string{"lost", "hung", "cold"} {
		for _, d := range deployments {
			r := run{deployment: d, policy: noHedge, load: 0.3, length: 12 * time.Second, fault: lose(5, faults[name])}
			r.report(t, "five "+name)
			r.policy = ours
			res := r.report(t, "five "+name)
			bound(t, res.coverage >= 0.999 || d.plan.Prefer == ramp.PreferTail, "coverage at least 99.9%")
			bound(t, res.extra <= 0.1, "tries for each part at most 1.1")
		}
	}
}

// TestBoundsOutage bounds the tries for each part of a query while no replica
// of the service replies.
func TestBoundsOutage(t *testing.T) {
	faults := map[string]func(*standin.Behaviour){
		"all lost": func(b *standin.Behaviour) { b.Lost = true },
		"all hung": func(b *standin.Behaviour) { b.Hang = true },
		"all shed": func(b *standin.Behaviour) { b.Shed = true },
	}
	for _, name := range []string{"all lost", "all hung", "all shed"} {
		d := deployments[0]
		d.plan.Deadline = 300 * time.Millisecond
		both := func(servers map[string]*standin.Backend) {
			for _, b := range servers {
				behaviour := b.Behaviour()
				faults[name](&behaviour)
				b.Set(behaviour)
			}
		}
		r := run{deployment: d, policy: unlimited, load: 0.1, length: 8 * time.Second, fault: both}
		r.report(t, name)
		r.policy = ours
		res := r.report(t, name)
		bound(t, res.extra <= 0.1, "tries for each part at most 1.1")
	}
}
