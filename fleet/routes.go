package fleet

import ramp "sycamoreramp.example/sycamoreramp"

// Routes keeps the newest configuration of the operator. Its version never
// decreases. It implements [ramp.RoutingSource].
type Routes struct {
	routing *ramp.Table[string, ramp.Routing] // a single entry under the key ""
}

// NewRoutes returns Routes without a configuration.
func NewRoutes() *Routes {
	return &Routes{routing: ramp.NewTable[string, ramp.Routing](ramp.RankLists)}
}

// Current implements [ramp.RoutingSource].
func (r *Routes) Current() (ramp.Routing, bool) { return r.routing.Get("") }

// Update applies a configuration unless the current one is at least as new. It
// reports whether it applied it.
func (r *Routes) Update(next ramp.Routing) bool {
	newer := false
	r.routing.Update("", func(old ramp.Routing) ramp.Routing {
		if newer = next.Version > old.Version; newer {
			return next
		}
		return old
	})
	return newer
}
