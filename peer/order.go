package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/peer/wire"
)

// Forward implements [ramp.Peers].
func (c *Client) Forward(
	ctx context.Context, to ramp.Daemon, ticket ramp.Ticket, q ramp.Query,
) (ramp.Answer, error) {
	var d dialler
	peer := wire.NewDRPCPeerClient(c.pool.Get(ctx, to.PeerAddress, d.dial))
	reply, err := peer.Forward(ctx, encodeOrder(ticket, q, c.clock.Now(), c.credential))
	if err != nil {
		return ramp.Answer{}, &ramp.PeerError{Daemon: to.ID, Sent: !d.dialFailed, Cause: err}
	}
	return decodeOrderReply(q, reply)
}

// Forward implements [wire.DRPCPeerServer].
func (s *Server) Forward(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	if !s.validCredential(request.GetCredential()) {
		return nil, errCredential
	}
	ticket, q := decodeOrder(request, s.clock.Now())
	answer, err := s.handler.HandleForward(ctx, ticket, q)
	return encodeOrderReply(answer, err)
}

// maxMessageBytes bounds the encoded ticket outcomes in one handover message, in
// bytes.
const maxMessageBytes = 1 << 20

// HandOver implements [ramp.Handover]. It sends the outcomes in messages of bounded
// size, and skips an outcome that is too large for a message of its own.
func (c *Client) HandOver(ctx context.Context, to ramp.Daemon, outcomes []ramp.TicketOutcome) error {
	peer := wire.NewDRPCHandoverClient(c.pool.Get(ctx, to.PeerAddress, dial))
	for _, batch := range splitOutcomes(outcomes) {
		batch.Credential = c.credential
		if _, err := peer.HandOver(ctx, batch); err != nil {
			return &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: err}
		}
	}
	return nil
}

// HandOver implements [wire.DRPCHandoverServer]. A malformed outcome fails the whole
// call before any outcome is stored.
func (s *Server) HandOver(_ context.Context, request *wire.Settlements) (*wire.HandedOver, error) {
	if !s.validCredential(request.GetCredential()) {
		return nil, errCredential
	}
	outcomes := make([]ramp.TicketOutcome, 0, len(request.GetSettled()))
	for _, m := range request.GetSettled() {
		outcome, err := decodeOutcome(m)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, outcome)
	}
	s.handler.HandleHandover(outcomes)
	return &wire.HandedOver{}, nil
}

// splitOutcomes encodes the outcomes into messages of at most maxMessageBytes each,
// in order. It leaves out outcomes that are larger.
func splitOutcomes(outcomes []ramp.TicketOutcome) []*wire.Settlements {
	var messages []*wire.Settlements
	free := 0 // bytes left in the last message
	for _, outcome := range outcomes {
		m := encodeOutcome(outcome)
		size := proto.Size(m)
		if size > maxMessageBytes {
			continue
		}
		if size > free {
			messages = append(messages, &wire.Settlements{})
			free = maxMessageBytes
		}
		last := messages[len(messages)-1]
		last.Settled = append(last.Settled, m)
		free -= size
	}
	return messages
}

// encodeOutcome returns the wire form of the outcome.
func encodeOutcome(s ramp.TicketOutcome) *wire.Settlement {
	m := &wire.Settlement{
		Daemon: s.Ticket.Daemon, Incarnation: s.Ticket.Incarnation, Number: s.Ticket.Number,
		Customer: s.Customer, AgeMs: s.Age.Milliseconds(),
	}
	if s.Order != (ramp.OrderHash{}) {
		m.Order = s.Order[:]
	}
	if s.Refusal != nil {
		m.Reply = encodeRefusal(s.Refusal)
	} else {
		m.Reply = encodeAnswer(s.Answer)
	}
	return m
}

