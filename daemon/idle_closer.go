package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// idleCheckInterval is the time between checks for idle connections.
const idleCheckInterval = time.Second

// idleCloser closes caller connections that have been idle for longer than the idle
// timeout of the routing in force.
type idleCloser struct {
	clock     ramp.Clock
	routes    ramp.RoutingSource
	idleSince *ramp.Table[net.Conn, time.Time]
}

func newIdleCloser(routes ramp.RoutingSource, clock ramp.Clock) *idleCloser {
	return &idleCloser{clock: clock, routes: routes, idleSince: ramp.NewTable[net.Conn, time.Time](ramp.RankQueries)}
}

// Observe records a state change of a connection. It is the server's ConnState hook.
func (ic *idleCloser) Observe(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		ic.idleSince.Put(c, ic.clock.Now())
		return
	}
	ic.idleSince.Delete(c)
}

// Run closes connections past the idle timeout until ctx ends.
func (ic *idleCloser) Run(ctx context.Context) {
	for ramp.Sleep(ctx, ic.clock, idleCheckInterval) == nil {
		routing, known := ic.routes.Current()
		if !known || routing.Limits.IdleTimeout <= 0 {
			continue
		}
		now := ic.clock.Now()
		var expired []net.Conn
		ic.idleSince.DeleteFunc(func(c net.Conn, since time.Time) bool {
			if now.Sub(since) <= routing.Limits.IdleTimeout {
				return false
			}
			expired = append(expired, c)
			return true
		})
		for _, c := range expired {
			_ = c.Close() // an error can be ignored: the caller sees the connection end
		}
	}
}
