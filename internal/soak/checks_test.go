package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

// TestChecksFail passes faulty responses to the checks and records which check reports
// each. A check that misses a fault here would miss it in a soak run too.
func TestChecksFail(t *testing.T) {
	good := func(service string) run {
		return run{service: service, stamp: service + ".r.1", status: http.StatusOK}
	}
	stamps := func(list string) http.Header {
		return http.Header{"X-Part-Stamps": {list}, "X-Missing-Parts": {"0"}}
	}
	long := time.Now().Add(-time.Minute)
	tests := []struct {
		name   string
		runs   []run
		method string
		path   string
		status int
		header http.Header
		body   string
	}{
		{
			"sound parts",
			[]run{good("a"), good("b")},
			http.MethodGet, pathAll, 200, stamps("a.r.1, b.r.1"),
			string(greatestOf("m", []string{"a", "b"})),
		},
		{
			"records of a part more",
			[]run{good("a"), good("b")},
			http.MethodGet, pathAll, 200,
			stamps("a.r.1, b.r.1"), string(greatestOf("m", []string{"a", "b", "b"})),
		},
		{"a part twice", []run{good("a")}, http.MethodGet, pathAll, 200, stamps("a.r.1, a.r.1"), ""},
		{
			"a part of a failure",
			[]run{{service: "a", stamp: "a.r.1", status: 500}},
			http.MethodGet, pathAll, 200,
			stamps("a.r.1"), "",
		},
		{"parts of no set", []run{good("a")}, http.MethodGet, pathAll, 200, stamps("a.r.1"), ""},
		{
			"too few parts",
			[]run{good("a")},
			http.MethodGet, pathAll, 200,
			http.Header{"X-Part-Stamps": {"a.r.1"}, "X-Missing-Parts": {"1"}},
			string(greatestOf("m", []string{"a"})),
		},
		{
			"another's answer",
			[]run{good("one")},
			http.MethodGet, pathRead, 200,
			http.Header{"X-Server-Stamp": {"other"}},
			"",
		},
		{
			"half an answer",
			[]run{good("one")},
			http.MethodGet, pathRead, 200,
			http.Header{"X-Server-Stamp": {"one.r.1"}},
			"half",
		},
		{"run twice", []run{good("one"), good("one")}, http.MethodPost, pathOnce, 502, nil, ""},
		{"three replicas", []run{good("one"), good("one"), good("one")}, http.MethodGet, pathRead, 502, nil, ""},
		{"refused though it ran", []run{good("one")}, http.MethodPost, pathOnce, 503, nil, ""},
		{
			"a signature on another status",
			[]run{good("one")},
			http.MethodGet, pathRead, 502,
			http.Header{"X-Server-Stamp": {"one.r.1"}},
			"",
		},
		{"a route that was never taken away", nil, http.MethodGet, pathRead, 404, nil, ""},
		{"a route that is a minute old", nil, http.MethodGet, "/added/x", 404, nil, ""},
	}
	var b strings.Builder
	for _, test := range tests {
		w := &cluster{
			ledger: newLedger(), store: standin.NewPlatform(), ctx: t.Context(), lastFault: long,
			versions: []version{{number: 3, set: []string{"a", "b"}, extra: "/added/", acked: long}},
		}
		for _, r := range test.runs {
			w.ledger.begin("m", r)
		}
		c := &caller{cluster: w, daemon: &process{cluster: w}}
		response := &http.Response{StatusCode: test.status, Header: test.header}
		if response.Header == nil {
			response.Header = http.Header{}
		}
		c.checkResponse("m", test.method, test.path, response, []byte(test.body), time.Now(), w.knownVersions())
		fmt.Fprintf(&b, "%s:\n", test.name)
		for _, v := range w.ledger.violations {
			fmt.Fprintf(&b, "  %s\n", v)
		}
	}
	golden.Check(t, "checks", scrub(b.String()))
}

// scrub replaces durations that differ from run to run.
func scrub(s string) string {
	lines := strings.Split(s, "\n")
	for i, l := range lines {
		if before, _, found := strings.Cut(l, " after version"); found {
			if at := strings.LastIndexByte(before, ' '); at > 0 {
				lines[i] = before[:at] + " AGE" + l[len(before):]
			}
		}
	}
	return strings.Join(lines, "\n")
}

// TestLostIsFound checks that a request that was executed and got no response is
// reported.
func TestLostIsFound(t *testing.T) {
	w := &cluster{ledger: newLedger(), lastFault: time.Now().Add(-time.Minute)}
	w.ledger.begin("m", run{service: "one"})
	c := &caller{cluster: w, daemon: &process{cluster: w, name: "d1"}}
	c.checkBroken("m", time.Now(), io.ErrUnexpectedEOF)
	if len(w.ledger.violations) != 1 {
		t.Errorf("violations: %v", w.ledger.violations)
	}
}

// TestDrainIsFound checks that a request that reaches a replica after its drain bound
// is reported.
func TestDrainIsFound(t *testing.T) {
	w := &cluster{
		ledger: newLedger(), store: standin.NewPlatform(), ctx: t.Context(), host: "127.0.0.1",
		lastFault: time.Now().Add(-time.Minute),
	}
	if err := w.newReplica("one"); err != nil {
		t.Fatal(err)
	}
	r := w.replicas[0]
	defer r.proxy.close()
	defer func() { _ = r.server.Close() }()
	r.left = time.Now().Add(-2 * drainBound)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.proxy.address()+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", "m")
	request.Header.Set("X-Target-Instance", r.instance.ID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if len(w.ledger.violations) != 1 || w.ledger.seen["drain"] != 1 {
		t.Errorf("violations: %v", w.ledger.violations)
	}
}

// TestUnheededStatementsAreFound checks that requests that go on after a replica has said
// that it leaves, refuses requests for a time or limits them are reported.
func TestUnheededStatementsAreFound(t *testing.T) {
	said := statement{since: time.Now().Add(-time.Second), arrivals: 10 * untoldRequests}
	var b strings.Builder
	for _, test := range []struct {
		name string
		acts int
		r    *replica
	}{
		{"leaving", sound, &replica{quiet: true, leaves: said}},
		{"limit", limiting, &replica{limit: said}},
		{"refusal", refusing, &replica{refuse: said}},
		{"all heeded", limiting, &replica{quiet: true}},
	} {
		w := &cluster{ledger: newLedger()}
		r := test.r
		r.cluster = w
		refused := r.speak(http.Header{}, test.acts)
		fmt.Fprintf(&b, "%s: refused=%t violations=%d\n", test.name, refused, len(w.ledger.violations))
	}
	golden.Check(t, "statements", b.String())
}

// TestAddressesAreUsedOnce checks that a second run with the addresses of another one does
// not start: its callers would reach the daemons of the first.
func TestAddressesAreUsedOnce(t *testing.T) {
	const host = "127.250.0.1" // no seed has it
	claim, err := claimAddresses(host)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := claimAddresses(host); err == nil {
		t.Error("a second run could start")
	}
	_ = claim.Close()
	again, err := claimAddresses(host)
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}
