package daemon

import (
	"context"
	"reflect"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on each hangup and at each poll interval until
// ctx ends.
func (e *Edge) watchSettings(ctx context.Context, hangups <-chan struct{}) {
	for {
		expired := make(chan struct{})
		stop := e.clock.AfterFunc(settingsPollInterval, func() { close(expired) })
		requested := false
		select {
		case <-expired:
		case <-hangups:
			requested = true
		case <-ctx.Done():
			stop()
			return
		}
		stop()
		e.reloadSettings(requested)
	}
}

// reloadSettings reads the settings and applies the seeds. Other changes take effect
// at the next start. Requested is set for a reload by a hangup, which is logged even
// without a change.
func (e *Edge) reloadSettings(requested bool) {
	next, err := e.reload()
	if err != nil {
		e.log.Warn("settings reload failed", "asked", requested, "error", err)
		return
	}
	if reflect.DeepEqual(next, e.deployment) {
		if requested {
			e.log.Info("settings reloaded", "changed", false)
		}
		return
	}
	e.setSeeds(next)
	withNewSeeds := e.deployment
	withNewSeeds.Seeds = next.Seeds
	e.log.Info("settings reloaded", "changed", true, "seeds", next.Seeds, "restart",
		!reflect.DeepEqual(withNewSeeds, next))
	e.deployment = next
}

// setSeeds sets the daemons to contact while no member is known, without this one.
func (e *Edge) setSeeds(d ramp.Deployment) {
	seeds := make([]ramp.Daemon, 0, len(d.Seeds))
	for _, a := range d.Seeds {
		if a != d.PeerAddress {
			seeds = append(seeds, ramp.Daemon{ID: a, PeerAddress: a})
		}
	}
	e.seeds.Store(&seeds)
}
