package sycamoreramp

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Route configures how requests for a host and a path prefix are answered. Either
// Split or Gather is set.
type Route struct {
	Name        string            // for display
	Host        string            // lower case, without a port
	Prefix      string            // begins and ends with a slash
	Idempotent  bool              // a request may run more than once
	MaxAttempts int               // most replicas of a service that one request is sent to; at least 1
	Timeout     time.Duration     // longest time until a caller is answered; positive
	Objective   time.Duration     // latency objective; 0 for none
	Split       []WeightedService // services of which one answers each request; never modified
	Gather      []string          // services that each supply a part of every answer; never modified
	TopK        int               // number of greatest records in an answer over Gather
	MinCoverage float64           // least share of Gather that an answer needs
	Priority    int               // rank of its requests; 0 is the highest
	Public      bool              // requests need no key
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the other weights of the route; not negative
}

// Gathered reports whether an answer is assembled from several services.
func (r Route) Gathered() bool { return len(r.Gather) > 0 }

// Quorum returns the number of services that an answer on a gathered route needs.
// It is at least 1.
func (r Route) Quorum() int {
	const rounding = 1e-9 // tolerance for the rounding of a decimal share
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Gather))-rounding)))
}

// Pick returns the service at a point of the split, from 0 to 1, or false if the
// route has no split.
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

// CallerLimits are limits on callers' requests and connections.
type CallerLimits struct {
	MaxBodyBytes int           // size of a request's body
	IdleTimeout  time.Duration // time for which a connection may stay idle
}

// Routing is one version of the operator's configuration.
type Routing struct {
	Version        uint64            // 0 for none; increases with each change
	Routes         []Route           // longest prefix first; never modified
	MaxConnections map[string]int    // connections that each replica of a service accepts; never modified
	Warmups        map[string]Warmup // by service; services without one are left out; never modified
	Limits         CallerLimits

	tenants map[KeyHash]Tenant // by key; nil if the configuration has no tenants; never modified
}

// Warmup is how the replicas of a service start.
type Warmup struct {
	Duration time.Duration // for which a replica is cold after its start
	Rate     float64       // requests per second that a cold replica accepts from all daemons; 0 for no limit
}

// WithRoutes returns the routing with the given routes, longest prefix first.
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

// RoutingSource returns the routing in force.
type RoutingSource interface {
	// Current returns the routing in force, or false when none is known.
	Current() (Routing, bool)
}
