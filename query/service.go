package query

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Request is a caller's request before it has been authenticated.
type Request struct {
	Credential string         // the customer's key
	Operation  ramp.Operation // one of the three operations
	Service    string         // service that the request is for
	Key        string         // for Read and Order
	Body       string         // passed to the backend servers as it is
	Timeout    time.Duration  // 0 for the longest that the plan allows
	Ticket     ramp.Ticket    // for Order
}

// Service authenticates, admits and runs the requests of callers. It does not
// depend on how requests are encoded. All fields must be set before the first
// call.
type Service struct {
	Clock    ramp.Clock
	Log      *slog.Logger
	Self     ramp.Daemon
	Lists    ramp.ListsSource
	Members  ramp.DaemonFinder
	Admitter ramp.Admitter
	Tickets  ramp.TicketStore
	Peers    ramp.Peers
	Engine   *Engine
	Observe  func(q ramp.Query, a ramp.Allowance, answer ramp.Answer, err error) // called once for each call of Run

	requestCount atomic.Uint64 // requests numbered so far
}

// Run answers a request. Its error is a [*ramp.RefusedError]; the answer then
// still has the request's id, the version of the lists and the attempts.
func (s *Service) Run(ctx context.Context, r Request) (ramp.Answer, error) {
	started := s.Clock.Now()
	q, allowance, err := s.authenticate(r, started)
	lists, _ := s.Lists.Current()
	answer := ramp.Answer{}
	switch {
	case r.Operation == ramp.Order:
		answer, err = s.routeOrder(ctx, r.Ticket, q, allowance, err)
	case err == nil:
		answer, err = s.admitAndRun(ctx, q, allowance)
	}
	answer.ID = q.ID
	if answer.ListsVersion == 0 {
		answer.ListsVersion = lists.Version
	}
	answer.Elapsed = s.Clock.Now().Sub(started)
	err = asRefusal(err, q)
	s.Observe(q, allowance, answer, err)
	s.log(q, answer, err, s.Clock.Now().Sub(started))
	return answer, err
}

// Ready returns a [*ramp.RefusedError] when the daemon would refuse every
// request, because it is cut off and its lists are missing or may be out of
// date.
func (s *Service) Ready() error { return s.Lists.Check(s.Clock.Now()) }

// IssueTicket issues a ticket for an order of the customer with the given key, or
// returns a [*ramp.RefusedError].
func (s *Service) IssueTicket(credential string) (ramp.Ticket, error) {
	now := s.Clock.Now()
	if err := s.Lists.Check(now); err != nil {
		return ramp.Ticket{}, err
	}
	lists, _ := s.Lists.Current()
	customer, ok := lists.Customer(ramp.HashCredential(credential))
	if !ok {
		return ramp.Ticket{}, refuse(ramp.ReasonKey, "the key is unknown")
	}
	return s.Tickets.Issue(customer.Name, now)
}

// RunForwarded runs an order that another daemon admitted and whose ticket this
// daemon issued. For a ticket of another incarnation it only returns the
// outcome that the incarnation handed over. Its error is a
// [*ramp.RefusedError].
func (s *Service) RunForwarded(ctx context.Context, ticket ramp.Ticket, q ramp.Query) (ramp.Answer, error) {
	lists, _ := s.Lists.Current()
	allowance, ok := lists.Allowance(q.Plan)
	var refusal error
	if !ok {
		refusal = refuse(ramp.ReasonService, "the plan is unknown")
	}
	answer, err := s.runOrder(ctx, ticket, q, allowance, refusal)
	return answer, asRefusal(err, q)
}

// authenticate finds the customer of the request and checks the request against
// the lists in force. The returned query has its id also with an error.
func (s *Service) authenticate(r Request, now time.Time) (ramp.Query, ramp.Allowance, error) {
	q := ramp.Query{
		ID:        s.Self.ID + "-" + s.Self.Incarnation + "-" + strconv.FormatUint(s.requestCount.Add(1), 10),
		Service:   r.Service,
		Operation: r.Operation,
		Key:       r.Key,
		Body:      r.Body,
	}
	if err := s.Lists.Check(now); err != nil {
		return q, ramp.Allowance{}, err
	}
	lists, _ := s.Lists.Current()
	customer, ok := lists.Customer(ramp.HashCredential(r.Credential))
	if !ok {
		return q, ramp.Allowance{}, refuse(ramp.ReasonKey, "the key is unknown")
	}
	q.Customer, q.Plan = customer.Name, customer.Plan
	allowance, ok := lists.Allowance(customer.Plan)
	if !ok || !allowance.Allows(r.Service) {
		return q, allowance, refuse(ramp.ReasonService, "the plan may not use "+r.Service)
	}
	timeout := allowance.Deadline
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return q.WithDeadline(now.Add(timeout)), allowance, nil
}

// admitAndRun runs the query unless admission refuses it or its deadline passes
// while it waits. A dispatched order continues to run when its caller goes
// away.
func (s *Service) admitAndRun(ctx context.Context, q ramp.Query, a ramp.Allowance) (ramp.Answer, error) {
	release, err := s.Admitter.Admit(ctx, q, a, s.Engine.Cost(q))
	if err != nil {
		return ramp.Answer{}, err
	}
	defer release()
	if !s.Clock.Now().Before(q.Deadline) {
		return ramp.Answer{}, refuse(ramp.ReasonDeadline, "the deadline passed before anything was sent")
	}
	if q.Operation == ramp.Order {
		ctx = context.WithoutCancel(ctx)
	}
	return s.Engine.Run(ctx, q, a)
}

// log writes one line for a request.
func (s *Service) log(q ramp.Query, answer ramp.Answer, err error, elapsed time.Duration) {
	attributes := []any{
		"request", q.ID, "customer", q.Customer, "plan", q.Plan, "service", q.Service,
		"operation", q.Operation, "lists", answer.ListsVersion, "snapshot", answer.IndexVersion,
		"coverage", coverageRatio(answer), "attempts", len(answer.Attempts), "elapsed", elapsed,
	}
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		s.Log.Info("request refused", append(attributes, "ran", refused.Ran, "reason", refused.Reason)...)
		return
	}
	s.Log.Info("request answered", append(attributes, "ran", answer.Ran)...)
}

// asRefusal returns the refusal that err wraps, or for any other error a
// refusal that does not know whether the request ran.
func asRefusal(err error, q ramp.Query) error {
	if err == nil {
		return nil
	}
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &ramp.RefusedError{
		Reason: ramp.ReasonReplica, Ran: ramp.RanUnknown, Detail: string(q.Operation) + " has no known outcome",
	}
}

// coverageRatio returns the covered share of the answer's key range, from 0 to
// 1. It is 0 for a request that was refused before its key range was known.
func coverageRatio(answer ramp.Answer) float64 {
	if answer.Requested.Size() == 0 {
		return 0
	}
	return answer.Coverage.Ratio(answer.Requested)
}

// refuse returns a refusal of a request that did not run.
func refuse(reason ramp.Reason, detail string) error {
	return &ramp.RefusedError{Reason: reason, Ran: ramp.NotRun, Detail: detail}
}
