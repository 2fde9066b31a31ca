package replica

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// Parameters of the model. Work times are exponentially distributed.
const (
	modelReplicas    = 10
	modelSlots       = 8
	modelWork        = 20 * time.Millisecond // mean of a replica of usual speed
	modelUtilisation = 0.7
	modelSettling    = time.Second // from the start, without figures
	modelSlowdown    = 3           // of two of the ten replicas that are slow
	stallLength      = 500 * time.Millisecond
	stallInterval    = 4 * time.Second
)

// job is a request in the model. Times are since the start.
type job struct {
	arrived time.Duration
	ends    time.Duration // zero until it runs
	daemon  int
	replica int
}

// change is the load of a replica from a time on.
type change struct {
	at               time.Duration
	running, waiting int
}

// modelReplica is a replica in the model.
type modelReplica struct {
	slowdown float64
	stalls   bool
	running  int
	queue    []job
	changes  []change // since the age of the information
}

// stalledUntil returns the end of the stall at the given time, 0 without one.
func (r *modelReplica) stalledUntil(at time.Duration) time.Duration {
	if start := at - at%stallInterval; r.stalls && at >= start+modelSettling && at < start+modelSettling+stallLength {
		return start + modelSettling + stallLength
	}
	return 0
}

// known is what a daemon of the model knows of a replica by its own attempts.
type known struct {
	stats replicaStats
	sent  []time.Duration // when its attempts in flight were sent, oldest first
}

// model plays the arrivals of requests at daemons that choose among the replicas of one
// service. They know the loads of the replicas as of a constant time ago.
type model struct {
	scenario string // equal, slow or stall
	policy   func(m *model, daemon int) int
	daemons  int
	age      time.Duration // of the information

	random   *rand.Rand
	now      time.Duration
	running  []job // in no order
	central  []job // requests of the central queue
	replicas []modelReplica
	known    [][modelReplicas]known // by daemon
	points   []points               // by daemon

	waits      []float64 // until the reply, in milliseconds
	ratio      float64   // sum of the longest queue over the mean queue
	idle       int       // samples in which a replica had a free slot while another had a queue
	samples    int
	longest    []float64 // queues of the busiest replica in the current window
	deviations []float64 // of the longest queue, by window of ten ages
}

// epoch is the start of the model as a time of the clock.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// run plays the given time.
func (m *model) run(length time.Duration) *model {
	m.random = rand.New(rand.NewPCG(7, 11))
	m.replicas, m.known = make([]modelReplica, modelReplicas), make([][modelReplicas]known, m.daemons)
	for range m.daemons {
		m.points = append(m.points, points(m.random.Uint64()))
	}
	capacity := 0.0 // requests per nanosecond
	for i := range m.replicas {
		m.replicas[i] = modelReplica{slowdown: 1, stalls: m.scenario == "stall" && i == 0}
		if m.scenario == "slow" && i%5 == 0 {
			m.replicas[i].slowdown = modelSlowdown
		}
		capacity += modelSlots / (m.replicas[i].slowdown * float64(modelWork))
	}
	sampleInterval := max(m.age, modelWork) / 10
	arrival, sample := time.Duration(0), modelSettling
	for {
		first, end := -1, time.Duration(math.MaxInt64) // the running request that ends first
		for i, j := range m.running {
			if j.ends < end {
				first, end = i, j.ends
			}
		}
		m.now = min(arrival, sample, end)
		switch {
		case m.now >= length:
			return m
		case m.now == sample:
			m.sample()
			sample += sampleInterval
		case m.now == end:
			m.end(first)
		default:
			m.arrive()
			arrival += time.Duration(m.random.ExpFloat64() / (modelUtilisation * capacity))
		}
	}
}

