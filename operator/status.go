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

// maxReplySize is the largest size of a daemon's reply, in bytes.
const maxReplySize = 64 << 20

// Status is the status that a daemon reports about itself.
type Status struct {
	Daemon   string `json:"daemon"`
	Version  uint64 `json:"version"` // version of the lists in force
	Edit     string `json:"edit"`    // id of the edit that made this version
	StoreAge string `json:"age"`     // time since the store last confirmed the version, or "never"
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"running"` // requests in flight
}

// ageUnit is the unit that reported ages and latencies are rounded to.
const ageUnit = time.Millisecond

// FormatAge returns the text of the time since the last response of the store. It
// returns "never" if known is false, when the store has not answered yet.
func FormatAge(age time.Duration, known bool) string {
	if !known {
		return "never"
	}
	return age.Round(ageUnit).String()
}

// Server serves operators on a daemon. It rejects calls without the operators'
// credential with HTTP status 401.
type Server struct {
	credential string
	status     func() Status
}

// NewServer returns a server that accepts the operators' credential and reports
// the result of status.
func NewServer(credential string, status func() Status) *Server {
	return &Server{credential: credential, status: status}
}

// Register adds the status endpoint to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /status", s.RequireCredential(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.status()) // an error means that the operator has disconnected
	}))
}

// RequireCredential returns a handler that calls next for requests with the operators'
// credential and answers all others with HTTP status 401.
func (s *Server) RequireCredential(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.HasCredential(r) {
			http.Error(w, "the operators' credential is wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// HasCredential reports whether the request has the operators' credential. The
// comparison takes constant time.
func (s *Server) HasCredential(r *http.Request) bool {
	want := []byte("Bearer " + s.credential)
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) == 1
}

// Client calls daemons on behalf of an operator.
type Client struct {
	Credential string       // the operators' credential
	Client     *http.Client // for connections to the daemons
}

// RefusedError reports a call that a daemon refused.
type RefusedError struct {
	Address string // of the daemon
	Status  int    // HTTP status
	Detail  string // body of the daemon's response
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("daemon at %s refused the call: status=%d %s", e.Address, e.Status, e.Detail)
}

// Status returns the status of the daemon at the address, which is its address
// for callers.
func (c Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.Get(ctx, address, "/status", &status)
	return status, err
}

// Get sends a GET request to the daemon at the address and decodes its reply. It
// returns a [*RefusedError] when the daemon refuses the call.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &RefusedError{Address: address, Status: response.StatusCode, Detail: strings.TrimSpace(string(data))}
	}
	return json.Unmarshal(data, reply)
}

// AwaitVersion polls every 100 ms until every registered daemon has at least the
// given version of the lists in force, or until ctx ends. It returns the daemons
// that lagged at the last check.
func (c Client) AwaitVersion(
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

// lagging returns the daemons that have an earlier version in force or do not
// answer.
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
