package sycamoreramp

import (
	"context"
	"slices"
	"time"
)

// Field is a header field of a message.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's request as it is forwarded to replicas.
type Message struct {
	ID     string  // id set by the caller; different for each of its own retries
	Method string  // as the caller sent it
	Host   string  // as the caller sent it
	Target string  // path and query as the caller sent them
	Fields []Field // without hop-by-hop fields and those that the system sets; never modified
	Body   []byte  // whole; never modified

	Key          KeyHash // hash of the key that the caller sent; meaningless unless HasKey is set
	HasKey       bool    // the caller sent a key
	TenantFields []Field // fields that are forwarded only if the configuration has no tenants; never modified

	Tenant   string // name of the tenant whose key the caller sent; "" for none
	Version  uint64 // version of the configuration under which the key was authorised; 0 without a tenant
	Priority int    // rank; 0 is the highest

	Held *Holding // the memory that is held until the message is answered; nil to hold none
}

// WithTenant returns the message of a caller that was authorised as the tenant under the
// given version of the configuration.
func (m Message) WithTenant(name string, version uint64) Message {
	m.Tenant, m.Version = name, version
	return m
}

// WithPriority returns the message with another rank.
func (m Message) WithPriority(priority int) Message {
	m.Priority = priority
	return m
}

// WithTenantFields returns the message with the fields that are forwarded without tenants
// among the others.
func (m Message) WithTenantFields() Message {
	m.Fields = slices.Concat(m.Fields, m.TenantFields)
	m.TenantFields = nil
	return m
}

// Call is one attempt to get a response to a message from a replica.
type Call struct {
	Message        Message
	Instance       Instance  // replica that it is sent to
	Deadline       time.Time // time at which the replica stops working on it
	Idempotent     bool      // the message may run more than once
	MaxConnections int       // connections that may be open to the replica at once; at least 1

	// BeforeSend is called when a connection is open, right before the first byte is sent.
	// When it returns an error, an [*AttemptError], nothing is sent.
	BeforeSend func() error
}

// Response is what a replica sent for a call.
type Response struct {
	Status        int
	Fields        []Field  // fields to forward; those of one name keep their order; never modified
	Stamp         string   // the replica's signature; "" for none
	Body          []byte   // whole; never modified
	NewConnection bool     // a new connection was opened for it
	Signals       *Signals // what the replica said of itself; nil until the response was checked
}

// Succeeded reports whether the status is a success.
func (r Response) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// firstFailure is the lowest status that denotes a failure of the replica.
const firstFailure = 500

// Failed reports whether the status is a failure of the replica. The response to
// an invalid request is neither a success nor a failure.
func (r Response) Failed() bool { return r.Status >= firstFailure }

// WithStamp returns the response with the replica's signature.
func (r Response) WithStamp(stamp string) Response {
	r.Stamp = stamp
	return r
}

// WithSignals returns the response with what the replica said of itself.
func (r Response) WithSignals(s Signals) Response {
	r.Signals = &s
	return r
}

// Exchanger sends calls to replicas.
type Exchanger interface {
	// Exchange sends the call once and returns the whole response, checked against
	// the call, or an [*AttemptError].
	Exchange(ctx context.Context, c Call) (Response, error)
}

// CallCodec translates between calls and the header fields of messages on the wire.
type CallCodec interface {
	// Fields returns the header fields that the system adds to the message of a call.
	// The argument left is the time until the deadline.
	Fields(c Call, left time.Duration) []Field
	// Validate returns the response with its signature, or an [*AttemptError] when it
	// does not answer the call.
	Validate(c Call, r Response) (Response, error)
}
