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

func TestMain(m *testing.M) { seeded.RunSerially(m, 1000) }

// step is one event of a schedule.
type step struct {
	after  time.Duration // since the previous step
	event  string
	daemon int
	order  int
}

// events are the kinds of steps. Repeated kinds are drawn more often.
var events = []string{
	"ask", "ask", "ask", "ask", "read", "freeze", "thaw", "thaw", "kill", "replace", "forget", "list", "leave", "full",
	"room", "room", "works", "works", "refuse", "shed", "slow", "lose",
}

// apply executes a step.
func (s *simulation) apply(epoch time.Time, p step) {
	n := s.current(p.daemon)
	switch p.event {
	case "ask":
		s.send(epoch, p.daemon, p.order)
	case "read":
		s.send(epoch, p.daemon, -1)
	case "freeze":
		n.freeze()
	case "thaw":
		n.thaw()
		s.updateMembers()
	case "kill":
		n.kill()
	case "replace":
		n.kill()
		s.start(p.daemon)
	case "forget":
		s.expireLease(n)
	case "list":
		s.updateMembers()
	case "leave":
		go n.leave()
	case "full", "room":
		n.overloaded.Store(p.event == "full")
	case "works", "refuse", "shed", "slow":
		s.mode.Store(p.event)
	case "lose":
		s.loseReply.Store(true)
	}
}

// runSchedule runs a schedule on the fake clock, ends all faults and repeats every
// order through every daemon. It returns the first violation, or "".
func runSchedule(t *testing.T, v variant, orders int, schedule []step) (verdict string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(ctx, v, 3, orders)
		epoch := time.Now()
		for _, p := range schedule {
			time.Sleep(p.after)
			s.apply(epoch, p)
			synctest.Wait()
		}
		s.mode.Store("works")
		for daemon := range s.daemons {
			s.current(daemon).thaw()
			s.current(daemon).overloaded.Store(false)
		}
		s.updateMembers()
		time.Sleep(2 * planDeadline)
		for i := range s.daemons * orders {
			s.send(epoch, i/orders, i%orders)
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
		verdict = s.verify()
	})
	return verdict
}

// verify compares the results of the calls with the log of started work. It
// returns the first violation, or "".
func (s *simulation) verify() string {
	var history []porcupine.Operation
	counts := make([]int, len(s.tickets))
	for _, q := range s.startedWork {
		if q.Operation == ramp.Order {
			order := 0
			_, _ = fmt.Sscanf(q.Body, "order %d", &order)
			counts[order]++
		}
	}
	for order, count := range counts {
		if count > 1 {
			return fmt.Sprintf("order %d ran %d times", order, count)
		}
		history = append(history, porcupine.Operation{
			Input: order, Output: count, Call: int64(2 * time.Hour), Return: int64(2 * time.Hour),
		})
	}
	for _, c := range s.calls {
		if c.order < 0 {
			if c.ran == ramp.NotRun && s.hasRun(c.query) {
				return "a read ran although its refusal stated that it did not"
			}
			continue
		}
		history = append(history, porcupine.Operation{
			Input: c.order, Output: c.ran, Call: int64(c.start), Return: int64(c.end),
		})
	}
	if !porcupine.CheckOperations(atMostOnceModel.ToModel(), history) {
		return "a reply on whether an order ran contradicts the log"
	}
	return ""
}

// hasRun reports whether a backend server started the query with the given id.
func (s *simulation) hasRun(id string) bool {
	for _, q := range s.startedWork {
		if q.ID == id {
			return true
		}
	}
	return false
}

// The states of an order in the model.
const (
	stateOpen = iota
	stateDone
	stateRefused
)

// atMostOnceModel is the model of an order: it is open, then permanently either
// done or refused. A call with an unknown outcome allows any state. The log
// contains a done order once and any other order not at all.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byOrder := make(map[any][]porcupine.Operation)
		for _, o := range history {
			byOrder[o.Input] = append(byOrder[o.Input], o)
		}
		var partitions [][]porcupine.Operation
		for _, part := range byOrder {
			partitions = append(partitions, part)
		}
		return partitions
	},
	Init: func() []any { return []any{stateOpen} },
	Step: func(state, _, output any) []any {
		states := map[any][]any{
			ramp.HasRun: {stateDone}, ramp.NotRun: {stateRefused}, 1: {stateDone}, 0: {stateOpen, stateRefused},
		}[output]
		if output == ramp.RanUnknown {
			states = []any{stateDone, stateRefused, stateOpen}
		}
		if state == stateOpen && output != 1 && output != 0 {
			return states
		}
		for _, next := range states {
			if next == state {
				return []any{state}
			}
		}
		return nil
	},
}

