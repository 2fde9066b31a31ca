package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// maxAnswerSize is the largest body of a response, in bytes.
const maxAnswerSize = 256 << 20

// Client calls daemons on behalf of a customer. It never retries a call.
type Client struct {
	Key    string       // the customer's key
	Client *http.Client // for connections to the daemons
}

// Request is a search, a read or an order of a caller.
type Request struct {
	Operation    ramp.Operation
	Service      string
	Key          string        // for Read and Order
	Body         string        // forwarded to the backend servers unchanged
	Timeout      time.Duration // 0 for the longest time that the plan allows
	Ticket       string        // for Order
	WithAttempts bool          // whether the answer lists its attempts
}

// Run sends the request to the daemon at the address. A refused request yields an
// answer with a reason, not an error.
func (c Client) Run(ctx context.Context, address string, call Request) (Answer, error) {
	wire := requestWire{
		Service: call.Service, Key: call.Key, Body: call.Body, Ticket: call.Ticket, WithAttempts: call.WithAttempts,
	}
	if call.Timeout > 0 {
		wire.Timeout = call.Timeout.String()
	}
	var answer Answer
	err := c.call(ctx, http.MethodPost, address, "/"+string(call.Operation), wire, &answer)
	return answer, err
}

// Ticket returns a new ticket for an order. The daemon at the address issues it;
// if that daemon refuses, the error is a [*ramp.RefusedError].
func (c Client) Ticket(ctx context.Context, address string) (string, error) {
	var reply struct {
		ticketWire
		Answer
	}
	if err := c.call(ctx, http.MethodPost, address, "/ticket", nil, &reply); err != nil {
		return "", err
	}
	if reply.Ticket == "" {
		return "", &ramp.RefusedError{Reason: ramp.Reason(reply.Reason), Ran: ramp.NotRun, Detail: reply.Detail}
	}
	return reply.Ticket, nil
}

// Addresses returns the addresses that callers in the failure domain should use
// and how long they may keep them. If the daemon at the address refuses, the
// error is a [*ramp.RefusedError].
func (c Client) Addresses(ctx context.Context, address, domain string) ([]string, time.Duration, error) {
	var reply struct {
		addressesWire
		Answer
	}
	path := "/addresses?domain=" + url.QueryEscape(domain)
	if err := c.call(ctx, http.MethodGet, address, path, nil, &reply); err != nil {
		return nil, 0, err
	}
	if reply.Reason != "" {
		return nil, 0, &ramp.RefusedError{Reason: ramp.Reason(reply.Reason), Ran: ramp.NotRun, Detail: reply.Detail}
	}
	ttl, err := time.ParseDuration(reply.TTL)
	return reply.Addresses, ttl, err
}

// call sends a request to the daemon at the address and decodes the JSON body of
// the response into reply, whatever the HTTP status.
func (c Client) call(ctx context.Context, method, address, path string, request, reply any) error {
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	r.GetBody = nil // so that net/http cannot resend the body
	r.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.Client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("malformed response from %s with status %d: %w", address, response.StatusCode, err)
	}
	return nil
}
