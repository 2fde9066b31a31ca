package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/daemon"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
)

const edgeConfig = `{"version":%d,"limits":{"maxBodyBytes":1000,"idleTimeoutMs":15000},
	"backends":[{"name":"a","maxConnections":8},{"name":"b","maxConnections":8},{"name":"c","maxConnections":80}],
	"routes":[
	{"name":"all","host":"h.example","pathPrefix":"/all/","type":"idempotent","timeoutMs":900,
	"targetLatencyMs":400,"gather":["a","b"],"attempts":2,"topK":2,"minCoverage":0.5},
	{"name":"once","host":"h.example","pathPrefix":"/all/once/","type":"non_idempotent","timeoutMs":900,
	"targetLatencyMs":400,"backend":"c","attempts":2}%s]}`

// edgeFixture holds a store and replicas of three services for an edge daemon on a
// loopback address of its own.
type edgeFixture struct {
	t      *testing.T
	host   string
	store  *standin.Platform
	server *httptest.Server

	log        io.Writer     // of the daemon
	revocation time.Duration // bound on revocations; 0 for none
}

func newEdgeFixture(t *testing.T, number int) *edgeFixture {
	t.Helper()
	pid := os.Getpid()
	f := &edgeFixture{
		t: t, host: fmt.Sprintf("127.%d.%d.%d", 128+number, pid>>8&0xff, pid&0xff|1), store: standin.NewPlatform(),
		log: io.Discard,
	}
	f.server = httptest.NewServer(f.store.Handler())
	t.Cleanup(f.server.Close)
	for _, service := range []string{"a", "b", "c"} {
		f.startReplica(service)
	}
	return f
}

// startReplica starts and registers a replica that answers with its service's name,
// repeated to 16 bytes, followed by the request's body. It answers 500 to a request
// without a deadline or, but for paths below /long, with more than 900 ms left.
func (f *edgeFixture) startReplica(service string) {
	id := "i-" + service
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp-"+service)
		left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
		if err != nil || left > 900 && !strings.HasPrefix(r.URL.Path, "/long") {
			w.WriteHeader(http.StatusInternalServerError)
		}
		if strings.HasSuffix(r.URL.Path, "hang") {
			time.Sleep(5 * time.Second)
		}
		if strings.HasSuffix(r.URL.Path, "slow") {
			time.Sleep(300 * time.Millisecond)
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%-16s%s", strings.Repeat(service, 16), body)
	}))
	f.t.Cleanup(server.Close)
	f.register(id, service, server.Listener.Addr().String())
}

// register writes the entry of a replica.
func (f *edgeFixture) register(id, service, address string) {
	value, _ := platform.EncodeInstance(ramp.Instance{
		Replica: ramp.Replica{ID: id, Address: address, Domain: "z"}, Service: service,
		State: ramp.Live, StartedMillis: 1, Sequence: 1,
	})
	_, err := f.store.Swap(f.t.Context(), "servers/"+id, value, 0, "")
	is.New(f.t).NoErr(err)
}

// putConfig stores edgeConfig with the version and the routes appended.
func (f *edgeFixture) putConfig(version int, moreRoutes string) {
	current, _ := f.store.Get(f.t.Context(), "op/config")
	_, err := f.store.Swap(f.t.Context(), "op/config", fmt.Appendf(nil, edgeConfig, version, moreRoutes),
		current.Revision, "")
	is.New(f.t).NoErr(err)
}

