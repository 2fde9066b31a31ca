package query_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/seeded"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

const (
	service        = "prisms"
	replicas       = 2
	groups         = 2 // backend servers that hold one copy of the index together
	queries        = 3
	scheduleLength = 200 * time.Millisecond
)

func TestMain(m *testing.M) { seeded.RunSerially(m, 1000) }

// event is a change to one backend server, or to all of them, while queries
// run.
type event struct {
	At     time.Duration
	Kind   string
	Server int // for kinds that change one server
	Shards int // number of shards of the next partition
}

type schedule []event

// drawSchedule draws events of the given kinds and returns them in the order of
// their time.
func drawSchedule(rt *rapid.T, kinds ...string) schedule {
	one := rapid.Custom(func(rt *rapid.T) event {
		return event{
			At:     time.Duration(rapid.IntRange(0, int(scheduleLength/time.Millisecond)).Draw(rt, "ms")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Server: rapid.IntRange(0, groups*replicas-1).Draw(rt, "server"),
			Shards: rapid.IntRange(1, 4).Draw(rt, "shards"),
		}
	})
	events := rapid.SliceOfN(one, 4, 12).Draw(rt, "events")
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// testDaemon is one daemon with its backend servers, all on the fake clock.
type testDaemon struct {
	servers []*standin.Backend
	layouts *replica.Layouts
	engine  *query.Engine
	version uint64
}

func newTestDaemon(wrap func(ramp.Backends, *testDaemon) ramp.Backends) *testDaemon {
	clock := ramp.SystemClock{}
	set := standin.NewServers()
	d := &testDaemon{layouts: replica.NewLayouts(clock)}
	for i := range groups * replicas {
		b := standin.NewBackend(fmt.Sprintf("%s-%d-%d", service, i%groups, i/groups), service, 2)
		b.SetBehaviour(standin.Behaviour{Delay: 10 * time.Millisecond, Jitter: 0.5, StraggleEvery: 20})
		d.servers = append(d.servers, b)
		set.Add(b, fmt.Sprintf("d%d", i%2))
	}
	d.publish(4)
	d.refreshLayouts()
	var backends ramp.Backends = &standin.Link{
		Clock: clock, Servers: set, Domain: "d0", ConnectDelay: 6 * time.Millisecond, HopDelay: 1500 * time.Microsecond,
		Connections: 6, CancelGrace: 20 * time.Millisecond,
	}
	if wrap != nil {
		backends = wrap(backends, d)
	}
	d.engine = &query.Engine{
		Clock: clock, Pool: ramp.NewPool(24, 256), Layouts: d.layouts, Chooser: replica.NewChooser(d.layouts, clock),
		Retrier: retry.NewPolicy(), Stragglers: retry.CutoffPolicy{}, Backends: backends,
	}
	return d
}

// publish gives every server its shards of the next index version, and keeps
// those of the version before.
func (d *testDaemon) publish(shards int) {
	d.version++
	for i := range d.servers {
		d.setShards(i, standin.Split(d.version, shards), d.version-1)
	}
}

// setShards replaces the shards that the server has of the version of parts,
// and drops all versions below oldest.
func (d *testDaemon) setShards(server int, parts []standin.Shard, oldest uint64) {
	held := slices.DeleteFunc(d.servers[server].Shards(), func(p standin.Shard) bool {
		return p.Version < oldest || p.Version == parts[0].Version
	})
	for i, p := range parts {
		if i%groups == server%groups {
			held = append(held, p)
		}
	}
	d.servers[server].SetShards(held)
}

func (d *testDaemon) refreshLayouts() {
	for _, b := range d.servers {
		d.layouts.Update(standin.InventoryOf(b, "d0").WithDraining(b.Behaviour().Drain && !b.Behaviour().HideDrain))
	}
}

func (d *testDaemon) apply(e event) {
	b := d.servers[e.Server]
	behaviour := b.Behaviour()
	switch e.Kind {
	case "publish":
		d.publish(e.Shards)
	case "split": // repartitions one server within the newest version
		d.setShards(e.Server, standin.Split(d.version, e.Shards), d.version-1)
	case "drop":
		d.setShards(e.Server, standin.Split(d.version, e.Shards), d.version)
	case "learn":
		d.refreshLayouts()
	case "truncate":
		behaviour.Truncate = !behaviour.Truncate
	case "cross":
		behaviour.WrongAttempt = !behaviour.WrongAttempt
	case "lose":
		behaviour.Unreachable = !behaviour.Unreachable
	case "late":
		behaviour.Delay = 300*time.Millisecond - behaviour.Delay
	case "shed":
		behaviour.Shed = !behaviour.Shed
	}
	b.SetBehaviour(behaviour)
}

// runSchedule runs queries while the events of the schedule happen. It returns
// every violation found in an answer, and the number of answers with data.
func runSchedule(
	t *testing.T, s schedule, wrap func(ramp.Backends, *testDaemon) ramp.Backends,
) (violations []string, answers int) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDaemon(wrap)
		defer d.engine.Pool.Close()
		var mutex sync.Mutex
		var group sync.WaitGroup
		for i := range queries {
			group.Go(func() {
				time.Sleep(time.Duration(i) * scheduleLength / queries)
				q := ramp.Query{ID: fmt.Sprintf("q%d", i), Service: service, Operation: ramp.Search, Body: fmt.Sprint("caller", i)}
				if i == 2 {
					q.Operation, q.Key = ramp.Read, standin.Keys(service)[i]
				}
				prefer := []ramp.Preference{ramp.PreferCoverage, ramp.PreferTail}[i%2]
				plan := ramp.Allowance{Prefer: prefer, Latency: 80 * time.Millisecond, Deadline: 160 * time.Millisecond}
				answer, err := d.engine.Run(context.Background(), q.WithDeadline(time.Now().Add(plan.Deadline)), plan)
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					answers++
					violations = append(violations, checkAnswer(q, answer)...)
				}
			})
		}
		start := time.Now()
		for _, e := range s {
			time.Sleep(e.At - time.Since(start))
			d.apply(e)
		}
		group.Wait()
		time.Sleep(time.Second)
	})
	slices.Sort(violations)
	return violations, answers
}

