package plan

import (
	"slices"

	ramp "sycamoreramp.example/sycamoreramp"
)

// pool is a set of services whose requests compete for the same replicas: those that a
// route uses belong to one pool. It is an immutable value.
type pool struct {
	name     string   // the first of its services
	services []string // sorted; never modified
}

// pools are the pools of one version of the routing. It is an immutable value.
type pools struct {
	version   uint64
	byService map[string]pool // never modified
}

// newPools returns the pools of a routing.
func newPools(routing ramp.Routing) pools {
	members := make(map[string][]string) // services of the same pool, by each of its services
	for _, route := range routing.Routes {
		var merged []string
		for _, service := range servicesOf(route) {
			if !slices.Contains(merged, service) {
				merged = append(append(merged, service), without(members[service], service)...)
			}
		}
		for _, service := range merged {
			members[service] = merged
		}
	}
	p := pools{version: routing.Version, byService: make(map[string]pool, len(members))}
	for service, merged := range members {
		sorted := slices.Sorted(slices.Values(merged))
		p.byService[service] = pool{name: sorted[0], services: sorted}
	}
	return p
}

// without returns a copy of the names without one of them.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// of returns the pool of a route.
func (p pools) of(route ramp.Route) pool {
	services := servicesOf(route)
	if len(services) == 0 {
		return pool{}
	}
	if found, ok := p.byService[services[0]]; ok {
		return found
	}
	return pool{name: slices.Min(services), services: services}
}

// servicesOf returns the services that answer the route's requests: all of a gathered
// route, or those of which one does.
func servicesOf(route ramp.Route) []string {
	if route.Gathered() {
		return route.Gather
	}
	services := make([]string, 0, len(route.Split))
	for _, w := range route.Split {
		services = append(services, w.Service)
	}
	return services
}
