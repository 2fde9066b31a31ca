package order

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// phase is the phase of a ticket's life.
type phase int

// The phases of a ticket. A ticket passes through them in this order.
const (
	issued  phase = iota // no order was dispatched
	running              // the order was dispatched and has not ended
	settled              // the outcome is final
)

// entry is the state of a ticket. It is an immutable value, except for the
// channel.
type entry struct {
	customer string             // customer that the ticket was issued to
	issued   time.Time          // time of issue
	phase    phase              // never decreases
	order    ramp.OrderHash     // hash of the dispatched order; zero for none
	done     chan struct{}      // closed when the dispatched order ends; nil for an imported ticket
	answer   ramp.Answer        // set when settled without a refusal
	refusal  *ramp.RefusedError // set when settled without an answer
}

// WithOrder returns the entry with the order dispatched.
func (e entry) WithOrder(order ramp.OrderHash) entry {
	e.phase = running
	e.order = order
	return e
}

// WithOutcome returns the entry settled with an answer or a refusal.
func (e entry) WithOutcome(answer ramp.Answer, refusal *ramp.RefusedError) entry {
	e.phase = settled
	e.answer = answer
	e.refusal = refusal
	return e
}

func (e entry) expired(now time.Time) bool { return now.Sub(e.issued) > ticketLifetime }

// dispatchable reports whether the query may be dispatched under the ticket.
func (e entry) dispatchable(q ramp.Query, now time.Time) bool {
	return e.phase == issued && e.mismatch(q) == nil && !e.expired(now)
}

// mismatch returns a [*ramp.RefusedError] when the ticket was issued to another
// customer or used for another order than the query's. Such an order never runs
// under the ticket.
func (e entry) mismatch(q ramp.Query) error {
	switch {
	case e.customer != q.Customer:
		return newRefusal(ramp.ReasonTicket, ramp.NotRun, "the ticket was issued to another customer")
	case e.order != (ramp.OrderHash{}) && e.order != ramp.HashOrder(q):
		return newRefusal(ramp.ReasonTicket, ramp.NotRun, "the ticket was used for another order")
	}
	return nil
}

// compact returns the answer without the queries of its attempts, except their
// ids, and without the replicas of their shards. A repeated request does not
// need these.
func compact(a ramp.Answer) ramp.Answer {
	attempts := slices.Clone(a.Attempts)
	for i := range attempts {
		attempts[i].Query = ramp.Query{ID: attempts[i].Query.ID}
		attempts[i].Shard.Replicas = nil
	}
	a.Attempts = attempts
	return a
}

// withoutHits returns the answer with no hits and no coverage.
func withoutHits(a ramp.Answer) ramp.Answer {
	a.Hits = nil
	a.Coverage = ramp.Coverage{}
	return a
}

// hitSize returns the size of the hits' keys and values in bytes.
func hitSize(hits []ramp.Hit) int64 {
	var size int64
	for _, h := range hits {
		size += int64(len(h.Key) + len(h.Value))
	}
	return size
}