// checkAnswer compares an answer with the index contents of the version that it
// states: it must have exactly the records in the ranges that it states, each
// made for the query.
func checkAnswer(q ramp.Query, answer ramp.Answer) (violations []string) {
	want := fmt.Sprintf("%s v%d for %s", service, answer.IndexVersion, q.Body)
	found := map[string]int{}
	for _, h := range answer.Hits {
		found[h.Key]++
		if h.Value != want {
			violations = append(violations, fmt.Sprintf("%s: record %s has value %q, want %q", q.ID, h.Key, h.Value, want))
		}
	}
	for _, key := range standin.Keys(service) {
		hash := ramp.HashKey(key)
		expected := 0
		if answer.Coverage.Covers(ramp.KeyRange{Low: hash, High: hash + 1}) {
			expected = 1
		}
		if found[key] != expected {
			violations = append(violations,
				fmt.Sprintf("%s: record %s occurs %d times, want %d", q.ID, key, found[key], expected))
		}
	}
	for _, a := range answer.Attempts {
		if a.Outcome == ramp.Merged && a.Query.ID != q.ID {
			violations = append(violations, q.ID+": merged the reply to an attempt of "+a.Query.ID)
		}
	}
	return violations
}

// ignoringVersion makes a backend server search the newest index version that
// it has, as if no version were sent with the request.
type ignoringVersion struct {
	ramp.Backends
	daemon *testDaemon
}

func (n ignoringVersion) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	requested := a
	for _, b := range n.daemon.servers {
		for _, p := range b.Shards() {
			if b.ID == a.Replica.ID && p.Version > a.IndexVersion && p.Shard == a.Shard.ID {
				a.IndexVersion, a.Shard.Range = p.Version, ramp.KeyRange{Low: p.Low, High: p.High}
			}
		}
	}
	reply, err := n.Backends.Send(ctx, a)
	reply.IndexVersion, reply.Range = requested.IndexVersion, requested.Shard.Range
	return reply, err
}

// withoutReplyChecks accepts every reply, including truncated ones and those
// that belong to another attempt.
type withoutReplyChecks struct {
	ramp.Backends
	daemon *testDaemon
}

func (n withoutReplyChecks) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	reply, err := n.Backends.Send(ctx, a)
	var failed *ramp.AttemptError
	if !errors.As(err, &failed) || (failed.Outcome != ramp.Truncated && failed.Outcome != ramp.Mismatched) {
		return reply, err
	}
	for _, b := range n.daemon.servers {
		if b.ID == a.Replica.ID {
			reply, _, err = b.Serve(ctx, standin.Request{Query: a.Query.ID, Shard: a.Shard.ID, Version: a.IndexVersion})
			reply.Hits = reply.Hits[:len(reply.Hits)/2]
		}
	}
	return reply, err
}

// TestAnswers runs many schedules for each point with the real implementation,
// none of which may lead to a violation, and a few fixed ones with a naive
// implementation, one of which must.
func TestAnswers(t *testing.T) {
	points := []struct {
		name      string
		kinds     []string
		violation string
		naive     func(ramp.Backends, *testDaemon) ramp.Backends
	}{
		{
			"snapshot",
			[]string{"publish", "publish", "split", "drop", "learn", "learn", "late"},
			"has value",
			func(b ramp.Backends, d *testDaemon) ramp.Backends { return ignoringVersion{b, d} },
		},
		{
			"coverage",
			[]string{"split", "split", "drop", "learn", "truncate", "lose", "shed", "publish"},
			"occurs 0 times",
			func(b ramp.Backends, d *testDaemon) ramp.Backends { return withoutReplyChecks{b, d} },
		},
		{
			"whole",
			[]string{"cross", "cross", "late", "truncate", "lose", "publish", "learn"},
			"has value",
			func(b ramp.Backends, d *testDaemon) ramp.Backends { return withoutReplyChecks{b, d} },
		},
	}
	for _, p := range points {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			answers := 0
			rapid.Check(t, func(rt *rapid.T) {
				s := drawSchedule(rt, p.kinds...)
				violations, n := runSchedule(t, s, nil)
				answers += n
				if len(violations) > 0 {
					rt.Fatalf("schedule %v:\n%s", s, strings.Join(violations, "\n"))
				}
			})
			is.True(answers > 1500) // most of the 3,000 queries have an answer to check
			golden.Check(t, "naive-"+p.name, naiveViolation(t, p.kinds, p.violation, p.naive))
		})
	}
}

// naiveViolation returns the violation that the naive implementation is known
// for, if it occurs in one of a few fixed schedules.
func naiveViolation(
	t *testing.T, kinds []string, violation string, naive func(ramp.Backends, *testDaemon) ramp.Backends,
) string {
	for round := range 5 {
		var s schedule
		for i := range 4 * len(kinds) {
			s = append(s, event{
				At: time.Duration(i) * scheduleLength / time.Duration(4*len(kinds)), Kind: kinds[(i+round)%len(kinds)],
				Server: i % (groups * replicas), Shards: 4 + i%2,
			})
		}
		violations, _ := runSchedule(t, s, naive)
		if slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, violation) }) {
			return "violated: " + violation + "\n"
		}
	}
	return "no violation\n"
}
