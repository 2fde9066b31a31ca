package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// registration is a daemon's entry in the store. It is an immutable value.
type registration struct {
	lease string        // "" for none
	life  time.Duration // of the lease from each renewal
	entry ramp.Daemon   // as last written under the lease; zero for none
}

// tenure keeps a daemon registered in the store.
type tenure struct {
	clock    ramp.Clock
	log      *slog.Logger
	daemon   ramp.Daemon
	registry ramp.Registry
	members  func() int      // registered daemons
	leaving  <-chan struct{} // closed when the daemon starts to leave; nil if it never does
}

// self returns the daemon as it stands now.
func (t tenure) self() ramp.Daemon {
	select {
	case <-t.leaving:
		return t.daemon.WithLeaving()
	default:
		return t.daemon
	}
}

// keep registers the daemon under a lease and renews it. When the lease has
// ended it registers anew, and at once when the daemon starts to leave.
func (t tenure) keep(ctx context.Context) {
	var r registration
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeWithin)
	defer cancel()
	if r.lease != "" {
		_ = t.registry.Revoke(ctx, r.lease) // it ends by itself otherwise
	}
}

// period returns the time between renewals of the lease. It grows with the
// fleet, so that the store can bear the writes of all daemons together.
func (t tenure) period() time.Duration {
	return max(leaseTTL/leasePeriods, time.Duration(t.members())*time.Second/keepRate)
}

// renew returns the registration as it is after one round.
func (t tenure) renew(ctx context.Context, r registration) registration {
	if r.life < 2*t.period() {
		r.lease = "" // the fleet has grown, so renewals are rarer now
	}
	if r.lease == "" {
		return t.register(ctx, r)
	}
	err := t.registry.KeepAlive(ctx, r.lease)
	var ended *ramp.NotFoundError
	switch {
	case err == nil && r.entry == t.self():
		return r
	case errors.As(err, &ended):
		r = registration{}
	case err != nil:
		t.log.Warn("lease not renewed", "error", err)
		return r
	}
	return t.register(ctx, r)
}

// register writes the daemon's entry, under a new lease if there is none.
func (t tenure) register(ctx context.Context, r registration) registration {
	self := t.self()
	var err error
	if r.lease == "" {
		r.life = leasePeriods * t.period()
		r.lease, err = t.registry.Grant(ctx, r.life)
	}
	if err == nil {
		err = t.registry.Register(ctx, self, r.lease)
	}
	if err != nil {
		t.log.Warn("daemon not registered", "error", err)
		return r
	}
	r.entry = self
	t.log.Info("daemon registered", "lease", r.lease, "leaving", self.Leaving)
	return r
}
