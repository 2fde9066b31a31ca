package query_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/order"
	"sycamoreramp.example/sycamoreramp/query"
)

// fixedLists are lists that are always in force. They implement
// [ramp.ListsSource].
type fixedLists struct{ ramp.Lists }

func (l fixedLists) Check(time.Time) error            { return nil }
func (l fixedLists) Current() (ramp.Lists, time.Time) { return l.Lists, time.Now() }

// admitAll admits every query except those of the plan "full". It implements
// [ramp.Admitter].
type admitAll struct{}

func (admitAll) Admit(
	_ context.Context, _ ramp.Query, a ramp.Allowance, _ int,
) (release func(), err error) {
	if a.Plan == "full" {
		return nil, &ramp.RefusedError{Reason: ramp.ReasonLoad, Ran: ramp.NotRun, RetryAfter: time.Second}
	}
	return func() {}, nil
}

// TestLog records the log lines of requests under the fake clock, and fails
// when one contains a customer's key or the body of a request.
func TestLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDaemon(nil)
		defer d.engine.Pool.Close()
		link := d.engine.Backends.(*standin.Link)
		link.ConnectDelay, link.HopDelay = 0, 0 // the same latency for whichever replica is chosen
		for _, b := range d.servers {
			b.SetBehaviour(standin.Behaviour{Delay: 10 * time.Millisecond})
		}
		var b strings.Builder
		allowance := ramp.Allowance{
			Plan: "open", Services: []string{service}, Prefer: ramp.PreferTail, Share: 1,
			Latency: 80 * time.Millisecond, Deadline: 160 * time.Millisecond, Coverage: 0.9,
		}
		full := allowance
		full.Plan = "full"
		lists := ramp.Lists{Version: 7}.WithAllowance(allowance).WithAllowance(full).
			WithCustomer(ramp.Customer{Name: "keeper", Plan: "open", Key: ramp.HashCredential("key-of-keeper")}).
			WithCustomer(ramp.Customer{Name: "guest", Plan: "full", Key: ramp.HashCredential("key-of-guest")})
		s := &query.Service{
			Clock: ramp.SystemClock{}, Log: slog.New(slog.NewTextHandler(&b, nil)),
			Self: ramp.Daemon{ID: "d1", Incarnation: "first"}, Lists: fixedLists{lists}, Admitter: admitAll{},
			Tickets: order.NewTicketStore("d1", "first"), Engine: d.engine,
			Observe: func(ramp.Query, ramp.Allowance, ramp.Answer, error) {},
		}
		ask := func(key string, operation ramp.Operation, of, record string, ticket ramp.Ticket) {
			_, _ = s.Run(t.Context(), query.Request{
				Credential: key, Operation: operation, Service: of, Key: record, Body: "secret body", Ticket: ticket,
			})
		}
		ticket, _ := s.IssueTicket("key-of-keeper")
		record := standin.Keys(service)[0]
		ask("key-of-keeper", ramp.Search, service, "", ramp.Ticket{})
		ask("key-of-keeper", ramp.Read, service, record, ramp.Ticket{})
		ask("key-of-keeper", ramp.Order, service, record, ticket)
		ask("key-of-nobody", ramp.Search, service, "", ramp.Ticket{})
		ask("key-of-keeper", ramp.Search, "lenses", "", ramp.Ticket{})
		ask("key-of-guest", ramp.Search, service, "", ramp.Ticket{})
		if strings.Contains(b.String(), "key-of-") || strings.Contains(b.String(), "secret body") {
			t.Error("the log contains a customer's key or a request body")
		}
		golden.Check(t, "log", b.String())
	})
}
