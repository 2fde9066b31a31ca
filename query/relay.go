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

// Retry delays for callers whose message was refused.
const (
	// refusalRetryAfter is the time after which a refused caller may retry: about
	// as long as a replica needs to free capacity.
	refusalRetryAfter = 100 * time.Millisecond
	// noReplicaRetryAfter is the time after which a caller may retry when a service
	// has no replica; entries that lapsed are back within two seconds.
	noReplicaRetryAfter = 250 * time.Millisecond
	// noRoutesRetryAfter is the time after which a caller may retry when no
	// configuration is known yet.
	noRoutesRetryAfter = 500 * time.Millisecond
)

// slowestDecay is the factor by which the time of the slowest recent answer
// shrinks with each answer, so that one slow answer counts for about a hundred.
const slowestDecay = 0.99

// Relay answers callers' messages with the response of one replica, or with an
// answer merged from the parts of many. It does not depend on how messages are
// encoded. All fields must be set before Init.
type Relay struct {
	Clock          ramp.Clock
	Log            *slog.Logger
	Pool           *ramp.Pool
	Routes         ramp.RoutingSource
	Picker         ramp.Picker
	Budget         ramp.RetryBudget
	Exchanger      ramp.Exchanger
	Collector      ramp.Collector
	Memory         *ramp.Memory                        // for the replies collected for other daemons; nil for no bound
	Delegates      ramp.DelegateSelector               // nil to send to all replicas directly
	Crashes        ramp.CrashTracker                   // nil to send messages whatever became of them before
	Authorizer     ramp.Authorizer                     // nil if keys stay valid until a daemon learns of the change
	Allowances     ramp.AllowanceLimiter               // nil if tenants have no allowance
	Admission      ramp.AdmissionController            // nil to admit all messages
	Domain         string                              // this daemon's own failure domain
	FleetSize      func() int                          // returns how many daemons share the connections to replicas
	ReplyMargin    time.Duration                       // part of a route's objective reserved for sending the answer
	Observe        func(d ramp.RelayResult, err error) // called once for each message
	ObserveAttempt func(a ramp.Attempt)                // called once for each attempt of this daemon that has ended

	// AnswerBy returns the time by which all answers must have been sent, once the daemon
	// leaves. It is nil if the daemon never leaves.
	AnswerBy   func() (time.Time, bool)
	AnswersDue <-chan struct{} // closed at that time; messages in progress then end without an answer

	// Resumed reports whether the process was paused until just now, so that messages may
	// have waited for any time before they were read. It is nil if that is not known.
	Resumed func() bool

	// ConfirmedAge returns the age of the last confirmation of the configuration, if there was
	// one. It is nil if that is not known.
	ConfirmedAge func() (time.Duration, bool)

	// ObserveWithheld is called for each attempt that was given up because all replicas
	// of the service that were left accept no request of this daemon yet.
	ObserveWithheld func(service string)

	splitCount   atomic.Uint64 // messages on split routes so far
	placement    *placement
	longestWaits *ramp.Table[string, time.Duration] // longest wait that any caller stated, by route
	slowest      *ramp.Table[string, time.Duration] // time of the slowest recent answers, by route
}

// Init prepares the relay for its first call and returns it.
func (r *Relay) Init() *Relay {
	r.placement = newPlacement(r.Clock)
	r.slowest = ramp.NewTable[string, time.Duration](ramp.RankBudgets)
	r.longestWaits = ramp.NewTable[string, time.Duration](ramp.RankBudgets)
	return r
}

// priorWait returns how long ago the caller of a message first asked. Callers
// state how long they will still wait, so the difference from the longest wait
// stated on the route is the time that has passed. It is 0 for a caller that
// states none.
func (r *Relay) priorWait(route string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	longest := r.longestWaits.Update(route, func(old time.Duration) time.Duration { return max(old, limit) })
	return longest - limit
}

