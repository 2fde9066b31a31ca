package order_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/order"
)

// TestTicketStore records the results for a ticket that is used twice, by another
// customer, for another order, after it expired, after the issuer closed, and at
// a successor.
func TestTicketStore(t *testing.T) {
	var b strings.Builder
	now := time.Unix(0, 0)
	ctx := context.Background()
	q := ramp.Query{Customer: "keeper", Service: "desk", Operation: ramp.Order, Key: "k", Body: "one lens"}
	otherOrder, otherCustomer := q, q
	otherOrder.Body, otherCustomer.Customer = "two lenses", "guide"
	record := func(event string, err error) {
		var refused *ramp.RefusedError
		if errors.As(err, &refused) {
			fmt.Fprintf(&b, "%s: reason=%s ran=%s %s\n", event, refused.Reason, refused.Ran, refused.Detail)
			return
		}
		fmt.Fprintf(&b, "%s: %v\n", event, err)
	}
	l, successor := order.NewTicketStore("d0", "one"), order.NewTicketStore("d1", "two")
	begin := func(l *order.TicketStore, event string, t ramp.Ticket, q ramp.Query) {
		first, answer, err := l.Begin(ctx, t, q, now)
		record(fmt.Sprintf("%s: first=%t ran=%q", event, first, answer.Ran), err)
	}
	used, _ := l.Issue("keeper", now)
	begin(l, "another customer", used, otherCustomer)
	begin(l, "the order", used, q)
	l.End(used, ramp.Answer{Ran: ramp.HasRun}, nil, now)
	begin(l, "repeat", used, q)
	begin(l, "another order", used, otherOrder)
	begin(l, "never issued", ramp.Ticket{Daemon: "d0", Incarnation: "one", Number: 99}, q)
	begin(l, "another incarnation", ramp.Ticket{Daemon: "d0", Incarnation: "zero", Number: 1}, q)
	shed, _ := l.Issue("keeper", now)
	begin(l, "an order that is refused", shed, q)
	l.End(shed, ramp.Answer{}, &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun}, now)
	begin(l, "repeat after the refusal", shed, q)
	unused, _ := l.Issue("keeper", now)
	record("close", l.Close(ctx))
	begin(l, "issued before the close", unused, q)
	_, err := l.Issue("keeper", now)
	record("issue after the close", err)
	begin(successor, "at the successor before", used, q)
	successor.ImportOutcomes(l.Outcomes(now), now)
	begin(successor, "at the successor", used, q)
	begin(successor, "at the successor, another order", used, otherOrder)
	begin(successor, "at the successor, not dispatched", unused, q)
	now = now.Add(time.Hour)
	begin(l, "expired", used, q)
	begin(successor, "expired at the successor", used, q)
	golden.Check(t, "ledger", b.String())
}

// TestTicketStoreIsBounded issues tickets beyond the bound of a customer, which
// must not affect another customer, and checks that expired tickets are evicted.
func TestTicketStoreIsBounded(t *testing.T) {
	l := order.NewTicketStore("d0", "one")
	now := time.Unix(0, 0)
	refused := 0
	for range 17_000 {
		now = now.Add(time.Millisecond)
		if _, err := l.Issue("keeper", now); err != nil {
			refused++
		}
	}
	if _, err := l.Issue("guide", now); err != nil {
		t.Errorf("ticket refused because of another customer's tickets: %v", err)
	}
	now = now.Add(time.Hour)
	for range 2_000 {
		now = now.Add(100 * time.Millisecond)
		if _, err := l.Issue("keeper", now); err != nil {
			t.Fatalf("expired tickets are not evicted: %v", err)
		}
	}
	if refused != 17_000-1<<14 {
		t.Errorf("%d tickets were refused", refused)
	}
}
