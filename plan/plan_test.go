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

func TestMain(m *testing.M) { seeded.Serial(m, 250) }

// manualClock is a clock that a test moves on. Its timers never expire.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

// The fleet under test.
const (
	rate    = 400 // sub-requests a second of the plan "bound"
	cost    = 60
	full    = 3 // queries a step that ask for more than the rate
	step    = 250 * time.Millisecond
	instant = 4 // steps a second
)

var lists = ramp.Lists{Version: 1, Plans: []ramp.Allowance{
	{Plan: "bound", Share: 1, Rate: rate}, {Plan: "free", Share: 1},
}}

// admitters makes the admitter of one daemon; the tests replace it by naive ones.
type admitters func(c *manualClock, members func() []ramp.Daemon) ramp.Admitter

func shared(c *manualClock, members func() []ramp.Daemon) ramp.Admitter {
	return NewAdmitter(Config{
		Clock: c, Room: 1 << 20, Floor: 16, Members: members, Lists: func() ramp.Lists { return lists },
	})
}

// local is a naive admitter: every daemon allows the plan its whole rate.
type local struct {
	clock *manualClock
	part  part
	share func() int // part of the rate: one in share
}

func (l *local) Admit(_ context.Context, _ ramp.Query, a ramp.Allowance, cost int) (func(), error) {
	l.part.rate = float64(a.Rate) / float64(l.share())
	l.part = l.part.WithTokens(l.clock.now)
	if a.Rate > 0 && !l.part.open() {
		return nil, &ramp.RefusedError{Reason: ramp.ReasonShare, Ran: ramp.NotRun}
	}
	l.part = l.part.WithServed(cost)
	return func() {}, nil
}

func wholeRate(c *manualClock, _ func() []ramp.Daemon) ramp.Admitter {
	return &local{clock: c, share: func() int { return 1 }}
}

func fixedPart(c *manualClock, members func() []ramp.Daemon) ramp.Admitter {
	return &local{clock: c, share: func() int { return len(members()) }}
}

// firstCome returns admitters that share one bucket without a call, which no
// fleet can, and serve whoever asks first.
func firstCome() admitters {
	commons := make(map[*manualClock]ramp.Admitter)
	return func(c *manualClock, members func() []ramp.Daemon) ramp.Admitter {
		if commons[c] == nil {
			commons[c] = wholeRate(c, members)
		}
		return commons[c]
	}
}

// member is one daemon of a simulated fleet.
type member struct {
	ramp.Daemon
	admitter ramp.Admitter
	cut      bool // no news goes out or comes in
	lost     bool
	starved  int // steps in a row with full demand and less than half an equal part
	worst    int // most of those
	counted  int // sub-requests served since starved was 0
}

// count notes what a step with full demand served.
func (d *member) count(full bool, served, daemons int) {
	d.counted += served
	d.starved++
	least := rate * d.starved / instant / daemons / 2
	if !full || d.counted >= least {
		d.worst = max(d.worst, d.starved)
		d.starved, d.counted = 0, 0
	}
}

// fleet runs admitters that exchange news, which a schedule loses, repeats and
// delays.
type fleet struct {
	clock   *manualClock
	build   admitters
	daemons []*member
	listed  []ramp.Daemon
	late    []ramp.GossipMessage // sent and not yet taken
	served  []int                // by step
}

func newFleet(build admitters, size int) *fleet {
	f := &fleet{clock: &manualClock{now: time.Unix(1000, 0)}, build: build}
	for range size {
		f.join()
	}
	return f
}

func (f *fleet) join() {
	id := fmt.Sprintf("d%d", len(f.daemons)+1)
	d := &member{Daemon: ramp.Daemon{ID: id, Incarnation: id}}
	d.admitter = f.build(f.clock, func() []ramp.Daemon { return f.listed })
	f.daemons = append(f.daemons, d)
	f.list()
}

// list updates the membership, which a lease delays in truth.
func (f *fleet) list() {
	f.listed = nil
	for _, d := range f.daemons {
		if !d.lost {
			f.listed = append(f.listed, d.Daemon)
		}
	}
}

