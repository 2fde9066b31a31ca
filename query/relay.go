package query

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times of a relayed request.
const (
	// comeBack is what a refused caller is told to wait: about as long as a replica
	// needs to make room.
	comeBack = 100 * time.Millisecond
	// knowAgain is what a caller is told to wait while no configuration is known.
	knowAgain = 500 * time.Millisecond
)

// Relay answers callers' messages from replicas: with the response of one, or
// put together from the parts of many. It knows nothing of how either are
// encoded. All fields must be set before Init.
type Relay struct {
	Clock     ramp.Clock
	Log       *slog.Logger
	Pool      *ramp.Pool
	Routes    ramp.RoutingSource
	Picker    ramp.Picker
	Repeater  ramp.RetryBudget
	Exchange  ramp.Exchanger
	Collector ramp.Collector
	Helpers   ramp.DelegateSelector               // nil to ask all replicas directly
	Members   func() int                          // daemons that share the connections to replicas
	Margin    time.Duration                       // kept back of an objective for the way to the caller
	Observe   func(d ramp.RelayResult, err error) // called once for each message

	splits atomic.Uint64                      // messages on split routes so far
	waits  *ramp.Table[string, time.Duration] // longest wait that a caller stated, by route
}

// Init makes the relay ready for the first call.
func (r *Relay) Init() *Relay {
	r.waits = ramp.NewTable[string, time.Duration](ramp.RankBudgets)
	return r
}

// age returns how long ago the caller of a message first asked. Callers state how
// long they still wait, so what is missing from the longest wait on the route has
// gone by.
func (r *Relay) age(route string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	longest := r.waits.Update(route, func(old time.Duration) time.Duration { return max(old, limit) })
	return longest - limit
}

// Handle answers a message that the caller waits for up to limit, 0 if it does not
// say. It returns a [*ramp.RefusedError] beside the account when there is no
// answer. A message that may run only once goes on when ctx ends.
func (r *Relay) Handle(ctx context.Context, m ramp.Message, limit time.Duration) (ramp.RelayResult, error) {
	started := r.Clock.Now()
	delivery, err := r.ask(ctx, m, limit, started)
	delivery.Elapsed = r.Clock.Now().Sub(started)
	r.Observe(delivery, err)
	r.log(m, delivery, limit, err)
	return delivery, err
}

func (r *Relay) ask(
	ctx context.Context, m ramp.Message, limit time.Duration, started time.Time,
) (ramp.RelayResult, error) {
	routing, known := r.Routes.Current()
	if !known {
		return ramp.RelayResult{}, &ramp.RefusedError{Reason: ramp.ReasonRoutes, Ran: ramp.NotRun, RetryAfter: knowAgain}
	}
	path, _, _ := strings.Cut(m.Target, "?")
	route, found := routing.Match(m.Host, path)
	delivery := ramp.RelayResult{Route: route, RoutingVersion: routing.Version}
	switch {
	case !found:
		return delivery, &ramp.RefusedError{Reason: ramp.ReasonRoute, Ran: ramp.NotRun}
	case routing.Limits.MaxBodyBytes > 0 && len(m.Body) > routing.Limits.MaxBodyBytes:
		return delivery, &ramp.RefusedError{Reason: ramp.ReasonSize, Ran: ramp.NotRun}
	}
	delivery.PriorWait = r.age(route.Name, limit)
	deadline := started.Add(route.Timeout)
	if limit > 0 && limit < route.Timeout {
		deadline = started.Add(limit)
	}
	p := r.newPursuit(ctx, m, route, routing, started, deadline)
	p.age = delivery.PriorWait
	defer p.cancel()
	return p.run(ctx, delivery)
}

// services returns the services that must answer.
func (r *Relay) services(route ramp.Route) []string {
	if route.Gathered() {
		return route.Gather
	}
	// The multiples of the golden ratio spread evenly, so that any number of
	// messages in a row keeps to the weights.
	_, point := math.Modf(float64(r.splits.Add(1)) * math.Phi)
	service, _ := route.Pick(point)
	return []string{service}
}

// log writes the account of a message on one line.
func (r *Relay) log(m ramp.Message, d ramp.RelayResult, limit time.Duration, err error) {
	attributes := []any{
		"request", m.ID, "route", d.Route.Name, "version", d.RoutingVersion, "limit", limit, "waited", d.PriorWait,
		"elapsed", d.Elapsed, "attempts", len(d.Attempts), "repeats", repeats(d.Attempts),
	}
	if refused := asRelayed(err); refused != nil {
		attributes = append(attributes, "ran", refused.Ran, "reason", refused.Reason, "detail", refused.Detail)
		r.Log.Warn("request failed", append(attributes, "account", account(d.Attempts))...)
		return
	}
	if d.Gathered() {
		attributes = append(attributes, "parts", len(d.Stamps), "whole", d.TotalParts)
	} else {
		attributes = append(attributes, "status", d.Response.Status)
	}
	if d.MissingParts > 0 || d.MissedObjective() || !d.Gathered() && len(d.Attempts) > 1 {
		attributes = append(attributes, "account", account(d.Attempts))
	}
	r.Log.Info("request answered", attributes...)
}

func repeats(attempts []ramp.Attempt) int {
	n := 0
	for i := range attempts {
		if attempts[i].Kind != ramp.First {
			n++
		}
	}
	return n
}

func inMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// maxAccount is the number of attempts that a line of the log tells of.
const maxAccount = 24

// account returns the attempts that did not get their reply into the answer or
// that were repeats, in short: kind, service, replica, start, time and outcome of
// each, and what its replica was picked by: footing, number of candidates, the
// time expected until the reply, and the age of the entry.
func account(attempts []ramp.Attempt) string {
	var b strings.Builder
	told := 0
	for i := range attempts {
		a := &attempts[i]
		if a.Outcome == ramp.Merged && a.Kind == ramp.First {
			continue
		}
		if told++; told > maxAccount {
			b.WriteString(" ...")
			break
		}
		if told > 1 {
			b.WriteByte(' ')
		}
		for _, s := range []string{
			string(a.Kind), a.Shard.ID, a.Replica.ID, inMillis(a.Started), inMillis(a.Elapsed), string(a.Outcome),
		} {
			b.WriteString(s)
			b.WriteByte('/')
		}
		if g := a.Pick; g.Candidates > 0 {
			fmt.Fprintf(&b, "%s/%d/%s/%s", g.Health, g.Candidates, inMillis(g.ExpectedLatency), inMillis(g.EntryAge))
		} else {
			b.WriteByte('-')
		}
	}
	return b.String()
}
