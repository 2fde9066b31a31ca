// Package backend sends attempts to backend servers over HTTP, either as JSON requests or
// as forwarded messages.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits on requests to a backend server.
const (
	maxReply           = 8 << 20  // size of a reply in bytes
	maxReplies         = 64 << 20 // of all replies that are being read or decoded
	dialTimeout        = 500 * time.Millisecond
	idleTimeout        = 90 * time.Second
	attemptCancelGrace = 10 * time.Millisecond // time for which a cancelled request may still get its reply
)

// Client sends attempts to backend servers over keep-alive connections. It implements
// [ramp.Backends]. It never opens more connections to a backend server than allowed, and
// fails attempts instead of queueing them for a connection.
//
// HTTP/1.1 can cancel a request only by closing its connection. To keep the connection
// when a hedge wins, a cancelled request may still complete within a grace period. Its
// worker waits for it, the query does not.
type Client struct {
	client  *http.Client
	clock   ramp.Clock
	limiter *connLimiter
	memory  *ramp.Memory // for the bodies of replies
}

// NewClient returns a client that opens at most the given number of connections to each
// backend server.
func NewClient(clock ramp.Clock, connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(clock, connections, dialer.DialContext)
}

func newClient(clock ramp.Clock, connections int, dial dialFunc) *Client {
	limiter := newConnLimiter(connections, dial)
	memory := ramp.NewMemory(maxReplies)
	return &Client{clock: clock, limiter: limiter, memory: memory, client: &http.Client{Transport: &http.Transport{
		DialContext:         limiter.Dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHead,
	}}}
}

// SetMaxConnections sets the limit of connections to each backend server. When it is
// lowered, idle connections are closed at once, and those above the limit after their
// request. At 0, nothing is sent.
func (c *Client) SetMaxConnections(n int) {
	if c.limiter.SetLimit(max(0, n)) {
		c.client.CloseIdleConnections()
	}
}

type requestWire struct {
	Query         string `json:"query"`
	Attempt       int    `json:"attempt"`
	Operation     string `json:"operation"`
	Service       string `json:"service"`
	Shard         string `json:"shard"`
	Version       uint64 `json:"version"`
	Key           string `json:"key,omitempty"`
	Body          string `json:"body,omitempty"`
	TimeoutMillis int64  `json:"millis"`
}

type replyWire struct {
	Query   string    `json:"query"`
	Attempt int       `json:"attempt"`
	Shard   string    `json:"shard"`
	Version uint64    `json:"version"`
	Low     uint64    `json:"low"`
	High    uint64    `json:"high"`
	Hits    []hitWire `json:"hits"`
}

type hitWire struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type refusalWire struct {
	Reason string `json:"reason"`
}

type inventoryWire struct {
	Service string      `json:"service"`
	Drain   bool        `json:"drain"`
	Shards  []shardWire `json:"shards"`
}

type shardWire struct {
	Version uint64 `json:"version"`
	Shard   string `json:"shard"`
	Low     uint64 `json:"low"`
	High    uint64 `json:"high"`
}

// Send implements [ramp.Backends].
func (c *Client) Send(ctx context.Context, a ramp.Attempt) (ramp.Reply, error) {
	if ctx.Err() != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Cancelled, Cause: ctx.Err()}
	}
	remaining := a.Query.Deadline.Sub(c.clock.Now())
	body, err := json.Marshal(requestWire{
		Query: a.Query.ID, Attempt: a.Number, Operation: string(a.Query.Operation), Service: a.Query.Service,
		Shard: a.Shard.ID, Version: a.IndexVersion, Key: a.Query.Key, Body: a.Query.Body,
		TimeoutMillis: remaining.Milliseconds(),
	})
	if err != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Failed, Cause: err}
	}
	excess, err := c.limiter.Acquire(a.Replica.Address)
	if err != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.NotStarted, Cause: err}
	}
	defer c.limiter.Release(a.Replica.Address)
	graceCtx, cancel := c.withCancelGrace(ctx, remaining)
	defer cancel()
	t := &connTrace{}
	held := c.memory.Hold()
	defer held.Release()
	data, status, err := c.post(graceCtx, a, body, excess, t, held)
	if err != nil {
		return ramp.Reply{}, t.attemptError(transportOutcome(graceCtx, err), err)
	}
	if status != http.StatusOK {
		return ramp.Reply{}, t.attemptError(refusalOutcome(status, data))
	}
	return t.decodeReply(a, data)
}

// withCancelGrace returns a context that ends after the remaining time, or the grace
// period after ctx, whichever comes first. The cause is [context.DeadlineExceeded] or
// [context.Canceled].
func (c *Client) withCancelGrace(ctx context.Context, remaining time.Duration) (context.Context, func()) {
	graceCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stopTimer := c.clock.AfterFunc(remaining, func() { cancel(context.DeadlineExceeded) })
	stopWatch := context.AfterFunc(ctx, func() {
		c.clock.AfterFunc(attemptCancelGrace, func() { cancel(context.Canceled) })
	})
	return graceCtx, func() {
		stopTimer()
		stopWatch()
		cancel(nil)
	}
}

