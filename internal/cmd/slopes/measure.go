package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/query"
)

// Sizes of the measurements. A concurrency is the number of calls in flight.
const (
	searchCount        = 600
	searchConcurrency  = 2
	callConcurrency    = 8
	orderCount         = 1000
	ticketCount        = 10000
	customerCount      = 10 // list entries, where the table does not vary them
	replicasPerService = 50 // where the table varies the number of replicas
)

// measureQueries prints the cost of one query to a daemon by the number of
// shards. The usage of the idle daemon is subtracted.
func measureQueries(ctx context.Context, idle time.Duration) error {
	fmt.Printf("\n### Query: one daemon, %d searches, %d at once\n\n", searchCount, searchConcurrency)
	fmt.Println("| shards | processor time | allocations | bytes allocated | bytes on the wire | complete |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	var sizes []float64
	var costs []usage
	for _, shards := range []int{8, 32, 96, 230} {
		cost, complete, err := queryCost(ctx, shards, idle)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(shards))
		costs = append(costs, cost)
		fmt.Printf("| %d | %s | %d | %d | %d | %d |\n", shards, cost.CPU.Round(time.Microsecond), cost.Mallocs,
			cost.AllocBytes, cost.Network, complete)
	}
	printSlope("sub-request", "query", sizes, costs)
	return nil
}

// queryCost returns the mean cost of a search, less the usage of the idle daemon,
// and the number of complete answers.
func queryCost(ctx context.Context, shards int, idle time.Duration) (cost usage, complete int64, err error) {
	f, err := startFleet(ctx, fleetSize{services: 1, shards: shards, daemons: 1, customers: customerCount})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return usage{}, 0, err
	}
	baseline, baselineTime, err := f.idleUsage(ctx, idle)
	if err != nil {
		return usage{}, 0, err
	}
	var completeCount atomic.Int64
	used, elapsed, err := f.usageDuring(ctx, func() error {
		return f.sendCalls(searchCount, searchConcurrency, func(int) error {
			if f.answersCompletely(ctx, f.daemons[0]) {
				completeCount.Add(1)
			}
			return nil
		})
	})
	if err != nil {
		return usage{}, 0, err
	}
	idleCost := baseline[0].scale(float64(elapsed) / float64(baselineTime))
	return used[0].minus(idleCost).scale(1.0 / searchCount), completeCount.Load(), nil
}

// printSlope fits least-squares lines to the costs over the sizes. It prints the
// slopes as the cost per unit and the intercepts as the fixed cost per operation.
func printSlope(unit, operation string, sizes []float64, costs []usage) {
	fit := func(value func(usage) float64) (slope, intercept float64) {
		var n, x, y, xx, xy float64
		for i, size := range sizes {
			v := value(costs[i])
			n, x, y, xx, xy = n+1, x+size, y+v, xx+size*size, xy+size*v
		}
		slope = (n*xy - x*y) / (n*xx - x*x)
		return slope, (y - slope*x) / n
	}
	cpu, cpuIntercept := fit(func(u usage) float64 { return float64(u.CPU) / float64(time.Microsecond) })
	allocations, allocationsIntercept := fit(func(u usage) float64 { return float64(u.Mallocs) })
	bytes, bytesIntercept := fit(func(u usage) float64 { return float64(u.AllocBytes) })
	network, networkIntercept := fit(func(u usage) float64 { return float64(u.Network) })
	fmt.Printf("\nEach %s: %.1f µs, %.0f allocations, %.0f bytes allocated, %.0f bytes on the wire.\n",
		unit, cpu, allocations, bytes, network)
	fmt.Printf("Each %s besides: %.0f µs, %.0f allocations, %.0f bytes allocated, %.0f bytes on the wire.\n",
		operation, cpuIntercept, allocationsIntercept, bytesIntercept, networkIntercept)
}

// measureControl prints what an idle daemon uses, by the number of daemons, over
// 12 replicas.
func measureControl(ctx context.Context, idle time.Duration) error {
	fmt.Printf("\n### Control: daemons without callers over 12 replicas, %s each\n\n", idle)
	printIdleHeader("daemons")
	for _, daemons := range []int{4, 8, 16, 32, 64} {
		if err := printIdleRow(ctx, daemons, fleetSize{1, 6, daemons, customerCount}, idle); err != nil {
			return err
		}
	}
	return nil
}

