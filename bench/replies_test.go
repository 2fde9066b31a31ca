//go:build !lockorder

// Package bench compares the production decision code with baselines at the sizes of
// both deployments. Backend servers are stand-ins on a fake clock.
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
	seed      = 20261204
	shards    = 20 // search services of either deployment; a query goes to each of them
	daemons   = 4
	replyTime = 10 * time.Millisecond // mean time of a reply, which takes up to half longer or shorter
)

// deployment is the size of a user's search services, and a customer's plan there.
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

// policy is a set of decision implementations to compare.
type policy struct {
	name           string
	cancelGrace    time.Duration
	chooser        func(*replica.Layouts) ramp.Chooser
	retrier        func() ramp.Retrier
	maxConnections int // connections that a daemon may open to each replica
}

func defaultChooser(l *replica.Layouts) ramp.Chooser {
	c := replica.NewChooser(l, ramp.SystemClock{})
	c.SetConnections(25 / daemons)
	return c
}

func newRandomChooser(*replica.Layouts) ramp.Chooser {
	return &randomChooser{random: rand.New(rand.NewPCG(seed, 1))}
}

const cancelGrace = 10 * time.Millisecond

var (
	defaultPolicy = policy{
		"sycamoreramp", cancelGrace, defaultChooser, func() ramp.Retrier { return retry.NewPolicy() }, 25 / daemons,
	}
	noHedge    = policy{"random, no hedge", cancelGrace, newRandomChooser, fixedRetriers(fixedRetrier{}), 25}
	fixedHedge = policy{
		"random, hedge at 20 ms", cancelGrace, newRandomChooser,
		fixedRetriers(fixedRetrier{hedge: 20 * time.Millisecond}), 25,
	}
	unlimitedRetry = policy{
		"random, unlimited retry", cancelGrace, newRandomChooser,
		fixedRetriers(fixedRetrier{retry: 10 * time.Millisecond}), 25,
	}
)

// randomChooser picks a random replica that was not tried.
type randomChooser struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (c *randomChooser) Choose(
	a ramp.Attempt, tried []ramp.Attempt, _ func(ramp.Replica, bool),
) (ramp.Replica, ramp.Placement) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	first := c.random.IntN(len(a.Shard.Replicas))
	for i := range a.Shard.Replicas {
		r := a.Shard.Replicas[(first+i)%len(a.Shard.Replicas)]
		if !slices.ContainsFunc(tried, func(t ramp.Attempt) bool { return t.Replica.ID == r.ID }) {
			return r, ramp.Placed
		}
	}
	return ramp.Replica{}, ramp.Refused
}

func (c *randomChooser) Done(ramp.Attempt) {}

// fixedRetrier hedges and retries after fixed delays, without a budget. A delay of 0
// means never.
type fixedRetrier struct{ hedge, retry time.Duration }

func fixedRetriers(f fixedRetrier) func() ramp.Retrier { return func() ramp.Retrier { return f } }

func (f fixedRetrier) HedgeDelay(a ramp.Attempt) (time.Duration, bool) {
	return f.hedge, f.hedge > 0 && a.Kind != ramp.Hedge
}

func (f fixedRetrier) RetryDelay(ramp.Attempt, int, time.Time) (time.Duration, bool) {
	return f.retry, f.retry > 0
}
func (f fixedRetrier) Allow(ramp.Attempt) bool { return true }
func (f fixedRetrier) Observe(ramp.Attempt)    {}

// experiment is one run of a policy on a deployment.
type experiment struct {
	deployment deployment
	policy     policy
	load       float64                                   // share of the slots that first attempts use
	duration   time.Duration                             // time during which queries start
	fault      func(servers map[string]*standin.Backend) // injected after a quarter of duration; may be nil
}

// result is what an experiment measured over the queries started after the first
// quarter of its duration, which is after the fault.
type result struct {
	queries        int
	p50, p99       time.Duration
	coverage       float64 // mean over queries
	extraLoad      float64 // attempts per part of a query, less 1
	newConnections float64 // new connections per 1000 attempts sent
	maxConnections int     // sum over the daemons of their highest number of connections to one replica
}

