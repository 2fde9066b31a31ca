//go:build !lockorder

package bench

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/plan"
	"sycamoreramp.example/sycamoreramp/replica"
)

// queuedAtReplica is the number of requests that wait at a replica for a slot before it
// refuses more, under a configuration with tenants.
const queuedAtReplica = 14

// settleTime is the time from the start of an overload, of which the daemons know nothing
// beforehand, until requests are counted. Daemons learn of it from requests that exceed
// their objective, and then step by step.
const settleTime = 2 * time.Second

// modelTenant is a tenant of a relayLoad.
type modelTenant struct {
	name     string
	priority int
	rate     float64 // requests per second, at random times
	home     int     // number of the daemon that all its callers use, from 1; 0 for any
}

// tenantResult is what the callers of a tenant got.
type tenantResult struct {
	requests    int
	inTime      int // answered within the objective
	answered    int
	overloaded  int // refused by the admission
	lateRefusal int // refused by the admission after a quarter of the objective
	untrue      int // refused by the admission although a replica was tried
}

func (t tenantResult) share() float64 { return float64(t.inTime) / float64(max(1, t.requests)) }

// plus returns the sum of two results.
func (t tenantResult) plus(other tenantResult) tenantResult {
	t.requests += other.requests
	t.inTime += other.inTime
	t.answered += other.answered
	t.overloaded += other.overloaded
	t.lateRefusal += other.lateRefusal
	t.untrue += other.untrue
	return t
}

// replicaQueue returns how many requests may wait at a replica.
func (l relayLoad) replicaQueue() int {
	if l.tenants == nil {
		return math.MaxInt
	}
	return queuedAtReplica
}

// withTenants returns the routing with the tenants of the load, if it has any. The key of
// each is its name.
func (l relayLoad) withTenants(routing ramp.Routing) ramp.Routing {
	if l.tenants == nil {
		return routing
	}
	tenants := make([]ramp.Tenant, 0, len(l.tenants))
	for _, t := range l.tenants {
		tenant := ramp.Tenant{Name: t.name, Keys: []ramp.KeyHash{sha256.Sum256([]byte(t.name))}}
		tenants = append(tenants, tenant.WithPriority(t.priority))
	}
	routing, err := routing.WithTenants(tenants)
	if err != nil {
		panic(err)
	}
	return routing
}

// newModelAdmission returns the admission of one daemon.
func newModelAdmission(routes *fleet.Routes, picker *replica.Picker) ramp.AdmissionController {
	clock := ramp.SystemClock{}
	return &plan.TenantAdmitter{
		Admitter: plan.NewAdmitter(plan.Config{
			Clock: clock, Capacity: 5120, Floor: 1, Members: func() []ramp.Daemon { return nil },
			Lists: func() ramp.Lists { return ramp.Lists{} },
		}),
		Clock: clock, Log: slog.New(slog.DiscardHandler), Routes: routes, Capacity: picker.Capacity,
	}
}

// saturation returns the rate of requests, per second, at which all slots are busy.
func (l relayLoad) saturation() float64 {
	rate := float64(len(l.domains)*replicaSlots) / l.work.Seconds() * (1 - float64(pauseTime)/float64(pauseInterval))
	if l.split {
		rate *= float64(l.shards)
	}
	return rate
}

// playTenants sends the requests of the tenants and returns what their callers got. The
// first settleTime is not counted.
func (m *modelFleet) playTenants(random *rand.Rand) map[string]tenantResult {
	ctx, cancel := context.WithCancel(context.Background())
	go m.gossip(ctx)
	var ids []string
	for id := range m.relays {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var mutex sync.Mutex
	results := make(map[string]tenantResult)
	var callers sync.WaitGroup
	for _, t := range m.tenants {
		source := rand.New(rand.NewPCG(random.Uint64(), 5))
		callers.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(time.Duration(source.ExpFloat64() / t.rate * float64(time.Second)))
				since := time.Since(m.started)
				if since > m.duration {
					return
				}
				at := source.IntN(len(ids))
				if t.home > 0 {
					at = t.home - 1
				}
				callers.Go(func() {
					d, err := m.relays[ids[at]].Handle(ctx, ramp.Message{
						ID: fmt.Sprint(t.name, n), Target: "/x", Key: sha256.Sum256([]byte(t.name)), HasKey: true,
					}, 0)
					if since < settleTime {
						return
					}
					mutex.Lock()
					defer mutex.Unlock()
					results[t.name] = results[t.name].with(d, err, m.objective)
				})
			}
		})
	}
	callers.Wait()
	cancel()
	synctest.Wait()
	for _, r := range m.relays {
		r.Pool.Close()
	}
	return results
}

// with returns the result after the answer to a request.
func (t tenantResult) with(d ramp.RelayResult, err error, objective time.Duration) tenantResult {
	t.requests++
	var refused *ramp.RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Reason != ramp.ReasonLoad {
			return t
		}
		t.overloaded++
		if d.Elapsed > objective/4+time.Millisecond {
			t.lateRefusal++
		}
		if refused.Ran != ramp.NotRun || len(d.Attempts) > 0 {
			t.untrue++
		}
	case d.Elapsed <= objective:
		t.inTime++
		t.answered++
	default:
		t.answered++
	}
	return t
}
