package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// idlePeriod is the time between looks at idle connections.
const idlePeriod = time.Second

// idlers closes the connections of callers that have been idle for longer than
// the configuration allows.
type idlers struct {
	clock  ramp.Clock
	routes ramp.RoutingSource
	since  *ramp.Table[net.Conn, time.Time]
}

func newIdlers(routes ramp.RoutingSource, clock ramp.Clock) *idlers {
	return &idlers{clock: clock, routes: routes, since: ramp.NewTable[net.Conn, time.Time](ramp.RankQueries)}
}

// Observe takes in the state of a connection.
func (s *idlers) Observe(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		s.since.Put(c, s.clock.Now())
		return
	}
	s.since.Delete(c)
}

// Run closes connections until ctx ends.
func (s *idlers) Run(ctx context.Context) {
	for ramp.Sleep(ctx, s.clock, idlePeriod) == nil {
		routing, known := s.routes.Current()
		if !known || routing.Limits.IdleTimeout <= 0 {
			continue
		}
		now := s.clock.Now()
		var overdue []net.Conn
		s.since.DeleteFunc(func(c net.Conn, since time.Time) bool {
			if now.Sub(since) <= routing.Limits.IdleTimeout {
				return false
			}
			overdue = append(overdue, c)
			return true
		})
		for _, c := range overdue {
			_ = c.Close() // the caller sees the end of the connection
		}
	}
}