func (e experiment) measure(t *testing.T) (res result) {
	synctest.Test(t, func(t *testing.T) {
		clock := ramp.SystemClock{}
		set, servers := standin.NewServers(), map[string]*standin.Backend{}
		var vms []ramp.VM
		for i := range shards * 2 {
			b := standin.NewBackend(fmt.Sprintf("vm%d-%d", i/2, i%2), "search", 2)
			b.SetShards(standin.Split(1, shards)[i/2 : i/2+1])
			b.SetBehaviour(standin.Behaviour{Delay: replyTime, Jitter: 0.5, StraggleEvery: 100, Queue: 200})
			servers[b.ID] = b
			vms = append(vms, set.Add(b, fmt.Sprintf("d%d", (i/2+i%2)%e.deployment.domains)))
		}
		var links []*standin.Link
		var engines []*query.Engine
		for i := range daemons {
			layouts := replica.NewLayouts(clock)
			for _, vm := range vms {
				layouts.Update(standin.InventoryOf(servers[vm.ID], vm.Domain))
			}
			link := &standin.Link{
				Clock: clock, Servers: set, Domain: fmt.Sprintf("d%d", i%e.deployment.domains), HopDelay: 1500 * time.Microsecond,
				ConnectDelay: 6 * time.Millisecond, Connections: e.policy.maxConnections, CancelGrace: e.policy.cancelGrace,
			}
			links = append(links, link)
			engines = append(engines, &query.Engine{
				Clock: clock, Pool: ramp.NewPool(1024, 1<<16), Layouts: layouts, Chooser: e.policy.chooser(layouts),
				Retrier: e.policy.retrier(), Stragglers: retry.CutoffPolicy{}, Backends: link,
			})
		}
		res = e.runQueries(links, engines, servers)
		for _, engine := range engines {
			engine.Pool.Close()
		}
	})
	return res
}

// runQueries starts queries at seeded random times and summarises their answers.
func (e experiment) runQueries(
	links []*standin.Link, engines []*query.Engine, servers map[string]*standin.Backend,
) (res result) {
	var mutex sync.Mutex
	var queries sync.WaitGroup
	var elapsed []time.Duration
	random := rand.New(rand.NewPCG(seed, 2))
	// between queries; 4 slots per shard; 1.19 accounts for stragglers
	meanInterval := float64(replyTime) * 1.19 / 4 / e.load
	begin, warmedUp, attempts := time.Now(), false, 0
	before := map[*standin.Link]standin.Counts{}
	for i := 0; time.Since(begin) < e.duration; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() * meanInterval))
		if !warmedUp && time.Since(begin) > e.duration/4 {
			warmedUp = true
			if e.fault != nil {
				e.fault(servers)
			}
			for _, l := range links {
				before[l] = l.Counts()
			}
		}
		measured := warmedUp
		queries.Go(func() {
			q := ramp.Query{ID: fmt.Sprint("q", i), Service: "search", Operation: ramp.Search}
			q.Deadline = time.Now().Add(e.deployment.plan.Deadline)
			started := time.Now()
			answer, err := engines[i%daemons].Run(context.Background(), q, e.deployment.plan)
			if !measured {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			elapsed = append(elapsed, time.Since(started))
			for _, a := range answer.Attempts {
				if a.Outcome != ramp.NotStarted {
					attempts++
				}
			}
			if err == nil {
				res.coverage += answer.Coverage.Ratio(answer.Requested)
			}
		})
	}
	queries.Wait()
	time.Sleep(10 * time.Second)
	sent := 0
	for _, l := range links {
		counts := l.Counts()
		sent += counts.Sent - before[l].Sent
		res.newConnections += float64(counts.Opened - before[l].Opened)
		res.maxConnections += counts.Most
	}
	slices.Sort(elapsed)
	res.queries = len(elapsed)
	res.p50, res.p99 = elapsed[len(elapsed)/2], elapsed[len(elapsed)*99/100]
	res.coverage /= float64(len(elapsed))
	res.extraLoad = float64(attempts)/float64(shards*len(elapsed)) - 1
	res.newConnections *= 1000 / float64(max(1, sent))
	return res
}

