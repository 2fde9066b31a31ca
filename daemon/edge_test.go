package daemon_test

import (
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
	"backends":[{"name":"a","maxConnections":8},{"name":"b","maxConnections":8},{"name":"c","maxConnections":8}],
	"routes":[
	{"name":"all","host":"h.example","pathPrefix":"/all/","type":"idempotent","timeoutMs":900,
	"targetLatencyMs":400,"gather":["a","b"],"attempts":2,"topK":2,"minCoverage":0.5},
	{"name":"once","host":"h.example","pathPrefix":"/all/once/","type":"non_idempotent","timeoutMs":900,
	"targetLatencyMs":400,"backend":"c","attempts":2}%s]}`

// place is a loopback address with a store and replicas of three services.
type place struct {
	t      *testing.T
	host   string
	store  *standin.Platform
	server *httptest.Server
}

func newPlace(t *testing.T, number int) *place {
	t.Helper()
	pid := os.Getpid()
	p := &place{t: t, host: fmt.Sprintf("127.%d.%d.%d", 128+number, pid>>8&0xff, pid&0xff|1), store: standin.NewPlatform()}
	p.server = httptest.NewServer(p.store.Handler())
	t.Cleanup(p.server.Close)
	for _, service := range []string{"a", "b", "c"} {
		p.replica(service)
	}
	return p
}

// replica starts one that answers with its service's name as a record, and
// registers it.
func (p *place) replica(service string) {
	id := "i-" + service
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp-"+service)
		if left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err != nil || left > 900 {
			w.WriteHeader(http.StatusInternalServerError)
		}
		if strings.HasSuffix(r.URL.Path, "slow") {
			time.Sleep(300 * time.Millisecond)
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%-16s%s", strings.Repeat(service, 16), body)
	}))
	p.t.Cleanup(server.Close)
	value, _ := platform.EncodeInstance(ramp.Instance{
		Replica: ramp.Replica{ID: id, Address: server.Listener.Addr().String(), Domain: "z"}, Service: service,
		State: ramp.Live, StartedMillis: 1, Sequence: 1,
	})
	_, err := p.store.Swap(p.t.Context(), "servers/"+id, value, 0, "")
	is.New(p.t).NoErr(err)
}

func (p *place) configure(version int, more string) {
	current, _ := p.store.Get(p.t.Context(), "op/config")
	_, err := p.store.Swap(p.t.Context(), "op/config", fmt.Appendf(nil, edgeConfig, version, more), current.Revision, "")
	is.New(p.t).NoErr(err)
}

// start runs a daemon until the returned function has been called.
func (p *place) start() (stop func() error) {
	p.t.Helper()
	d := ramp.Deployment{
		Name: "edge-1", Domain: "z", IP: p.host, StoreAddress: p.server.Listener.Addr().String(),
		CallerAddress: p.host + ":8104", DirectoryAddress: p.host + ":8100", ReadinessAddress: p.host + ":8108",
		PeerAddress: p.host + ":8106",
		ApplyBound:  3 * time.Second, DrainBound: 3 * time.Second, GracePeriod: 3 * time.Second, AddressTTL: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 20,
		RetryWindow: 10 * time.Second,
	}
	e, err := daemon.NewEdge(d, func() (ramp.Deployment, error) { return d, nil }, p.host+":9464", "/metrics",
		ramp.SystemClock{}, io.Discard, slog.LevelInfo)
	is.New(p.t).NoErr(err)
	ctx, cancel := context.WithCancel(p.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx, nil) }()
	p.eventually(func() bool {
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

func (p *place) eventually(condition func() bool) {
	p.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatal("the condition does not come true")
}

// ask sends a request on a connection of its own and describes the answer.
func (p *place) ask(method, path, body string) string {
	r, err := http.NewRequestWithContext(p.t.Context(), method, "http://"+p.host+":8104"+path, strings.NewReader(body))
	is.New(p.t).NoErr(err)
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

func (p *place) status(port int, path string) int {
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.host, port, path))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// TestEdge takes requests from the directory through routes to replicas and back,
// while the configuration comes and changes, and while the daemon stops.
func TestEdge(t *testing.T) {
	is := is.New(t)
	p := newPlace(t, 1)
	stop := p.start()
	var b strings.Builder
	note := func(what, got string) { fmt.Fprintf(&b, "%s: %s\n", what, got) }
	note("no configuration", p.ask(http.MethodGet, "/all/x", ""))
	note("ready", strconv.Itoa(p.status(8108, "/ready")))
	p.configure(3, "")
	p.eventually(func() bool { return p.status(8108, "/ready") == http.StatusOK })
	response, err := http.Get("http://" + p.host + ":8100/resolve?name=h.example&zone=z")
	is.NoErr(err)
	defer response.Body.Close()
	var addresses struct {
		Addrs []string `json:"addrs"`
		Life  float64  `json:"ttl_s"`
	}
	is.NoErr(json.NewDecoder(response.Body).Decode(&addresses))
	is.Equal(addresses.Addrs, []string{p.host + ":8104"})
	is.Equal(addresses.Life, 0.5)
	note("all parts", p.ask(http.MethodGet, "/all/x?q=1", ""))
	note("the longest prefix", p.ask(http.MethodPost, "/all/once/x", "+body"))
	note("too large", p.ask(http.MethodPost, "/all/once/x", strings.Repeat("x", 1001)))
	note("no route", p.ask(http.MethodGet, "/other/x", ""))
	p.configure(5, `,{"name":"new","host":"h.example","pathPrefix":"/other/","type":"idempotent",
		"timeoutMs":900,"backend":"a"}`)
	p.eventually(func() bool { return strings.HasPrefix(p.ask(http.MethodGet, "/other/x", ""), "200") })
	p.configure(4, "")
	time.Sleep(time.Second)
	note("after an older version", p.ask(http.MethodGet, "/other/x", ""))
	is.Equal(p.status(9464, "/metrics"), http.StatusOK)
	p.store.SetFault("", standin.Fault{Down: true})
	note("the store is away", p.ask(http.MethodGet, "/all/x", ""))
	p.store.SetFault("", standin.Fault{})
	slow := make(chan string, 1)
	go func() { slow <- p.ask(http.MethodPost, "/all/once/slow", "") }()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	p.eventually(func() bool { return p.status(8108, "/ready") == http.StatusServiceUnavailable })
	note("in progress when it stops", <-slow)
	note("after it began to stop", p.ask(http.MethodGet, "/all/x", ""))
	is.NoErr(<-stopped)
	note("after it stopped", p.ask(http.MethodGet, "/all/x", ""))
	golden.Check(t, "edge", b.String())
}
