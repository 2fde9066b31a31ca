package replica

import (
	"math"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// sharedFactor is the multiple of a replica's capacity that is divided among the daemons
// that send to it. It exceeds 1 since their loads differ.
const sharedFactor = 2

// slowQueueRatio is the multiple of assumedLatency, to which attempts on all routes are
// scaled, from which requests do not wait in the queue of a replica. With it, an objective
// of a few median latencies leaves no time for a wait behind others and for a slow reply.
const slowQueueRatio = 2

// concurrency bounds how many attempts of this daemon may be in flight at one replica. It
// handles replicas with more requests than they run at once: any first attempt may fill
// their slots, and the more urgent it is, the more may wait before it in their own queues.
// So an urgent request finds room behind requests that run while others wait at the
// daemon, and repeats, which leave a part of the slots free, yield to first attempts. It
// is an immutable value.
type concurrency struct {
	connections int  // bound on the connections of this daemon; at least 1
	ordered     bool // the bounds below hold too
	capacity    int  // requests that the replica runs at once; 0 if unknown
	holders     int  // daemons that send to the replica; at least 1
	rank        int
	repeat      bool // a retry or a hedge, or an attempt that another daemon should make
	slow        bool // its replies take much longer than those of other replicas
}

// concurrencyFor returns the bound for an attempt at a replica of the given capacity. Near
// says that it is in this daemon's failure domain, and slow is [replicaStats.slowToQueue].
func concurrencyFor(r ramp.PickRequest, capacity int, near, slow bool) concurrency {
	c := concurrency{
		connections: r.Limit, ordered: r.Ordered, capacity: capacity, holders: max(1, r.Holders), rank: r.Priority,
		repeat: r.Repeat, slow: slow,
	}
	if r.Exceptional && (!near || r.Holders > 1) {
		c.repeat, c.holders = true, max(2, c.holders)
	}
	return c
}

// limit returns the number of attempts in flight from which the replica gets no further
// one of this kind.
func (c concurrency) limit() int {
	if !c.ordered || c.capacity <= 0 {
		return c.connections
	}
	limit := c.base()
	if c.slow {
		limit = part(c.capacity, c.holders)
	}
	switch {
	case c.repeat:
		limit = max(1, limit-part(limit, 4))
	case !c.slow:
		limit += c.queued()
	}
	return min(limit, c.connections)
}

// queued returns how many first attempts may wait at the replica. It is less where several
// daemons send to the replica, since those of all of them wait there together.
func (c concurrency) queued() int {
	rank := max(0, c.rank)
	if c.holders > 1 {
		rank++
	}
	switch rank {
	case 0:
		return c.base()
	case 1:
		return part(c.base(), 2)
	case 2:
		return part(c.base(), 4)
	}
	if c.holders == 1 {
		return part(c.base(), 4)
	}
	return 0
}

// base returns the attempts that this daemon may have in flight whatever their kind: the
// capacity if it alone sends to the replica, and otherwise its share of sharedFactor
// times that. It is at least half of the capacity, since all callers may use one daemon.
func (c concurrency) base() int {
	if c.holders == 1 {
		return c.capacity
	}
	return min(c.capacity, max(part(sharedFactor*c.capacity, c.holders), part(c.capacity, 2)))
}

// fullMemory is how long after a refusal by a full replica its attempts are ordered. Without a
// refusal the bounds would only keep hedges from replicas that have room.
const fullMemory = 5 * time.Second

// recentlyFull reports whether the replica refused a request lately since it was full.
func (s replicaStats) recentlyFull(now time.Time) bool {
	return !s.fullAt.IsZero() && now.Sub(s.fullAt) < fullMemory
}

// slowToQueue reports whether the replica's replies take so long, compared with others,
// that requests should wait for others rather than in its queue.
func (s replicaStats) slowToQueue(now time.Time) bool {
	return s.fadedLatency(now) > slowQueueRatio*float64(assumedLatency)
}

// part returns one part in divisor of n, rounded up.
func part(n, divisor int) int { return int(math.Ceil(float64(n) / float64(divisor))) }

// Capacity returns how many requests the replicas of the service run at once that may get
// requests, 0 if one of them does not state it, and whether there are any.
func (p *Picker) Capacity(service string) (slots int, usable bool) {
	m := p.moment(service)
	known := true
	for _, r := range p.instances.ofService(service) {
		if _, ok := p.health(r, p.statsOf(r), m); !ok {
			continue
		}
		usable = true
		known = known && r.Capacity > 0
		slots += r.Capacity
	}
	if !known {
		slots = 0
	}
	return slots, usable
}
