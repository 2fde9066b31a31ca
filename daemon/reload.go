package daemon

import (
	"context"
	"reflect"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// settingsPeriod is the time between looks at the settings file, which may change
// without a signal.
const settingsPeriod = 2 * time.Second

// followSettings reads the settings again on each hangup and once in a while.
func (e *Edge) followSettings(ctx context.Context, hangups <-chan struct{}) {
	for {
		expired := make(chan struct{})
		stop := e.clock.AfterFunc(settingsPeriod, func() { close(expired) })
		asked := false
		select {
		case <-expired:
		case <-hangups:
			asked = true
		case <-ctx.Done():
			stop()
			return
		}
		stop()
		e.readSettings(asked)
	}
}

// readSettings takes in the seeds. What else has changed holds from the next
// start on.
func (e *Edge) readSettings(asked bool) {
	next, err := e.reload()
	if err != nil {
		e.log.Warn("settings not read", "asked", asked, "error", err)
		return
	}
	if reflect.DeepEqual(next, e.deployment) {
		if asked {
			e.log.Info("settings read", "changed", false)
		}
		return
	}
	e.setSeeds(next)
	seedsOnly := e.deployment
	seedsOnly.Seeds = next.Seeds
	e.log.Info("settings read", "changed", true, "seeds", next.Seeds, "restart", !reflect.DeepEqual(seedsOnly, next))
	e.deployment = next
}

func (e *Edge) setSeeds(d ramp.Deployment) {
	seeds := make([]ramp.Daemon, 0, len(d.Seeds))
	for _, a := range d.Seeds {
		if a != d.PeerAddress {
			seeds = append(seeds, ramp.Daemon{ID: a, PeerAddress: a})
		}
	}
	e.seeds.Store(&seeds)
}
