package plan

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/seeded"
)

func TestMain(m *testing.M) { seeded.RunSerially(m, 250) }

// manualClock is a clock that a test advances. Its timers never expire.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

// Parameters of the simulated fleet.
const (
	rate           = 400 // sub-requests a second of the plan "bound"
	cost           = 60  // sub-requests of a query
	heavy          = 3   // queries in a step that ask for more than the rate
	step           = 250 * time.Millisecond
	stepsPerSecond = 4
)

var lists = ramp.Lists{Version: 1, Plans: []ramp.Allowance{
	{Plan: "bound", Share: 1, Rate: rate}, {Plan: "free", Share: 1},
}}

// admitterFactory returns the admitter of one daemon. Naive admitters take the
// place of the real one to show that the checks detect them.
type admitterFactory func(c *manualClock, members func() []ramp.Daemon) ramp.Admitter

// quotaAdmitter returns the admitter under test.
func quotaAdmitter(c *manualClock, members func() []ramp.Daemon) ramp.Admitter {
	return NewAdmitter(Config{
		Clock: c, Capacity: 1 << 20, Floor: 16, Members: members, Lists: func() ramp.Lists { return lists },
	})
}

// localAdmitter is a naive admitter with a fixed quota, which ignores the demand on
// other daemons.
type localAdmitter struct {
	clock   *manualClock
	quota   quota
	divisor func() int // the quota is the plan's rate divided by it
}

func (l *localAdmitter) Admit(_ context.Context, _ ramp.Query, a ramp.Allowance, cost int) (func(), error) {
	l.quota.rate = float64(a.Rate) / float64(l.divisor())
	l.quota = l.quota.WithRefill(l.clock.now)
	if a.Rate > 0 && !l.quota.hasTokens() {
		return nil, &ramp.RefusedError{Reason: ramp.ReasonShare, Ran: ramp.NotRun}
	}
	l.quota = l.quota.WithAdmitted(cost)
	return func() {}, nil
}

// fullRateAdmitter returns an admitter that allows the plan its whole rate.
func fullRateAdmitter(c *manualClock, _ func() []ramp.Daemon) ramp.Admitter {
	return &localAdmitter{clock: c, divisor: func() int { return 1 }}
}

// equalPartAdmitter returns an admitter that allows the plan an equal part of its
// rate.
func equalPartAdmitter(c *manualClock, members func() []ramp.Daemon) ramp.Admitter {
	return &localAdmitter{clock: c, divisor: func() int { return len(members()) }}
}

// sharedBucketAdmitter returns admitters that share one token bucket without any
// communication, which no fleet can have, and admit queries in order of arrival.
func sharedBucketAdmitter() admitterFactory {
	byClock := make(map[*manualClock]ramp.Admitter)
	return func(c *manualClock, members func() []ramp.Daemon) ramp.Admitter {
		if byClock[c] == nil {
			byClock[c] = fullRateAdmitter(c, members)
		}
		return byClock[c]
	}
}

// simDaemon is a daemon of a simulated fleet.
type simDaemon struct {
	ramp.Daemon
	admitter           ramp.Admitter
	partitioned        bool // it neither sends nor receives messages
	down               bool // it has crashed
	starvedSteps       int  // consecutive steps with saturated demand in which less than half an equal part was served
	maxStarvedSteps    int  // highest value of starvedSteps
	servedSinceStarved int  // sub-requests served since starvedSteps was 0
}

// recordStep counts what a step served. Saturated is true for a step whose demand
// exceeds the rate.
func (d *simDaemon) recordStep(saturated bool, served, daemons int) {
	d.servedSinceStarved += served
	d.starvedSteps++
	minServed := rate * d.starvedSteps / stepsPerSecond / daemons / 2
	if !saturated || d.servedSinceStarved >= minServed {
		d.maxStarvedSteps = max(d.maxStarvedSteps, d.starvedSteps)
		d.starvedSteps, d.servedSinceStarved = 0, 0
	}
}

// simFleet runs admitters that exchange gossip messages, which a schedule loses,
// repeats and delays.
type simFleet struct {
	clock        *manualClock
	newAdmitter  admitterFactory
	daemons      []*simDaemon
	members      []ramp.Daemon
	sentMessages []ramp.GossipMessage // all messages sent, oldest first
	served       []int                // sub-requests served, by step
}

