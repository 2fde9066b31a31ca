// Package order keeps orders, which have effects, from running more than once.
//
// A ticket passes through the phases issued, running and settled, in that
// order and never back. A refusal settles a ticket for good, also one that
// says that the order did not run: a repeat that was delayed on its way could
// otherwise run after its caller was told so. A ticket that is not known is
// never dispatched, so forgetting one is always safe.
package order

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of a ledger.
const (
	lifetime    = 10 * time.Minute // from the issue of a ticket until it is unknown
	maxTickets  = 1 << 16          // tickets kept at once
	maxCustomer = maxTickets / 4   // tickets of one customer kept at once
	maxReceipts = 32 << 20         // bytes of hits kept with the outcomes
	sweepStep   = 2                // entries looked at for each ticket issued
	retryAfter  = time.Second      // told to a caller when the ledger is full
)

// Ledger issues tickets and allows each of them one dispatch. It lives in the
// memory of one incarnation of a daemon. Of tickets of other incarnations it
// knows only outcomes that their issuers handed over. It implements
// [ramp.TicketStore].
type Ledger struct {
	daemon      string
	incarnation string
	numbers     *ramp.Table[string, sequence]   // one entry
	customers   *ramp.Table[string, int]        // tickets kept, by customer; none is 0
	tickets     *ramp.Table[uint64, entry]      // issued here, by number
	inherited   *ramp.Table[ramp.Ticket, entry] // settled elsewhere
	receipts    atomic.Int64                    // bytes of hits in tickets
	closed      atomic.Bool                     // no ticket is issued or dispatched any more
}

// sequence is the range of the numbers of tickets that may be kept. It is an
// immutable value.
type sequence struct {
	oldest uint64 // from 1; no lower number is kept, but for orders that still run
	last   uint64 // the last number issued
}

// NewLedger returns an empty ledger for an incarnation of a daemon.
func NewLedger(daemon, incarnation string) *Ledger {
	l := &Ledger{
		daemon:      daemon,
		incarnation: incarnation,
		numbers:     ramp.NewTable[string, sequence](ramp.RankOrders),
		customers:   ramp.NewTable[string, int](ramp.RankOrders),
		tickets:     ramp.NewTable[uint64, entry](ramp.RankOrders),
		inherited:   ramp.NewTable[ramp.Ticket, entry](ramp.RankOrders),
	}
	l.numbers.Put("", sequence{oldest: 1})
	return l
}

// Issue implements [ramp.TicketStore].
func (l *Ledger) Issue(customer string, now time.Time) (ramp.Ticket, error) {
	l.sweep(now)
	if l.closed.Load() {
		return ramp.Ticket{}, refuse(ramp.ReasonLeaving, ramp.NotRun, "the daemon has shut down")
	}
	if l.tickets.Len() >= maxTickets || !l.reserve(customer) {
		return ramp.Ticket{}, &ramp.RefusedError{
			Reason: ramp.ReasonLoad, Ran: ramp.NotRun, Detail: "too many tickets are in use", RetryAfter: retryAfter,
		}
	}
	number := l.numbers.Update("", func(s sequence) sequence {
		s.last++
		return s
	}).last
	l.tickets.Put(number, entry{customer: customer, issued: now, done: make(chan struct{})})
	return ramp.Ticket{Daemon: l.daemon, Incarnation: l.incarnation, Number: number}, nil
}

// Begin implements [ramp.TicketStore].
func (l *Ledger) Begin(
	ctx context.Context, t ramp.Ticket, q ramp.Query, now time.Time,
) (bool, ramp.Answer, error) {
	if t.Incarnation != l.incarnation {
		e, _ := l.inherited.Get(t)
		return l.outcome(e, q, now)
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
		return false, ramp.Answer{}, l.undispatched(e, q, now)
	}
	if known && e.phase == running && e.mismatch(q) == nil {
		select {
		case <-e.done:
			e, _ = l.tickets.Get(t.Number)
		case <-ctx.Done():
			return false, ramp.Answer{}, refuse(ramp.ReasonDeadline, ramp.RanUnknown, "the order is still in progress")
		}
	}
	return l.outcome(e, q, now)
}

// undispatched says why a ticket that was issued is not dispatched.
func (l *Ledger) undispatched(e entry, q ramp.Query, now time.Time) error {
	if err := e.mismatch(q); err != nil {
		return err
	}
	if e.expired(now) {
		return unknownTicket()
	}
	return refuse(ramp.ReasonLeaving, ramp.NotRun, "the daemon has shut down; take a new ticket")
}

