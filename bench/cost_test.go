//go:build !lockorder

package bench

import (
	"fmt"
	"testing"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// known returns layouts with so many replicas of shards with two each, and the
// holdings that they learnt.
func known(replicas int) (*replica.Layouts, []ramp.Inventory) {
	layouts := replica.NewLayouts(ramp.SystemClock{})
	parts := standin.Split(1, replicas/2)
	holdings := make([]ramp.Inventory, 0, replicas)
	for i := range replicas {
		b := standin.NewBackend(fmt.Sprintf("vm%d-%d", i/2, i%2), "search", 2)
		b.SetParts(parts[i/2 : i/2+1])
		holdings = append(holdings, standin.HoldingOf(b, "d0"))
		layouts.Update(holdings[i])
	}
	return layouts, holdings
}

// TestBoundsCost bounds the allocations of a decision, and shows its time and
// their slope from 50 to 12,000 replicas.
func TestBoundsCost(t *testing.T) {
	for _, replicas := range []int{50, 12_000} {
		layouts, holdings := known(replicas)
		snapshot, _ := layouts.Snapshot("search")
		chooser, policy := replica.NewChooser(layouts, ramp.SystemClock{}), retry.NewPolicy()
		now := time.Now()
		a := ramp.Attempt{Query: ramp.Query{
			Service: "search", Operation: ramp.Search, Deadline: now.Add(time.Hour),
		}, Outcome: ramp.Merged, Elapsed: work, Sent: true}
		n := 0
		next := func() ramp.Attempt {
			n++
			a.Shard = snapshot.Shards[n%len(snapshot.Shards)]
			return a
		}
		decisions := []struct {
			name string
			most float64 // allocations
			run  func()
		}{
			{"replica of an attempt", 1, func() {
				b := next()
				b.Replica, _ = chooser.Choose(b, nil, nil)
				chooser.Done(b)
			}},
			{"hedge or retry", 1, func() {
				b := next()
				policy.Observe(b)
				policy.HedgeDelay(b)
				policy.RetryDelay(b, 1, now)
				policy.Allow(b)
			}},
			{"snapshot of a query", 0, func() { layouts.Snapshot("search") }},
			{"holding without change", 1, func() {
				n++
				layouts.Update(holdings[n%len(holdings)])
			}},
		}
		for _, d := range decisions {
			allocations := testing.AllocsPerRun(1000, d.run)
			res := testing.Benchmark(func(b *testing.B) {
				for range b.N {
					d.run()
				}
			})
			t.Logf("%-22s | replicas %5d | %6d ns | %4d bytes | %3.0f allocations", d.name, replicas,
				res.NsPerOp(), res.AllocedBytesPerOp(), allocations)
			bound(t, allocations <= d.most, fmt.Sprintf("%s: at most %.0f allocations", d.name, d.most))
		}
	}
}