// news lets every daemon that is not cut off tell the others.
func (f *fleet) news(arrives func(from, to string) (copies int)) {
	for _, from := range f.daemons {
		a, ok := from.admitter.(*Admitter)
		if !ok || from.lost || from.cut {
			continue
		}
		news := ramp.GossipMessage{From: from.Daemon, Usage: a.Report()}
		for _, to := range f.daemons {
			if to == from || to.lost || to.cut {
				continue
			}
			for range arrives(from.ID, to.ID) {
				to.admitter.(*Admitter).Hear(news.From, news.Usage)
			}
		}
		f.late = append(f.late, news)
	}
}

// step offers each daemon the given queries and counts what was served.
func (f *fleet) step(offered func(i int) int) {
	f.clock.now = f.clock.now.Add(step)
	served := 0
	for i, d := range f.daemons {
		if d.lost {
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
		d.count(offered(i) >= full, served-before, len(f.daemons))
	}
	f.served = append(f.served, served)
}

// over returns the most that was served in any time of the given seconds,
// beyond what the plan's rate and the stated error allow; negative if it held.
func (f *fleet) over(seconds int) int {
	span := seconds * instant
	most := 0
	for i := 0; i+span <= len(f.served); i++ {
		sum := 0
		for _, n := range f.served[i : i+span] {
			sum += n
		}
		most = max(most, sum)
	}
	return most - allowed(seconds, len(f.daemons))
}

// allowed is the stated bound: the rate for the time, the debt that can be
// open, the time for which news may be missing, and a query for each daemon.
func allowed(seconds, daemons int) int {
	open := (repayTime + freshTime + reviewTime + burstTime).Seconds()
	return int(rate*(float64(seconds)+open)) + daemons*cost
}

// schedule draws what happens to a fleet in 20 seconds.
func schedule(t *rapid.T, build admitters, size int) *fleet {
	f := newFleet(build, size)
	offered := []int{0, 0, 0, 0, 0, 0, 0, 0}
	loss := rapid.IntRange(0, 40).Draw(t, "loss")
	for second := range 20 {
		switch rapid.IntRange(0, 11).Draw(t, "event") {
		case 0:
			if len(f.daemons) < len(offered) {
				f.join()
			}
		case 1:
			f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "lost")].lost = true
			f.list()
		case 2:
			d := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "cut")]
			d.cut = !d.cut
		case 3, 4, 5:
			offered[rapid.IntRange(0, len(offered)-1).Draw(t, "daemon")] = rapid.SampledFrom([]int{0, 1, full}).Draw(t, "load")
		}
		seed := rapid.IntRange(0, 1<<20).Draw(t, "news")
		f.news(func(from, to string) int {
			seed = seed*1103515245 + 12345
			return (seed >> 8 & 127) % 100 / max(1, loss) % 3 // 0 lost, 2 repeated
		})
		if len(f.late) > 8 && second%3 == 0 { // old news comes again, out of order
			old := f.late[seed&7]
			for _, d := range f.daemons {
				if a, ok := d.admitter.(*Admitter); ok && d.ID != old.From.ID {
					a.Hear(old.From, old.Usage)
				}
			}
		}
		for range instant {
			f.step(func(i int) int { return offered[i] })
		}
	}
	return f
}

// TestRateHolds runs schedules of demand, lost, repeated and late news, cuts,
// joins and losses, and fails when the fleet serves more of the plan than its
// rate and the stated error.
func TestRateHolds(t *testing.T) {
	for size := range 4 { // 250 schedules each
		t.Run(strconv.Itoa(size+2), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				if verdict := judge(schedule(t, shared, size+2)); verdict != "" {
					t.Fatal(verdict)
				}
			})
		})
	}
}

// judge returns what a fleet did against the stated bounds, or "".
func judge(f *fleet) string {
	if f.over(10) > 0 {
		return "above the rate"
	}
	for _, d := range f.daemons {
		if d.worst > 2*instant {
			return "starved"
		}
	}
	return ""
}

