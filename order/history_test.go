package order_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/seeded"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

func TestMain(m *testing.M) { seeded.Serial(m, 1000) }

// step is one event of a schedule.
type step struct {
	after time.Duration // since the step before
	event string
	node  int
	order int
}

// events are the kinds of steps. Those that occur twice are drawn more often.
var events = []string{
	"ask", "ask", "ask", "ask", "read", "freeze", "thaw", "thaw", "kill", "replace", "forget", "list", "leave", "full",
	"room", "room", "works", "works", "refuse", "shed", "slow", "lose",
}

func (s *simulation) take(started time.Time, p step) {
	n := s.current(p.node)
	switch p.event {
	case "ask":
		s.ask(started, p.node, p.order)
	case "read":
		s.ask(started, p.node, -1)
	case "freeze":
		n.freeze()
	case "thaw":
		n.thaw()
		s.list()
	case "kill":
		n.kill()
	case "replace":
		n.kill()
		s.start(p.node)
	case "forget":
		s.forget(n)
	case "list":
		s.list()
	case "leave":
		go n.leave()
	case "full", "room":
		n.full.Store(p.event == "full")
	case "works", "refuse", "shed", "slow":
		s.mode.Store(p.event)
	case "lose":
		s.lose.Store(true)
	}
}

// run plays a schedule on the fake clock, ends all faults, repeats every order
// through every daemon, and returns the first violation or "".
func run(t *testing.T, v variant, orders int, schedule []step) (verdict string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(ctx, v, 3, orders)
		started := time.Now()
		for _, p := range schedule {
			time.Sleep(p.after)
			s.take(started, p)
			synctest.Wait()
		}
		s.mode.Store("works")
		for name := range s.names {
			s.current(name).thaw()
			s.current(name).full.Store(false)
		}
		s.list()
		time.Sleep(2 * planDeadline)
		for i := range s.names * orders {
			s.ask(started, i/orders, i%orders)
		}
		time.Sleep(2 * planDeadline)
		for _, n := range s.nodes {
			n.kill()
		}
		cancel()
		for _, n := range s.nodes {
			n.pool.Close()
		}
		synctest.Wait()
		verdict = s.judge()
	})
	return verdict
}

// judge compares what the callers were told with the log of started work.
func (s *simulation) judge() string {
	var history []porcupine.Operation
	counts := make([]int, len(s.tickets))
	for _, q := range s.started {
		if q.Operation == ramp.Order {
			number := 0
			_, _ = fmt.Sscanf(q.Body, "order %d", &number)
			counts[number]++
		}
	}
	for number, count := range counts {
		if count > 1 {
			return fmt.Sprintf("order %d ran %d times", number, count)
		}
		history = append(history, porcupine.Operation{
			Input: number, Output: count, Call: int64(2 * time.Hour), Return: int64(2 * time.Hour),
		})
	}
	for _, c := range s.calls {
		if c.order < 0 {
			if c.ran == ramp.NotRun && s.ran(c.query) {
				return "a read ran after it was refused as not run"
			}
			continue
		}
		history = append(history, porcupine.Operation{
			Input: c.order, Output: c.ran, Call: int64(c.begun), Return: int64(c.end),
		})
	}
	if !porcupine.CheckOperations(atMostOnce.ToModel(), history) {
		return "a caller was told that an order ran, or did not run, against the log"
	}
	return ""
}

func (s *simulation) ran(id string) bool {
	for _, q := range s.started {
		if q.ID == id {
			return true
		}
	}
	return false
}

// The states of an order in the model.
const (
	open = iota
	done
	refused
)

// atMostOnce is the model of an order: it is open, then either done or refused
// for ever. A caller without an outcome knows nothing of its state. The log
// holds an order that is done once, and no other.
var atMostOnce = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[any][]porcupine.Operation)
		for _, o := range history {
			parts[o.Input] = append(parts[o.Input], o)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() []any { return []any{open} },
	Step: func(state, _, output any) []any {
		to := map[any][]any{ramp.HasRun: {done}, ramp.NotRun: {refused}, 1: {done}, 0: {open, refused}}[output]
		if output == ramp.RanUnknown {
			to = []any{done, refused, open}
		}
		if state == open && output != 1 && output != 0 {
			return to
		}
		for _, next := range to {
			if next == state {
				return []any{state}
			}
		}
		return nil
	},
}

// forgetful is a ledger that remembers no dispatch.
type forgetful struct{ ramp.TicketStore }

func (forgetful) Begin(context.Context, ramp.Ticket, ramp.Query, time.Time) (bool, ramp.Answer, error) {
	return true, ramp.Answer{}, nil
}
func (forgetful) End(ramp.Ticket, ramp.Answer, error, time.Time) {}

