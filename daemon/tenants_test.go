package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

// sharedBuffer is a buffer that a daemon writes and a test reads.
type sharedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements [io.Writer].
func (b *sharedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

// text returns what was written so far.
func (b *sharedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.String()
}

// startRecorder starts and registers a replica of the service d, which records the heads of
// the requests that it gets.
func (f *edgeFixture) startRecorder(heads io.Writer) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(heads, "%s tenant=%q\n", r.URL.Path, r.Header["X-Tenant"])
		_ = r.Header.Write(heads)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp-d")
	}))
	f.t.Cleanup(server.Close)
	f.register("i-d", "d", server.Listener.Addr().String())
}

// sendKeyed sends a request with a key, and with a name of a tenant that is not the
// caller's. It returns the status and the time to retry after.
func (f *edgeFixture) sendKeyed(path, key string) (status int, retryAfter string) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+f.host+":8104"+path, http.NoBody)
	is.New(f.t).NoErr(err)
	r.Host, r.Close = "h.example", true
	r.Header.Set("X-Request-Id", "id-"+path)
	r.Header.Set("X-Tenant", "forged")
	if key != "" {
		r.Header.Set("X-Credential", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// putTenants stores a configuration with two routes to the service d, the second of which
// is public, and the given tenants.
func (f *edgeFixture) putTenants(version int, tenants string) {
	const route = `,{"name":%q,"host":"h.example","pathPrefix":"/%s/","type":"idempotent","timeoutMs":900,
		"targetLatencyMs":400,"backend":"d","public":%t}`
	f.putConfig(version, fmt.Sprintf(route, "keyed", "keyed", false)+fmt.Sprintf(route, "open", "open", true)+
		`],"tenants":[`+tenants)
}

// get returns the body of a GET request for metrics or the view.
func (f *edgeFixture) get(path string) string {
	response, err := http.Get("http://" + f.host + ":9464" + path)
	is.New(f.t).NoErr(err)
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

// TestKeysStayInside records who is served by key while the operator's configuration
// changes and while the store is down, and what a replica is told. It fails when a key is in
// the log, in the metrics, in the view for operators or in a request to a replica.
func TestKeysStayInside(t *testing.T) {
	f := newEdgeFixture(t, 6)
	var heads, log sharedBuffer
	f.log, f.revocation = &log, 4*time.Second
	f.startRecorder(&heads)
	f.putTenants(3, `{"name":"one","apiKeys":["secret-1"],"ratePerS":1000},{"name":"two","apiKeys":["secret-2"]}`)
	stop := f.startDaemon()
	f.eventually(func() bool { return f.statusCode(8108, "/ready") == http.StatusOK })
	var b strings.Builder
	record := func(label, path, key string) {
		status, retryAfter := f.sendKeyed(path, key)
		fmt.Fprintf(&b, "%s: %d retry after a time=%t\n", label, status, retryAfter != "")
	}
	record("key of one", "/keyed/1", "secret-1")
	record("key of two", "/keyed/2", "secret-2")
	record("unknown key", "/keyed/3", "secret-3")
	record("no key", "/keyed/4", "")
	record("public route with a key", "/open/5", "secret-1")
	record("public route without a key", "/open/6", "")
	record("no route", "/other/7", "secret-3")
	f.putTenants(4, `{"name":"one","apiKeys":["secret-1"]},{"name":"two","apiKeys":["secret-1"]}`)
	f.eventually(func() bool { return strings.Contains(log.text(), "store entry ignored") })
	record("after an unusable configuration", "/keyed/8", "secret-2")
	f.putTenants(5, `{"name":"two","apiKeys":["secret-2"]}`)
	f.eventually(func() bool {
		status, _ := f.sendKeyed("/keyed/9", "secret-1")
		return status == http.StatusUnauthorized
	})
	record("after a key was taken away, key of another tenant", "/keyed/10", "secret-2")
	f.store.SetFault("", standin.Fault{Down: true})
	record("store just gone", "/keyed/11", "secret-2")
	time.Sleep(f.revocation)
	record("store gone for the bound", "/keyed/12", "secret-2")
	record("store gone for the bound, public route", "/open/13", "secret-2")
	f.store.SetFault("", standin.Fault{})
	f.eventually(func() bool { status, _ := f.sendKeyed("/keyed/14", "secret-2"); return status == http.StatusOK })
	const counted = `sycamoreramp_tenant_messages{outcome="unconfirmed",tenant="two"}`
	f.eventually(func() bool { return strings.Contains(f.get("/metrics"), counted) })
	text := f.get("/metrics") + f.get("/belief") + f.get("/burn")
	is.New(t).NoErr(stop())
	for _, line := range regexp.MustCompile(`(?m)^/.* tenant=.*$`).FindAllString(heads.text(), -1) {
		if !strings.HasPrefix(line, "/keyed/9 ") && !strings.HasPrefix(line, "/keyed/14 ") { // those are sent many times
			fmt.Fprintln(&b, "replica got", line)
		}
	}
	for _, pattern := range []string{
		`msg="store entry ignored" key=op/config .*`, `msg="request failed" request=id-/keyed/12 .*`,
	} {
		line := regexp.MustCompile(pattern).FindString(log.text())
		for _, field := range regexp.MustCompile(`(tenant|reason|version|detail|error|age)=("(\\.|[^"\\])*"|\S+)`).
			FindAllString(line, -1) {
			fmt.Fprintln(&b, "logged", regexp.MustCompile(`\d+(\.\d+)?m?s\b`).ReplaceAllString(field, "TIME"))
		}
	}
	for name, s := range map[string]string{"log": log.text(), "metrics": text, "requests to replicas": heads.text()} {
		if strings.Contains(s, "secret") {
			t.Errorf("a key is in the %s", name)
		}
	}
	golden.Check(t, "keysinside", b.String())
}
