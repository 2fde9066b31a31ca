package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/daemon"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/script"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sycamoreramp": main})
}

// TestScripts runs the scripts against two daemons, with stand-ins for the platform
// and the backend servers. A script has the commands of testscript and those of the
// map below.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: golden.Updating(),
		Setup:         startFleet,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": script.Exits, "scrub": scrub, "behave": behave, "settle": settle,
			"fetch": fetch, "edge": startEdgeDaemon, "request": request,
		},
	})
}

// scrubRules replace the parts of the output that differ from run to run. They are
// applied in this order.
var scrubRules = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+Z`), "TIME"},
	{regexp.MustCompile(`elapsed=\S+`), "elapsed=DURATION"},
	{regexp.MustCompile(`(operation=(search|read) .*attempts=)[1-9]\d*`), "${1}N"}, // a slow machine adds hedges
	{regexp.MustCompile(`127\.[\d.]+:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\b[0-9a-f]{16}-\d+`), "INCARNATION-N"},
	{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "INCARNATION"},
	{regexp.MustCompile(`-?\b\d+(\.\d+)?(ns|µs|ms|s)\b`), "DURATION"},
	{regexp.MustCompile(` {2,}`), "  "},
}

// scrub copies a file to "scrubbed" and applies scrubRules to the copy: scrub FILE.
func scrub(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	for _, rule := range scrubRules {
		text = rule.pattern.ReplaceAllString(text, rule.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs("scrubbed"), []byte(text), 0o600))
}

// behave makes a backend server shed every request, or answer again: behave SERVER
// shed|work.
func behave(ts *testscript.TestScript, _ bool, args []string) {
	cluster := ts.Value(clusterKey{}).(*standin.Cluster)
	cluster.Backend(args[0]).SetBehaviour(standin.Behaviour{Shed: args[1] == "shed"})
}

// settle waits until a search on each of the daemons covers every shard of the
// service.
func settle(ts *testscript.TestScript, _ bool, _ []string) {
	for _, address := range []string{ts.Getenv("D1"), ts.Getenv("D2")} {
		client := caller.Client{Key: "restorer-key", Client: http.DefaultClient}
		complete := false
		for range 200 {
			call := caller.Request{Operation: ramp.Search, Service: "prisms"}
			answer, err := client.Run(context.Background(), address, call)
			if complete = err == nil && answer.Complete; complete {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !complete {
			ts.Fatalf("no complete answer from the daemon at %s", address)
		}
	}
}

// fetch sends a GET request with a credential, checks the status code, and writes the
// body to "fetched": fetch STATUS URL CREDENTIAL.
func fetch(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, args[1], nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+args[2])
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	ts.Check(err)
	if strconv.Itoa(response.StatusCode) != args[0] {
		ts.Fatalf("status %d, want %s", response.StatusCode, args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs("fetched"), body, 0o600))
}

// edgeConfig is the operators' configuration in the store of the users' platform.
const edgeConfig = `{"version":7,"backends":[{"name":"prisms","maxConnections":26}],
	"limits":{"maxBodyBytes":1000,"idleTimeoutMs":15000},
	"routes":[{"name":"all","host":"h.example","pathPrefix":"/all/","type":"idempotent","timeoutMs":900,
	"targetLatencyMs":400,"gather":["prisms"],"attempts":2,"topK":2,"minCoverage":0.5},
	{"name":"one","host":"h.example","pathPrefix":"/one/","type":"idempotent","timeoutMs":900,
	"targetLatencyMs":400,"trafficSplit":[{"backend":"prisms","weight":3},{"backend":"gone","weight":1}],"attempts":1}]}`

// registeredRevision is the store's revision once it has the configuration, two
// replicas, and the lease and the registration of a daemon.
const registeredRevision = 5

// startEdgeDaemon starts a store and a daemon on the users' platform that logs to
// edge.log, and sets $STORE, $EDGE and $METRICS to their addresses: edge SETTINGS. It
// waits until the daemon has read the configuration, the replicas and its own
// registration from the store.
func startEdgeDaemon(ts *testscript.TestScript, _ bool, args []string) {
	store := standin.NewPlatform()
	server := httptest.NewServer(store.Handler())
	ts.Defer(server.Close)
	address := server.Listener.Addr().String()
	entries := map[string][]byte{"op/config": []byte(edgeConfig)}
	for _, name := range []string{"prisms-0-0", "prisms-1-0"} {
		value, err := platform.EncodeInstance(ramp.Instance{
			Replica: ramp.Replica{ID: name, Address: address, Domain: "d0"}, Service: "prisms",
			State: ramp.Live, StartedMillis: 1, Sequence: 1,
		})
		ts.Check(err)
		entries[platform.ReplicaPrefix+name] = value
	}
	for key, value := range entries {
		_, err := store.Swap(context.Background(), key, value, 0, "")
		ts.Check(err)
	}
	host := fmt.Sprintf("127.78.%d.%d", os.Getpid()/256%256, os.Getpid()%256)
	text := strings.NewReplacer("HOST", host, "STORE", address).Replace(ts.ReadFile(args[0]))
	file := ts.MkAbs("edge.toml")
	ts.Check(os.WriteFile(file, []byte(text), 0o600))
	load := func() (ramp.Deployment, error) { return platform.LoadSettings(file) }
	d, err := load()
	ts.Check(err)
	log, err := os.Create(ts.MkAbs("edge.log"))
	ts.Check(err)
	metrics := net.JoinHostPort(host, "9464")
	e, err := daemon.NewEdge(d, load, metrics, "/metrics", ramp.SystemClock{}, log, slog.LevelInfo)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		_ = e.Run(ctx, nil)
		close(stopped)
	}()
	ts.Defer(func() {
		cancel()
		<-stopped
	})
	ts.Setenv("STORE", address)
	ts.Setenv("EDGE", d.CallerAddress)
	ts.Setenv("METRICS", metrics)
	client := operator.Client{Client: http.DefaultClient}
	for range 200 {
		if b, err := client.View(ctx, metrics); err == nil && b.Version == 7 && b.Revision == registeredRevision {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("the daemon has not read the configuration, the replicas and its own registration from the store")
}

// request sends a GET request to a daemon on the users' platform and checks the
// status code: request STATUS ADDRESS HOST PATH.
func request(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+args[1]+args[3], nil)
	ts.Check(err)
	r.Host = args[2]
	r.Close = true
	r.Header.Set("X-Request-Id", "id-"+args[3])
	r.Header.Set("X-Deadline-Ms", "800")
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer response.Body.Close()
	if strconv.Itoa(response.StatusCode) != args[0] {
		ts.Fatalf("status %d, want %s", response.StatusCode, args[0])
	}
}

// clusterKey is the key of the cluster in the values of a script's environment.
type clusterKey struct{}

// startFleet starts a platform, a service with four shards, and the daemons d1 and d2,
// and sets $PLATFORM, $D1 and $D2 to their addresses. It returns when both daemons are
// registered and answer.
func startFleet(env *testscript.Env) error {
	cluster := standin.NewCluster(2)
	if err := cluster.Start("127.0.0.1", standin.Service{Name: "prisms", Shards: 4, Replicas: 1, Slots: 4}); err != nil {
		return err
	}
	store := httptest.NewServer(cluster.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	env.Defer(cancel)
	env.Values[clusterKey{}] = cluster
	address := store.Listener.Addr().String()
	env.Setenv("PLATFORM", address)
	for _, name := range []string{"d1", "d2"} {
		caller, err := startDaemon(ctx, env.WorkDir, name, address)
		if err != nil {
			return err
		}
		env.Setenv(strings.ToUpper(name), caller)
	}
	return awaitDaemons(address, 2)
}

// startDaemon starts a daemon with a log file in dir and returns its address for
// callers.
func startDaemon(ctx context.Context, dir, name, platform string) (string, error) {
	caller, err := freeAddress()
	if err != nil {
		return "", err
	}
	peer, err := freeAddress()
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("name = %q\ndomain = \"d0\"\ncaller = %q\npeer = %q\nplatform = %q\n"+
		"secret = \"daemon-secret\"\noperator = \"operator-secret\"\nworkers = 16\n", name, caller, peer, platform)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", err
	}
	s, err := settings.Load(file)
	if err != nil {
		return "", err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return "", err
	}
	d, err := daemon.New(s, ramp.SystemClock{}, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		return "", err
	}
	go func() { _ = d.Run(ctx) }()
	return caller, nil
}

// takenAddresses holds the addresses that freeAddress has returned.
var takenAddresses sync.Map

// freeAddress returns an address that nothing listens on, each one once: scripts run at the
// same time, and one may not listen on its address yet. The loopback IP number is derived
// from the process id, so that test processes that run at the same time do not take each
// other's ports.
func freeAddress() (string, error) {
	host := fmt.Sprintf("127.77.%d.%d", os.Getpid()/256%256, os.Getpid()%256)
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", err
		}
		if _, taken := takenAddresses.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}

// awaitDaemons waits until exactly the given number of daemons are registered and
// answer.
func awaitDaemons(platform string, daemons int) error {
	flags := fleetFlags{Platform: platform, Credential: "operator-secret"}
	t := tool{client: http.DefaultClient}
	for range 200 {
		all, err := flags.daemons(context.Background())
		live := 0
		for _, d := range all {
			if _, failed := flags.client(t).Status(context.Background(), d.CallerAddress); failed == nil {
				live++
			}
		}
		if err == nil && live == daemons {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("want %d daemons that are registered and answer", daemons)
}