// Handle answers a message whose caller waits for up to limit, or 0 if it
// states none. When there is no answer it returns a [*ramp.RefusedError]
// together with a result that lists the attempts. A message that is not
// idempotent continues to run when ctx ends, once a replica may work on it.
func (r *Relay) Handle(ctx context.Context, m ramp.Message, limit time.Duration) (ramp.RelayResult, error) {
	started := r.Clock.Now()
	result, err := r.execute(ctx, m, limit, started)
	result.Elapsed = r.Clock.Now().Sub(started)
	if err == nil {
		r.slowest.Update(result.Route.Name, func(old time.Duration) time.Duration {
			return max(result.Elapsed, time.Duration(slowestDecay*float64(old)))
		})
	}
	r.Observe(result, err)
	r.log(m, result, limit, err)
	return result, err
}

// execute matches the message with a route and runs it until its deadline.
func (r *Relay) execute(
	ctx context.Context, m ramp.Message, limit time.Duration, started time.Time,
) (ramp.RelayResult, error) {
	if r.resumed() {
		return ramp.RelayResult{}, &ramp.RefusedError{
			Reason: ramp.ReasonPaused, Ran: ramp.NotRun, RetryAfter: refusalRetryAfter,
		}
	}
	routing, known := r.Routes.Current()
	if !known {
		return ramp.RelayResult{}, &ramp.RefusedError{
			Reason: ramp.ReasonRoutes, Ran: ramp.NotRun, RetryAfter: noRoutesRetryAfter,
		}
	}
	path, _, _ := strings.Cut(m.Target, "?")
	route, found := routing.Match(m.Host, path)
	result := ramp.RelayResult{Route: route, RoutingVersion: routing.Version, Priority: route.Priority}
	switch {
	case !found:
		return result, &ramp.RefusedError{Reason: ramp.ReasonRoute, Ran: ramp.NotRun}
	case routing.Limits.MaxBodyBytes > 0 && len(m.Body) > routing.Limits.MaxBodyBytes:
		return result, &ramp.RefusedError{Reason: ramp.ReasonSize, Ran: ramp.NotRun}
	}
	m, tenant, err := r.authenticate(m, route, routing)
	result.Tenant, result.Priority = tenant.Name, m.Priority
	if err != nil {
		return result, err
	}
	if left := r.blockedFor(m.Fingerprint); left > 0 {
		return result, &ramp.RefusedError{
			Reason: ramp.ReasonCrash, Ran: ramp.NotRun, RetryAfter: left, Detail: "it ended the replicas that ran it",
		}
	}
	result.PriorWait = r.priorWait(route.Name, limit)
	deadline := started.Add(route.Timeout)
	if limit > 0 && limit < route.Timeout {
		deadline = started.Add(limit)
	}
	if by, leaving := r.answerBy(); leaving {
		if by.Sub(started) < r.timeNeeded(route) {
			return result, &ramp.RefusedError{
				Reason: ramp.ReasonLeaving, Ran: ramp.NotRun, RetryAfter: refusalRetryAfter,
			}
		}
		if by.Before(deadline) {
			deadline = by
		}
	}
	release, err := r.admit(ctx, m, tenant, result, deadline)
	if err != nil {
		return result, err
	}
	e := r.newExecution(ctx, m, route, routing, started, deadline)
	e.priorWait = result.PriorWait
	defer e.cancel()
	answer, err := e.run(ctx, result)
	release(answer, err)
	return answer, err
}

// answerBy returns the time by which all answers must have been sent, if the
// daemon leaves.
func (r *Relay) answerBy() (time.Time, bool) {
	if r.AnswerBy == nil {
		return time.Time{}, false
	}
	return r.AnswerBy()
}

// resumed reports whether the process was paused until just now.
func (r *Relay) resumed() bool { return r.Resumed != nil && r.Resumed() }

// timeNeeded returns the time that an answer on the route may take, by the
// route's objective and the slowest recent answers.
func (r *Relay) timeNeeded(route ramp.Route) time.Duration {
	slowest, _ := r.slowest.Get(route.Name)
	return max(route.Objective, slowest)
}

// services returns the services that must answer: all of a gathered route, or
// one of a split route.
func (r *Relay) services(route ramp.Route) []string {
	if route.Gathered() {
		return route.Gather
	}
	// The fractional parts of multiples of the golden ratio spread evenly, so
	// that any number of successive messages keeps to the weights.
	_, point := math.Modf(float64(r.splitCount.Add(1)) * math.Phi)
	service, _ := route.Pick(point)
	return []string{service}
}

