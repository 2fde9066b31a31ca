package query

import (
	"context"
	"errors"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// routeOrder runs an order on the daemon that issued its ticket, which alone
// may dispatch it. Refusal is why this daemon refuses the order, or nil.
//
// Whether an order ran, as a refusal states it, must hold for every request
// with the same ticket, including those in flight. So only the issuer, which
// settles the ticket with the refusal, may state that the order did not run.
// The exception is a request with an unknown key: it belongs to no order.
func (s *Service) routeOrder(
	ctx context.Context, ticket ramp.Ticket, q ramp.Query, a ramp.Allowance, refusal error,
) (ramp.Answer, error) {
	var refused *ramp.RefusedError
	switch {
	case errors.As(refusal, &refused) && refused.Reason == ramp.ReasonKey:
		return ramp.Answer{}, refusal
	case q.Customer == "":
		return ramp.Answer{}, withRanUnknown(refusal)
	case ticket.Incarnation == s.Self.Incarnation:
		return s.runOrder(ctx, ticket, q, a, refusal)
	case refusal != nil:
		return ramp.Answer{}, withRanUnknown(refusal)
	}
	return s.forward(ctx, ticket, q)
}

// runOrder runs an order whose ticket this daemon issued, unless it was
// dispatched before. A refusal other than nil becomes the outcome of the ticket
// instead. The order continues to run when its caller goes away.
func (s *Service) runOrder(
	ctx context.Context, ticket ramp.Ticket, q ramp.Query, a ramp.Allowance, refusal error,
) (ramp.Answer, error) {
	waitCtx, cancel := s.withDeadline(ctx, q.Deadline)
	defer cancel()
	first, answer, err := s.Tickets.Begin(waitCtx, ticket, q, s.Clock.Now())
	if !first {
		return answer, err
	}
	answer, err = s.dispatch(ctx, q, a, refusal)
	err = asRefusal(err, q)
	lists, _ := s.Lists.Current()
	answer.ListsVersion = lists.Version
	s.Tickets.End(ticket, answer, err, s.Clock.Now())
	return answer, err
}

// dispatch runs the order once. It refuses an order whose caller has gone,
// which can happen while this daemon is paused.
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

// forward sends the order to the issuer of its ticket. When the issuer is gone
// or does not answer, it asks the daemons to which the issuer may have handed
// over its tickets; none of them runs the order.
func (s *Service) forward(ctx context.Context, ticket ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	ctx, cancel := s.withDeadline(ctx, q.Deadline)
	defer cancel()
	if issuer, ok := s.Members.Find(ticket.Incarnation); ok {
		answer, err := s.Peers.Forward(ctx, issuer, ticket, q)
		var failed *ramp.PeerError
		if !errors.As(err, &failed) {
			return answer, err
		}
		s.Log.Warn("forwarding the order to its issuer failed",
			"request", q.ID, "issuer", issuer.ID, "sent", failed.Sent, "error", err)
	}
	return s.findHandedOver(ctx, ticket, q)
}

// findHandedOver returns the outcome of a ticket that its issuer handed over to
// this or another daemon, or a refusal with ReasonIssuer when none has it.
func (s *Service) findHandedOver(ctx context.Context, ticket ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	_, answer, err := s.Tickets.Begin(ctx, ticket, q, s.Clock.Now())
	if !outcomeUnknown(err) {
		return answer, err
	}
	for _, d := range s.Members.Successors(ticket.Incarnation) {
		if d.Incarnation == s.Self.Incarnation {
			continue
		}
		answer, err := s.Peers.Forward(ctx, d, ticket, q)
		if !outcomeUnknown(err) {
			return answer, err
		}
	}
	return ramp.Answer{}, &ramp.RefusedError{
		Reason: ramp.ReasonIssuer, Ran: ramp.RanUnknown, Detail: "the daemon that issued the ticket does not answer",
	}
}

// withDeadline returns a context that ends at the deadline by the service's
// clock.
func (s *Service) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.Clock.AfterFunc(deadline.Sub(s.Clock.Now()), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// outcomeUnknown reports whether the error leaves the outcome of an order
// unknown.
func outcomeUnknown(err error) bool {
	if err == nil {
		return false
	}
	var refused *ramp.RefusedError
	return !errors.As(err, &refused) || refused.Reason == ramp.ReasonIssuer
}

// withRanUnknown returns a copy of the refusal that does not state that the
// order did not run: another request with the same ticket may have run it, or
// may still run it.
func withRanUnknown(err error) error {
	var refused *ramp.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	unknown := *refused
	unknown.Ran = ramp.RanUnknown
	return &unknown
}
