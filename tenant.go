package sycamoreramp

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Tenant is an organisation whose callers state a key, as the operator's configuration
// lists it. It is an immutable value.
type Tenant struct {
	Name      string    // unique in the configuration; replicas are told it
	Keys      []KeyHash // each belongs to one tenant; never modified
	Priority  int       // rank of its requests, which takes precedence over the route's; 0 is the highest
	Ranked    bool      // Priority is stated
	Rate      float64   // requests per second over all daemons; 0 for no limit
	Burst     float64   // requests beyond Rate that may come at once; not negative
	Allowance bool      // Rate limits the tenant
}

// WithAllowance returns the tenant with a rate limit. A rate of 0 means no limit.
func (t Tenant) WithAllowance(rate, burst float64) Tenant {
	t.Rate, t.Burst, t.Allowance = rate, burst, rate > 0
	return t
}

// WithPriority returns the tenant with a rank of its own.
func (t Tenant) WithPriority(priority int) Tenant {
	t.Priority, t.Ranked = priority, true
	return t
}

// RankOn returns the rank of the tenant's requests on a route.
func (t Tenant) RankOn(r Route) int {
	if t.Ranked {
		return t.Priority
	}
	return r.Priority
}

// TenantError reports a tenant of the operator's configuration that violates an
// invariant. It contains no key.
type TenantError struct {
	Tenant string // name of the tenant; may be empty
	Index  int    // position in the configuration, from 0
	Reason string // the violated invariant
}

// Error implements error.
func (e *TenantError) Error() string {
	return fmt.Sprintf("unusable tenant: index=%d name=%q: %s", e.Index, e.Tenant, e.Reason)
}

// WithTenants returns the routing with the given tenants, or a [*TenantError].
func (r Routing) WithTenants(tenants []Tenant) (Routing, error) {
	byKey := make(map[KeyHash]Tenant)
	names := make(map[string]bool, len(tenants))
	for i, t := range tenants {
		fail := func(reason string) (Routing, error) {
			return Routing{}, &TenantError{Tenant: t.Name, Index: i, Reason: reason}
		}
		switch {
		case t.Name == "":
			return fail("has no name")
		case names[t.Name]:
			return fail("is listed twice")
		case !isQuantity(t.Rate) || !isQuantity(t.Burst):
			return fail("has an allowance that is negative or not a number")
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			if other, used := byKey[key]; used {
				return fail("has a key that is listed before, for " + other.Name)
			}
			byKey[key] = t
		}
	}
	r.tenants = byKey
	return r, nil
}

// isQuantity reports whether n is finite and not negative.
func isQuantity(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

// Tenanted reports whether requests on routes that are not public need the key of a
// tenant.
func (r Routing) Tenanted() bool { return r.tenants != nil }

// TenantOf returns the tenant that has the key. Keys are looked up by hash, so the time it
// takes tells nothing about how much of a key is right.
func (r Routing) TenantOf(key KeyHash) (Tenant, bool) {
	t, ok := r.tenants[key]
	return t, ok
}

// Authorizer tells how long requests may still be sent that were authorised by a key.
type Authorizer interface {
	// ValidFor returns the time for which requests that were authorised under the given
	// version of the configuration may still be sent, and 0 or less when they may not.
	ValidFor(version uint64) time.Duration
}

// AllowanceRequest asks for one token of a tenant's allowance.
type AllowanceRequest struct {
	Tenant    Tenant
	Version   uint64        // version of the configuration that Tenant is from
	Objective time.Duration // latency objective of the request; 0 for none
}

// AllowanceLimiter enforces the allowances of tenants over all daemons.
type AllowanceLimiter interface {
	// Take takes a token. It returns a [*RefusedError] with Ran set to NotRun when the
	// tenant has none, or when it cannot be known whether it has one.
	Take(ctx context.Context, r AllowanceRequest) error
	// Return gives back the token of a request that was refused as not run.
	Return(t Tenant)
}

// AdmissionRequest is a message to be admitted.
type AdmissionRequest struct {
	Tenant    string // "" for none
	Priority  int    // rank; 0 is the highest
	Route     Route
	Cost      int           // number of parts
	Deadline  time.Time     // time by which the caller must be answered
	PriorWait time.Duration // time that the caller spent on earlier tries
}

// AdmissionController decides which messages are served when there is not enough room
// for all.
type AdmissionController interface {
	// Admit returns a function to call with the result of the message, or a
	// [*RefusedError] with Ran set to NotRun. It blocks for a small part of the route's
	// objective at most, until the message is admitted or ctx ends.
	Admit(ctx context.Context, r AdmissionRequest) (release func(RelayResult, error), err error)
}

// TenantsByName returns the tenants that have a key.
func (r Routing) TenantsByName() map[string]Tenant {
	byName := make(map[string]Tenant)
	for _, t := range r.tenants {
		byName[t.Name] = t
	}
	return byName
}
