package sycamoreramp

import (
	"context"
	"crypto/sha256"
	"strconv"
	"strings"
	"time"
)

// Ticket names an order before it runs. Only the incarnation that issued it
// may dispatch the order, once. Every request with the same ticket is a repeat
// of the same order.
type Ticket struct {
	Daemon      string // id of the issuer
	Incarnation string // incarnation of the issuer
	Number      uint64 // unique within the incarnation
}

// OrderHash identifies what an order asks for, without its text.
type OrderHash [sha256.Size]byte

// HashOrder returns the hash of the query's service, key and body. It is never
// the zero hash.
func HashOrder(q Query) OrderHash {
	lengths := strconv.Itoa(len(q.Service)) + " " + strconv.Itoa(len(q.Key)) + " "
	return sha256.Sum256([]byte(strings.Join([]string{lengths, q.Service, q.Key, q.Body}, "")))
}

// TicketOutcome is the outcome of a ticket, which never changes again.
type TicketOutcome struct {
	Ticket   Ticket        // the ticket
	Customer string        // customer that it was issued to
	Order    OrderHash     // the order dispatched under it; zero for none
	Age      time.Duration // since the ticket was issued
	Answer   Answer        // the order's answer; its zero value beside an error
	Refusal  *RefusedError // why there is no answer; nil for none
}

// TicketStore keeps what became of the orders whose tickets this daemon issued.
type TicketStore interface {
	// Issue returns a new ticket for the customer, or a [*RefusedError] when the
	// ledger is full or closed.
	Issue(customer string, now time.Time) (Ticket, error)
	// Begin claims the one dispatch of the ticket's order. First is true for one
	// call in the life of a ticket, and End must follow it. Every other call
	// returns the outcome as soon as there is one, or a [*RefusedError]: with
	// ReasonTicket for a ticket of another customer or order, else with
	// ReasonIssuer when the ticket is not known, or ReasonDeadline when ctx ends.
	Begin(ctx context.Context, t Ticket, q Query, now time.Time) (first bool, earlier Answer, err error)
	// End settles the ticket for all requests that carry it, now and later.
	End(t Ticket, answer Answer, err error, now time.Time)
}

// Handover passes what a leaving daemon knows of its tickets to another.
type Handover interface {
	// HandOver returns nil once the other daemon has the settlements, or a
	// [*PeerError]. It may be repeated.
	HandOver(ctx context.Context, to Daemon, settled []TicketOutcome) error
}