// log writes one line for a message, with its attempts if it failed, was
// partial or late, or needed more than one attempt on a split route.
func (r *Relay) log(m ramp.Message, result ramp.RelayResult, limit time.Duration, err error) {
	attributes := []any{
		"request", m.ID, "route", result.Route.Name, "version", result.RoutingVersion, "limit", limit,
		"waited", result.PriorWait, "elapsed", result.Elapsed, "attempts", len(result.Attempts),
		"repeats", countRepeats(result.Attempts),
	}
	if result.Tenant != "" {
		attributes = append(attributes, "tenant", result.Tenant, "priority", result.Priority)
	}
	if refused := findRefusal(err); refused != nil {
		attributes = append(attributes, "ran", refused.Ran, "reason", refused.Reason, "detail", refused.Detail)
		attributes = append(attributes, r.confirmation(refused.Reason)...)
		r.Log.Warn("request failed", append(attributes, "account", formatAttempts(result.Attempts))...)
		return
	}
	if result.Gathered() {
		attributes = append(attributes, "parts", len(result.Stamps), "whole", result.TotalParts)
	} else {
		attributes = append(attributes, "status", result.Response.Status)
	}
	if result.MissingParts > 0 || result.MissedObjective() || !result.Gathered() && len(result.Attempts) > 1 {
		attributes = append(attributes, "account", formatAttempts(result.Attempts))
	}
	r.Log.Info("request answered", attributes...)
}

// confirmation returns the attribute of a log line that tells the age of the configuration,
// for a refusal that it decided.
func (r *Relay) confirmation(reason ramp.Reason) []any {
	if r.ConfirmedAge == nil || reason != ramp.ReasonKey && reason != ramp.ReasonUnconfirmed {
		return nil
	}
	age, known := r.ConfirmedAge()
	if !known {
		return []any{"age", "none"}
	}
	return []any{"age", age}
}

// countRepeats returns the number of retries and hedges.
func countRepeats(attempts []ramp.Attempt) int {
	n := 0
	for i := range attempts {
		if attempts[i].Kind != ramp.First {
			n++
		}
	}
	return n
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// maxLoggedAttempts is the number of attempts that one log line describes.
const maxLoggedAttempts = 24

// formatAttempts returns the attempts whose reply is not in the answer and all
// retries and hedges, without those that a delegate gave back unsent, as
// kind/service/replica/start/elapsed/outcome. What the picker knew of the replica
// follows: health, number of candidates, expected latency and age of the entry, or
// a dash if no picker was asked. Where the load that the replica reported was used, it
// follows as running,waiting,slots,slowdown with the slowdown in percent, and its age.
// Times are in milliseconds.
func formatAttempts(attempts []ramp.Attempt) string {
	var b strings.Builder
	written := 0
	for i := range attempts {
		a := &attempts[i]
		if a.Outcome == ramp.Merged && a.Kind == ramp.First || a.Outcome == ramp.NotStarted && a.Delegate != "" {
			continue
		}
		if written++; written > maxLoggedAttempts {
			b.WriteString(" ...")
			break
		}
		if written > 1 {
			b.WriteByte(' ')
		}
		for _, s := range []string{
			string(a.Kind), a.Shard.ID, a.Replica.ID, formatMillis(a.Started), formatMillis(a.Elapsed), string(a.Outcome),
		} {
			b.WriteString(s)
			b.WriteByte('/')
		}
		if p := a.Pick; p.Candidates > 0 {
			fmt.Fprintf(&b, "%s/%d/%s/%s", p.Health, p.Candidates, formatMillis(p.ExpectedLatency), formatMillis(p.EntryAge))
			if p.Load != nil {
				fmt.Fprintf(&b, "/%d,%d,%d,%.0f/%s", p.Load.Running, p.Load.Waiting, p.Load.Slots, 100*p.Load.Slowdown,
					formatMillis(p.LoadAge))
			}
		} else {
			b.WriteByte('-')
		}
	}
	return b.String()
}
