package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits on the exchange with a replica.
const (
	connectTimeout  = 300 * time.Millisecond // for opening a connection; covers several round trips between regions
	readBuffer      = 4 << 10                // size of a connection's read buffer in bytes
	receiveBuffer   = 256 << 10              // of the kernel for a connection in bytes; it counts as the daemon's memory
	maxCopiedBody   = 64 << 10               // size of a body that is sent together with its head in bytes
	callCancelGrace = 10 * time.Millisecond  // time for which a cancelled call may still get its reply
	crashTimeout    = 100 * time.Millisecond // for finding out whether a replica that closed a connection ended
)

// Exchanger sends calls to replicas over persistent HTTP/1.1 connections. It implements
// [ramp.Exchanger].
//
// It does not use the transport of net/http, which retries some requests by itself and
// takes bytes that arrived before a request was sent for its reply.
type Exchanger struct {
	clock ramp.Clock
	codec ramp.CallCodec
	pool  *connPool
}

// NewExchanger returns an exchanger without open connections. The bodies of replies are
// held in memory.
func NewExchanger(codec ramp.CallCodec, memory *ramp.Memory, clock ramp.Clock) *Exchanger {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Exchanger{clock: clock, codec: codec, pool: newConnPool(clock, dialer.DialContext, memory)}
}

// Exchange implements [ramp.Exchanger]. A message that is not idempotent gets a new
// connection, since a replica may close an idle one at any time.
func (e *Exchanger) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	if ctx.Err() != nil {
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Cancelled, Cause: ctx.Err()}
	}
	conn, isNew, err := e.pool.get(ctx, c.Instance, c.MaxConnections, c.Idempotent)
	if err != nil {
		return ramp.Response{}, &ramp.AttemptError{Outcome: dialOutcome(ctx, err), Cause: err, NewConnection: isNew}
	}
	left := c.Deadline.Sub(e.clock.Now())
	if left < time.Millisecond {
		e.pool.discard(conn)
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Expired, NewConnection: isNew}
	}
	response, err := e.roundTrip(ctx, c, conn, left)
	var failed *ramp.AttemptError
	if errors.As(err, &failed) {
		failed.NewConnection = isNew
		return response, failed
	}
	response.NewConnection = isNew
	return response, err
}

// roundTrip sends the call on the connection and waits for the response. It returns the
// connection to the pool or discards it.
func (e *Exchanger) roundTrip(
	ctx context.Context, c ramp.Call, conn *persistentConn, left time.Duration,
) (ramp.Response, error) {
	replies := conn.expectReply(c.Message.Method, c.Message.Held)
	if replies == nil { // closed while idle
		e.pool.discard(conn)
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Unreachable, Cause: net.ErrClosed}
	}
	head, body := e.encodeRequest(c, left)
	if err := beforeSend(ctx, c); err != nil {
		e.pool.discard(conn)
		return ramp.Response{}, err
	}
	_, err := conn.netConn.Write(head)
	if err == nil && len(body) > 0 {
		_, err = conn.netConn.Write(body)
	}
	if err != nil {
		e.pool.discard(conn)
		return ramp.Response{}, &ramp.AttemptError{
			Outcome: ramp.Unreachable, Sent: true, Cause: err, Crashed: e.hasEnded(ctx, c, err),
		}
	}
	r, err := e.awaitReply(ctx, replies, left)
	if err == nil {
		err = r.err
	}
	if err != nil {
		e.pool.discard(conn)
		failed := &ramp.AttemptError{Outcome: replyOutcome(ctx, err), Sent: true, Cause: err}
		failed.Crashed = failed.Outcome == ramp.Unreachable && e.hasEnded(ctx, c, err)
		return ramp.Response{}, failed
	}
	response, err := e.codec.Validate(c, r.response)
	var failed *ramp.AttemptError
	if errors.As(err, &failed) && failed.Outcome == ramp.Mismatched || !r.reusable || !c.Idempotent {
		e.pool.discard(conn)
	} else {
		e.pool.put(conn, r.keepAlive)
	}
	return response, err
}

