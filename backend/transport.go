// Package backend talks to backend servers by HTTP with JSON bodies.
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

// Limits of the exchange with a backend server.
const (
	maxReply    = 8 << 20 // bytes of one reply
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	graceTime   = 10 * time.Millisecond // for which a cancelled request may still get its reply
)

// Client sends attempts to backend servers over kept connections. It
// implements [ramp.Backends]. It never holds more connections to a backend
// server than it was granted, and refuses attempts rather than let them wait
// for a connection.
//
// HTTP/1.1 can cancel a request only by closing its connection. So that a hedge
// does not cost a connection, a cancelled request may go on for a grace time;
// its worker waits for it, the query does not.
type Client struct {
	client *http.Client
	clock  ramp.Clock
	links  *links
}

// NewClient returns a client that holds at most the given number of connections
// to each backend server.
func NewClient(clock ramp.Clock, connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(clock, connections, dialer.DialContext)
}

func newClient(clock ramp.Clock, connections int, dial dialFunc) *Client {
	links := newLinks(connections, dial)
	return &Client{clock: clock, links: links, client: &http.Client{Transport: &http.Transport{
		DialContext:         links.Dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// SetConnections changes the number of connections granted to each backend
// server. Idle connections are closed when it shrinks, and those in excess
// after their request. With none granted nothing is sent.
func (c *Client) SetConnections(n int) {
	if c.links.Grant(max(0, n)) {
		c.client.CloseIdleConnections()
	}
}

type requestWire struct {
	Query     string `json:"query"`
	Attempt   int    `json:"attempt"`
	Operation string `json:"operation"`
	Service   string `json:"service"`
	Shard     string `json:"shard"`
	Version   uint64 `json:"version"`
	Key       string `json:"key,omitempty"`
	Body      string `json:"body,omitempty"`
	Millis    int64  `json:"millis"`
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

type holdingWire struct {
	Service string          `json:"service"`
	Drain   bool            `json:"drain"`
	Shards  []heldShardWire `json:"shards"`
}

type heldShardWire struct {
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
		Millis: remaining.Milliseconds(),
	})
	if err != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.Failed, Cause: err}
	}
	excess, err := c.links.Acquire(a.Replica.Address)
	if err != nil {
		return ramp.Reply{}, &ramp.AttemptError{Outcome: ramp.NotStarted, Cause: err}
	}
	defer c.links.Release(a.Replica.Address)
	lasting, cancel := c.outlast(ctx, remaining)
	defer cancel()
	t := &trace{}
	data, status, err := c.post(lasting, a, body, excess, t)
	if err != nil {
		return ramp.Reply{}, t.fail(transportOutcome(lasting, err), err)
	}
	if status != http.StatusOK {
		return ramp.Reply{}, t.fail(refusal(status, data))
	}
	return t.decode(a, data)
}

// outlast returns a context that ends after the remaining time, or the grace
// time after ctx.
func (c *Client) outlast(ctx context.Context, remaining time.Duration) (context.Context, func()) {
	lasting, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	expire := c.clock.AfterFunc(remaining, func() { cancel(context.DeadlineExceeded) })
	forget := context.AfterFunc(ctx, func() {
		c.clock.AfterFunc(graceTime, func() { cancel(context.Canceled) })
	})
	return lasting, func() {
		expire()
		forget()
		cancel(nil)
	}
}

// trace is what is known of the connection that a request used.
type trace struct {
	sent      atomic.Bool // a connection was at hand, so a byte may have been sent
	connected atomic.Bool // the connection was new
	conn      atomic.Pointer[net.Conn]
}

func (t *trace) gotConn(info httptrace.GotConnInfo) {
	t.sent.Store(true)
	t.connected.Store(!info.Reused)
	t.conn.Store(&info.Conn)
}

func (t *trace) fail(outcome ramp.Outcome, cause error) *ramp.AttemptError {
	return &ramp.AttemptError{Outcome: outcome, Sent: t.sent.Load(), NewConnection: t.connected.Load(), Cause: cause}
}

// decode returns the reply if it is whole and belongs to the attempt. After any
// other one the connection is closed, since it may carry the reply to another
// request next.
func (t *trace) decode(a ramp.Attempt, data []byte) (ramp.Reply, error) {
	reply, outcome, err := decode(a, data)
	if err != nil {
		if conn := t.conn.Load(); conn != nil {
			_ = (*conn).Close() // it is of no further use
		}
		return ramp.Reply{}, t.fail(outcome, err)
	}
	reply.NewConnection = t.connected.Load()
	return reply, nil
}

// post sends the body once. When a kept connection turns out to be closed
// before a byte was written, an idempotent request goes over another one; any
// other request fails.
func (c *Client) post(
	ctx context.Context, a ramp.Attempt, body []byte, excess bool, t *trace,
) ([]byte, int, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	url := "http://" + a.Replica.Address + "/run"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	r.Close = excess
	if !a.Query.Operation.Idempotent() {
		r.GetBody = nil // a request body that cannot be read again is never sent again
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return nil, 0, err
	}
	if len(data) > maxReply {
		return nil, 0, fmt.Errorf("reply is larger than %d bytes", maxReply)
	}
	return data, response.StatusCode, nil
}

// FetchInventory implements [ramp.Backends]. It uses a connection like an attempt, and
// fails when none is left.
func (c *Client) FetchInventory(ctx context.Context, vm ramp.VM) (ramp.Inventory, error) {
	excess, err := c.links.Acquire(vm.Address)
	if err != nil {
		return ramp.Inventory{}, err
	}
	defer c.links.Release(vm.Address)
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
		return ramp.Inventory{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var wire holdingWire
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&wire); err != nil {
		return ramp.Inventory{}, fmt.Errorf("decode holding: %w", err)
	}
	holding := ramp.Inventory{
		Replica:  ramp.Replica{ID: vm.ID, Address: vm.Address, Domain: vm.Domain},
		Service:  wire.Service,
		Draining: wire.Drain,
	}
	for _, s := range wire.Shards {
		holding.Shards = append(holding.Shards, ramp.HeldShard{
			Version: s.Version, ID: s.Shard, Range: ramp.KeyRange{Low: s.Low, High: s.High},
		})
	}
	return holding, nil
}

func decode(a ramp.Attempt, data []byte) (ramp.Reply, ramp.Outcome, error) {
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

// refusal maps a status other than 200 to an outcome. A backend server that
// names a known reason did not run the request.
func refusal(status int, data []byte) (ramp.Outcome, error) {
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

// transportOutcome maps an error without a whole response to an outcome.
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
