// Package order implements at-most-once execution of orders, which have side
// effects.
//
// A ticket passes through the phases issued, running and settled, in that
// order and never back. A refusal settles a ticket permanently, even one that
// states that the order did not run: a repeated request that was delayed in
// transit could otherwise run it after its caller got the refusal. An unknown
// ticket is never dispatched, so evicting a ticket is always safe.
package order

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of a [TicketStore].
const (
	ticketLifetime = 10 * time.Minute // from the issue of a ticket until it expires
	maxTickets     = 1 << 16          // tickets kept at once
	maxPerCustomer = maxTickets / 4   // tickets of one customer kept at once
	maxHitBytes    = 32 << 20         // bytes of hits kept with the outcomes
	sweepBatch     = 2                // tickets checked for expiry for each ticket issued
	retryAfter     = time.Second      // retry delay for a caller when the store or its customer has too many tickets
)

// TicketStore issues tickets and allows each of them one dispatch. It is kept in the
// memory of one incarnation of a daemon. Of the tickets of other incarnations it
// has only the outcomes that their issuers handed over. It implements
// [ramp.TicketStore] and is safe for concurrent use.
type TicketStore struct {
	daemon      string
	incarnation string
	numbers     *ramp.Table[string, numberRange] // one entry, under the empty key
	customers   *ramp.Table[string, int]         // number of tickets kept, by customer; at least 1 each
	tickets     *ramp.Table[uint64, entry]       // tickets issued here, by number
	imported    *ramp.Table[ramp.Ticket, entry]  // tickets settled by their issuers and handed over
	hitBytes    atomic.Int64                     // total size of the hits in tickets, in bytes
	closed      atomic.Bool                      // no further ticket is issued or dispatched
}

// numberRange is the range of the ticket numbers in use. It is an immutable
// value.
type numberRange struct {
	oldest uint64 // at least 1; lower numbers are kept only for running orders
	last   uint64 // the last number issued; 0 for none
}

// NewTicketStore returns an empty [TicketStore] for an incarnation of a daemon.
func NewTicketStore(daemon, incarnation string) *TicketStore {
	l := &TicketStore{
		daemon:      daemon,
		incarnation: incarnation,
		numbers:     ramp.NewTable[string, numberRange](ramp.RankOrders),
		customers:   ramp.NewTable[string, int](ramp.RankOrders),
		tickets:     ramp.NewTable[uint64, entry](ramp.RankOrders),
		imported:    ramp.NewTable[ramp.Ticket, entry](ramp.RankOrders),
	}
	l.numbers.Put("", numberRange{oldest: 1})
	return l
}

// Issue implements [ramp.TicketStore].
func (l *TicketStore) Issue(customer string, now time.Time) (ramp.Ticket, error) {
	l.sweep(now)
	if l.closed.Load() {
		return ramp.Ticket{}, newRefusal(ramp.ReasonLeaving, ramp.NotRun, "the daemon has shut down")
	}
	if l.tickets.Len() >= maxTickets || !l.reserve(customer) {
		return ramp.Ticket{}, &ramp.RefusedError{
			Reason: ramp.ReasonLoad, Ran: ramp.NotRun, Detail: "too many tickets in use", RetryAfter: retryAfter,
		}
	}
	number := l.numbers.Update("", func(r numberRange) numberRange {
		r.last++
		return r
	}).last
	l.tickets.Put(number, entry{customer: customer, issued: now, done: make(chan struct{})})
	return ramp.Ticket{Daemon: l.daemon, Incarnation: l.incarnation, Number: number}, nil
}

// Begin implements [ramp.TicketStore].
func (l *TicketStore) Begin(
	ctx context.Context, t ramp.Ticket, q ramp.Query, now time.Time,
) (bool, ramp.Answer, error) {
	if t.Incarnation != l.incarnation {
		e, _ := l.imported.Get(t)
		return l.outcomeOf(e, q, now)
	}
	first := false
	e, known := l.tickets.UpdateExisting(t.Number, func(old entry) entry {
		first = old.dispatchable(q, now) && !l.closed.Load()
		if !first {
			return old
		}
		return old.WithOrder(ramp.HashOrder(q))
	})
	switch {
	case first:
		return true, ramp.Answer{}, nil
	case known && e.phase == issued:
		return false, ramp.Answer{}, l.refusalOf(e, q, now)
	}
	if known && e.phase == running && e.mismatch(q) == nil {
		select {
		case <-e.done:
			e, _ = l.tickets.Get(t.Number)
		case <-ctx.Done():
			return false, ramp.Answer{}, newRefusal(ramp.ReasonDeadline, ramp.RanUnknown, "the order is still in progress")
		}
	}
	return l.outcomeOf(e, q, now)
}

// refusalOf returns the reason why an issued ticket was not dispatched.
func (l *TicketStore) refusalOf(e entry, q ramp.Query, now time.Time) error {
	if err := e.mismatch(q); err != nil {
		return err
	}
	if e.expired(now) {
		return unknownTicket()
	}
	return newRefusal(ramp.ReasonLeaving, ramp.NotRun, "the daemon has shut down; take a new ticket")
}

// outcomeOf returns the outcome of a ticket as results of Begin. A zero entry
// stands for an unknown ticket.
func (l *TicketStore) outcomeOf(e entry, q ramp.Query, now time.Time) (bool, ramp.Answer, error) {
	if e.phase != settled || e.expired(now) {
		return false, ramp.Answer{}, unknownTicket()
	}
	if err := e.mismatch(q); err != nil {
		return false, ramp.Answer{}, err
	}
	if e.refusal != nil {
		return false, ramp.Answer{}, e.refusal
	}
	return false, e.answer, nil
}