// amnesiacStore is a ticket store that does not record dispatches.
type amnesiacStore struct{ ramp.TicketStore }

func (amnesiacStore) Begin(context.Context, ramp.Ticket, ramp.Query, time.Time) (bool, ramp.Answer, error) {
	return true, ramp.Answer{}, nil
}
func (amnesiacStore) End(ramp.Ticket, ramp.Answer, error, time.Time) {}

// reopeningStore is a ticket store that allows another dispatch after a refusal.
type reopeningStore struct {
	ramp.TicketStore
	mutex  sync.Mutex
	opened map[ramp.Ticket]bool
}

func (r *reopeningStore) Begin(
	ctx context.Context, t ramp.Ticket, q ramp.Query, now time.Time,
) (bool, ramp.Answer, error) {
	r.mutex.Lock()
	reopened := r.opened[t]
	delete(r.opened, t)
	r.mutex.Unlock()
	if reopened {
		return true, ramp.Answer{}, nil
	}
	return r.TicketStore.Begin(ctx, t, q, now)
}

func (r *reopeningStore) End(t ramp.Ticket, answer ramp.Answer, err error, now time.Time) {
	var refusal *ramp.RefusedError
	if errors.As(err, &refusal) && refusal.Ran == ramp.NotRun {
		r.mutex.Lock()
		r.opened[t] = true
		r.mutex.Unlock()
		return
	}
	r.TicketStore.End(t, answer, err, now)
}

// anyDaemonPeers are peers by which any daemon dispatches an order whose issuer
// does not answer.
type anyDaemonPeers struct{ *node }

func (a anyDaemonPeers) Forward(ctx context.Context, to ramp.Daemon, t ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	answer, err := a.node.Forward(ctx, to, t, q)
	var failed *ramp.PeerError
	if errors.As(err, &failed) {
		allowance, _ := a.lists.Allowance(q.Plan)
		return a.service.Engine.Run(context.WithoutCancel(ctx), q.WithDeadline(time.Now().Add(planDeadline)), allowance)
	}
	return answer, err
}

var (
	realStore   = func(l ramp.TicketStore) ramp.TicketStore { return l }
	realPeers   = func(n *node) ramp.Peers { return n }
	realVariant = variant{"tickets", realStore, realPeers}
	variants    = []variant{
		realVariant,
		{"dispatches not recorded", func(l ramp.TicketStore) ramp.TicketStore { return amnesiacStore{l} }, realPeers},
		{"dispatch again after a refusal", func(l ramp.TicketStore) ramp.TicketStore {
			return &reopeningStore{TicketStore: l, opened: make(map[ramp.Ticket]bool)}
		}, realPeers},
		{"dispatch by any daemon", realStore, func(n *node) ramp.Peers { return anyDaemonPeers{n} }},
	}
)

// TestOrderScripts runs fixed schedules with tickets and with naive mechanisms in
// their place, and records the violations.
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
		{"the issuer is frozen beyond its lease and resumes", []step{
			{0, "freeze", 0, 0},
			{0, "ask", 1, 0},
			{6000 * ms, "forget", 0, 0},
			{0, "ask", 2, 0},
			{9000 * ms, "thaw", 0, 0},
			{0, "ask", 2, 0},
		}},
		{"a repeat arrives after the refusal", []step{
			{0, "freeze", 1, 0},
			{0, "ask", 1, 0},
			{0, "full", 0, 0},
			{0, "ask", 0, 0},
			{10 * ms, "room", 0, 0},
			{10 * ms, "thaw", 1, 0},
		}},
		{"the issuer leaves and hands over its outcomes", []step{
			{0, "ask", 0, 0}, {100 * ms, "leave", 0, 0}, {0, "ask", 1, 0},
		}},
	}
	var b strings.Builder
	for _, script := range scripts {
		for _, v := range variants {
			verdict := runSchedule(t, v, 1, script.steps)
			if verdict == "" {
				verdict = "ok"
			}
			fmt.Fprintf(&b, "%s / %s: %s\n", script.name, v.name, verdict)
		}
	}
	golden.Check(t, "scripts", b.String())
}

// TestOrderSchedules runs drawn schedules with tickets and fails on any violation.
func TestOrderSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		orders := rapid.IntRange(1, 3).Draw(r, "orders")
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				after:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 19, 700, 2500}).Draw(r, "ms")) * time.Millisecond,
				event:  rapid.SampledFrom(events).Draw(r, "event"),
				daemon: rapid.IntRange(0, 2).Draw(r, "node"),
				order:  rapid.IntRange(0, orders-1).Draw(r, "order"),
			}
		}), 5, 30).Draw(r, "steps")
		if verdict := runSchedule(t, realVariant, orders, steps); verdict != "" {
			r.Fatalf("%s", verdict)
		}
	})
}
