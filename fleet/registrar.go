package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// leaseState is a daemon's lease and its entry in the store. It is an immutable
// value.
type leaseState struct {
	lease string        // id of the lease; "" for none
	ttl   time.Duration // lifetime of the lease after each renewal
	entry ramp.Daemon   // as last written under the lease; zero for none
	era   uint64        // era of the store, as first known since entry was written; 0 for not yet
}

// registrar keeps a daemon registered in the store.
type registrar struct {
	clock    ramp.Clock
	log      *slog.Logger
	daemon   ramp.Daemon
	registry ramp.Registry
	members  func() int      // returns the number of registered daemons
	era      func() uint64   // returns the era of the store, as far as it is known
	leaving  <-chan struct{} // closed when the daemon starts to leave; nil if it never does
}

// self returns the daemon, marked as leaving once it leaves.
func (t registrar) self() ramp.Daemon {
	select {
	case <-t.leaving:
		return t.daemon.WithLeaving()
	default:
		return t.daemon
	}
}

// run registers the daemon under a lease and renews the lease until ctx ends,
// then revokes it. It registers the daemon again when the lease has expired or the store was
// restored from an older copy, and immediately when the daemon starts to leave.
func (t registrar) run(ctx context.Context) {
	var r leaseState
	leaving := t.leaving
	for ctx.Err() == nil {
		r = t.renew(ctx, r)
		expired := make(chan struct{})
		stop := t.clock.AfterFunc(t.period(), func() { close(expired) })
		select {
		case <-expired:
		case <-leaving:
			leaving = nil
		case <-ctx.Done():
		}
		stop()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if r.lease != "" {
		_ = t.registry.Revoke(ctx, r.lease) // on failure the lease expires by itself
	}
}

// period returns the time between lease renewals. It grows with the fleet, so
// that all daemons together renew at most [keepAliveRate] leases per second.
func (t registrar) period() time.Duration {
	return max(leaseTTL/renewalsPerLease, time.Duration(t.members())*time.Second/keepAliveRate)
}

// renew renews the lease or registers the daemon, and returns the new state.
func (t registrar) renew(ctx context.Context, r leaseState) leaseState {
	switch era := t.era(); {
	case r.era == 0:
		r.era = era // it was not known yet when the daemon registered
	case r.era != era:
		r = leaseState{} // the store lost it, or gave it to another daemon
	}
	if r.ttl < 2*t.period() {
		r.lease = "" // the fleet has grown, so renewals are rarer and need a longer lease
	}
	if r.lease == "" {
		return t.register(ctx, r)
	}
	err := t.registry.KeepAlive(ctx, r.lease)
	var missing *ramp.NotFoundError
	switch {
	case err == nil && r.entry == t.self():
		return r
	case errors.As(err, &missing):
		r = leaseState{}
	case err != nil:
		t.log.Warn("renewing the lease failed", "error", err)
		return r
	}
	return t.register(ctx, r)
}

// register writes the daemon's entry, under a new lease if there is none.
func (t registrar) register(ctx context.Context, r leaseState) leaseState {
	self, era := t.self(), t.era()
	var err error
	if r.lease == "" {
		r.ttl = renewalsPerLease * t.period()
		r.lease, err = t.registry.Grant(ctx, r.ttl)
	}
	if err == nil {
		err = t.registry.Register(ctx, self, r.lease)
	}
	if err != nil {
		t.log.Warn("registering the daemon failed", "error", err)
		return r
	}
	r.entry, r.era = self, era
	t.log.Info("daemon registered", "lease", r.lease, "leaving", self.Leaving)
	return r
}
