package caller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/query"
)

// requestWire is the JSON body of a search, a read or an order.
type requestWire struct {
	Service      string `json:"service"`
	Key          string `json:"key,omitempty"`
	Body         string `json:"body,omitempty"`
	Timeout      string `json:"timeout,omitempty"`
	Ticket       string `json:"ticket,omitempty"`
	WithAttempts bool   `json:"account,omitempty"`
}

// ticketWire is the JSON form of an issued ticket.
type ticketWire struct {
	Ticket string `json:"ticket"`
}

// addressesWire is the JSON form of the addresses for callers.
type addressesWire struct {
	Addresses []string `json:"addresses"`
	TTL       string   `json:"life"`
}

// Answer is the JSON form of an answer or a refusal. Durations have the format of
// [time.Duration.String]; ranges are half-open pairs of key hashes.
type Answer struct {
	ID           string      `json:"id"`
	Ran          string      `json:"ran"` // yes, no or unknown
	Reason       string      `json:"reason,omitempty"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfter   string      `json:"after,omitempty"`    // estimated time until a retry may be admitted
	ListsVersion uint64      `json:"lists"`              // version of the lists
	IndexVersion uint64      `json:"snapshot,omitempty"` // index version
	Requested    [2]uint64   `json:"whole"`              // requested range
	Covered      [][2]uint64 `json:"covered"`            // ranges whose hits are in the answer
	Complete     bool        `json:"complete"`
	Hits         []Hit       `json:"hits,omitempty"`
	Elapsed      string      `json:"elapsed,omitempty"`
	Attempts     []Attempt   `json:"account,omitempty"` // attempts, if the request asks for them
}

// Hit is a record of an answer.
type Hit struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Attempt is an attempt of a request at a replica.
type Attempt struct {
	Number  int    `json:"number"`
	Kind    string `json:"kind"`
	Shard   string `json:"shard"`
	Replica string `json:"replica"`
	Domain  string `json:"domain"`
	Started string `json:"started"` // since the request was admitted
	Elapsed string `json:"elapsed"`
	Outcome string `json:"outcome"`
	Sent    bool   `json:"sent"` // a byte may have reached the backend server
}

// request returns the request for the operation, or a [*ramp.RefusedError] if a
// field is missing, malformed or not allowed for the operation.
func (w requestWire) request(operation ramp.Operation, credential string) (query.Request, error) {
	r := query.Request{
		Credential: credential, Operation: operation, Service: w.Service, Key: w.Key, Body: w.Body,
	}
	if w.Service == "" {
		return r, malformed("the service is missing")
	}
	if (operation == ramp.Search) != (w.Key == "") {
		return r, malformed("a read or an order needs a key, and a search must not have one")
	}
	if w.Timeout != "" {
		timeout, err := time.ParseDuration(w.Timeout)
		if err != nil || timeout <= 0 {
			return r, malformed("the timeout is not a positive duration")
		}
		r.Timeout = timeout
	}
	if operation == ramp.Order {
		ticket, err := ParseTicket(w.Ticket)
		if err != nil {
			return r, &ramp.RefusedError{Reason: ramp.ReasonTicket, Ran: ramp.NotRun, Detail: err.Error()}
		}
		r.Ticket = ticket
	}
	return r, nil
}

// encodeAnswer returns the JSON form of an answer, with its attempts if
// withAttempts is set.
func encodeAnswer(a ramp.Answer, withAttempts bool) Answer {
	wire := Answer{
		ID: a.ID, Ran: string(a.Ran), ListsVersion: a.ListsVersion, IndexVersion: a.IndexVersion,
		Requested: [2]uint64{a.Requested.Low, a.Requested.High}, Covered: [][2]uint64{},
		Complete: a.Ran == ramp.HasRun && a.Complete(),
	}
	if a.Elapsed > 0 {
		wire.Elapsed = a.Elapsed.String()
	}
	for _, r := range a.Coverage.Ranges() {
		wire.Covered = append(wire.Covered, [2]uint64{r.Low, r.High})
	}
	for _, h := range a.Hits {
		wire.Hits = append(wire.Hits, Hit(h))
	}
	if !withAttempts {
		return wire
	}
	for _, t := range a.Attempts {
		wire.Attempts = append(wire.Attempts, Attempt{
			Number: t.Number, Kind: string(t.Kind), Shard: t.Shard.ID, Replica: t.Replica.ID, Domain: t.Replica.Domain,
			Started: t.Started.String(), Elapsed: t.Elapsed.String(), Outcome: string(t.Outcome), Sent: t.Sent,
		})
	}
	return wire
}

// FormatTicket returns the text form of a ticket: the issuing daemon's id, its
// incarnation and the ticket's number, separated by dots.
func FormatTicket(t ramp.Ticket) string {
	return t.Daemon + "." + t.Incarnation + "." + strconv.FormatUint(t.Number, 10)
}

// ParseTicket parses the text form of a ticket. The reverse is [FormatTicket].
func ParseTicket(text string) (ramp.Ticket, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return ramp.Ticket{}, fmt.Errorf("ticket %q does not have three parts", text)
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ramp.Ticket{}, fmt.Errorf("ticket %q does not end with a number", text)
	}
	return ramp.Ticket{Daemon: parts[0], Incarnation: parts[1], Number: number}, nil
}
