// Package process runs the simulated platform and daemons as processes of their
// own, for tests that kill or suspend them. They listen on a loopback address that
// is derived from the test's process id.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
)

// Credentials that the processes of a [Fleet] accept.
const (
	OperatorCredential = "operator-secret"
	CustomerKey        = "restorer-key"
)

const (
	firstPort        = 9000
	conditionTimeout = 30 * time.Second // bounds [Fleet.Eventually]; only a process that hangs takes longer
	pollInterval     = 20 * time.Millisecond
)

// Fleet is a simulated platform and a set of daemons, each a process.
type Fleet struct {
	t        testing.TB
	dir      string // binaries, settings and logs
	host     string
	nextPort int
	services []string

	// Platform is the address of the simulated platform.
	Platform string
}

// Process is a process of a daemon or of the simulated platform.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	done    chan struct{}
	log     *lockedBuffer

	// Name is the daemon's name in the fleet, or the program's name.
	Name string
	// Address is the address on which a daemon serves callers.
	Address string
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// New builds the programs and starts a simulated platform with the given
// services, each as NAME:SHARDS:REPLICAS. All processes are killed at the end of
// the test.
func New(t testing.TB, services ...string) *Fleet {
	t.Helper()
	pid := os.Getpid()
	f := &Fleet{
		t: t, dir: t.TempDir(), nextPort: firstPort, services: services,
		host: fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff|1),
	}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", f.dir+string(filepath.Separator),
		"sycamoreramp.example/sycamoreramp/cmd/sycamorerampd",
		"sycamoreramp.example/sycamoreramp/internal/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f.Platform = f.nextAddress()
	f.start("standin", append([]string{"--platform", f.Platform}, services...)...)
	f.Eventually("the platform answers", func() bool {
		_, err := f.PlatformClient().ListVMs(t.Context())
		return err == nil
	})
	return f
}

// Daemon starts a daemon. It may reuse the name of a daemon that has ended.
func (f *Fleet) Daemon(name, domain string) *Process {
	f.t.Helper()
	address := f.nextAddress()
	text := fmt.Sprintf(`name = %q
domain = %q
caller = %q
peer = %q
platform = %q
secret = "daemon-secret"
operator = %q
`, name, domain, address, f.nextAddress(), f.Platform, OperatorCredential)
	file := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := f.start("sycamorerampd", "--settings", file)
	p.Name, p.Address = name, address
	return p
}

// ApplyLists publishes the customers and plans in the given TOML texts as the next
// version of the lists.
func (f *Fleet) ApplyLists(customers, plans string) {
	f.t.Helper()
	lists, err := operator.ParseLists([]byte(customers), []byte(plans))
	if err != nil {
		f.t.Fatal(err)
	}
	current, revision, err := f.Registry().Lists(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	next := lists.WithVersion(current.Version+1, fmt.Sprint("edit-", current.Version+1), "test")
	if err := f.Registry().SwapLists(f.t.Context(), next, revision); err != nil {
		f.t.Fatal(err)
	}
}

// Context returns the context of the test.
func (f *Fleet) Context() context.Context { return f.t.Context() }

// Registry returns a registry in the platform's store.
func (f *Fleet) Registry() platform.Registry { return platform.Registry{Store: f.PlatformClient()} }

// PlatformClient returns a client for the platform.
func (f *Fleet) PlatformClient() *platform.Client { return platform.NewClient(f.Platform) }

// Client returns a client that uses the key [CustomerKey].
func (f *Fleet) Client() caller.Client {
	return caller.Client{Key: CustomerKey, Client: &http.Client{Transport: &http.Transport{}}}
}

// PostControl sends body as JSON to a control path of the simulated platform, such as
// /fault or /repartition.
func (f *Fleet) PostControl(path string, body any) {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.callControl(http.MethodPost, path, bytes.NewReader(encoded))
}

// Orders returns the orders that backend servers started.
func (f *Fleet) Orders() []standin.Request {
	f.t.Helper()
	var orders []standin.Request
	if err := json.Unmarshal(f.callControl(http.MethodGet, "/orders", nil), &orders); err != nil {
		f.t.Fatal(err)
	}
	return orders
}

// Eventually waits until the condition holds. It fails the test after 30 s, which
// only a process that hangs can take.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// Kill kills the process, as the loss of its VM does, and waits until it has
// ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process; its connections stay open.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Log returns the standard error output of the process so far.
func (p *Process) Log() string { return p.log.String() }

func (p *Process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s to %s: %v", s, p.Name, err)
	}
}

func (f *Fleet) start(program string, arguments ...string) *Process {
	f.t.Helper()
	p := &Process{t: f.t, done: make(chan struct{}), log: &lockedBuffer{}, Name: program}
	p.command = exec.CommandContext(context.Background(), filepath.Join(f.dir, program), arguments...)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // an error is expected for a killed process
		close(p.done)
	}()
	f.t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has ended
		<-p.done
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.Name, p.Log())
		}
	})
	return p
}

func (f *Fleet) nextAddress() string {
	f.nextPort++
	return fmt.Sprintf("%s:%d", f.host, f.nextPort)
}

func (f *Fleet) callControl(method, path string, body io.Reader) []byte {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.Platform+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		f.t.Fatalf("%s %s: status %d: %s %v", method, path, response.StatusCode, data, err)
	}
	return data
}
