// Package caller is the interface for callers over HTTP with JSON bodies. It has
// the server that runs in daemons and the client for callers and the command-line
// tool.
package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/query"
)

// maxRequestSize is the largest body of a request, in bytes.
const maxRequestSize = 1 << 20

// Server serves the requests of callers on a daemon.
type Server struct {
	service   *query.Service
	directory ramp.Directory
	ttl       time.Duration // how long a caller may cache the addresses
}

// NewServer returns a server that runs requests on the service and takes addresses
// from the directory. Callers may cache the addresses for ttl.
func NewServer(service *query.Service, directory ramp.Directory, ttl time.Duration) *Server {
	return &Server{service: service, directory: directory, ttl: ttl}
}

// Register adds the endpoints for callers to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /search", s.handleRequest(ramp.Search))
	mux.HandleFunc("POST /read", s.handleRequest(ramp.Read))
	mux.HandleFunc("POST /order", s.handleRequest(ramp.Order))
	mux.HandleFunc("POST /ticket", s.handleTicket)
	mux.HandleFunc("GET /addresses", s.handleAddresses)
}

// handleRequest returns the handler for requests with the operation.
func (s *Server) handleRequest(operation ramp.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wire, err := decodeRequest(w, r)
		if err != nil {
			writeRefusal(w, ramp.Answer{}, err, false)
			return
		}
		request, err := wire.request(operation, credential(r))
		if err != nil {
			writeRefusal(w, ramp.Answer{}, err, false)
			return
		}
		answer, err := s.service.Run(r.Context(), request)
		if err != nil {
			writeRefusal(w, answer, err, wire.WithAttempts)
			return
		}
		writeJSON(w, http.StatusOK, encodeAnswer(answer, wire.WithAttempts))
	}
}

func (s *Server) handleTicket(w http.ResponseWriter, r *http.Request) {
	ticket, err := s.service.IssueTicket(credential(r))
	if err != nil {
		writeRefusal(w, ramp.Answer{}, err, false)
		return
	}
	writeJSON(w, http.StatusOK, ticketWire{Ticket: FormatTicket(ticket)})
}

func (s *Server) handleAddresses(w http.ResponseWriter, r *http.Request) {
	if err := s.service.Ready(); err != nil {
		writeRefusal(w, ramp.Answer{}, err, false)
		return
	}
	addresses := s.directory.Addresses(r.URL.Query().Get("domain"))
	writeJSON(w, http.StatusOK, addressesWire{Addresses: addresses, TTL: s.ttl.String()})
}

// decodeRequest decodes a request's body. It returns a [*ramp.RefusedError] for a
// body that is truncated, too large or malformed, or that has an unknown field.
func decodeRequest(w http.ResponseWriter, r *http.Request) (requestWire, error) {
	var wire requestWire
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&wire)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return wire, nil
		}
		err = errors.New("the request body has more than one JSON value")
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return wire, malformed("the request body is larger than 1 MiB")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return wire, malformed("the request body is truncated")
	}
	return wire, malformed(err.Error())
}

// malformed returns the refusal of a malformed request.
func malformed(detail string) error {
	return &ramp.RefusedError{Reason: ramp.ReasonRequest, Ran: ramp.NotRun, Detail: detail}
}

// credential returns the customer's key from the Authorization header, or "" if
// the request has no bearer token.
func credential(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// writeRefusal writes the refusal err with what is known of the answer. An error
// that is not a [*ramp.RefusedError] is reported as a replica failure after which
// the request may have run.
func writeRefusal(w http.ResponseWriter, answer ramp.Answer, err error, withAttempts bool) {
	var refused *ramp.RefusedError
	if !errors.As(err, &refused) {
		refused = &ramp.RefusedError{Reason: ramp.ReasonReplica, Ran: ramp.RanUnknown, Detail: err.Error()}
	}
	wire := withRefusal(encodeAnswer(answer, withAttempts), refused)
	writeJSON(w, httpStatus(refused.Reason), wire)
}

// httpStatus returns the HTTP status for a refusal.
func httpStatus(reason ramp.Reason) int {
	switch reason {
	case ramp.ReasonRequest:
		return http.StatusBadRequest
	case ramp.ReasonKey:
		return http.StatusUnauthorized
	case ramp.ReasonService:
		return http.StatusForbidden
	case ramp.ReasonTicket:
		return http.StatusConflict
	case ramp.ReasonShare:
		return http.StatusTooManyRequests
	case ramp.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has disconnected
}
