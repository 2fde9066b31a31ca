package fleet

import ramp "sycamoreramp.example/sycamoreramp"

// Routes keeps the operator's configuration in force. Its version only grows. It
// implements [ramp.RoutingSource].
type Routes struct {
	routing *ramp.Table[string, ramp.Routing] // one entry
}

// NewRoutes returns routes of which nothing is known.
func NewRoutes() *Routes {
	return &Routes{routing: ramp.NewTable[string, ramp.Routing](ramp.RankLists)}
}

// Current implements [ramp.RoutingSource].
func (r *Routes) Current() (ramp.Routing, bool) { return r.routing.Get("") }

// Learn puts a configuration in force unless a newer one is. It reports whether
// it did.
func (r *Routes) Learn(next ramp.Routing) bool {
	learnt := false
	r.routing.Update("", func(old ramp.Routing) ramp.Routing {
		if learnt = next.Version > old.Version; learnt {
			return next
		}
		return old
	})
	return learnt
}
