package replica

import (
	"math"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// maxWaiters is the number of attempts that may be queued for one replica.
const maxWaiters = 64

// Chooser selects the replica with the shortest expected latency, judged by this
// daemon's own attempts: their latency, which includes the network path to other
// failure domains, the attempts in flight, and the open connections. Attempts for which
// no replica has capacity wait in a bounded queue of this daemon. It implements
// [ramp.Chooser].
type Chooser struct {
	loads           *ramp.Table[string, Load] // by VM id
	layouts         *Layouts
	clock           ramp.Clock
	connectionLimit atomic.Int64 // per replica
}

// waiter is an attempt that waits for capacity at any of its replicas.
type waiter struct {
	claimed       atomic.Bool  // ready was or is about to be called, or the caller got its result
	pendingQueues atomic.Int64 // queues that may still hand it a replica
	ready         func(ramp.Replica, bool)
}

// claim reports whether the caller may hand the attempt its result. It returns true
// once.
func (w *waiter) claim() bool { return w.claimed.CompareAndSwap(false, true) }

// NewChooser returns a chooser without information on any replica.
func NewChooser(layouts *Layouts, clock ramp.Clock) *Chooser {
	c := &Chooser{loads: ramp.NewTable[string, Load](ramp.RankReplicas), layouts: layouts, clock: clock}
	c.connectionLimit.Store(math.MaxInt32)
	layouts.onRemove = c.Remove
	return c
}

// SetConnections sets the number of connections that the daemon may hold to each
// replica. It may be called at any time.
func (c *Chooser) SetConnections(n int) { c.connectionLimit.Store(int64(max(1, n))) }

// Choose implements [ramp.Chooser].
func (c *Chooser) Choose(
	a ramp.Attempt, tried []ramp.Attempt, ready func(ramp.Replica, bool),
) (ramp.Replica, ramp.Placement) {
	now := c.clock.Now()
	best, eligible := c.selectBest(a, tried, now, false)
	if eligible == 0 && a.Kind != ramp.Hedge {
		best, eligible = c.selectBest(a, tried, now, true)
	}
	if best >= 0 && c.reserve(a.Shard.Replicas[best].ID) {
		return a.Shard.Replicas[best], ramp.Placed
	}
	switch {
	case eligible == 0:
		return ramp.Replica{}, ramp.Refused
	case ready == nil:
		return ramp.Replica{}, ramp.Full
	}
	return c.enqueue(a, tried, now, ready)
}

// selectBest returns the index of the eligible replica with the shortest expected
// latency that has capacity, or -1, and the number of eligible replicas. Replicas that
// are to be avoided are eligible only with includeAvoided.
func (c *Chooser) selectBest(
	a ramp.Attempt, tried []ramp.Attempt, now time.Time, includeAvoided bool,
) (best, eligible int) {
	best = -1
	connections := int(c.connectionLimit.Load())
	var shortest float64
	for i, r := range a.Shard.Replicas {
		load, ok := c.eligible(r, tried, now, includeAvoided)
		if !ok {
			continue
		}
		eligible++
		if expected := load.ExpectedLatency(now); load.HasCapacity(connections) && (best < 0 || expected < shortest) {
			best, shortest = i, expected
		}
	}
	return best, eligible
}

// eligible returns the replica's load and whether it may get the attempt once it has
// capacity.
func (c *Chooser) eligible(r ramp.Replica, tried []ramp.Attempt, now time.Time, includeAvoided bool) (Load, bool) {
	if c.layouts.IsLeaving(r.ID) || wasTried(tried, r.ID) {
		return Load{}, false
	}
	load, _ := c.loads.Get(r.ID)
	return load, includeAvoided || !load.Avoided(now)
}

// reserve counts an attempt at a replica. It reports false when another goroutine has
// used up the capacity in the meantime.
func (c *Chooser) reserve(id string) bool {
	placed := false
	connections := int(c.connectionLimit.Load())
	c.loads.Update(id, func(l Load) Load {
		if placed = l.HasCapacity(connections); placed {
			return l.WithPlaced()
		}
		return l
	})
	return placed
}

// enqueue queues the attempt at all of its eligible replicas until one has capacity. A
// replica that has capacity by now is used at once.
func (c *Chooser) enqueue(
	a ramp.Attempt, tried []ramp.Attempt, now time.Time, ready func(ramp.Replica, bool),
) (ramp.Replica, ramp.Placement) {
	w := &waiter{ready: ready}
	w.pendingQueues.Store(1) // held by this function
	connections := int(c.connectionLimit.Load())
	for _, r := range a.Shard.Replicas {
		if _, ok := c.eligible(r, tried, now, false); !ok {
			continue
		}
		placed := false
		c.loads.Update(r.ID, func(l Load) Load {
			switch {
			case l.HasCapacity(connections):
				if placed = w.claim(); placed {
					return l.WithPlaced()
				}
			case len(l.waiters) < maxWaiters:
				w.pendingQueues.Add(1)
				return l.WithWaiter(w)
			}
			return l
		})
		if placed {
			return r, ramp.Placed
		}
	}
	if w.pendingQueues.Add(-1) == 0 && w.claim() {
		return ramp.Replica{}, ramp.Full
	}
	return ramp.Replica{}, ramp.Queued
}

// Done implements [ramp.Chooser]. It gives the freed capacity to the oldest waiting
// attempts. When the replica is leaving or to be avoided, its queue is dropped.
func (c *Chooser) Done(a ramp.Attempt) {
	now := c.clock.Now()
	leaving := c.layouts.IsLeaving(a.Replica.ID)
	connections := int(c.connectionLimit.Load())
	var next, dropped []*waiter
	c.loads.Update(a.Replica.ID, func(l Load) Load {
		l = l.WithDone(a, now)
		if leaving || l.Avoided(now) {
			dropped = l.waiters
			l.waiters = nil
			return l
		}
		l, next = l.withDequeued(connections)
		return l
	})
	for _, w := range next {
		w.ready(a.Replica, true)
	}
	for _, w := range dropped {
		if w.pendingQueues.Add(-1) == 0 && w.claim() {
			w.ready(ramp.Replica{}, false)
		}
	}
}

// Load returns the load of a replica.
func (c *Chooser) Load(id string) Load {
	l, _ := c.loads.Get(id)
	return l
}

// Remove deletes the load of a replica that is gone, unless attempts are in flight.
func (c *Chooser) Remove(id string) {
	c.loads.DeleteFunc(func(k string, l Load) bool { return k == id && l.InFlight == 0 })
}

// WithWaiter returns the load with another attempt in its queue. Attempts that got a
// replica elsewhere leave the queue.
func (l Load) WithWaiter(w *waiter) Load {
	queue := make([]*waiter, 0, len(l.waiters)+1)
	for _, other := range l.waiters {
		if !other.claimed.Load() {
			queue = append(queue, other)
		}
	}
	queue = append(queue, w)
	l.waiters = queue
	return l
}

// withDequeued returns the load with its free capacity given to the oldest waiting
// attempts, and these attempts.
func (l Load) withDequeued(connections int) (Load, []*waiter) {
	var next []*waiter
	for len(l.waiters) > 0 && l.HasCapacity(connections) {
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		if w.claim() {
			next = append(next, w)
			l = l.WithPlaced()
		}
	}
	return l, next
}

func wasTried(tried []ramp.Attempt, id string) bool {
	for i := range tried {
		if tried[i].Replica.ID == id {
			return true
		}
	}
	return false
}