func newSimFleet(newAdmitter admitterFactory, size int) *simFleet {
	f := &simFleet{clock: &manualClock{now: time.Unix(1000, 0)}, newAdmitter: newAdmitter}
	for range size {
		f.join()
	}
	return f
}

func (f *simFleet) join() {
	id := fmt.Sprintf("d%d", len(f.daemons)+1)
	d := &simDaemon{Daemon: ramp.Daemon{ID: id, Incarnation: id}}
	d.admitter = f.newAdmitter(f.clock, func() []ramp.Daemon { return f.members })
	f.daemons = append(f.daemons, d)
	f.updateMembers()
}

// updateMembers updates the membership at once; in a real fleet a lease delays it.
func (f *simFleet) updateMembers() {
	f.members = nil
	for _, d := range f.daemons {
		if !d.down {
			f.members = append(f.members, d.Daemon)
		}
	}
}

// gossip sends a message from every daemon that is up and not partitioned to the
// others. Deliveries returns how many copies arrive.
func (f *simFleet) gossip(deliveries func(from, to string) (copies int)) {
	for _, from := range f.daemons {
		a, ok := from.admitter.(*Admitter)
		if !ok || from.down || from.partitioned {
			continue
		}
		message := ramp.GossipMessage{From: from.Daemon, Usage: a.Report()}
		for _, to := range f.daemons {
			if to == from || to.down || to.partitioned {
				continue
			}
			for range deliveries(from.ID, to.ID) {
				to.admitter.(*Admitter).MergeUsage(message.From, message.Usage)
			}
		}
		f.sentMessages = append(f.sentMessages, message)
	}
}

// step advances the clock by a step, sends each daemon the offered number of
// queries and counts the sub-requests served.
func (f *simFleet) step(offered func(i int) int) {
	f.clock.now = f.clock.now.Add(step)
	served := 0
	for i, d := range f.daemons {
		if d.down {
			continue
		}
		before := served
		for range offered(i) {
			q := ramp.Query{Customer: "c", Plan: "bound", Service: "s", Deadline: f.clock.now.Add(time.Second)}
			release, err := d.admitter.Admit(context.Background(), q, lists.Plans[0], cost)
			if err == nil {
				release()
				served += cost
			}
		}
		d.recordStep(offered(i) >= heavy, served-before, len(f.daemons))
	}
	f.served = append(f.served, served)
}

// overRate returns by how many sub-requests the fleet exceeded maxServed in any
// interval of the given seconds; it is not positive if the bound held.
func (f *simFleet) overRate(seconds int) int {
	steps := seconds * stepsPerSecond
	most := 0
	for i := 0; i+steps <= len(f.served); i++ {
		sum := 0
		for _, n := range f.served[i : i+steps] {
			sum += n
		}
		most = max(most, sum)
	}
	return most - maxServed(seconds, len(f.daemons))
}

// maxServed returns the stated bound in sub-requests: the rate for the time, for
// the debt that may be open, for the time that gossip may be missing and for a
// burst, and a query for each daemon.
func maxServed(seconds, daemons int) int {
	slack := (debtWindow + staleAfter + quotaInterval + burstTime).Seconds()
	return int(rate*(float64(seconds)+slack)) + daemons*cost
}

// runSchedule runs a fleet for 20 seconds with drawn demand and faults.
func runSchedule(t *rapid.T, newAdmitter admitterFactory, size int) *simFleet {
	f := newSimFleet(newAdmitter, size)
	offered := []int{0, 0, 0, 0, 0, 0, 0, 0}
	loss := rapid.IntRange(0, 40).Draw(t, "loss")
	for second := range 20 {
		switch rapid.IntRange(0, 11).Draw(t, "event") {
		case 0:
			if len(f.daemons) < len(offered) {
				f.join()
			}
		case 1:
			f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "lost")].down = true
			f.updateMembers()
		case 2:
			d := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "cut")]
			d.partitioned = !d.partitioned
		case 3, 4, 5:
			offered[rapid.IntRange(0, len(offered)-1).Draw(t, "daemon")] = rapid.SampledFrom([]int{0, 1, heavy}).Draw(t, "load")
		}
		seed := rapid.IntRange(0, 1<<20).Draw(t, "news")
		f.gossip(func(from, to string) int {
			seed = seed*1103515245 + 12345
			return (seed >> 8 & 127) % 100 / max(1, loss) % 3 // 0 lost, 2 repeated
		})
		if len(f.sentMessages) > 8 && second%3 == 0 { // an old message is delivered again, out of order
			old := f.sentMessages[seed&7]
			for _, d := range f.daemons {
				if a, ok := d.admitter.(*Admitter); ok && d.ID != old.From.ID {
					a.MergeUsage(old.From, old.Usage)
				}
			}
		}
		for range stepsPerSecond {
			f.step(func(i int) int { return offered[i] })
		}
	}
	return f
}

