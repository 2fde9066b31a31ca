package replica

import (
	"fmt"
	"strings"
	"testing"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestConcurrency records how many attempts of each kind may be in flight at a replica
// whose queue fills. It guards against urgent requests that wait behind less urgent ones or
// behind repeats, and against slots that no request may fill.
func TestConcurrency(t *testing.T) {
	var b strings.Builder
	for _, capacity := range []int{0, 1, 3, 20} {
		for _, holders := range []int{1, 5, 38} {
			for _, slow := range []bool{false, true} {
				fmt.Fprintf(&b, "capacity %d, holders %d, slow=%t:", capacity, holders, slow)
				for rank := range 4 {
					r := ramp.PickRequest{Limit: 30, Ordered: true, Priority: rank, Holders: holders, Exceptional: holders == 38}
					fmt.Fprintf(&b, " rank%d=%d", rank, concurrencyFor(r, capacity, true, slow).limit())
				}
				r := ramp.PickRequest{Limit: 30, Ordered: true, Repeat: true, Holders: holders}
				fmt.Fprintf(&b, " repeat=%d", concurrencyFor(r, capacity, true, slow).limit())
				r = ramp.PickRequest{Limit: 30, Ordered: true, Holders: holders, Exceptional: true}
				fmt.Fprintf(&b, " far=%d", concurrencyFor(r, capacity, false, slow).limit())
				r = ramp.PickRequest{Limit: 30, Holders: holders}
				fmt.Fprintf(&b, " unordered=%d\n", concurrencyFor(r, capacity, true, slow).limit())
			}
		}
	}
	golden.Check(t, "concurrency", b.String())
}
