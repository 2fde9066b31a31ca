package query

import (
	"context"
	"fmt"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// unconfirmedRetryAfter is the time after which a caller may retry when the configuration
// may be too old to authorise its key: the daemon asks the store again after a second at
// most, and another daemon after 0.4 s.
const unconfirmedRetryAfter = 500 * time.Millisecond

// authenticate returns the message with its tenant and rank, and the tenant, or a
// [*ramp.RefusedError] when the caller's key is unknown or may have been taken away.
// Without tenants, and on public routes, messages need no key.
func (r *Relay) authenticate(
	m ramp.Message, route ramp.Route, routing ramp.Routing,
) (ramp.Message, ramp.Tenant, error) {
	m = m.WithPriority(route.Priority)
	if !routing.Tenanted() {
		return m.WithTenantFields(), ramp.Tenant{}, nil
	}
	if route.Public {
		return m, ramp.Tenant{}, nil
	}
	tenant, known := routing.TenantOf(m.Key)
	if !known || !m.HasKey {
		return m, ramp.Tenant{}, &ramp.RefusedError{Reason: ramp.ReasonKey, Ran: ramp.NotRun}
	}
	m = m.WithTenant(tenant.Name, routing.Version).WithPriority(tenant.RankOn(route))
	return m, tenant, r.checkAuthorization(m)
}

// checkAuthorization returns a [*ramp.RefusedError] when a message may not be sent any more
// under the version of the configuration that its key was authorised by.
func (r *Relay) checkAuthorization(m ramp.Message) error {
	if m.Tenant == "" || r.Authorizer == nil {
		return nil
	}
	left := r.Authorizer.ValidFor(m.Version)
	if left > 0 {
		return nil
	}
	return &ramp.RefusedError{
		Reason: ramp.ReasonUnconfirmed, Ran: ramp.NotRun, RetryAfter: spread(unconfirmedRetryAfter),
		Detail: fmt.Sprintf("authorisation under version %d ended %s ago", m.Version, -left),
	}
}

// authorized reports whether the message may still be sent under the version of the
// configuration that its key was authorised by. It is asked before each attempt, by the
// daemon that makes it, and right before the first byte.
func (e *execution) authorized() bool {
	refused := findRefusal(e.relay.checkAuthorization(e.message))
	if refused != nil {
		e.unconfirmed.Store(refused)
	}
	return refused == nil
}

// admit takes a token of the tenant's allowance and admits the message. It returns a
// function to call with the result, or a [*ramp.RefusedError].
func (r *Relay) admit(
	ctx context.Context, m ramp.Message, tenant ramp.Tenant, result ramp.RelayResult, deadline time.Time,
) (release func(ramp.RelayResult, error), err error) {
	limited := r.Allowances != nil && tenant.Allowance
	if limited {
		if err := r.Allowances.Take(ctx, ramp.AllowanceRequest{
			Tenant: tenant, Version: m.Version, Objective: result.Route.Objective,
		}); err != nil {
			return nil, err
		}
	}
	admitted := func(ramp.RelayResult, error) {}
	if r.Admission != nil {
		admitted, err = r.Admission.Admit(ctx, ramp.AdmissionRequest{
			Tenant: m.Tenant, Priority: m.Priority, Route: result.Route, Cost: max(1, len(result.Route.Gather)),
			Deadline: deadline, PriorWait: result.PriorWait,
		})
	}
	if err != nil {
		if limited {
			r.Allowances.Return(tenant)
		}
		return nil, err
	}
	return func(answer ramp.RelayResult, err error) {
		admitted(answer, err)
		if refused := findRefusal(err); limited && refused != nil && refused.Ran == ramp.NotRun {
			r.Allowances.Return(tenant)
		}
	}, nil
}