// reopening is a ledger that allows another dispatch after a refusal.
type reopening struct {
	ramp.TicketStore
	mutex  sync.Mutex
	opened map[ramp.Ticket]bool
}

func (r *reopening) Begin(
	ctx context.Context, t ramp.Ticket, q ramp.Query, now time.Time,
) (bool, ramp.Answer, error) {
	r.mutex.Lock()
	again := r.opened[t]
	delete(r.opened, t)
	r.mutex.Unlock()
	if again {
		return true, ramp.Answer{}, nil
	}
	return r.TicketStore.Begin(ctx, t, q, now)
}

func (r *reopening) End(t ramp.Ticket, answer ramp.Answer, err error, now time.Time) {
	var refusal *ramp.RefusedError
	if errors.As(err, &refusal) && refusal.Ran == ramp.NotRun {
		r.mutex.Lock()
		r.opened[t] = true
		r.mutex.Unlock()
		return
	}
	r.TicketStore.End(t, answer, err, now)
}

// anyone lets every daemon dispatch an order whose issuer does not answer.
type anyone struct{ *node }

func (a anyone) Forward(ctx context.Context, to ramp.Daemon, t ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	answer, err := a.node.Forward(ctx, to, t, q)
	var failed *ramp.PeerError
	if errors.As(err, &failed) {
		allowance, _ := a.lists.Allowance(q.Plan)
		return a.service.Engine.Run(context.WithoutCancel(ctx), q.WithDeadline(time.Now().Add(planDeadline)), allowance)
	}
	return answer, err
}

var (
	sameLedger = func(l ramp.TicketStore) ramp.TicketStore { return l }
	samePeers  = func(n *node) ramp.Peers { return n }
	tickets    = variant{"tickets", sameLedger, samePeers}
	variants   = []variant{
		tickets,
		{"ledger that forgets", func(l ramp.TicketStore) ramp.TicketStore { return forgetful{l} }, samePeers},
		{"dispatch again after a refusal", func(l ramp.TicketStore) ramp.TicketStore {
			return &reopening{TicketStore: l, opened: make(map[ramp.Ticket]bool)}
		}, samePeers},
		{"dispatch by any daemon", sameLedger, func(n *node) ramp.Peers { return anyone{n} }},
	}
)

// TestOrderScripts plays fixed schedules with tickets and with naive
// mechanisms in their place.
func TestOrderScripts(t *testing.T) {
	const ms = time.Millisecond
	scripts := []struct {
		name  string
		steps []step
	}{
		{"the reply is lost and the caller repeats", []step{
			{0, "lose", 0, 0}, {0, "ask", 1, 0}, {3000 * ms, "ask", 2, 0},
		}},
		{"the issuer is killed while the order runs", []step{
			{0, "slow", 0, 0},
			{0, "ask", 1, 0},
			{50 * ms, "kill", 0, 0},
			{0, "works", 0, 0},
			{50 * ms, "ask", 2, 0},
			{6000 * ms, "forget", 0, 0},
			{0, "ask", 2, 0},
		}},
		{"the issuer is frozen past its lease and wakes", []step{
			{0, "freeze", 0, 0},
			{0, "ask", 1, 0},
			{6000 * ms, "forget", 0, 0},
			{0, "ask", 2, 0},
			{9000 * ms, "thaw", 0, 0},
			{0, "ask", 2, 0},
		}},
		{"a repeat is delayed past the refusal", []step{
			{0, "freeze", 1, 0},
			{0, "ask", 1, 0},
			{0, "full", 0, 0},
			{0, "ask", 0, 0},
			{10 * ms, "room", 0, 0},
			{10 * ms, "thaw", 1, 0},
		}},
		{"the issuer leaves and hands over", []step{{0, "ask", 0, 0}, {100 * ms, "leave", 0, 0}, {0, "ask", 1, 0}}},
	}
	var b strings.Builder
	for _, script := range scripts {
		for _, v := range variants {
			verdict := run(t, v, 1, script.steps)
			if verdict == "" {
				verdict = "ok"
			}
			fmt.Fprintf(&b, "%s / %s: %s\n", script.name, v.name, verdict)
		}
	}
	golden.Check(t, "scripts", b.String())
}

// TestOrderSchedules plays drawn schedules with tickets.
func TestOrderSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		orders := rapid.IntRange(1, 3).Draw(r, "orders")
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				after: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 19, 700, 2500}).Draw(r, "ms")) * time.Millisecond,
				event: rapid.SampledFrom(events).Draw(r, "event"),
				node:  rapid.IntRange(0, 2).Draw(r, "node"),
				order: rapid.IntRange(0, orders-1).Draw(r, "order"),
			}
		}), 5, 30).Draw(r, "steps")
		if verdict := run(t, tickets, orders, steps); verdict != "" {
			r.Fatalf("%s", verdict)
		}
	})
}