// decodeOutcome returns the outcome, or errOrderHash.
func decodeOutcome(m *wire.Settlement) (ramp.TicketOutcome, error) {
	s := ramp.TicketOutcome{
		Ticket:   ramp.Ticket{Daemon: m.GetDaemon(), Incarnation: m.GetIncarnation(), Number: m.GetNumber()},
		Customer: m.GetCustomer(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
	if order := m.GetOrder(); len(order) > 0 {
		if len(order) != len(s.Order) {
			return s, errOrderHash
		}
		copy(s.Order[:], order)
	}
	answer, err := decodeOrderReply(ramp.Query{ID: m.GetReply().GetQuery()}, m.GetReply())
	s.Answer = answer
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		s.Refusal = refused
	}
	return s, nil
}

// errOrderHash is the error for a handover with an order hash of the wrong length.
var errOrderHash = errors.New("order hash has the wrong length")

// encodeOrder returns the wire form of a forwarded order. The deadline is sent as the
// time left.
func encodeOrder(t ramp.Ticket, q ramp.Query, now time.Time, credential string) *wire.OrderRequest {
	return &wire.OrderRequest{
		Daemon: t.Daemon, Incarnation: t.Incarnation, Number: t.Number,
		Query: q.ID, Customer: q.Customer, Plan: q.Plan, Service: q.Service, Key: q.Key, Body: q.Body,
		DeadlineMs: q.Deadline.Sub(now).Milliseconds(), Credential: credential,
	}
}

// decodeOrder returns the forwarded order with the deadline counted from now.
func decodeOrder(m *wire.OrderRequest, now time.Time) (ramp.Ticket, ramp.Query) {
	ticket := ramp.Ticket{Daemon: m.GetDaemon(), Incarnation: m.GetIncarnation(), Number: m.GetNumber()}
	return ticket, ramp.Query{
		ID: m.GetQuery(), Customer: m.GetCustomer(), Plan: m.GetPlan(), Service: m.GetService(),
		Operation: ramp.Order, Key: m.GetKey(), Body: m.GetBody(),
		Deadline: now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
	}
}

// encodeOrderReply returns the wire form of an answer or of a [*ramp.RefusedError].
// It returns any other error unchanged, since such an error does not tell whether
// the order ran.
func encodeOrderReply(a ramp.Answer, err error) (*wire.OrderReply, error) {
	if err == nil {
		return encodeAnswer(a), nil
	}
	var refused *ramp.RefusedError
	if !errors.As(err, &refused) {
		return nil, err
	}
	return encodeRefusal(refused), nil
}

// encodeRefusal returns the reply for a refused order.
func encodeRefusal(r *ramp.RefusedError) *wire.OrderReply {
	return &wire.OrderReply{Ran: string(r.Ran), Reason: string(r.Reason), Detail: r.Detail}
}

// encodeAnswer returns the reply for an answered order.
func encodeAnswer(a ramp.Answer) *wire.OrderReply {
	reply := &wire.OrderReply{
		Ran: string(a.Ran), Query: a.ID, Lists: a.ListsVersion, Snapshot: a.IndexVersion,
		Low: a.Requested.Low, High: a.Requested.High, Covered: a.Complete(),
	}
	for _, h := range a.Hits {
		reply.Hits = append(reply.Hits, &wire.Hit{Key: h.Key, Value: h.Value})
	}
	for _, t := range a.Attempts {
		reply.Attempts = append(reply.Attempts, &wire.Attempt{
			Number: int64(t.Number), Kind: string(t.Kind), Shard: t.Shard.ID, Replica: t.Replica.ID,
			Domain: t.Replica.Domain, StartedUs: t.Started.Microseconds(), ElapsedUs: t.Elapsed.Microseconds(),
			Outcome: string(t.Outcome), Sent: t.Sent,
		})
	}
	return reply
}

// decodeOrderReply returns the answer to q, or the [*ramp.RefusedError] of the reply.
func decodeOrderReply(q ramp.Query, m *wire.OrderReply) (ramp.Answer, error) {
	if m.GetReason() != "" {
		return ramp.Answer{}, &ramp.RefusedError{
			Reason: ramp.Reason(m.GetReason()), Ran: ramp.Ran(m.GetRan()), Detail: m.GetDetail(),
		}
	}
	answer := ramp.Answer{
		ID: m.GetQuery(), Ran: ramp.Ran(m.GetRan()), ListsVersion: m.GetLists(), IndexVersion: m.GetSnapshot(),
		Requested: ramp.KeyRange{Low: m.GetLow(), High: m.GetHigh()},
	}
	if m.GetCovered() {
		answer.Coverage, _ = ramp.NewCoverage(answer.Requested)
	}
	var hits []ramp.Hit
	for _, h := range m.GetHits() {
		hits = append(hits, ramp.Hit{Key: h.GetKey(), Value: h.GetValue()})
	}
	var attempts []ramp.Attempt
	for _, t := range m.GetAttempts() {
		attempts = append(attempts, ramp.Attempt{
			Query: q, Number: int(t.GetNumber()), Kind: ramp.AttemptKind(t.GetKind()),
			Shard: ramp.Shard{ID: t.GetShard()}, IndexVersion: answer.IndexVersion,
			Replica: ramp.Replica{ID: t.GetReplica(), Domain: t.GetDomain()},
			Started: time.Duration(t.GetStartedUs()) * time.Microsecond,
			Elapsed: time.Duration(t.GetElapsedUs()) * time.Microsecond,
			Outcome: ramp.Outcome(t.GetOutcome()), Sent: t.GetSent(),
		})
	}
	return answer.WithHits(hits).WithAttempts(attempts), nil
}
