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
	service  = "prisms"
	replicas = 2
	groups   = 2 // backend servers of one copy
	queries  = 3
	length   = 200 * time.Millisecond
)

func TestMain(m *testing.M) { seeded.Serial(m, 1000) }

// event is a change of one backend server, or of all, while queries run.
type event struct {
	At     time.Duration
	Kind   string
	Server int // for all kinds that change one server
	Shards int // of the next partition
}

type schedule []event

// drawSchedule returns events of the given kinds in order of their time.
func drawSchedule(rt *rapid.T, kinds ...string) schedule {
	one := rapid.Custom(func(rt *rapid.T) event {
		return event{
			At:     time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(rt, "ms")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Server: rapid.IntRange(0, groups*replicas-1).Draw(rt, "server"),
			Shards: rapid.IntRange(1, 4).Draw(rt, "shards"),
		}
	})
	events := rapid.SliceOfN(one, 4, 12).Draw(rt, "events")
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// world is one daemon with its backend servers, all on the clock of the bubble.
type world struct {
	servers []*standin.Backend
	layouts *replica.Layouts
	engine  *query.Engine
	version uint64
}

func newWorld(naive func(ramp.Backends, *world) ramp.Backends) *world {
	clock := ramp.SystemClock{}
	set := standin.NewServers()
	w := &world{layouts: replica.NewLayouts(clock)}
	for i := range groups * replicas {
		b := standin.NewBackend(fmt.Sprintf("%s-%d-%d", service, i%groups, i/groups), service, 2)
		b.Set(standin.Behaviour{Delay: 10 * time.Millisecond, Spread: 0.5, Straggle: 20})
		w.servers = append(w.servers, b)
		set.Add(b, fmt.Sprintf("d%d", i%2))
	}
	w.publish(4)
	w.learn()
	var backends ramp.Backends = &standin.Link{
		Clock: clock, Servers: set, Domain: "d0", Connect: 6 * time.Millisecond, Hop: 1500 * time.Microsecond,
		Connections: 6, Grace: 20 * time.Millisecond,
	}
	if naive != nil {
		backends = naive(backends, w)
	}
	w.engine = &query.Engine{
		Clock: clock, Pool: ramp.NewPool(24, 256), Layouts: w.layouts, Chooser: replica.NewChooser(w.layouts, clock),
		Retrier: retry.NewPolicy(), Patience: retry.Patience{}, Backends: backends,
	}
	return w
}

// publish gives every server its shards of the next version beside the newest one.
func (w *world) publish(shards int) {
	w.version++
	for i := range w.servers {
		w.give(i, standin.Split(w.version, shards), w.version-1)
	}
}

// give replaces the shards that the server has of the version of parts, and
// drops versions below the oldest.
func (w *world) give(server int, parts []standin.Part, oldest uint64) {
	held := slices.DeleteFunc(w.servers[server].Parts(), func(p standin.Part) bool {
		return p.Version < oldest || p.Version == parts[0].Version
	})
	for i, p := range parts {
		if i%groups == server%groups {
			held = append(held, p)
		}
	}
	w.servers[server].SetParts(held)
}

func (w *world) learn() {
	for _, b := range w.servers {
		w.layouts.Update(standin.HoldingOf(b, "d0").WithDraining(b.Behaviour().Drain && !b.Behaviour().KeepQuiet))
	}
}

func (w *world) apply(e event) {
	b := w.servers[e.Server]
	behaviour := b.Behaviour()
	switch e.Kind {
	case "publish":
		w.publish(e.Shards)
	case "split": // one server at a time, within the newest version
		w.give(e.Server, standin.Split(w.version, e.Shards), w.version-1)
	case "drop":
		w.give(e.Server, standin.Split(w.version, e.Shards), w.version)
	case "learn":
		w.learn()
	case "truncate":
		behaviour.Truncate = !behaviour.Truncate
	case "cross":
		behaviour.Crossed = !behaviour.Crossed
	case "lose":
		behaviour.Lost = !behaviour.Lost
	case "late":
		behaviour.Delay = 300*time.Millisecond - behaviour.Delay
	case "shed":
		behaviour.Shed = !behaviour.Shed
	}
	b.Set(behaviour)
}

// play runs queries while the events happen, and returns every violation of an
// answer, and the number of answers with data.
func play(
	t *testing.T, s schedule, naive func(ramp.Backends, *world) ramp.Backends,
) (violations []string, answers int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(naive)
		defer w.engine.Pool.Close()
		var mutex sync.Mutex
		var group sync.WaitGroup
		for i := range queries {
			group.Go(func() {
				time.Sleep(time.Duration(i) * length / queries)
				q := ramp.Query{ID: fmt.Sprintf("q%d", i), Service: service, Operation: ramp.Search, Body: fmt.Sprint("caller", i)}
				if i == 2 {
					q.Operation, q.Key = ramp.Read, standin.Keys(service)[i]
				}
				prefer := []ramp.Preference{ramp.PreferCoverage, ramp.PreferTail}[i%2]
				plan := ramp.Allowance{Prefer: prefer, Latency: 80 * time.Millisecond, Deadline: 160 * time.Millisecond}
				answer, err := w.engine.Run(context.Background(), q.WithDeadline(time.Now().Add(plan.Deadline)), plan)
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					answers++
					violations = append(violations, check(q, answer)...)
				}
			})
		}
		start := time.Now()
		for _, e := range s {
			time.Sleep(e.At - time.Since(start))
			w.apply(e)
		}
		group.Wait()
		time.Sleep(time.Second)
	})
	slices.Sort(violations)
	return violations, answers
}

