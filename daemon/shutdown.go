package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/backend"
	"sycamoreramp.example/sycamoreramp/replica"
)

// shutdown leaves the fleet. The store and the other daemons learn at once that
// this daemon leaves, so that callers are no longer sent here. It serves like
// before until the answers about addresses that name it have run out. Then it
// takes no new request, lets those in progress end, and hands over what it
// knows of its tickets.
func (d *Daemon) shutdown() error {
	close(d.leaving)
	d.log.Info("daemon leaving", "daemon", d.self.ID, "linger", lingerTime)
	ctx, cancel := d.within(lingerTime + d.settings.Grace)
	defer cancel()
	_ = ramp.Sleep(ctx, d.clock, lingerTime) // ends with ctx at the latest
	err := d.http.Shutdown(ctx)
	if err != nil {
		err = oops.In("daemon").Wrapf(err, "close while requests are in progress")
	}
	if pending := d.ledger.Close(ctx); pending != nil {
		err = errors.Join(err, oops.In("daemon").Wrapf(pending, "close while orders are in progress"))
	}
	d.handOver()
	return err
}

// handOver gives the outcomes of this daemon's tickets to those that the other
// daemons will ask for them.
func (d *Daemon) handOver() {
	settled := d.ledger.Settlements(d.clock.Now())
	if len(settled) == 0 {
		return
	}
	for _, successor := range d.members.Successors(d.self.Incarnation) {
		ctx, cancel := d.within(handTimeout)
		err := d.peers.HandOver(ctx, successor, settled)
		cancel()
		if err != nil {
			d.log.Warn("tickets not handed over", "daemon", successor.ID, "error", err)
			continue
		}
		d.log.Info("tickets handed over", "daemon", successor.ID, "count", len(settled))
	}
}

// drain lets the calls of other daemons end that came before the daemon left.
func (d *Daemon) drain() error {
	ctx, cancel := d.within(drainTimeout)
	defer cancel()
	if err := d.peer.Drain(ctx); err != nil {
		return oops.In("daemon").Wrapf(err, "close while calls of other daemons are in progress")
	}
	d.log.Info("daemon left", "daemon", d.self.ID)
	return nil
}

// release closes the connections to backend servers and gives the daemon's share
// of them back. No request is in progress any more.
func (d *Daemon) release() {
	ctx, cancel := d.within(handTimeout)
	defer cancel()
	d.granted.SetMaxConnections(0)
	d.seating.Release(ctx)
}

func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// within returns a context that ends after a time by the clock.
func (d *Daemon) within(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := d.clock.AfterFunc(limit, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// granted passes the daemon's share of connections on to those who keep to it.
type granted struct {
	backends *backend.Client
	chooser  *replica.Chooser
}

// SetMaxConnections implements [ramp.ConnectionLimiter].
func (g granted) SetMaxConnections(limit int) {
	g.backends.SetConnections(limit)
	g.chooser.SetConnections(limit)
}
