package query

import (
	"context"
	"errors"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// route brings an order to the issuer of its ticket, which alone may dispatch
// it. Refusal is why this daemon refuses the order, or nil.
//
// What a refusal of an order says of whether it ran holds for every request
// with the same ticket, those still on their way included. So only the issuer,
// which settles the ticket with it, may say that the order did not run. The
// exception is a request whose caller is not known: it belongs to no order.
func (s *Service) route(
	ctx context.Context, ticket ramp.Ticket, q ramp.Query, a ramp.Allowance, refusal error,
) (ramp.Answer, error) {
	var refused *ramp.RefusedError
	switch {
	case errors.As(refusal, &refused) && refused.Reason == ramp.ReasonKey:
		return ramp.Answer{}, refusal
	case q.Customer == "":
		return ramp.Answer{}, doubt(refusal)
	case ticket.Incarnation == s.Self.Incarnation:
		return s.order(ctx, ticket, q, a, refusal)
	case refusal != nil:
		return ramp.Answer{}, doubt(refusal)
	}
	return s.forward(ctx, ticket, q)
}

// order runs an order whose ticket this daemon issued, unless it was dispatched
// before. With a refusal the ticket is settled by that instead. The order goes
// on when its caller goes away.
func (s *Service) order(
	ctx context.Context, ticket ramp.Ticket, q ramp.Query, a ramp.Allowance, refusal error,
) (ramp.Answer, error) {
	waiting, cancel := s.until(ctx, q.Deadline)
	defer cancel()
	first, answer, err := s.Ledger.Begin(waiting, ticket, q, s.Clock.Now())
	if !first {
		return answer, err
	}
	answer, err = s.dispatch(ctx, q, a, refusal)
	err = asRefusal(err, q)
	lists, _ := s.Lists.Current()
	answer.ListsVersion = lists.Version
	s.Ledger.End(ticket, answer, err, s.Clock.Now())
	return answer, err
}

// dispatch runs the order once, unless its caller went away while this daemon
// was paused.
func (s *Service) dispatch(
	ctx context.Context, q ramp.Query, a ramp.Allowance, refusal error,
) (ramp.Answer, error) {
	switch {
	case refusal != nil:
		return ramp.Answer{}, refusal
	case ctx.Err() != nil:
		return ramp.Answer{}, refuse(ramp.ReasonDeadline, "the caller went away before the order was dispatched")
	}
	return s.admitAndRun(ctx, q, a)
}

// forward lets the issuer of the ticket run the order. When the issuer is gone
// or does not answer, it asks the daemons to which the issuer may have handed
// over its tickets. None of those runs the order.
func (s *Service) forward(ctx context.Context, ticket ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	ctx, cancel := s.until(ctx, q.Deadline)
	defer cancel()
	if issuer, ok := s.Members.Find(ticket.Incarnation); ok {
		answer, err := s.Peers.Forward(ctx, issuer, ticket, q)
		var failed *ramp.PeerError
		if !errors.As(err, &failed) {
			return answer, err
		}
		s.Log.Warn("order not forwarded", "request", q.ID, "issuer", issuer.ID, "sent", failed.Sent, "error", err)
	}
	return s.inherited(ctx, ticket, q)
}

// inherited returns what the issuer of the ticket handed over about it.
func (s *Service) inherited(ctx context.Context, ticket ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	_, answer, err := s.Ledger.Begin(ctx, ticket, q, s.Clock.Now())
	if !unknown(err) {
		return answer, err
	}
	for _, d := range s.Members.Successors(ticket.Incarnation) {
		if d.Incarnation == s.Self.Incarnation {
			continue
		}
		answer, err := s.Peers.Forward(ctx, d, ticket, q)
		if !unknown(err) {
			return answer, err
		}
	}
	return ramp.Answer{}, &ramp.RefusedError{
		Reason: ramp.ReasonIssuer, Ran: ramp.RanUnknown, Detail: "the daemon that issued the ticket does not answer",
	}
}

// until returns a context that ends at the deadline by the clock.
func (s *Service) until(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.Clock.AfterFunc(deadline.Sub(s.Clock.Now()), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// unknown reports whether the error leaves open what became of an order.
func unknown(err error) bool {
	if err == nil {
		return false
	}
	var refused *ramp.RefusedError
	return !errors.As(err, &refused) || refused.Reason == ramp.ReasonIssuer
}

// doubt returns the refusal with its claim that nothing ran taken back:
// another request with the same ticket may have run the order, or may yet.
func doubt(err error) error {
	var refused *ramp.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	doubtful := *refused
	doubtful.Ran = ramp.RanUnknown
	return &doubtful
}
