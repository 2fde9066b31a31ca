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

// shutdown leaves the fleet. It announces at once to the store and the other daemons
// that this daemon leaves, so that they stop returning its address to callers. It
// keeps serving until the address answers that contain it have expired. Then it
// accepts no new requests, waits for those in flight, and hands over the outcomes of
// its tickets.
func (d *Daemon) shutdown() error {
	close(d.leaving)
	d.log.Info("daemon leaving", "daemon", d.self.ID, "linger", lingerTime)
	ctx, cancel := d.withTimeout(lingerTime + d.settings.Grace)
	defer cancel()
	_ = ramp.Sleep(ctx, d.clock, lingerTime) // returns early if ctx ends
	err := d.httpServer.Shutdown(ctx)
	if err != nil {
		err = oops.In("daemon").Wrapf(err, "shut down while requests are in flight")
	}
	if ordersErr := d.tickets.Close(ctx); ordersErr != nil {
		err = errors.Join(err, oops.In("daemon").Wrapf(ordersErr, "shut down while orders are in flight"))
	}
	d.handOver()
	return err
}

// handOver sends the outcomes of this daemon's tickets to its successors, which the
// other daemons ask for them once it has left. A failure is only logged.
func (d *Daemon) handOver() {
	outcomes := d.tickets.Outcomes(d.clock.Now())
	if len(outcomes) == 0 {
		return
	}
	for _, successor := range d.members.Successors(d.self.Incarnation) {
		ctx, cancel := d.withTimeout(handoverTimeout)
		err := d.peers.HandOver(ctx, successor, outcomes)
		cancel()
		if err != nil {
			d.log.Warn("ticket outcomes not handed over", "daemon", successor.ID, "error", err)
			continue
		}
		d.log.Info("ticket outcomes handed over", "daemon", successor.ID, "count", len(outcomes))
	}
}

// drain waits for the calls of other daemons that arrived before the daemon left.
func (d *Daemon) drain() error {
	ctx, cancel := d.withTimeout(drainTimeout)
	defer cancel()
	if err := d.peerServer.Drain(ctx); err != nil {
		return oops.In("daemon").Wrapf(err, "shut down while calls of other daemons are in flight")
	}
	d.log.Info("daemon left", "daemon", d.self.ID)
	return nil
}

// release closes the connections to backend servers and releases the connection
// slot. No request may be in flight any more.
func (d *Daemon) release() {
	ctx, cancel := d.withTimeout(handoverTimeout)
	defer cancel()
	d.limiter.SetMaxConnections(0)
	d.slots.Release(ctx)
}

// isLeaving reports whether the shutdown has started.
func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// withTimeout returns a context that is cancelled after the timeout as measured by
// the daemon's clock.
func (d *Daemon) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := d.clock.AfterFunc(timeout, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// connectionLimiter sets the connection limit of the backend client and the replica
// chooser.
type connectionLimiter struct {
	backends *backend.Client
	chooser  *replica.Chooser
}

// SetMaxConnections implements [ramp.ConnectionLimiter].
func (l connectionLimiter) SetMaxConnections(limit int) {
	l.backends.SetMaxConnections(limit)
	l.chooser.SetConnections(limit)
}
