package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times between checks of connections.
const (
	idleCheckInterval   = time.Second           // for idle ones
	closedCheckInterval = 50 * time.Millisecond // whether all are closed
)

// idleCloser closes caller connections that have been idle for longer than the idle
// timeout of the routing in force. It also counts the open ones.
type idleCloser struct {
	open      atomic.Int64 // connections accepted and not closed yet
	clock     ramp.Clock
	routes    ramp.RoutingSource
	idleSince *ramp.Table[net.Conn, time.Time]
}

func newIdleCloser(routes ramp.RoutingSource, clock ramp.Clock) *idleCloser {
	return &idleCloser{clock: clock, routes: routes, idleSince: ramp.NewTable[net.Conn, time.Time](ramp.RankQueries)}
}

// Observe records a state change of a connection. It is the server's ConnState hook.
func (ic *idleCloser) Observe(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		ic.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		ic.open.Add(-1)
	}
	if state == http.StateIdle {
		ic.idleSince.Put(c, ic.clock.Now())
		return
	}
	ic.idleSince.Delete(c)
}

// AwaitClosed waits until no connection is open at two checks in a row, or until done is
// closed.
func (ic *idleCloser) AwaitClosed(done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	for closed := 0; closed < 2; {
		if closed++; ic.open.Load() > 0 {
			closed = 0
		}
		if ramp.Sleep(ctx, ic.clock, closedCheckInterval) != nil {
			return
		}
	}
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