// arrive chooses the replica for a request. In the central queue it waits for a free slot.
func (m *model) arrive() {
	j := job{arrived: m.now, daemon: m.random.IntN(m.daemons)}
	if m.policy == nil {
		m.central = append(m.central, j)
		m.serveCentral()
		return
	}
	j.replica = m.policy(m, j.daemon)
	k := &m.known[j.daemon][j.replica]
	k.stats = k.stats.withAttempt(ramp.Instance{}, epoch.Add(m.now))
	k.sent = append(k.sent, m.now)
	r := &m.replicas[j.replica]
	r.queue = append(r.queue, j)
	m.serve(j.replica)
}

// serveCentral gives the requests of the central queue to free slots, the fastest first.
func (m *model) serveCentral() {
	for len(m.central) > 0 {
		best := -1
		for i, r := range m.replicas {
			if r.running < modelSlots && r.stalledUntil(m.now) == 0 &&
				(best < 0 || r.slowdown < m.replicas[best].slowdown) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		m.central[0].replica = best
		m.replicas[best].queue = append(m.replicas[best].queue, m.central[0])
		m.central = m.central[1:]
		m.serve(best)
	}
}

// serve starts requests in the free slots of a replica.
func (m *model) serve(replica int) {
	r := &m.replicas[replica]
	for len(r.queue) > 0 && r.running < modelSlots {
		j := r.queue[0]
		r.queue = r.queue[1:]
		j.ends = m.now + time.Duration(m.random.ExpFloat64()*r.slowdown*float64(modelWork))
		r.running++
		m.running = append(m.running, j)
	}
	r.changes = append(r.changes, change{at: m.now, running: r.running, waiting: len(r.queue)})
	for len(r.changes) > 1 && r.changes[1].at <= m.now-m.age {
		r.changes = r.changes[1:]
	}
}

// end ends the running request with the given index, or delays it if its replica stalls.
func (m *model) end(index int) {
	j := m.running[index]
	if until := m.replicas[j.replica].stalledUntil(m.now); until > 0 {
		m.running[index].ends = until
		return
	}
	m.running = slices.Delete(m.running, index, index+1)
	m.replicas[j.replica].running--
	m.serve(j.replica)
	k := &m.known[j.daemon][j.replica]
	a := ramp.Attempt{Outcome: ramp.Merged, Elapsed: m.now - j.arrived, Sent: true}
	k.stats = k.stats.withOutcome(a, epoch.Add(m.now))
	if i := slices.Index(k.sent, j.arrived); i >= 0 {
		k.sent = slices.Delete(k.sent, i, i+1)
	}
	if j.arrived >= modelSettling {
		m.waits = append(m.waits, float64(m.now-j.arrived)/1e6)
	}
	m.serveCentral()
}

// sample records the figures of the present queues.
func (m *model) sample() {
	longest, total, free, waiting := 0, 0, false, len(m.central) > 0
	for _, r := range m.replicas {
		queue := r.running + len(r.queue)
		longest, total = max(longest, queue), total+queue
		free, waiting = free || r.running < modelSlots, waiting || len(r.queue) > 0
	}
	m.samples++
	m.ratio += float64(longest) * modelReplicas / float64(max(1, total))
	if free && waiting {
		m.idle++
	}
	m.longest = append(m.longest, float64(longest))
	if len(m.longest) == 100 { // ten ages
		m.deviations = append(m.deviations, deviation(m.longest))
		m.longest = nil
	}
}

// deviation returns the standard deviation.
func deviation(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum, squares = sum+v, squares+v*v
	}
	n := float64(len(values))
	return math.Sqrt(max(0, squares/n-sum/n*sum/n))
}

// wait returns the 99th percentile of the time until the reply, in milliseconds.
func (m *model) wait() float64 {
	slices.Sort(m.waits)
	return m.waits[len(m.waits)*99/100]
}

// variation returns the mean standard deviation of the busiest replica's queue over ten
// ages of the information.
func (m *model) variation() float64 {
	sum := 0.0
	for _, d := range m.deviations {
		sum += d
	}
	return sum / float64(len(m.deviations))
}

