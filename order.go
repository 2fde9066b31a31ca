package sycamoreramp

import (
	"context"
	"crypto/sha256"
	"strconv"
	"strings"
	"time"
)

// Ticket identifies an order before it runs. Only the issuing incarnation may
// dispatch the order, at most once. Every request with the same ticket is a retry
// of the same order.
type Ticket struct {
	Daemon      string // id of the issuer
	Incarnation string // incarnation of the issuer
	Number      uint64 // unique within the incarnation
}

// OrderHash identifies the contents of an order without storing them.
type OrderHash [sha256.Size]byte

// HashOrder returns the hash of the query's service, key and body. It is never
// the zero hash.
func HashOrder(q Query) OrderHash {
	lengths := strconv.Itoa(len(q.Service)) + " " + strconv.Itoa(len(q.Key)) + " "
	return sha256.Sum256([]byte(strings.Join([]string{lengths, q.Service, q.Key, q.Body}, "")))
}

// TicketOutcome is the final outcome of a ticket.
type TicketOutcome struct {
	Ticket   Ticket        // the settled ticket
	Customer string        // customer that it was issued to
	Order    OrderHash     // the order dispatched under it; zero for none
	Age      time.Duration // since the ticket was issued
	Answer   Answer        // the order's answer; ignored if Refusal is set
	Refusal  *RefusedError // refusal in place of an answer; nil for none
}

// TicketStore stores the outcomes of the orders whose tickets this daemon issued.
type TicketStore interface {
	// Issue returns a new ticket for the customer, or a [*RefusedError] when the
	// store is full or closed.
	Issue(customer string, now time.Time) (Ticket, error)
	// Begin claims the single dispatch of the ticket's order. First is true for one
	// call per ticket, which must be followed by End. Every other call waits for the
	// outcome and returns it, or a [*RefusedError]: with ReasonTicket for a ticket of
	// another customer or order, ReasonIssuer for an unknown ticket, ReasonLeaving
	// when the store is closed, or ReasonDeadline when ctx ends.
	Begin(ctx context.Context, t Ticket, q Query, now time.Time) (first bool, earlier Answer, err error)
	// End records the outcome for all current and later requests with the ticket.
	End(t Ticket, answer Answer, err error, now time.Time)
}

// Handover sends the ticket outcomes of a leaving daemon to another daemon.
type Handover interface {
	// HandOver returns nil once the other daemon has the outcomes, or a [*PeerError].
	// It is idempotent.
	HandOver(ctx context.Context, to Daemon, outcomes []TicketOutcome) error
}