// connTrace records the connection that a request used.
type connTrace struct {
	sent    atomic.Bool // a connection was assigned, so a byte may have been sent
	newConn atomic.Bool // the connection was opened for this request
	conn    atomic.Pointer[net.Conn]
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.sent.Store(true)
	t.newConn.Store(!info.Reused)
	t.conn.Store(&info.Conn)
}

func (t *connTrace) attemptError(outcome ramp.Outcome, cause error) *ramp.AttemptError {
	return &ramp.AttemptError{Outcome: outcome, Sent: t.sent.Load(), NewConnection: t.newConn.Load(), Cause: cause}
}

// decodeReply returns the reply if it is complete and matches the attempt. Otherwise it
// closes the connection, which may deliver the reply to another request next.
func (t *connTrace) decodeReply(a ramp.Attempt, data []byte) (ramp.Reply, error) {
	reply, outcome, err := decodeReply(a, data)
	if err != nil {
		if conn := t.conn.Load(); conn != nil {
			_ = (*conn).Close() // never used again
		}
		return ramp.Reply{}, t.attemptError(outcome, err)
	}
	reply.NewConnection = t.newConn.Load()
	return reply, nil
}

// post sends the body and returns the body and the status of the response. If an idle
// connection turns out to be closed before a byte was written, an idempotent request is
// sent on another one, and any other request fails.
func (c *Client) post(
	ctx context.Context, a ramp.Attempt, body []byte, excess bool, t *connTrace, held *ramp.Holding,
) ([]byte, int, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	url := "http://" + a.Replica.Address + "/run"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	r.Close = excess
	if !a.Query.Operation.Idempotent() {
		r.GetBody = nil // the transport never resends a body that it cannot read again
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	data, err := c.memory.ReadAll(response.Body, response.ContentLength, maxReply, held)
	return data, response.StatusCode, err
}

// FetchInventory implements [ramp.Backends]. It counts towards the connection limit like
// an attempt, and fails with a [*LimitError] when the limit is reached.
func (c *Client) FetchInventory(ctx context.Context, vm ramp.VM) (ramp.Inventory, error) {
	excess, err := c.limiter.Acquire(vm.Address)
	if err != nil {
		return ramp.Inventory{}, err
	}
	defer c.limiter.Release(vm.Address)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address+"/hold", nil)
	if err != nil {
		return ramp.Inventory{}, err
	}
	r.Close = excess
	response, err := c.client.Do(r)
	if err != nil {
		return ramp.Inventory{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ramp.Inventory{}, fmt.Errorf("unexpected status %d", response.StatusCode)
	}
	held := c.memory.Hold()
	defer held.Release()
	data, err := c.memory.ReadAll(response.Body, response.ContentLength, maxReply, held)
	if err != nil {
		return ramp.Inventory{}, fmt.Errorf("read inventory: %w", err)
	}
	var wire inventoryWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return ramp.Inventory{}, fmt.Errorf("decode inventory: %w", err)
	}
	inventory := ramp.Inventory{
		Replica:  ramp.Replica{ID: vm.ID, Address: vm.Address, Domain: vm.Domain},
		Service:  wire.Service,
		Draining: wire.Drain,
	}
	for _, s := range wire.Shards {
		inventory.Shards = append(inventory.Shards, ramp.HeldShard{
			Version: s.Version, ID: s.Shard, Range: ramp.KeyRange{Low: s.Low, High: s.High},
		})
	}
	return inventory, nil
}

func decodeReply(a ramp.Attempt, data []byte) (ramp.Reply, ramp.Outcome, error) {
	var wire replyWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return ramp.Reply{}, ramp.Truncated, err
	}
	reply := ramp.Reply{
		Query: wire.Query, Attempt: wire.Attempt, Shard: wire.Shard, IndexVersion: wire.Version,
		Range: ramp.KeyRange{Low: wire.Low, High: wire.High},
	}
	for _, h := range wire.Hits {
		reply.Hits = append(reply.Hits, ramp.Hit(h))
	}
	return reply, ramp.Mismatched, reply.Check(a)
}

// refusalOutcome maps a response with a status other than 200 to an outcome and its
// cause. A backend server that gives a known reason did not run the request.
func refusalOutcome(status int, data []byte) (ramp.Outcome, error) {
	var wire refusalWire
	cause := fmt.Errorf("status %d: %s", status, bytes.TrimSpace(data))
	if json.Unmarshal(data, &wire) != nil {
		return ramp.Failed, cause
	}
	outcome := ramp.Outcome(wire.Reason)
	switch outcome {
	case ramp.Shed, ramp.Draining, ramp.VersionNotHeld, ramp.ShardNotHeld, ramp.Expired:
		return outcome, cause
	}
	return ramp.Failed, cause
}

// transportOutcome maps an error of [Client.post] to an outcome.
func transportOutcome(ctx context.Context, err error) ramp.Outcome {
	var limit *LimitError
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return ramp.Expired
	case cause != nil:
		return ramp.Cancelled
	case errors.As(err, &limit):
		return ramp.NotStarted
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ramp.Truncated
	}
	return ramp.Unreachable
}
