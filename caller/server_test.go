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

// lists are lists in force that never go out of date.
type lists struct{ ramp.Lists }

func (lists) Check(time.Time) error              { return nil }
func (l lists) Current() (ramp.Lists, time.Time) { return l.Lists, time.Time{} }

// stopped is a clock that does not move.
type stopped struct{}

func (stopped) Now() time.Time                                { return time.Unix(0, 0) }
func (stopped) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

// members are two daemons of different failure domains and one that leaves.
func members() *fleet.Members {
	m := fleet.NewMembers(ramp.Daemon{Incarnation: "a1"}, stopped{})
	m.Replace([]ramp.Daemon{
		{ID: "a", Incarnation: "a1", Domain: "north", CallerAddress: "10.0.0.1:80"},
		{ID: "b", Incarnation: "b1", Domain: "north", CallerAddress: "10.0.0.2:80"},
		{ID: "c", Incarnation: "c1", Domain: "south", CallerAddress: "10.0.0.3:80"},
		{ID: "d", Incarnation: "d1", Domain: "south", CallerAddress: "10.0.0.4:80", Leaving: true},
	})
	return m
}

func newHandler() http.Handler {
	in := lists{ramp.Lists{}.
		WithAllowance(ramp.Allowance{Plan: "keeping", Services: []string{"desk"}, Deadline: time.Second}).
		WithCustomer(ramp.Customer{Name: "keeper", Plan: "keeping", Key: ramp.HashCredential("key")})}
	service := &query.Service{
		Clock: stopped{}, Log: slog.New(slog.DiscardHandler), Self: ramp.Daemon{ID: "a", Incarnation: "a1"},
		Lists: in, Ledger: order.NewLedger("a", "a1"),
		Members: fleet.NewMembers(ramp.Daemon{Incarnation: "a1"}, stopped{}),
		Observe: func(ramp.Query, ramp.Allowance, ramp.Answer, error) {},
	}
	mux := http.NewServeMux()
	NewServer(service, members(), fleet.AddressLife).Register(mux)
	return mux
}

// cutReader is a body that ends before its stated length.
type cutReader struct{ io.Reader }

func (c cutReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestRefusals sends requests that must be refused without anything being run.
func TestRefusals(t *testing.T) {
	tests := []struct{ name, path, key, body string }{
		{"body cut short", "/search", "key", `{"service":"desk"`},
		{"empty body", "/search", "key", ``},
		{"unknown field", "/search", "key", `{"service":"desk","colour":"red"}`},
		{"wrong type", "/search", "key", `{"service":1}`},
		{"oversized body", "/search", "key", `{"service":"desk","body":"` + strings.Repeat("x", maxRequest) + `"}`},
		{"two JSON values", "/search", "key", `{"service":"desk"}{"service":"desk"}`},
		{"missing service", "/search", "key", `{}`},
		{"key of a search", "/search", "key", `{"service":"desk","key":"k"}`},
		{"no key of a read", "/read", "key", `{"service":"desk"}`},
		{"malformed timeout", "/read", "key", `{"service":"desk","key":"k","timeout":"-1s"}`},
		{"bad key", "/read", "other", `{"service":"desk","key":"k"}`},
		{"no credential", "/read", "", `{"service":"desk","key":"k"}`},
		{"service outside the plan", "/read", "key", `{"service":"ledger","key":"k"}`},
		{"missing ticket", "/order", "key", `{"service":"desk","key":"k"}`},
		{"malformed ticket", "/order", "key", `{"service":"desk","key":"k","ticket":"a.a1"}`},
		{"malformed number", "/order", "key", `{"service":"desk","key":"k","ticket":"a.a1.x"}`},
		{"order with a bad key", "/order", "other", `{"service":"desk","key":"k","ticket":"a.a1.1"}`},
		{"order with an unknown ticket", "/order", "key", `{"service":"desk","key":"k","ticket":"a.a1.1"}`},
		{"order with a ticket of a lost daemon", "/order", "key", `{"service":"desk","key":"k","ticket":"z.z1.1"}`},
		{"ticket with a bad key", "/ticket", "other", ``},
	}
	var b strings.Builder
	handler := newHandler()
	for _, test := range tests {
		var body io.Reader = strings.NewReader(test.body)
		if test.name == "body cut short" {
			body = cutReader{body}
		}
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, test.path, body)
		if test.key != "" {
			r.Header.Set("Authorization", "Bearer "+test.key)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		fmt.Fprintf(&b, "%s: %d %s", test.name, w.Code, w.Body) // a JSON body ends its line
	}
	golden.Check(t, "refusals", b.String())
}

// TestAddresses asks for addresses from a failure domain and from outside.
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