// End implements [ramp.TicketStore].
func (l *TicketStore) End(t ramp.Ticket, answer ramp.Answer, err error, now time.Time) {
	answer = compact(answer)
	size := hitSize(answer.Hits)
	if l.hitBytes.Add(size) > maxHitBytes {
		l.hitBytes.Add(-size)
		answer = withoutHits(answer)
	}
	e, ok := l.tickets.UpdateExisting(t.Number, func(old entry) entry { return old.WithOutcome(answer, toRefusal(err)) })
	if !ok {
		return
	}
	close(e.done)
	if e.expired(now) && t.Number < l.oldest() {
		l.evict(t.Number, e) // sweep has skipped the running order
	}
}

// Close stops the issue of tickets and the dispatch of orders, and settles every
// ticket that was not dispatched with a refusal. It waits for the running orders
// and returns the error of ctx if that ends first.
func (l *TicketStore) Close(ctx context.Context) error {
	l.closed.Store(true)
	var pending []entry
	for _, number := range l.ticketNumbers() {
		e, ok := l.tickets.UpdateExisting(number, func(old entry) entry {
			if old.phase != issued {
				return old
			}
			return old.WithOutcome(ramp.Answer{}, &ramp.RefusedError{
				Reason: ramp.ReasonLeaving, Ran: ramp.NotRun, Detail: "the issuer has shut down; take a new ticket",
			})
		})
		if ok && e.phase == running {
			pending = append(pending, e)
		}
	}
	for _, e := range pending {
		select {
		case <-e.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Outcomes returns the outcomes of the settled tickets that this incarnation
// issued, without those that have expired.
func (l *TicketStore) Outcomes(now time.Time) []ramp.TicketOutcome {
	var outcomes []ramp.TicketOutcome
	l.tickets.Each(func(number uint64, e entry) bool {
		if e.phase == settled && !e.expired(now) {
			t := ramp.Ticket{Daemon: l.daemon, Incarnation: l.incarnation, Number: number}
			outcomes = append(outcomes, ramp.TicketOutcome{
				Ticket: t, Customer: e.customer, Order: e.order, Age: now.Sub(e.issued), Answer: e.answer, Refusal: e.refusal,
			})
		}
		return true
	})
	return outcomes
}

// ImportOutcomes stores outcomes that another daemon handed over. Outcomes beyond
// maxTickets are dropped; their tickets stay unknown.
func (l *TicketStore) ImportOutcomes(outcomes []ramp.TicketOutcome, now time.Time) {
	l.imported.DeleteFunc(func(_ ramp.Ticket, e entry) bool { return e.expired(now) })
	for _, o := range outcomes {
		if o.Ticket.Incarnation == l.incarnation || l.imported.Len() >= maxTickets {
			continue
		}
		l.imported.Put(o.Ticket, entry{
			customer: o.Customer, issued: now.Add(-o.Age), phase: settled, order: o.Order, answer: o.Answer, refusal: o.Refusal,
		})
	}
}

// reserve counts a further ticket for the customer. It reports false when the
// customer has maxPerCustomer tickets.
func (l *TicketStore) reserve(customer string) bool {
	reserved := false
	l.customers.Update(customer, func(count int) int {
		reserved = count < maxPerCustomer
		if reserved {
			count++
		}
		return count
	})
	return reserved
}

// sweep evicts expired tickets, oldest first. It checks sweepBatch tickets for
// each one issued, more than one, so that no ticket is kept long after it
// expired. Tickets of running orders are left to End.
func (l *TicketStore) sweep(now time.Time) {
	for range sweepBatch {
		number := l.oldest()
		e, ok := l.tickets.Get(number)
		if !ok || !e.expired(now) {
			return
		}
		advanced := false
		l.numbers.Update("", func(r numberRange) numberRange {
			advanced = r.oldest == number
			if advanced {
				r.oldest++
			}
			return r
		})
		if advanced && e.phase != running {
			l.evict(number, e)
		}
	}
}

// evict deletes a ticket and releases what it counts for.
func (l *TicketStore) evict(number uint64, e entry) {
	l.tickets.Delete(number)
	l.hitBytes.Add(-hitSize(e.answer.Hits))
	l.customers.Update(e.customer, func(count int) int { return count - 1 })
	l.customers.DeleteFunc(func(customer string, count int) bool { return customer == e.customer && count == 0 })
}

func (l *TicketStore) oldest() uint64 {
	r, _ := l.numbers.Get("")
	return r.oldest
}

func (l *TicketStore) ticketNumbers() []uint64 {
	var numbers []uint64
	l.tickets.Each(func(number uint64, _ entry) bool {
		numbers = append(numbers, number)
		return true
	})
	return numbers
}

// toRefusal returns err as a [*ramp.RefusedError], or nil. After an error of
// another type it is unknown whether the order ran.
func toRefusal(err error) *ramp.RefusedError {
	if err == nil {
		return nil
	}
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &ramp.RefusedError{Reason: ramp.ReasonReplica, Ran: ramp.RanUnknown, Detail: err.Error()}
}

func unknownTicket() error {
	return newRefusal(ramp.ReasonIssuer, ramp.RanUnknown, "the ticket is not known here any more")
}

func newRefusal(reason ramp.Reason, ran ramp.Ran, detail string) error {
	return &ramp.RefusedError{Reason: reason, Ran: ran, Detail: detail}
}
