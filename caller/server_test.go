package caller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/order"
	"sycamoreramp.example/sycamoreramp/query"
)

// fixedLists is a source of lists that never change and never become stale.
type fixedLists struct{ ramp.Lists }

func (fixedLists) Check(time.Time) error              { return nil }
func (l fixedLists) Current() (ramp.Lists, time.Time) { return l.Lists, time.Time{} }

// fixedClock is a clock that always shows the same time and fires no timer.
type fixedClock struct{}

func (fixedClock) Now() time.Time                                { return time.Unix(0, 0) }
func (fixedClock) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

// members returns three daemons in two failure domains and one that is leaving.
func members() *fleet.Members {
	m := fleet.NewMembers(ramp.Daemon{Incarnation: "a1"}, fixedClock{})
	m.Replace([]ramp.Daemon{
		{ID: "a", Incarnation: "a1", Domain: "north", CallerAddress: "10.0.0.1:80"},
		{ID: "b", Incarnation: "b1", Domain: "north", CallerAddress: "10.0.0.2:80"},
		{ID: "c", Incarnation: "c1", Domain: "south", CallerAddress: "10.0.0.3:80"},
		{ID: "d", Incarnation: "d1", Domain: "south", CallerAddress: "10.0.0.4:80", Leaving: true},
	})
	return m
}

func newHandler() http.Handler {
	source := fixedLists{ramp.Lists{}.
		WithAllowance(ramp.Allowance{Plan: "keeping", Services: []string{"desk"}, Deadline: time.Second}).
		WithCustomer(ramp.Customer{Name: "keeper", Plan: "keeping", Key: ramp.HashCredential("key")})}
	service := &query.Service{
		Clock: fixedClock{}, Log: slog.New(slog.DiscardHandler), Self: ramp.Daemon{ID: "a", Incarnation: "a1"},
		Lists: source, Tickets: order.NewTicketStore("a", "a1"),
		Members: fleet.NewMembers(ramp.Daemon{Incarnation: "a1"}, fixedClock{}),
		Observe: func(ramp.Query, ramp.Allowance, ramp.Answer, error) {},
	}
	mux := http.NewServeMux()
	NewServer(service, members(), fleet.AddressTTL).Register(mux)
	return mux
}

// truncatedReader is a body that ends before its declared length.
type truncatedReader struct{ io.Reader }

func (c truncatedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestRefusals checks the responses to requests that must be refused before any
// attempt is sent.
func TestRefusals(t *testing.T) {
	tests := []struct{ name, path, key, body string }{
		{"truncated body", "/search", "key", `{"service":"desk"`},
		{"empty body", "/search", "key", ``},
		{"unknown field", "/search", "key", `{"service":"desk","colour":"red"}`},
		{"wrong type", "/search", "key", `{"service":1}`},
		{"oversized body", "/search", "key", `{"service":"desk","body":"` + strings.Repeat("x", maxRequestSize) + `"}`},
		{"two JSON values", "/search", "key", `{"service":"desk"}{"service":"desk"}`},
		{"missing service", "/search", "key", `{}`},
		{"search with a key", "/search", "key", `{"service":"desk","key":"k"}`},
		{"read without a key", "/read", "key", `{"service":"desk"}`},
		{"malformed timeout", "/read", "key", `{"service":"desk","key":"k","timeout":"-1s"}`},
		{"unknown key", "/read", "other", `{"service":"desk","key":"k"}`},
		{"no credential", "/read", "", `{"service":"desk","key":"k"}`},
		{"service outside the plan", "/read", "key", `{"service":"ledger","key":"k"}`},
		{"missing ticket", "/order", "key", `{"service":"desk","key":"k"}`},
		{"malformed ticket", "/order", "key", `{"service":"desk","key":"k","ticket":"a.a1"}`},
		{"malformed number", "/order", "key", `{"service":"desk","key":"k","ticket":"a.a1.x"}`},
		{"order with an unknown key", "/order", "other", `{"service":"desk","key":"k","ticket":"a.a1.1"}`},
		{"order with an unknown ticket", "/order", "key", `{"service":"desk","key":"k","ticket":"a.a1.1"}`},
		{"order with a ticket of an unknown daemon", "/order", "key", `{"service":"desk","key":"k","ticket":"z.z1.1"}`},
		{"ticket with an unknown key", "/ticket", "other", ``},
	}
	var b strings.Builder
	handler := newHandler()
	for _, test := range tests {
		var body io.Reader = strings.NewReader(test.body)
		if test.name == "truncated body" {
			body = truncatedReader{body}
		}
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, test.path, body)
		if test.key != "" {
			r.Header.Set("Authorization", "Bearer "+test.key)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		fmt.Fprintf(&b, "%s: %d %s", test.name, w.Code, w.Body) // a JSON body ends with a newline
	}
	golden.Check(t, "refusals", b.String())
}

// TestAddresses checks the addresses given to callers inside and outside of the
// failure domains, and that repeated calls rotate them.
func TestAddresses(t *testing.T) {
	var b strings.Builder
	handler := newHandler()
	for _, domain := range []string{"north", "north", "south", ""} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(
			context.Background(), http.MethodGet, "/addresses?domain="+domain, nil))
		fmt.Fprintf(&b, "%q: %s", domain, w.Body)
	}
	golden.Check(t, "addresses", b.String())
}
