package peer

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/peer/wire"
)

// errMalformedBatch is the error for a batch whose parallel lists differ in length,
// or that has the position of a service that was not requested.
var errMalformedBatch = errors.New("malformed batch")

// Collect implements [ramp.Collector].
func (c *Client) Collect(
	ctx context.Context, to ramp.Daemon, request ramp.CollectRequest, receive func(ramp.Batch),
) error {
	d := &dialler{}
	client := wire.NewDRPCGatherClient(c.pool.Get(ctx, to.PeerAddress, d.dial))
	stream, err := client.Collect(ctx, encodeCollectRequest(request, c.credential, c.clock.Now()))
	if err != nil {
		return &ramp.PeerError{Daemon: to.ID, Sent: !d.dialFailed, Cause: err}
	}
	defer func() { _ = stream.Close() }() // the result of the call is already known
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: err}
		}
		batch, err := decodeBatch(message, len(request.Services))
		if err != nil {
			return &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: err}
		}
		receive(batch)
	}
}

// WithCollectHandler sets the handler of collect requests and returns the server. It
// must be called before [Server.Serve].
func (s *Server) WithCollectHandler(handler ramp.CollectHandler) *Server {
	s.collectHandler = handler
	return s
}

// Collect implements [wire.DRPCGatherServer].
func (s *Server) Collect(request *wire.Collection, stream wire.DRPCGather_CollectStream) error {
	if !s.validCredential(request.GetCredential()) {
		return errCredential
	}
	decoded := decodeCollectRequest(request, s.clock.Now())
	return s.collectHandler.HandleCollect(stream.Context(), decoded, func(b ramp.Batch) error {
		return stream.Send(encodeBatch(b))
	})
}

// encodeCollectRequest returns the wire form of the request. The deadline is sent as
// the time left.
func encodeCollectRequest(c ramp.CollectRequest, credential string, now time.Time) *wire.Collection {
	message := &wire.Collection{
		Credential: credential, Id: c.Message.ID, Method: c.Message.Method, Host: c.Message.Host,
		Target: c.Message.Target, Route: c.Route.Name, ObjectiveUs: c.Route.Objective.Microseconds(),
		Top: uint32(c.Route.TopK), Services: c.Services, LeftUs: c.Deadline.Sub(now).Microseconds(),
		Apart: c.Separate, Insist: c.Insist, BatchUs: c.BatchDelay.Microseconds(),
		Tenant: c.Message.Tenant, Version: c.Message.Version, Priority: int32(c.Message.Priority),
	}
	for _, f := range c.Message.Fields {
		message.Fields = append(message.Fields, &wire.Field{Name: f.Name, Value: f.Value})
	}
	return message
}

// decodeCollectRequest returns the request with the deadline counted from now. Its
// route gets one attempt for each part.
func decodeCollectRequest(m *wire.Collection, now time.Time) ramp.CollectRequest {
	c := ramp.CollectRequest{
		Message: ramp.Message{
			ID: m.GetId(), Method: m.GetMethod(), Host: m.GetHost(), Target: m.GetTarget(),
			Tenant: m.GetTenant(), Version: m.GetVersion(), Priority: int(m.GetPriority()),
		},
		Route: ramp.Route{
			Name: m.GetRoute(), Idempotent: true, MaxAttempts: 1, TopK: int(m.GetTop()),
			Objective: time.Duration(m.GetObjectiveUs()) * time.Microsecond, Gather: m.GetServices(),
		},
		Services: m.GetServices(), Deadline: now.Add(time.Duration(m.GetLeftUs()) * time.Microsecond),
		Separate: m.GetApart(), Insist: m.GetInsist(),
		BatchDelay: time.Duration(m.GetBatchUs()) * time.Microsecond,
	}
	for _, f := range m.GetFields() {
		c.Message.Fields = append(c.Message.Fields, ramp.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return c
}

func encodeBatch(b ramp.Batch) *wire.Batch {
	message := &wire.Batch{Records: b.Records}
	for _, p := range b.Received {
		message.In = append(message.In, uint32(p.Index))
		message.Stamps = append(message.Stamps, p.Stamp)
	}
	for _, p := range b.Pending {
		message.Out = append(message.Out, uint32(p.Index))
		message.Replicas = append(message.Replicas, p.Replica)
		if p.Crashed {
			message.Crashed = append(message.Crashed, uint32(p.Index))
		}
	}
	return message
}

// decodeBatch returns the batch, or errMalformedBatch. The argument services is the
// number of services in the collect request.
func decodeBatch(m *wire.Batch, services int) (ramp.Batch, error) {
	if len(m.GetIn()) != len(m.GetStamps()) || len(m.GetOut()) != len(m.GetReplicas()) {
		return ramp.Batch{}, errMalformedBatch
	}
	batch := ramp.Batch{Records: m.GetRecords()}
	for i, index := range m.GetIn() {
		if int(index) >= services {
			return ramp.Batch{}, errMalformedBatch
		}
		batch.Received = append(batch.Received, ramp.ReceivedPart{Index: int(index), Stamp: m.GetStamps()[i]})
	}
	for i, index := range m.GetOut() {
		if int(index) >= services {
			return ramp.Batch{}, errMalformedBatch
		}
		batch.Pending = append(batch.Pending, ramp.PendingPart{
			Index: int(index), Replica: m.GetReplicas()[i], Crashed: slices.Contains(m.GetCrashed(), index),
		})
	}
	return batch, nil
}
