package plan

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"

	ramp "sycamoreramp.example/sycamoreramp"
)

// TenantAdmitter admits requests of tenants by rank and in fair turns when the replicas
// have no room for all. It handles overload of the services of a configuration with
// tenants, among them the flood of one tenant, and does nothing under other
// configurations. It implements [ramp.AdmissionController] over the queues and limits of
// an [Admitter]. All fields must be set before the first call.
type TenantAdmitter struct {
	Admitter *Admitter
	Clock    ramp.Clock
	Log      *slog.Logger
	Routes   ramp.RoutingSource
	// Capacity returns how many requests the replicas of a service run at once that may
	// get requests, 0 if that is unknown, and whether there are any.
	Capacity func(service string) (slots int, usable bool)

	pools atomic.Pointer[pools]
}

// Admit implements [ramp.AdmissionController].
func (t *TenantAdmitter) Admit(
	ctx context.Context, r ramp.AdmissionRequest,
) (release func(ramp.RelayResult, error), err error) {
	routing, _ := t.Routes.Current()
	if !routing.Tenanted() {
		return func(ramp.RelayResult, error) {}, nil
	}
	started := t.Clock.Now()
	p := t.poolsOf(routing).of(r.Route)
	objective := r.Route.Objective
	if objective <= 0 {
		objective = r.Deadline.Sub(started)
	}
	flow := flowKey{customer: r.Tenant, rank: r.Priority}
	sq, admitted, err := t.Admitter.admit(ctx, request{
		service: p.name, flow: flow, ranked: true,
		allowance: ramp.Allowance{Share: 1}, cost: r.Cost, deadline: r.Deadline, objective: objective,
		divisor: rankedWaitDivisor, priorWait: r.PriorWait,
	})
	if err != nil {
		return nil, t.logRefusal(r, p, err)
	}
	return func(result ramp.RelayResult, err error) {
		seen := signs{cost: r.Cost}
		if refused := findRefusal(err); refused == nil || refused.Reason != ramp.ReasonCaller {
			seen = t.signsOf(r, result)
			late := t.Clock.Now().Sub(started) > objective
			seen.inTime = refused == nil && !late
			if late && (refused == nil || refused.Reason == ramp.ReasonDeadline) {
				seen.short = seen.short || t.lateForLoad(r, p, result)
			}
		}
		t.Admitter.release(sq, flow, r.Cost, admitted, seen)
	}, nil
}

// poolsOf returns the pools of the routing, which are kept until its version changes.
func (t *TenantAdmitter) poolsOf(routing ramp.Routing) pools {
	if known := t.pools.Load(); known != nil && known.version == routing.Version {
		return *known
	}
	p := newPools(routing)
	t.pools.Store(&p)
	return p
}

// signsOf returns what the attempts of a request show of the room at replicas. A gathered
// request is short when the parts without room are more than half of those that it can do
// without: later requests may then miss their quorum.
func (t *TenantAdmitter) signsOf(r ramp.AdmissionRequest, result ramp.RelayResult) signs {
	s := signs{cost: r.Cost}
	roomy := make(map[string]bool, r.Cost) // services with a replica that did not refuse an attempt
	for i := range result.Attempts {
		a := &result.Attempts[i]
		if !a.Sent {
			continue
		}
		s.attempts++
		if a.Outcome == ramp.Shed {
			s.refused++
			continue
		}
		roomy[a.Shard.ID] = true
	}
	if !r.Route.Gathered() {
		s.short = len(roomy) == 0 && t.anyUsable(servicesOf(r.Route)...)
		return s
	}
	without := 0
	for _, service := range r.Route.Gather {
		if !roomy[service] && t.anyUsable(service) {
			without++
		}
	}
	s.short = 2*without > len(r.Route.Gather)-r.Route.Quorum()
	return s
}

// anyUsable reports whether one of the services has a replica that may get requests.
func (t *TenantAdmitter) anyUsable(services ...string) bool {
	for _, service := range services {
		if _, usable := t.Capacity(service); usable {
			return true
		}
	}
	return false
}

// turnedAway returns the number of services of a gathered request whose part was given
// back unsent by a daemon with replicas of it.
func turnedAway(result ramp.RelayResult) int {
	services := make(map[string]bool)
	for i := range result.Attempts {
		if a := &result.Attempts[i]; a.Outcome == ramp.NotStarted && a.Delegate != "" {
			services[a.Shard.ID] = true
		}
	}
	return len(services)
}

// lateForLoad reports whether a request that exceeded its objective did so for lack of
// room: parts were turned away, or this daemon alone keeps all replicas busy.
func (t *TenantAdmitter) lateForLoad(r ramp.AdmissionRequest, p pool, result ramp.RelayResult) bool {
	spare := len(r.Route.Gather) - r.Route.Quorum()
	return r.Route.Gathered() && 2*turnedAway(result) > spare || t.exceedsSlots(p)
}

// exceedsSlots reports whether this daemon alone has more sub-requests of the pool in
// progress than its replicas run at once. With less in progress, slow replicas or other
// daemons may be why a request is late.
func (t *TenantAdmitter) exceedsSlots(p pool) bool {
	slots := 0
	for _, service := range p.services {
		n, usable := t.Capacity(service)
		if usable && n == 0 {
			return false
		}
		slots += n
	}
	return t.Admitter.runningIn(p.name) > slots
}

// logRefusal logs a refusal with the inputs of the decision and returns it.
func (t *TenantAdmitter) logRefusal(r ramp.AdmissionRequest, p pool, err error) error {
	refused := findRefusal(err)
	if refused == nil {
		return err
	}
	attributes := []any{
		"reason", refused.Reason, "tenant", r.Tenant, "priority", r.Priority, "route", r.Route.Name, "pool", p.name,
		"cost", r.Cost, "after", refused.RetryAfter,
	}
	var overload *overloadError
	if errors.As(err, &overload) {
		attributes = append(attributes, "limit", overload.limit, "age", overload.limitAge, "running", overload.running,
			"waiting", overload.waiting, "wait", overload.wait, "longest", overload.maxWait, "waited", overload.waited,
			"hold", overload.hold, "served", overload.served)
	}
	t.Log.Warn("request not admitted", attributes...)
	return refused
}

// findRefusal returns the refusal that err wraps, or nil.
func findRefusal(err error) *ramp.RefusedError {
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