// startDaemon runs an edge daemon until stop is called, and waits until it listens.
func (f *edgeFixture) startDaemon() (stop func() error) {
	f.t.Helper()
	d := ramp.Deployment{
		Name: "edge-1", Domain: "z", IP: f.host, StoreAddress: f.server.Listener.Addr().String(),
		CallerAddress: f.host + ":8104", DirectoryAddress: f.host + ":8100", ReadinessAddress: f.host + ":8108",
		PeerAddress: f.host + ":8106",
		ApplyBound:  3 * time.Second, DrainBound: 3 * time.Second, GracePeriod: 3 * time.Second, AddressTTL: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 20,
		RetryWindow: 10 * time.Second, RevocationBound: f.revocation,
		Quota: ramp.QuotaBounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
	}
	e, err := daemon.NewEdge(d, func() (ramp.Deployment, error) { return d, nil }, f.host+":9464", "/metrics",
		ramp.SystemClock{}, f.log, slog.LevelDebug)
	is.New(f.t).NoErr(err)
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx, nil) }()
	f.eventually(func() bool {
		c, err := net.DialTimeout("tcp", d.PeerAddress, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	return func() error {
		cancel()
		return <-ended
	}
}

func (f *edgeFixture) eventually(condition func() bool) {
	f.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("condition not met within 5 s")
}

// sendRequest sends a request on a new connection and returns a description of the
// response.
func (f *edgeFixture) sendRequest(method, path, body string) string {
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.host+":8104"+path, strings.NewReader(body))
	is.New(f.t).NoErr(err)
	r.Host = "h.example"
	r.Close = true
	r.Header.Set("X-Request-Id", "id-"+path)
	r.Header.Set("X-Deadline-Ms", "800")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	got, _ := io.ReadAll(response.Body)
	var text strings.Builder
	fmt.Fprintf(&text, "%d %q", response.StatusCode, got)
	for _, name := range []string{"X-Part-Stamps", "X-Missing-Parts", "X-Server-Stamp", "Retry-After"} {
		if v := response.Header.Get(name); v != "" {
			fmt.Fprintf(&text, " %s=%s", name, v)
		}
	}
	return text.String()
}

// statusCode returns the status of a GET request, or 0 without a response.
func (f *edgeFixture) statusCode(port int, path string) int {
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", f.host, port, path))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// TestEdge covers the path of a request end to end: address look-up, routing, replicas
// and response. It guards against failed requests while the first configuration
// arrives, while it changes, during an outage of the store and during a shutdown.
func TestEdge(t *testing.T) {
	is := is.New(t)
	f := newEdgeFixture(t, 1)
	stop := f.startDaemon()
	var b strings.Builder
	record := func(label, got string) { fmt.Fprintf(&b, "%s: %s\n", label, got) }
	record("before the first configuration", f.sendRequest(http.MethodGet, "/all/x", ""))
	record("readiness before the first configuration", strconv.Itoa(f.statusCode(8108, "/ready")))
	f.putConfig(3, "")
	f.eventually(func() bool { return f.statusCode(8108, "/ready") == http.StatusOK })
	response, err := http.Get("http://" + f.host + ":8100/resolve?name=h.example&zone=z")
	is.NoErr(err)
	defer response.Body.Close()
	var addresses struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	is.NoErr(json.NewDecoder(response.Body).Decode(&addresses))
	is.Equal(addresses.Addrs, []string{f.host + ":8104"})
	is.Equal(addresses.TTL, 0.5)
	record("gathered from all parts", f.sendRequest(http.MethodGet, "/all/x?q=1", ""))
	record("longest matching prefix", f.sendRequest(http.MethodPost, "/all/once/x", "+body"))
	record("body too large", f.sendRequest(http.MethodPost, "/all/once/x", strings.Repeat("x", 1001)))
	record("no matching route", f.sendRequest(http.MethodGet, "/other/x", ""))
	f.putConfig(5, `,{"name":"new","host":"h.example","pathPrefix":"/other/","type":"idempotent",
		"timeoutMs":900,"backend":"a"}`)
	f.eventually(func() bool { return strings.HasPrefix(f.sendRequest(http.MethodGet, "/other/x", ""), "200") })
	f.putConfig(4, "")
	time.Sleep(time.Second)
	record("after an older version was stored", f.sendRequest(http.MethodGet, "/other/x", ""))
	is.Equal(f.statusCode(9464, "/metrics"), http.StatusOK)
	is.Equal(f.statusCode(9464, "/allowances"), http.StatusOK)
	f.store.SetFault("", standin.Fault{Down: true})
	record("while the store is down", f.sendRequest(http.MethodGet, "/all/x", ""))
	f.store.SetFault("", standin.Fault{})
	slow := make(chan string, 1)
	go func() { slow <- f.sendRequest(http.MethodPost, "/all/once/slow", "") }()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	f.eventually(func() bool { return f.statusCode(8108, "/ready") == http.StatusServiceUnavailable })
	record("in flight when the shutdown starts", <-slow)
	record("during the shutdown", f.sendRequest(http.MethodGet, "/all/x", ""))
	is.NoErr(<-stopped)
	record("after the shutdown", f.sendRequest(http.MethodGet, "/all/x", ""))
	golden.Check(t, "edge", b.String())
}

// TestEdgeAnswersUntilItStops guards against requests that are cut off without an answer
// at the end of a planned stop: those that were in flight when it began, those that came
// late in the grace period, and those on connections that were accepted before. Such a
// request may not be repeated once it was passed on.
func TestEdgeAnswersUntilItStops(t *testing.T) {
	f := newEdgeFixture(t, 5)
	f.putConfig(3, `,{"name":"long","host":"h.example","pathPrefix":"/long/","type":"non_idempotent",
		"timeoutMs":9000,"targetLatencyMs":400,"backend":"c","attempts":2}`)
	stop := f.startDaemon()
	f.eventually(func() bool { return f.statusCode(8108, "/ready") == http.StatusOK })
	const grace = 3 * time.Second // as in startDaemon
	requests := []struct {
		name    string
		connect time.Duration // after the start of the stop
		send    time.Duration // the same
		path    string
	}{
		{"before the stop, no reply", -200 * time.Millisecond, -200 * time.Millisecond, "/long/hang"},
		{"early in the grace, no reply", 300 * time.Millisecond, 300 * time.Millisecond, "/long/hang"},
		{"early in the grace", 300 * time.Millisecond, 300 * time.Millisecond, "/long/slow"},
		{"connected early, sent late, no reply", 1300 * time.Millisecond, 2200 * time.Millisecond, "/long/hang"},
		{"connected early, sent late", 1300 * time.Millisecond, 2200 * time.Millisecond, "/long/x"},
	}
	results := make([]chan string, len(requests))
	stopAt := time.Now().Add(300 * time.Millisecond)
	for i, r := range requests {
		results[i] = make(chan string, 1)
		go func() { results[i] <- f.sendAt(stopAt.Add(r.connect), stopAt.Add(r.send), r.path) }()
	}
	time.Sleep(time.Until(stopAt))
	err := stop()
	var b strings.Builder
	fmt.Fprintf(&b, "stopped within the grace period: %t, error: %v\n", time.Since(stopAt) < grace, err)
	for i, r := range requests {
		fmt.Fprintf(&b, "%s: %s\n", r.name, <-results[i])
	}
	golden.Check(t, "edgestop", b.String())
}

// sendAt opens a connection and sends a request on it at the given times. It returns the
// status of the answer and the header fields that tell what to do next.
func (f *edgeFixture) sendAt(connect, send time.Time, path string) string {
	time.Sleep(time.Until(connect))
	connection, err := net.DialTimeout("tcp", f.host+":8104", time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = connection.Close() }()
	time.Sleep(time.Until(send))
	_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\n"+
		"X-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return "cut off"
	}
	defer response.Body.Close()
	retryAfter := response.Header.Get("Retry-After")
	return fmt.Sprintf("%d close=%t Retry-After=%s", response.StatusCode, response.Close, retryAfter)
}
