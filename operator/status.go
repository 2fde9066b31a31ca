package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// maxReply bounds a daemon's reply, in bytes.
const maxReply = 64 << 20

// Status is what a daemon reports of itself.
type Status struct {
	Daemon  string `json:"daemon"`
	Version uint64 `json:"version"` // lists in force
	Edit    string `json:"edit"`    // edit that made them
	Age     string `json:"age"`     // since the last word from the store, or "never"
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"` // requests in progress
}

// ageUnit is the unit of ages and times that daemons report.
const ageUnit = time.Millisecond

// AgeText returns how daemons report the age of the last word from the store, if
// there was one.
func AgeText(age time.Duration, known bool) string {
	if !known {
		return "never"
	}
	return age.Round(ageUnit).String()
}

// Server serves operators on a daemon. It refuses calls without the operators'
// credential.
type Server struct {
	credential string
	status     func() Status
}

// NewServer returns a server that reports what status returns.
func NewServer(credential string, status func() Status) *Server {
	return &Server{credential: credential, status: status}
}

// Register adds the paths for operators to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /status", s.Guard(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.status()) // the operator is gone
	}))
}

// Guard returns a handler that calls next only for requests with the operators'
// credential.
func (s *Server) Guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.Admits(r) {
			http.Error(w, "the operators' credential is wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// Admits reports whether the request has the operators' credential.
func (s *Server) Admits(r *http.Request) bool {
	want := []byte("Bearer " + s.credential)
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) == 1
}

// Client asks daemons for their status.
type Client struct {
	Credential string
	Client     *http.Client
}

// RefusedError is a call that a daemon refused.
type RefusedError struct {
	Address string // of the daemon
	Status  int    // HTTP status
	Detail  string // what the daemon said
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("daemon at %s refused the call: status=%d %s", e.Address, e.Status, e.Detail)
}

// Status returns the status of the daemon at a caller address.
func (c Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.Get(ctx, address, "/status", &status)
	return status, err
}

// Get asks the daemon at a caller address and decodes its reply. It returns a
// [*RefusedError] when the daemon refuses the call.
func (c Client) Get(ctx context.Context, address, path string, reply any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.Credential)
	response, err := c.Client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &RefusedError{Address: address, Status: response.StatusCode, Detail: strings.TrimSpace(string(data))}
	}
	return json.Unmarshal(data, reply)
}

// AwaitInForce waits until every registered daemon has at least the version in
// force, or until ctx ends. It returns the daemons that lag.
func (c Client) AwaitInForce(
	ctx context.Context, clock ramp.Clock, registry ramp.Registry, version uint64,
) []ramp.Daemon {
	var lagging []ramp.Daemon
	for {
		daemons, _, err := registry.WatchDaemons(ctx, 0, 0)
		if err == nil {
			lagging = c.lagging(ctx, daemons, version)
			if len(lagging) == 0 {
				return nil
			}
		}
		if ramp.Sleep(ctx, clock, 100*time.Millisecond) != nil {
			return lagging
		}
	}
}

func (c Client) lagging(ctx context.Context, daemons []ramp.Daemon, version uint64) []ramp.Daemon {
	var lagging []ramp.Daemon
	for _, d := range daemons {
		status, err := c.Status(ctx, d.CallerAddress)
		if err != nil || status.Version < version {
			lagging = append(lagging, d)
		}
	}
	return lagging
}