// TestRateBound runs drawn schedules of demand, lost, repeated and late messages,
// partitions, joins and crashes. It fails when the fleet serves more of the plan
// than maxServed, or when a daemon starves.
func TestRateBound(t *testing.T) {
	for size := range 4 { // 250 schedules each
		t.Run(strconv.Itoa(size+2), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				if verdict := checkBounds(runSchedule(t, quotaAdmitter, size+2)); verdict != "" {
					t.Fatal(verdict)
				}
			})
		})
	}
}

// checkBounds returns the bound that a fleet violated, or "".
func checkBounds(f *simFleet) string {
	if f.overRate(10) > 0 {
		return "above the rate"
	}
	for _, d := range f.daemons {
		if d.maxStarvedSteps > 2*stepsPerSecond {
			return "starved"
		}
	}
	return ""
}

// TestNaiveSchedules records the verdicts of checkBounds on the naive admitters.
func TestNaiveSchedules(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for _, c := range []struct {
		name string
		make admitterFactory
	}{{"shared", quotaAdmitter}, {"naive: whole rate", fullRateAdmitter}, {"naive: first come", sharedBucketAdmitter()}} {
		verdicts := map[string]int{}
		for seed := range 40 {
			verdicts[rapid.Custom(func(t *rapid.T) string { return checkBounds(runSchedule(t, c.make, 4)) }).Example(seed)]++
		}
		fmt.Fprintf(&b, "%s: %v\n", c.name, verdicts)
	}
	golden.Check(t, "schedules", b.String())
}

// TestRate records the share of the plan's rate that the fleet serves under fixed
// loads, with the real admitter and with naive ones.
func TestRate(t *testing.T) {
	var b strings.Builder
	everywhere := func(int) int { return 20 }
	skewed := func(i int) int {
		if i == 0 {
			return heavy
		}
		return 0
	}
	for _, c := range []struct {
		name string
		make admitterFactory
	}{{"shared", quotaAdmitter}, {"naive: whole rate", fullRateAdmitter}, {"naive: fixed part", equalPartAdmitter}} {
		for _, load := range []struct {
			name    string
			offered func(int) int
		}{{"all daemons", everywhere}, {"one daemon", skewed}} {
			f := newSimFleet(c.make, 4)
			for range 20 {
				f.gossip(func(string, string) int { return 1 })
				for range stepsPerSecond {
					f.step(load.offered)
				}
			}
			served := 0
			for _, n := range f.served[len(f.served)-5*stepsPerSecond:] {
				served += n
			}
			share := float64(served) / 5 / rate
			fmt.Fprintf(&b, "%-18s %-12s served/rate=%.2f %s\n", c.name, load.name, share, rateVerdict(share))
		}
	}
	golden.Check(t, "rate", b.String())
}

func rateVerdict(share float64) string {
	switch {
	case share > 1.1:
		return "VIOLATED: above the rate"
	case share < 0.9:
		return "VIOLATED: unused quota is not lent"
	}
	return "held"
}

// TestDemand records the demand that results from counters that are lost, repeated
// or out of order.
func TestDemand(t *testing.T) {
	var b strings.Builder
	var d demand
	for _, u := range []ramp.Usage{
		{Uptime: time.Second, Requested: 100, Admitted: 50},
		{Uptime: time.Second, Requested: 100, Admitted: 50},
		{Uptime: 3 * time.Second, Requested: 500, Admitted: 150},
		{Uptime: 2 * time.Second, Requested: 200, Admitted: 100},
		{Uptime: 3100 * time.Millisecond, Requested: 600, Admitted: 150},
		{Uptime: 4 * time.Second, Requested: 500, Admitted: 150},
	} {
		d = d.With(u)
		fmt.Fprintf(&b, "at=%v wanted=%d: want=%.0f serve=%.0f\n", u.Uptime, u.Requested, d.requestRate, d.admitRate)
	}
	golden.Check(t, "news", b.String())
}