// check compares an answer with the index contents of its stated version: it
// must have exactly the records in its stated ranges, each made for the query.
func check(q ramp.Query, answer ramp.Answer) (violations []string) {
	want := fmt.Sprintf("%s v%d for %s", service, answer.IndexVersion, q.Body)
	found := map[string]int{}
	for _, h := range answer.Hits {
		found[h.Key]++
		if h.Value != want {
			violations = append(violations, fmt.Sprintf("%s: %s has %q in an answer of %q", q.ID, h.Key, h.Value, want))
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
				fmt.Sprintf("%s: %s is there %d times instead of %d", q.ID, key, found[key], expected))
		}
	}
	for _, a := range answer.Attempts {
		if a.Outcome == ramp.Merged && a.Query.ID != q.ID {
			violations = append(violations, q.ID+": merged an attempt of "+a.Query.ID)
		}
	}
	return violations
}

// anyVersion lets a backend server search whatever version it has newest, as if
// no version were sent with the request.
type anyVersion struct {
	ramp.Backends
	world *world
}

func (n anyVersion) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	asked := a
	for _, b := range n.world.servers {
		for _, p := range b.Parts() {
			if b.ID == a.Replica.ID && p.Version > a.IndexVersion && p.Shard == a.Shard.ID {
				a.IndexVersion, a.Shard.Range = p.Version, ramp.KeyRange{Low: p.Low, High: p.High}
			}
		}
	}
	reply, err := n.Backends.Send(ctx, a)
	reply.IndexVersion, reply.Range = asked.IndexVersion, asked.Shard.Range
	return reply, err
}

// unchecked takes every reply for that of the attempt, whole or not.
type unchecked struct {
	ramp.Backends
	world *world
}

func (n unchecked) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	reply, err := n.Backends.Send(ctx, a)
	var failed *ramp.AttemptError
	if !errors.As(err, &failed) || (failed.Outcome != ramp.Truncated && failed.Outcome != ramp.Mismatched) {
		return reply, err
	}
	for _, b := range n.world.servers {
		if b.ID == a.Replica.ID {
			reply, _, err = b.Serve(ctx, standin.Run{Query: a.Query.ID, Shard: a.Shard.ID, Version: a.IndexVersion})
			reply.Hits = reply.Hits[:len(reply.Hits)/2]
		}
	}
	return reply, err
}

// TestAnswers runs many schedules for each point with the real decisions, none
// of which may be violated, and one with the naive implementation.
func TestAnswers(t *testing.T) {
	points := []struct {
		name    string
		kinds   []string
		verdict string
		naive   func(ramp.Backends, *world) ramp.Backends
	}{
		{
			"snapshot",
			[]string{"publish", "publish", "split", "drop", "learn", "learn", "late"},
			"in an answer of",
			func(b ramp.Backends, w *world) ramp.Backends { return anyVersion{b, w} },
		},
		{
			"coverage",
			[]string{"split", "split", "drop", "learn", "truncate", "lose", "shed", "publish"},
			"is there 0 times",
			func(b ramp.Backends, w *world) ramp.Backends { return unchecked{b, w} },
		},
		{
			"whole",
			[]string{"cross", "cross", "late", "truncate", "lose", "publish", "learn"},
			"in an answer of",
			func(b ramp.Backends, w *world) ramp.Backends { return unchecked{b, w} },
		},
	}
	for _, p := range points {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			answers := 0
			rapid.Check(t, func(rt *rapid.T) {
				s := drawSchedule(rt, p.kinds...)
				violations, n := play(t, s, nil)
				answers += n
				if len(violations) > 0 {
					rt.Fatalf("schedule %v:\n%s", s, strings.Join(violations, "\n"))
				}
			})
			is.True(answers > 1500) // most of the 3,000 queries have an answer to check
			golden.Check(t, "naive-"+p.name, naiveVerdict(t, p.kinds, p.verdict, p.naive))
		})
	}
}

// naiveVerdict returns the violation that the naive implementation is known
// for, if it shows in one of a few fixed schedules.
func naiveVerdict(
	t *testing.T, kinds []string, verdict string, naive func(ramp.Backends, *world) ramp.Backends,
) string {
	for round := range 5 {
		var s schedule
		for i := range 4 * len(kinds) {
			s = append(s, event{
				At: time.Duration(i) * length / time.Duration(4*len(kinds)), Kind: kinds[(i+round)%len(kinds)],
				Server: i % (groups * replicas), Shards: 4 + i%2,
			})
		}
		violations, _ := play(t, s, naive)
		if slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, verdict) }) {
			return "violated: " + verdict + "\n"
		}
	}
	return "no violation\n"
}
