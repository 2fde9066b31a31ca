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

// newLayouts returns layouts filled from the inventories of the given number of
// replicas, two per shard, and these inventories.
func newLayouts(replicas int) (*replica.Layouts, []ramp.Inventory) {
	layouts := replica.NewLayouts(ramp.SystemClock{})
	parts := standin.Split(1, replicas/2)
	inventories := make([]ramp.Inventory, 0, replicas)
	for i := range replicas {
		b := standin.NewBackend(fmt.Sprintf("vm%d-%d", i/2, i%2), "search", 2)
		b.SetShards(parts[i/2 : i/2+1])
		inventories = append(inventories, standin.InventoryOf(b, "d0"))
		layouts.Update(inventories[i])
	}
	return layouts, inventories
}

// TestBoundsCost bounds the allocations per decision, and logs its time, bytes and
// allocations with 50 and with 12,000 replicas, to show how they grow.
func TestBoundsCost(t *testing.T) {
	for _, replicas := range []int{50, 12_000} {
		layouts, inventories := newLayouts(replicas)
		snapshot, _ := layouts.Snapshot("search")
		chooser, policy := replica.NewChooser(layouts, ramp.SystemClock{}), retry.NewPolicy()
		now := time.Now()
		a := ramp.Attempt{Query: ramp.Query{
			Service: "search", Operation: ramp.Search, Deadline: now.Add(time.Hour),
		}, Outcome: ramp.Merged, Elapsed: replyTime, Sent: true}
		n := 0
		next := func() ramp.Attempt {
			n++
			a.Shard = snapshot.Shards[n%len(snapshot.Shards)]
			return a
		}
		decisions := []struct {
			name           string
			maxAllocations float64 // per decision
			run            func()
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
				layouts.Update(inventories[n%len(inventories)])
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
			checkBound(t, allocations <= d.maxAllocations, fmt.Sprintf("%s: at most %.0f allocations", d.name, d.maxAllocations))
		}
	}
}
