// Package process starts the stand-ins and daemons as processes of their own,
// for tests that kill and freeze them. Everything listens on a loopback
// address that belongs to the test's process alone.
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

// Credentials of the processes that a [Fleet] starts.
const (
	OperatorCredential = "operator-secret"
	CustomerKey        = "restorer-key"
)

const (
	firstPort  = 9000
	startLimit = 30 * time.Second // for a condition that a running process must reach
	poll       = 20 * time.Millisecond
)

// Fleet is a stand-in and some daemons that run as processes.
type Fleet struct {
	t        testing.TB
	dir      string // binaries, settings and logs
	host     string
	nextPort int
	services []string

	// Platform is the address of the stand-in.
	Platform string
}

// Process is a running daemon or stand-in.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	ended   chan struct{}
	log     *lockedBuffer

	// Name is the daemon's name in the fleet.
	Name string
	// Address is where the process serves callers.
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

// New builds the programs and starts a stand-in with the given services, each
// as NAME:SHARDS:REPLICAS. All processes end with the test.
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
	f.Platform = f.address()
	f.start("standin", append([]string{"--platform", f.Platform}, services...)...)
	f.Eventually("the platform answers", func() bool {
		_, err := f.VMs().ListVMs(t.Context())
		return err == nil
	})
	return f
}

// Daemon starts a daemon. A second one with the same name replaces the first,
// which must have ended.
func (f *Fleet) Daemon(name, domain string) *Process {
	f.t.Helper()
	address := f.address()
	text := fmt.Sprintf(`name = %q
domain = %q
caller = %q
peer = %q
platform = %q
secret = "daemon-secret"
operator = %q
`, name, domain, address, f.address(), f.Platform, OperatorCredential)
	file := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := f.start("sycamorerampd", "--settings", file)
	p.Name, p.Address = name, address
	return p
}

// Apply makes the two lists of the texts the next version.
func (f *Fleet) Apply(customers, plans string) {
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

// Context ends with the test.
func (f *Fleet) Context() context.Context { return f.t.Context() }

// Registry returns a client for the platform's store.
func (f *Fleet) Registry() platform.Registry { return platform.Registry{Store: f.VMs()} }

// VMs returns a client for the platform.
func (f *Fleet) VMs() *platform.Client { return platform.NewClient(f.Platform) }

// Client returns a client with the key of the demonstration's customer.
func (f *Fleet) Client() caller.Client {
	return caller.Client{Key: CustomerKey, Client: &http.Client{Transport: &http.Transport{}}}
}

// Post calls the control of the stand-in, such as /fault or /repartition.
func (f *Fleet) Post(path string, body any) {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.call(http.MethodPost, path, bytes.NewReader(encoded))
}

// Orders returns the orders that backend servers started.
func (f *Fleet) Orders() []standin.Run {
	f.t.Helper()
	var orders []standin.Run
	if err := json.Unmarshal(f.call(http.MethodGet, "/orders", nil), &orders); err != nil {
		f.t.Fatal(err)
	}
	return orders
}

// Eventually waits until the condition holds. It fails the test after a time
// that only a process that hangs can take.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(startLimit)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(poll)
	}
}

// Kill ends the process at once, as a lost VM does.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process; its connections stay open.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Wake() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Log returns what the process has logged so far.
func (p *Process) Log() string { return p.log.String() }

func (p *Process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s to %s: %v", s, p.Name, err)
	}
}

func (f *Fleet) start(program string, arguments ...string) *Process {
	f.t.Helper()
	p := &Process{t: f.t, ended: make(chan struct{}), log: &lockedBuffer{}, Name: program}
	p.command = exec.CommandContext(context.Background(), filepath.Join(f.dir, program), arguments...)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // a killed process ends with an error
		close(p.ended)
	}()
	f.t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.Name, p.Log())
		}
	})
	return p
}

func (f *Fleet) address() string {
	f.nextPort++
	return fmt.Sprintf("%s:%d", f.host, f.nextPort)
}

func (f *Fleet) call(method, path string, body io.Reader) []byte {
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