// measureReplicas prints what one idle daemon uses, by the number of replicas.
func measureReplicas(ctx context.Context, idle time.Duration) error {
	fmt.Printf("\n### Replicas: one daemon without callers, %s each\n\n", idle)
	printIdleHeader("replicas")
	for _, replicas := range []int{50, 200, 800, 2000} {
		if err := printIdleRow(ctx, replicas, fleetSize{
			replicas / replicasPerService, replicasPerService / 2, 1, customerCount,
		}, idle); err != nil {
			return err
		}
	}
	return nil
}

// measureLists prints the bytes that one list change costs each daemon, by the
// number of customers. Some daemons watch the store; the others receive the
// change by gossip. The usage of the idle daemons is subtracted.
func measureLists(ctx context.Context, idle time.Duration) error {
	fmt.Printf("\n### Lists: 12 daemons, one change of one customer, within %s\n\n", idle)
	fmt.Println("| customers | bytes, the daemon with the fewest | the median | the most |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, entries := range []int{10, 100, 1000, 4000} {
		if err := printListChange(ctx, fleetSize{1, 6, 12, entries}, idle); err != nil {
			return err
		}
	}
	return nil
}

// printListChange prints a row with the least, median and greatest number of extra
// bytes per daemon when one customer is added.
func printListChange(ctx context.Context, z fleetSize, idle time.Duration) error {
	f, err := startFleet(ctx, z)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	baseline, _, err := f.idleUsage(ctx, idle)
	if err != nil {
		return err
	}
	used, _, err := f.usageDuring(ctx, func() error {
		if err := f.applyLists(ctx, z.customers+1); err != nil {
			return err
		}
		time.Sleep(idle)
		return nil
	})
	if err != nil {
		return err
	}
	extraBytes := make([]int64, 0, len(used))
	for i := range used {
		extraBytes = append(extraBytes, used[i].Network-baseline[i].Network)
	}
	slices.Sort(extraBytes)
	fmt.Printf("| %d | %d | %d | %d |\n", z.customers,
		extraBytes[0], extraBytes[len(extraBytes)/2], extraBytes[len(extraBytes)-1])
	return nil
}

// printIdleHeader prints the header of a table of idle usage; name heads the first column.
func printIdleHeader(name string) {
	fmt.Printf("| %s | share of a core | bytes a second | of these with the platform "+
		"| platform reads a second | platform writes a second | live heap | resident |\n", name)
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
}

// printIdleRow prints a row with the mean usage over the daemons of an idle fleet.
func printIdleRow(ctx context.Context, label int, z fleetSize, idle time.Duration) error {
	f, err := startFleet(ctx, z)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	reads, writes, bytes := f.calls.reads.Load(), f.calls.writes.Load(), f.calls.bytes.Load()
	used, elapsed, err := f.idleUsage(ctx, idle)
	if err != nil {
		return err
	}
	daemonSeconds := elapsed.Seconds() * float64(z.daemons)
	var sum usage
	for _, u := range used {
		sum.CPU += u.CPU
		sum.Network += u.Network
		sum.Heap += u.Heap / int64(z.daemons)
		sum.Resident += u.Resident / int64(z.daemons)
	}
	fmt.Printf("| %d | %.2f%% | %.0f | %.0f | %.2f | %.2f | %.1f MB | %.1f MB |\n",
		label, 100*sum.CPU.Seconds()/daemonSeconds,
		float64(sum.Network)/daemonSeconds, float64(f.calls.bytes.Load()-bytes)/daemonSeconds,
		float64(f.calls.reads.Load()-reads)/daemonSeconds, float64(f.calls.writes.Load()-writes)/daemonSeconds,
		float64(sum.Heap)/1e6, float64(sum.Resident)/1e6)
	return nil
}