// outcome returns what became of a ticket. The zero entry is that of a ticket
// that is not known.
func (l *Ledger) outcome(e entry, q ramp.Query, now time.Time) (bool, ramp.Answer, error) {
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
func (l *Ledger) End(t ramp.Ticket, answer ramp.Answer, err error, now time.Time) {
	answer = compact(answer)
	size := sizeOf(answer.Hits)
	if l.receipts.Add(size) > maxReceipts {
		l.receipts.Add(-size)
		answer = withoutHits(answer)
	}
	e, ok := l.tickets.UpdateExisting(t.Number, func(old entry) entry { return old.WithOutcome(answer, asRefusal(err)) })
	if !ok {
		return
	}
	close(e.done)
	if e.expired(now) && t.Number < l.oldest() {
		l.forget(t.Number, e) // the sweep has passed it by
	}
}

// Close settles every ticket that was not dispatched as not run, and from now
// on dispatches no order and issues no ticket. It waits for the orders that
// run, or returns the error of ctx.
func (l *Ledger) Close(ctx context.Context) error {
	l.closed.Store(true)
	var pending []entry
	for _, number := range l.numbersKept() {
		e, ok := l.tickets.UpdateExisting(number, func(old entry) entry {
			if old.phase != issued {
				return old
			}
			return old.WithOutcome(ramp.Answer{}, &ramp.RefusedError{
				Reason: ramp.ReasonLeaving, Ran: ramp.NotRun, Detail: "the issuer left; take a new ticket",
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

// Settlements returns the outcomes of the tickets that this ledger issued.
// Orders that still run are not among them.
func (l *Ledger) Settlements(now time.Time) []ramp.TicketOutcome {
	var settlements []ramp.TicketOutcome
	l.tickets.Each(func(number uint64, e entry) bool {
		if e.phase == settled && !e.expired(now) {
			t := ramp.Ticket{Daemon: l.daemon, Incarnation: l.incarnation, Number: number}
			settlements = append(settlements, ramp.TicketOutcome{
				Ticket: t, Customer: e.customer, Order: e.order, Age: now.Sub(e.issued), Answer: e.answer, Refusal: e.refusal,
			})
		}
		return true
	})
	return settlements
}

// Inherit takes in outcomes that another daemon handed over. Tickets that it
// has no room for stay unknown.
func (l *Ledger) Inherit(settlements []ramp.TicketOutcome, now time.Time) {
	l.inherited.DeleteFunc(func(_ ramp.Ticket, e entry) bool { return e.expired(now) })
	for _, s := range settlements {
		if s.Ticket.Incarnation == l.incarnation || l.inherited.Len() >= maxTickets {
			continue
		}
		l.inherited.Put(s.Ticket, entry{
			customer: s.Customer, issued: now.Add(-s.Age), phase: settled, order: s.Order, answer: s.Answer, refusal: s.Refusal,
		})
	}
}

// reserve counts a ticket for the customer, unless it has too many.
func (l *Ledger) reserve(customer string) bool {
	reserved := false
	l.customers.Update(customer, func(kept int) int {
		reserved = kept < maxCustomer
		if reserved {
			kept++
		}
		return kept
	})
	return reserved
}

// sweep looks at the oldest tickets and forgets those that have expired. It
// looks at more than one for each ticket issued, so none is kept long after its
// end. Orders that still run are left to End.
func (l *Ledger) sweep(now time.Time) {
	for range sweepStep {
		number := l.oldest()
		e, ok := l.tickets.Get(number)
		if !ok || !e.expired(now) {
			return
		}
		passed := false
		l.numbers.Update("", func(s sequence) sequence {
			passed = s.oldest == number
			if passed {
				s.oldest++
			}
			return s
		})
		if passed && e.phase != running {
			l.forget(number, e)
		}
	}
}

func (l *Ledger) forget(number uint64, e entry) {
	l.tickets.Delete(number)
	l.receipts.Add(-sizeOf(e.answer.Hits))
	l.customers.Update(e.customer, func(kept int) int { return kept - 1 })
	l.customers.DeleteFunc(func(customer string, kept int) bool { return customer == e.customer && kept == 0 })
}

func (l *Ledger) oldest() uint64 {
	s, _ := l.numbers.Get("")
	return s.oldest
}

func (l *Ledger) numbersKept() []uint64 {
	var numbers []uint64
	l.tickets.Each(func(number uint64, _ entry) bool {
		numbers = append(numbers, number)
		return true
	})
	return numbers
}

func asRefusal(err error) *ramp.RefusedError {
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
	return refuse(ramp.ReasonIssuer, ramp.RanUnknown, "the ticket is not known here any more")
}

func refuse(reason ramp.Reason, ran ramp.Ran, detail string) error {
	return &ramp.RefusedError{Reason: reason, Ran: ran, Detail: detail}
}