// reported returns the load of a replica as the daemons know it.
func (m *model) reported(replica int) ramp.ReplicaLoad {
	r := &m.replicas[replica]
	load := ramp.ReplicaLoad{Slots: modelSlots, Slowdown: r.slowdown}
	i, _ := slices.BinarySearchFunc(r.changes, m.now-m.age, func(c change, at time.Duration) int {
		if c.at <= at {
			return -1
		}
		return 1
	})
	if i > 0 {
		load.Running, load.Waiting = r.changes[i-1].running, r.changes[i-1].waiting
	}
	return load
}

// least returns the index of the lowest value, or one of them at random.
func (m *model) least(of func(replica int) float64) int {
	best, lowest, equal := 0, math.Inf(1), 0
	for i := range modelReplicas {
		switch v := of(i); {
		case v < lowest:
			best, lowest, equal = i, v, 1
		case v == lowest:
			if equal++; m.random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// reportedQueue returns the reported number of requests at the replica.
func (m *model) reportedQueue(replica int) float64 {
	l := m.reported(replica)
	return float64(l.Running + l.Waiting)
}

// sentSince returns the attempts in flight that the daemon sent since the report.
func (m *model) sentSince(daemon, replica int) int {
	n := 0
	for _, at := range m.known[daemon][replica].sent {
		if at > m.now-m.age {
			n++
		}
	}
	return n
}

func leastLoaded(m *model, _ int) int { return m.least(m.reportedQueue) }

func randomChoice(m *model, _ int) int { return m.random.IntN(modelReplicas) }

func powerOfTwo(m *model, _ int) int {
	i, j := m.random.IntN(modelReplicas), m.random.IntN(modelReplicas)
	if m.reportedQueue(j) < m.reportedQueue(i) {
		return j
	}
	return i
}

// ownShare chooses the replica that is least loaded if each daemon sent as many attempts to
// it since the report as this one.
func ownShare(m *model, daemon int) int {
	return m.least(func(i int) float64 {
		return m.reportedQueue(i) + float64(m.daemons*m.sentSince(daemon, i))
	})
}

// interpreted is Dahlin's basic interpretation of stale load, for replicas of equal speed.
func interpreted(m *model, _ int) int {
	queues, rates := make([]float64, modelReplicas), make([]float64, modelReplicas)
	for i := range queues {
		queues[i], rates[i] = m.reportedQueue(i), 1
	}
	sent := modelUtilisation * modelReplicas * modelSlots * float64(m.age) / float64(modelWork)
	return draw(fill(queues, rates, 1+sent), m.random.Float64())
}

// balanced is the policy of the daemon.
func balanced(m *model, daemon int) int {
	b := balance{senders: m.daemons, assumed: assumedLatency, candidates: make([]candidate, 0, modelReplicas)}
	now := epoch.Add(m.now)
	for i := range modelReplicas {
		k := &m.known[daemon][i]
		s := k.stats
		load := m.reported(i)
		s.condition = s.withSignals(ramp.Signals{Load: &load}, ramp.LimitShare{}, now.Add(-m.age))
		s.sentSinceLoad = m.sentSince(daemon, i)
		b.candidates = append(b.candidates, newCandidate(s, 0, assumedLatency, now))
	}
	m.points[daemon] = m.points[daemon].next()
	return b.choose(m.points[daemon].point())
}

// modelPolicies are the policies that are compared. The first is the reference.
var modelPolicies = []struct {
	name      string
	policy    func(m *model, daemon int) int // nil for the central queue
	byDaemons bool                           // depends on the number of daemons
}{
	{"central queue", nil, false},
	{"random", randomChoice, false},
	{"least loaded", leastLoaded, false},
	{"power of two", powerOfTwo, false},
	{"interpreted", interpreted, false},
	{"own share", ownShare, true},
	{"balance", balanced, true},
}

var modelScenarios = []string{"equal", "slow", "stall"}

// TestBalanceModel records how each policy distributes requests, with loads that are 0, 20,
// 100 and 500 ms old. It guards against a choice that sends the requests of all daemons to
// the same replica in turn.
func TestBalanceModel(t *testing.T) {
	var b strings.Builder
	fmt.Fprintln(&b, "age: longest/mean queue, 99% wait in ms, time with a free slot beside a queue, variation")
	for _, scenario := range modelScenarios {
		for _, p := range modelPolicies {
			for _, daemons := range []int{5, 38, 128, 300} {
				if !p.byDaemons && daemons != 38 {
					continue
				}
				fmt.Fprintf(&b, "%s, %s, %d daemons:", scenario, p.name, daemons)
				for _, age := range []time.Duration{0, 20, 100, 500} {
					m := &model{scenario: scenario, policy: p.policy, daemons: daemons, age: age * time.Millisecond}
					m.run(3*time.Second + 11*m.age)
					samples := float64(m.samples)
					idle := float64(m.idle) / samples
					fmt.Fprintf(&b, " %3dms %.1f %.0f %.1f %.1f", age, m.ratio/samples, m.wait(), idle, m.variation())
				}
				fmt.Fprintln(&b)
			}
		}
	}
	golden.Check(t, "balance", b.String())
}

// TestBalanceGoal checks the goal for 38 daemons that know the loads of 100 ms ago: the wait
// is close to that of a central queue, and the busiest replica's queue varies no more than
// with random choice. It guards against herding.
func TestBalanceGoal(t *testing.T) {
	for _, scenario := range modelScenarios {
		t.Run(scenario, func(t *testing.T) {
			is := is.New(t)
			play := func(policy func(m *model, daemon int) int) *model {
				m := &model{scenario: scenario, policy: policy, daemons: 38, age: 100 * time.Millisecond}
				return m.run(20 * time.Second)
			}
			central, random, b := play(nil), play(randomChoice), play(balanced)
			is.True(b.wait() <= 1.3*central.wait())      // close to a central queue
			is.True(b.variation() <= random.variation()) // no herding
		})
	}
}

// TestBalanceFailures records how 100 attempts are distributed over five replicas, one of
// which, r0, is special, when the information on their load fails.
func TestBalanceFailures(t *testing.T) {
	usual := ramp.ReplicaLoad{Running: 4, Slots: 8, Slowdown: 1}
	all := []string{"r0", "r1", "r2", "r3", "r4"}
	begin := func(p *Picker, id string) {
		p.stats.Update(id, func(s replicaStats) replicaStats {
			return s.withAttempt(instance(id, 1, 1, ramp.Live), time.Now())
		})
	}
	report := func(p *Picker, l *ramp.ReplicaLoad, ids ...string) {
		for _, id := range ids {
			begin(p, id)
			a := ramp.Attempt{Replica: ramp.Replica{ID: id, Address: id + ":1"}, Pick: ramp.PickInfo{StartedMillis: 1}}
			a.Signals = &ramp.Signals{Load: l}
			p.Done(a.WithOutcome(ramp.Merged, assumedLatency, true))
		}
	}
	// first reports a usual load of all replicas but r0, whose load is given.
	first := func(l ramp.ReplicaLoad) func(p *Picker) {
		return func(p *Picker) {
			report(p, &usual, all[1:]...)
			report(p, &l, "r0")
		}
	}
	idle := ramp.ReplicaLoad{Slots: 8, Slowdown: 1}
	endless := ramp.ReplicaLoad{Running: math.MaxInt, Waiting: math.MaxInt, Slots: 8, Slowdown: 1}
	negative := ramp.ReplicaLoad{Running: -9, Waiting: math.MinInt, Slots: -1, Slowdown: -1}
	tests := []struct {
		name    string
		prepare func(p *Picker)
		after   time.Duration
	}{
		{"one replica idle, fresh reports", first(idle), 0},
		{"one replica idle, reports 100 ms old", first(idle), 100 * time.Millisecond},
		{"reports stopped 9 s ago", first(idle), 9 * time.Second},
		{"reports stopped 11 s ago", first(idle), 11 * time.Second},
		{"responses without a report", func(p *Picker) {
			first(idle)(p)
			time.Sleep(11 * time.Second)
			report(p, nil, all...)
		}, 0},
		{"stalled replica last said that it is idle", func(p *Picker) {
			first(idle)(p)
			begin(p, "r0")
		}, 30 * time.Millisecond},
		{"replica fails and last said that it is idle", func(p *Picker) {
			first(idle)(p)
			for range 2 {
				begin(p, "r0")
				a := ramp.Attempt{Replica: ramp.Replica{ID: "r0", Address: "r0:1"}, Pick: ramp.PickInfo{StartedMillis: 1}}
				p.Done(a.WithOutcome(ramp.Unreachable, time.Millisecond, false))
			}
		}, 0},
		{"absurd slots", first(ramp.ReplicaLoad{Running: 4, Slots: math.MaxInt, Slowdown: 1}), time.Second},
		{"absurd queue", first(endless), time.Second},
		{"negative figures", first(negative), time.Second},
		{"slowdown near 0", first(ramp.ReplicaLoad{Running: 4, Slots: 8, Slowdown: 1e-300}), time.Second},
		{"slowdown infinite", first(ramp.ReplicaLoad{Running: 4, Slots: 8, Slowdown: math.Inf(1)}), time.Second},
		{"slowdown not a number", first(ramp.ReplicaLoad{Running: 4, Slots: 8, Slowdown: math.NaN()}), time.Second},
		{"restarted daemon, first report of an idle replica", func(p *Picker) { report(p, &idle, "r0") }, 0},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			s := NewInstances(drainBound, ramp.SystemClock{})
			for _, id := range all {
				s.Update(instance(id, 1, 1, ramp.Live), time.Now())
			}
			p := newTestPicker(s)
			p.points.Put("s", 1)
			test.prepare(p)
			time.Sleep(test.after)
			fmt.Fprintf(&b, "%s: %s\n", test.name, distribution(p, all))
		})
	}
	golden.Check(t, "balance-failures", b.String())
}

// distribution returns how many of 100 attempts, which end at once, each replica gets.
func distribution(p *Picker, ids []string) string {
	picked, byLoad := make(map[string]int), 0
	for range 100 {
		i, info, _ := p.Pick(ramp.PickRequest{Service: "s", Limit: 9, Senders: 38})
		p.Done(ramp.Attempt{Replica: i.Replica, Pick: info}.WithOutcome(ramp.Cancelled, 0, false))
		picked[i.ID]++
		if info.Load != nil {
			byLoad++
		}
	}
	if byLoad == 0 {
		return "not balanced by load"
	}
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "%s=%d ", id, picked[id])
	}
	fmt.Fprintf(&b, "by a reported load=%d", byLoad)
	return b.String()
}

// TestBalanceAlone checks that the reported load is not used where this daemon alone sends,
// which knows more by its own attempts.
func TestBalanceAlone(t *testing.T) {
	is := is.New(t)
	s := NewInstances(drainBound, ramp.SystemClock{})
	s.Update(instance("r", 1, 1, ramp.Live), time.Now())
	p := newTestPicker(s)
	load := ramp.ReplicaLoad{Running: 1, Slots: 8, Slowdown: 1}
	p.stats.Update("r", func(s replicaStats) replicaStats {
		s = s.forStart(instance("r", 1, 1, ramp.Live))
		s.condition = s.withSignals(ramp.Signals{Load: &load}, ramp.LimitShare{}, time.Now())
		return s
	})
	for senders, used := range map[int]bool{0: false, 1: false, 2: true} {
		_, info, ok := p.Pick(ramp.PickRequest{Service: "s", Limit: 9, Senders: senders})
		is.True(ok)                      // the replica may get attempts
		is.Equal(info.Load != nil, used) // only where several daemons send
	}
}