func (e experiment) report(t *testing.T, scenario string) result {
	res := e.measure(t)
	t.Logf("%-12s | %-12s | %-24s | queries %5d | p50 %6.1f ms | p99 %6.1f ms | coverage %.5f | extra load %5.1f%% | "+
		"new connections %5.2f in 1000 | most connections to a replica %3d", scenario, e.deployment.name, e.policy.name,
		res.queries, ms(res.p50), ms(res.p99), res.coverage, res.extraLoad*100, res.newConnections, res.maxConnections)
	return res
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func checkBound(t *testing.T, ok bool, text string) {
	t.Helper()
	if !ok {
		t.Errorf("bound exceeded: %s", text)
	}
}

// TestBoundsStragglers bounds the tail latency and the extra load while one reply in
// a hundred takes twenty times as long. The baselines wait for every reply.
func TestBoundsStragglers(t *testing.T) {
	for _, d := range deployments {
		noCutoff := d
		noCutoff.plan.Prefer = ramp.PreferCoverage
		baseline := experiment{
			deployment: noCutoff, policy: noHedge, load: 0.5, duration: 20 * time.Second,
		}.report(t, "stragglers")
		experiment{deployment: noCutoff, policy: fixedHedge, load: 0.5, duration: 20 * time.Second}.report(t, "stragglers")
		noGrace := defaultPolicy
		noGrace.name, noGrace.cancelGrace = "sycamoreramp, no grace", 0
		experiment{deployment: d, policy: noGrace, load: 0.5, duration: 20 * time.Second}.report(t, "stragglers")
		noCancel := defaultPolicy
		noCancel.name, noCancel.cancelGrace = "sycamoreramp, no cancel", time.Second
		experiment{deployment: d, policy: noCancel, load: 0.5, duration: 20 * time.Second}.report(t, "stragglers")
		res := experiment{deployment: d, policy: defaultPolicy, load: 0.5, duration: 20 * time.Second}.report(t, "stragglers")
		checkBound(t, 3*res.p99 <= baseline.p99, "p99 at most a third of that without hedges")
		checkBound(t, res.extraLoad <= 0.05, "extra load at most 5%")
		checkBound(t, res.coverage >= 0.999, "coverage at least 99.9%")
		checkBound(t, res.maxConnections <= 25, "at most 25 connections to a replica")
		checkBound(t, res.newConnections <= 50, "at most 50 new connections in 1000 attempts")
	}
}

// failReplicas returns a fault that applies change to one replica of each of the
// first count shards.
func failReplicas(count int, change func(*standin.Behaviour)) func(map[string]*standin.Backend) {
	return func(servers map[string]*standin.Backend) {
		for i := range count {
			behaviour := servers[fmt.Sprintf("vm%d-0", i)].Behaviour()
			change(&behaviour)
			servers[fmt.Sprintf("vm%d-0", i)].SetBehaviour(behaviour)
		}
	}
}

// TestBoundsCoverage bounds the key ranges that are missing from answers while one
// replica of each of five services is lost, hung or cold.
func TestBoundsCoverage(t *testing.T) {
	faults := map[string]func(*standin.Behaviour){
		"lost": func(b *standin.Behaviour) { b.Unreachable = true },
		"hung": func(b *standin.Behaviour) { b.Hang = true },
		"cold": func(b *standin.Behaviour) { b.Warm = time.Now().Add(20 * time.Second) },
	}
	for _, name := range []string{"lost", "hung", "cold"} {
		for _, d := range deployments {
			e := experiment{
				deployment: d, policy: noHedge, load: 0.3, duration: 12 * time.Second, fault: failReplicas(5, faults[name]),
			}
			e.report(t, "five "+name)
			e.policy = defaultPolicy
			res := e.report(t, "five "+name)
			checkBound(t, res.coverage >= 0.999 || d.plan.Prefer == ramp.PreferTail, "coverage at least 99.9%")
			checkBound(t, res.extraLoad <= 0.1, "tries for each part at most 1.1")
		}
	}
}

// TestBoundsOutage bounds the attempts per part of a query while no replica of the
// service returns an answer.
func TestBoundsOutage(t *testing.T) {
	faults := map[string]func(*standin.Behaviour){
		"all lost": func(b *standin.Behaviour) { b.Unreachable = true },
		"all hung": func(b *standin.Behaviour) { b.Hang = true },
		"all shed": func(b *standin.Behaviour) { b.Shed = true },
	}
	for _, name := range []string{"all lost", "all hung", "all shed"} {
		d := deployments[0]
		d.plan.Deadline = 300 * time.Millisecond
		all := func(servers map[string]*standin.Backend) {
			for _, b := range servers {
				behaviour := b.Behaviour()
				faults[name](&behaviour)
				b.SetBehaviour(behaviour)
			}
		}
		e := experiment{deployment: d, policy: unlimitedRetry, load: 0.1, duration: 8 * time.Second, fault: all}
		e.report(t, name)
		e.policy = defaultPolicy
		res := e.report(t, name)
		checkBound(t, res.extraLoad <= 0.1, "tries for each part at most 1.1")
	}
}