// TestLimit records how the concurrency limit of a service follows the state of
// its replicas.
func TestLimit(t *testing.T) {
	var b strings.Builder
	l := NewLimit(16, 400)
	now := time.Unix(0, 0)
	for _, phase := range []struct {
		name    string
		outcome ramp.Outcome
		latency time.Duration
	}{
		{"calm", ramp.Merged, 5 * time.Millisecond},
		{"queueing", ramp.Merged, 30 * time.Millisecond},
		{"calm again", ramp.Merged, 5 * time.Millisecond},
		{"refusing", ramp.Shed, 5 * time.Millisecond},
		{"cancelled", ramp.Cancelled, 5 * time.Millisecond},
	} {
		for range 8 {
			for range 20 {
				l = l.WithAttempt(phase.outcome).WithHoldTime(true, phase.latency)
			}
			now = now.Add(windowTime)
			l = l.WithRunning(int(min(l.Size, 200))).WithAdjustment(now)
		}
		fmt.Fprintf(&b, "%s: limit=%.0f\n", phase.name, l.Size)
	}
	golden.Check(t, "limit", b.String())
}

// TestLimitOfLargeQueries guards against a limit that never grows: when a second
// query with many sub-requests does not fit beside the first, the running ones
// stay so far below the limit that it does not look in use.
func TestLimitOfLargeQueries(t *testing.T) {
	is := is.New(t)
	const large = 8
	clock := &manualClock{now: time.Unix(0, 0)}
	m := quotaAdmitter(clock, func() []ramp.Daemon { return nil }).(*Admitter)
	a := ramp.Allowance{Plan: "free", Share: 1} // no latency objective: a query that does not fit is refused
	l := m.queueFor("s")
	l.limit = Limit{Size: 14, floor: large, ceiling: 400, overshot: true}
	for range 4 {
		for range minQueries {
			q := ramp.Query{Customer: "c", Service: "s", Operation: ramp.Search, Deadline: clock.now.Add(time.Second)}
			release, err := m.Admit(context.Background(), q, a, large)
			is.NoErr(err)
			_, err = m.Admit(context.Background(), q, a, large)
			if err == nil {
				return // two of them fit
			}
			m.Observe(q, ramp.Answer{Ran: ramp.HasRun, Attempts: []ramp.Attempt{{Elapsed: 10 * time.Millisecond}}})
			clock.now = clock.now.Add(windowTime)
			release()
		}
	}
	t.Errorf("limit did not grow: got %.0f", l.limit.Size)
}

// TestReport checks that repeated reports are equal and that their length is
// bounded.
func TestReport(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	m := quotaAdmitter(clock, func() []ramp.Daemon { return nil }).(*Admitter)
	for i := range 2 * maxUsages {
		a := ramp.Allowance{Plan: fmt.Sprintf("p%03d", i), Share: 1}
		q := ramp.Query{Service: "s", Deadline: clock.now.Add(time.Second)}
		release, err := m.Admit(context.Background(), q, a, 3)
		is.NoErr(err)
		release()
	}
	first := m.Report()
	is.Equal(len(first), maxUsages)
	is.True(slices.Equal(first, m.Report()))
	is.True(slices.Contains(slices.Collect(maps.Keys(m.quotas)), "bound")) // a plan of the lists without demand
}

// TestRefusal checks that a refusal is a RefusedError, states that nothing ran,
// and that a query is admitted after its retry delay.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	f := newSimFleet(quotaAdmitter, 1)
	f.step(func(int) int { return 100 })
	q := ramp.Query{Customer: "c", Service: "s", Deadline: f.clock.now.Add(time.Second)}
	_, err := f.daemons[0].admitter.Admit(context.Background(), q, lists.Plans[0], cost)
	var refused *ramp.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Ran, ramp.NotRun)
	is.Equal(refused.Reason, ramp.ReasonShare)
	f.clock.now = f.clock.now.Add(refused.RetryAfter)
	_, err = f.daemons[0].admitter.Admit(context.Background(), q, lists.Plans[0], cost)
	is.NoErr(err)
}
