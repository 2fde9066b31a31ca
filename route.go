package sycamoreramp

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Route says how requests for a host and a path prefix are answered. It has
// either Split or Gather.
type Route struct {
	Name        string            // for people
	Host        string            // lower case, without a port
	Prefix      string            // begins and ends with a slash
	Idempotent  bool              // a request may run more than once
	MaxAttempts int               // replicas of a service that one request may be sent to; at least 1
	Timeout     time.Duration     // longest time that a caller is kept waiting; positive
	Objective   time.Duration     // time within which an answer is worth most; 0 for none
	Split       []WeightedService // services of which one takes a request; never modified
	Gather      []string          // services that each hold a part of every answer; never modified
	TopK        int               // greatest records that an answer over Gather holds
	MinCoverage float64           // share of Gather without which there is no answer
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string
	Weight  float64 // in proportion to the other weights of the route; not negative
}

// Gathered reports whether an answer is put together from many services.
func (r Route) Gathered() bool { return len(r.Gather) > 0 }

// Quorum returns how many services of a gathered route an answer needs. It is at
// least 1.
func (r Route) Quorum() int {
	const rounding = 1e-9 // of a share that is written in decimals
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Gather))-rounding)))
}

// Pick returns the service at a point of the split, from 0 to 1.
func (r Route) Pick(point float64) (string, bool) {
	var total float64
	for _, w := range r.Split {
		total += w.Weight
	}
	at := point * total
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service, true
		}
		at -= w.Weight
	}
	if len(r.Split) == 0 {
		return "", false
	}
	return r.Split[0].Service, true
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	MaxBodyBytes int           // bytes of a request's body
	IdleTimeout  time.Duration // for which a connection may stay idle
}

// Routing is one version of the operator's configuration.
type Routing struct {
	Version        uint64         // 0 is none; grows with each change
	Routes         []Route        // longest prefix first; never modified
	MaxConnections map[string]int // connections that each replica of a service accepts; never modified
	Limits         CallerLimits
}

// WithRoutes returns the routing with other routes.
func (r Routing) WithRoutes(routes []Route) Routing {
	r.Routes = slices.Clone(routes)
	slices.SortStableFunc(r.Routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	return r
}

// Match returns the route for a host, which may have a port, and a path.
func (r Routing) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		if strings.HasPrefix(path, route.Prefix) && strings.EqualFold(host, route.Host) {
			return *route, true
		}
	}
	return Route{}, false
}

// RoutingSource tells the routing in force.
type RoutingSource interface {
	// Current returns the routing in force, or reports false when none is known.
	Current() (Routing, bool)
}
