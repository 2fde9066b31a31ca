package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits of the exchange with a replica.
const (
	maxResponse = 16 << 20               // bytes of one body
	openTimeout = 300 * time.Millisecond // for a new connection; several round trips between regions
	readBuffer  = 4 << 10                // bytes
	graceReply  = 10 * time.Millisecond  // for which a cancelled call may still get its reply
)

// Exchanger sends calls to replicas over kept connections by HTTP/1.1. It
// implements [ramp.Exchanger].
//
// The transport of net/http is not used, since it sends a request again by
// itself, and since it cannot tell a reply from bytes that came before the
// request.
type Exchanger struct {
	clock   ramp.Clock
	framing ramp.CallCodec
	streams *streams
}

// NewExchanger returns an exchanger without connections.
func NewExchanger(framing ramp.CallCodec, clock ramp.Clock) *Exchanger {
	dialer := &net.Dialer{Timeout: openTimeout}
	return &Exchanger{clock: clock, framing: framing, streams: newStreams(clock, dialer.DialContext)}
}

// Exchange implements [ramp.Exchanger]. A message that may run only once gets a
// new connection, since a replica may drop an idle one at any moment.
func (e *Exchanger) Exchange(ctx context.Context, c ramp.Call) (ramp.Response, error) {
	if ctx.Err() != nil {
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Cancelled, Cause: ctx.Err()}
	}
	s, connected, err := e.streams.take(ctx, c.Instance, c.MaxConnections, c.Idempotent)
	if err != nil {
		return ramp.Response{}, &ramp.AttemptError{Outcome: dialOutcome(ctx, err), Cause: err, NewConnection: connected}
	}
	left := c.Deadline.Sub(e.clock.Now())
	if left < time.Millisecond {
		e.streams.drop(s)
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Expired, NewConnection: connected}
	}
	response, err := e.roundTrip(ctx, c, s, left)
	var failed *ramp.AttemptError
	if errors.As(err, &failed) {
		failed.NewConnection = connected
		return response, failed
	}
	response.NewConnection = connected
	return response, err
}

// roundTrip sends the call on the stream and waits for the response.
func (e *Exchanger) roundTrip(ctx context.Context, c ramp.Call, s *stream, left time.Duration) (ramp.Response, error) {
	replies := s.expect(c.Message.Method)
	if replies == nil { // it was closed between two calls
		e.streams.drop(s)
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Unreachable, Cause: net.ErrClosed}
	}
	if _, err := s.connection.Write(e.head(c, left)); err != nil {
		e.streams.drop(s)
		return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Unreachable, Sent: true, Cause: err}
	}
	r, err := e.await(ctx, replies, left)
	if err == nil {
		err = r.err
	}
	if err != nil {
		e.streams.drop(s)
		return ramp.Response{}, &ramp.AttemptError{Outcome: replyOutcome(ctx, err), Sent: true, Cause: err}
	}
	response, err := e.framing.Validate(c, r.response)
	var failed *ramp.AttemptError
	if errors.As(err, &failed) && failed.Outcome == ramp.Mismatched || !r.keep || !c.Idempotent {
		e.streams.drop(s)
	} else {
		e.streams.put(s, r.idle)
	}
	return response, err
}

// await returns the reply. After ctx has ended it waits for the grace time.
func (e *Exchanger) await(ctx context.Context, replies <-chan reply, left time.Duration) (reply, error) {
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
	grace := make(chan struct{})
	stopGrace := e.clock.AfterFunc(graceReply, func() { close(grace) })
	defer stopGrace()
	select {
	case r := <-replies:
		return r, nil
	case <-grace:
		return reply{}, ctx.Err()
	}
}

// head returns the bytes of the request.
func (e *Exchanger) head(c ramp.Call, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(c.Message.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Message.Method, c.Message.Target, c.Message.Host)
	for _, f := range c.Message.Fields {
		writeField(&b, f)
	}
	for _, f := range e.framing.Fields(c, left) {
		writeField(&b, f)
	}
	if len(c.Message.Body) > 0 || takesBody(c.Message.Method) {
		writeField(&b, ramp.Field{Name: "Content-Length", Value: strconv.Itoa(len(c.Message.Body))})
	}
	b.WriteString("\r\n")
	b.Write(c.Message.Body)
	return b.Bytes()
}

func writeField(b *bytes.Buffer, f ramp.Field) {
	b.WriteString(f.Name)
	b.WriteString(": ")
	b.WriteString(f.Value)
	b.WriteString("\r\n")
}

// takesBody reports whether a request of the method states the length of its
// body also when that is empty.
func takesBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// reply is what came on a stream for one request.
type reply struct {
	response ramp.Response
	keep     bool          // the stream can carry another request
	idle     time.Duration // for which the replica says that it keeps the stream; 0 if it does not
	err      error
}

// readReply reads one whole response.
func readReply(reader *bufio.Reader, method string) reply {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return reply{err: err}
		}
		if response.StatusCode < http.StatusContinue {
			_ = response.Body.Close() // the stream is closed
			return reply{err: fmt.Errorf("status %d", response.StatusCode)}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse+1))
		_ = response.Body.Close() // the stream is kept or closed by itself
		if err != nil {
			return reply{err: err}
		}
		if len(body) > maxResponse {
			return reply{err: fmt.Errorf("body is larger than %d bytes", maxResponse)}
		}
		unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		return reply{
			response: ramp.Response{Status: response.StatusCode, Fields: fieldsOf(response.Header), Body: body},
			keep:     !response.Close && !unframed && reader.Buffered() == 0,
			idle:     keepAlive(response.Header.Get("Keep-Alive")),
		}
	}
}

// fieldsOf returns the fields; those of one name keep their order.
func fieldsOf(header http.Header) []ramp.Field {
	fields := make([]ramp.Field, 0, len(header))
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, ramp.Field{Name: name, Value: v})
		}
	}
	return fields
}

// keepAlive returns the time in a Keep-Alive field, 0 for none.
func keepAlive(value string) time.Duration {
	for parameter := range strings.SplitSeq(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

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

func replyOutcome(ctx context.Context, err error) ramp.Outcome {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return ramp.Expired
	case ctx.Err() != nil:
		return ramp.Cancelled
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ramp.Truncated
	}
	return ramp.Unreachable
}