// measureOrders prints the cost of an order sent directly to the issuer of its
// ticket, the cost when another daemon forwards it, and the memory that a ticket
// holds.
func measureOrders(ctx context.Context, idle time.Duration) error {
	f, err := startFleet(ctx, fleetSize{services: 1, shards: 6, daemons: 2, customers: customerCount})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	baseline, baselineTime, err := f.idleUsage(ctx, idle)
	if err != nil {
		return err
	}
	fmt.Printf("\n### Orders: two daemons, %d orders, %d at once\n\n", orderCount, callConcurrency)
	fmt.Println("| way | processor time, issuer | processor time, entry | allocations, both | bytes on the wire, both |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, path := range []struct {
		name  string
		entry int
	}{{"at the issuer", 0}, {"through another daemon", 1}} {
		used, elapsed, err := f.usageDuring(ctx, func() error { return f.sendOrders(ctx, path.entry) })
		if err != nil {
			return err
		}
		for i := range used {
			used[i] = used[i].minus(baseline[i].scale(float64(elapsed) / float64(baselineTime))).scale(1.0 / orderCount)
		}
		fmt.Printf("| %s | %s | %s | %d | %d |\n", path.name, used[0].CPU.Round(time.Microsecond),
			used[1].CPU.Round(time.Microsecond), used[0].Mallocs+used[1].Mallocs, used[0].Network+used[1].Network)
	}
	return f.printTickets(ctx)
}

// sendOrders sends orders, with tickets issued by the first daemon, to the daemon
// with index entry. An order that was not run is an error.
func (f *fleet) sendOrders(ctx context.Context, entry int) error {
	return f.sendCalls(orderCount, callConcurrency, func(n int) error {
		ticket, err := f.client.Ticket(ctx, f.daemons[0].callerAddress)
		if err != nil {
			return err
		}
		answer, err := f.client.Run(ctx, f.daemons[entry].callerAddress, caller.Request{
			Operation: ramp.Order, Service: serviceName, Key: fmt.Sprint("record-", n), Ticket: ticket,
		})
		if err == nil && answer.Ran != string(ramp.HasRun) {
			return fmt.Errorf("order not run: reason %s, detail %q", answer.Reason, answer.Detail)
		}
		return err
	})
}

// printTickets prints the heap that a ticket holds at its issuer before its order
// arrives.
func (f *fleet) printTickets(ctx context.Context) error {
	before, err := f.usage(ctx)
	if err != nil {
		return err
	}
	err = f.sendCalls(ticketCount, callConcurrency, func(int) error {
		_, err := f.client.Ticket(ctx, f.daemons[0].callerAddress)
		return err
	})
	if err != nil {
		return err
	}
	after, err := f.usage(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\nEach ticket: %.0f bytes of heap at its issuer, over %d tickets.\n",
		(float64(after[0].Heap)-float64(before[0].Heap))/ticketCount, ticketCount)
	return nil
}

// measureTraces prints the heap that a full store of query traces holds. Half of
// the queries hedge an attempt and half are ordinary, because the store has a
// separate capacity for each kind.
func measureTraces(_ context.Context, _ time.Duration) error {
	const capacity, shards = 32768, 230
	traces := query.NewTraceStore(capacity)
	before := liveHeap()
	observe := traces.Observe(ramp.SystemClock{}, func(ramp.Query, ramp.Allowance, ramp.Answer, error) {})
	for n := range 2 * capacity / shards {
		attempts := make([]ramp.Attempt, shards)
		attempts[0].Kind = ramp.Hedge
		observe(ramp.Query{ID: fmt.Sprint("notable-", n)}, ramp.Allowance{}, ramp.Answer{Attempts: attempts}, nil)
		for i := range attempts {
			attempts[i].Kind = ramp.First
		}
		observe(ramp.Query{ID: fmt.Sprint("ordinary-", n)}, ramp.Allowance{}, ramp.Answer{Attempts: attempts}, nil)
	}
	fmt.Printf("\n### Accounts: %d attempts in answers of %d\n\n", capacity, shards)
	fmt.Printf("A full store takes %.1f MB.\n", float64(liveHeap()-before)/1e6)
	runtime.KeepAlive(traces)
	return nil
}

// liveHeap collects garbage and returns the bytes of the objects on the heap.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