// TestNaiveSchedules writes down what the check of TestRateHolds says of the
// naive admitters.
func TestNaiveSchedules(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for _, c := range []struct {
		name string
		make admitters
	}{{"shared", shared}, {"naive: whole rate", wholeRate}, {"naive: first come", firstCome()}} {
		verdicts := map[string]int{}
		for seed := range 40 {
			verdicts[rapid.Custom(func(t *rapid.T) string { return judge(schedule(t, c.make, 4)) }).Example(seed)]++
		}
		fmt.Fprintf(&b, "%s: %v\n", c.name, verdicts)
	}
	golden.Check(t, "schedules", b.String())
}

// TestRate writes down what fixed schedules serve with the admitter and with
// the naive ones beside it.
func TestRate(t *testing.T) {
	var b strings.Builder
	everywhere := func(int) int { return 20 }
	skewed := func(i int) int {
		if i == 0 {
			return full
		}
		return 0
	}
	for _, c := range []struct {
		name string
		make admitters
	}{{"shared", shared}, {"naive: whole rate", wholeRate}, {"naive: fixed part", fixedPart}} {
		for _, load := range []struct {
			name    string
			offered func(int) int
		}{{"all daemons", everywhere}, {"one daemon", skewed}} {
			f := newFleet(c.make, 4)
			for range 20 {
				f.news(func(string, string) int { return 1 })
				for range instant {
					f.step(load.offered)
				}
			}
			last := 0
			for _, n := range f.served[len(f.served)-5*instant:] {
				last += n
			}
			share := float64(last) / 5 / rate
			fmt.Fprintf(&b, "%-18s %-12s served/rate=%.2f %s\n", c.name, load.name, share, verdict(share))
		}
	}
	golden.Check(t, "rate", b.String())
}

func verdict(share float64) string {
	switch {
	case share > 1.1:
		return "VIOLATED: above the rate"
	case share < 0.9:
		return "VIOLATED: idle parts are not given away"
	}
	return "held"
}

// TestNews writes down what counters make of news that is lost, repeated or
// out of order.
func TestNews(t *testing.T) {
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
		fmt.Fprintf(&b, "at=%v wanted=%d: want=%.0f serve=%.0f\n", u.Uptime, u.Requested, d.want, d.serve)
	}
	golden.Check(t, "news", b.String())
}

// TestLimit writes down how the limit of a service follows its replicas.
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
				l = l.WithAttempt(phase.outcome).WithHeld(true, phase.latency)
			}
			now = now.Add(windowTime)
			l = l.WithRunning(int(min(l.Size, 200))).WithWindow(now)
		}
		fmt.Fprintf(&b, "%s: limit=%.0f\n", phase.name, l.Size)
	}
	golden.Check(t, "limit", b.String())
}

// TestLimitOfLargeQueries checks that a limit grows which holds back queries of
// so many sub-requests that a second one never fits beside the first.
func TestLimitOfLargeQueries(t *testing.T) {
	is := is.New(t)
	const large = 8
	clock := &manualClock{now: time.Unix(0, 0)}
	m := shared(clock, func() []ramp.Daemon { return nil }).(*Admitter)
	a := ramp.Allowance{Plan: "free", Share: 1} // no objective: what does not fit is refused
	l := m.laneOf("s")
	l.limit = Limit{Size: 14, floor: large, ceiling: 400, started: true}
	for range 4 {
		for range holdMin {
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
	t.Errorf("the limit stays at %.0f", l.limit.Size)
}

// TestReport checks that the counters told to several receivers are the same,
// and that their number is bounded.
func TestReport(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	m := shared(clock, func() []ramp.Daemon { return nil }).(*Admitter)
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
	is.True(slices.Contains(slices.Collect(maps.Keys(m.parts)), "bound")) // also without demand
}

// TestRefusal checks that a refusal is typed, says that nothing ran, and tells
// when the rate opens again.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	f := newFleet(shared, 1)
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