// hasEnded reports whether the replica has ended, after the connection of the call ended with
// the error: nothing listens at its address any more. Otherwise the connection was reset or cut,
// or the replica closed it and goes on.
func (e *Exchanger) hasEnded(ctx context.Context, c ramp.Call, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return false
	}
	if e.pool.reserve(c.Instance.Address, c.MaxConnections) != nil {
		return false
	}
	defer e.pool.release(c.Instance.Address)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashTimeout)
	defer cancel()
	conn, err := e.pool.dial(ctx, "tcp", c.Instance.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// beforeSend returns an error for a call that must not be sent any more, although it has a
// connection.
func beforeSend(ctx context.Context, c ramp.Call) error {
	if ctx.Err() != nil {
		return &ramp.AttemptError{Outcome: ramp.Cancelled, Cause: ctx.Err()}
	}
	return c.BeforeSend()
}

// awaitReply waits for the reply, until left has passed or the cancel grace has passed
// after the end of ctx.
func (e *Exchanger) awaitReply(ctx context.Context, replies <-chan reply, left time.Duration) (reply, error) {
	expired := make(chan struct{})
	stop := e.clock.AfterFunc(left, func() { close(expired) })
	defer stop()
	select {
	case r := <-replies:
		return r, nil
	case <-expired:
		return reply{}, context.DeadlineExceeded
	case <-ctx.Done():
	}
	graceEnded := make(chan struct{})
	stopGrace := e.clock.AfterFunc(callCancelGrace, func() { close(graceEnded) })
	defer stopGrace()
	select {
	case r := <-replies:
		return r, nil
	case <-graceEnded:
		return reply{}, ctx.Err()
	}
}

// encodeRequest returns the encoded request: the head and the body, or both in the head
// for a small body.
func (e *Exchanger) encodeRequest(c ramp.Call, left time.Duration) (head, body []byte) {
	var b bytes.Buffer
	b.Grow(512 + min(len(c.Message.Body), maxCopiedBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Message.Method, c.Message.Target, c.Message.Host)
	for _, f := range c.Message.Fields {
		writeField(&b, f)
	}
	for _, f := range e.codec.Fields(c, left) {
		writeField(&b, f)
	}
	if len(c.Message.Body) > 0 || requiresLength(c.Message.Method) {
		writeField(&b, ramp.Field{Name: "Content-Length", Value: strconv.Itoa(len(c.Message.Body))})
	}
	b.WriteString("\r\n")
	if len(c.Message.Body) > maxCopiedBody {
		return b.Bytes(), c.Message.Body
	}
	b.Write(c.Message.Body)
	return b.Bytes(), nil
}

func writeField(b *bytes.Buffer, f ramp.Field) {
	b.WriteString(f.Name)
	b.WriteString(": ")
	b.WriteString(f.Value)
	b.WriteString("\r\n")
}

// requiresLength reports whether a request of the method has a Content-Length field even
// if its body is empty.
func requiresLength(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// dialOutcome maps an error of [connPool.get] to an outcome.
func dialOutcome(ctx context.Context, err error) ramp.Outcome {
	var limit *LimitError
	switch {
	case ctx.Err() != nil:
		return ramp.Cancelled
	case errors.As(err, &limit):
		return ramp.NotStarted
	}
	return ramp.Unreachable
}

// isTooLong reports whether a reply was given up for its length, alone or together with
// the others.
func isTooLong(err error) bool {
	var part *ReplySizeError
	var body *ramp.SizeError
	var memory *ramp.MemoryError
	return errors.As(err, &part) || errors.As(err, &body) || errors.As(err, &memory)
}

// replyOutcome maps an error of reading a reply to an outcome.
func replyOutcome(ctx context.Context, err error) ramp.Outcome {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return ramp.Expired
	case ctx.Err() != nil:
		return ramp.Cancelled
	case errors.Is(err, io.ErrUnexpectedEOF), isTooLong(err):
		return ramp.Truncated
	}
	return ramp.Unreachable
}
