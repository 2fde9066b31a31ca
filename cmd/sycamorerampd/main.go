// Command sycamorerampd is the daemon of the query tier: it accepts queries from
// callers and distributes them to the backend servers.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/daemon"
	"sycamoreramp.example/sycamoreramp/internal/version"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/settings"
)

// Exit codes of the daemon.
const (
	exitOK       = 0 // the daemon shut down gracefully
	exitFailed   = 1 // the daemon could not listen, or requests were cut off at shutdown
	exitSettings = 2 // the command line or the settings file is wrong
)

// heapDivisor divides the memory of the process to give the size of the heap from which
// on the garbage collector runs more often. The kernel's buffers count as memory too.
const heapDivisor = 2

// arguments are the command line of the daemon.
type arguments struct {
	Settings string `arg:"--settings,required,env:SYCAMORERAMP_SETTINGS" help:"TOML file with the daemon's settings"`
	Platform bool   `arg:"--platform" help:"run on the users' platform; the settings file has its format"`
	Metrics  string `arg:"--metrics" help:"with --platform: port and path that serve the metrics, such as 9464/metrics"`
}

// Description returns the first paragraph of the help text.
func (arguments) Description() string {
	return "sycamorerampd serves callers of the query tier. It shuts down gracefully on SIGTERM and SIGINT."
}

// Version returns the output of --version.
func (arguments) Version() string { return "sycamorerampd " + version.Number }

// Epilogue returns the last paragraphs of the help text.
func (arguments) Epilogue() string {
	return `The tool prints a settings file with every setting and checks one:
  sycamoreramp check --example daemon > d1.toml
  sycamoreramp check --daemon d1.toml

Exit codes:
  0  graceful shutdown
  1  could not listen, or requests were cut off at shutdown
  2  the command line or the settings file is wrong`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	err := run(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sycamorerampd:", err)
	}
	os.Exit(exitCode(err))
}

// run runs the daemon until SIGTERM or SIGINT.
func run(a arguments) error {
	if a.Platform {
		return runOnPlatform(a)
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		return &invalidSettingsError{Cause: err}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return &invalidSettingsError{Cause: err}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	d, err := daemon.New(s, ramp.SystemClock{}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

// runOnPlatform runs the daemon on the users' platform until SIGTERM or SIGINT.
// The metrics are served on the host's IP number at the port and path of
// --metrics.
func runOnPlatform(a arguments) error {
	load := func() (ramp.Deployment, error) { return platform.LoadSettings(a.Settings) }
	d, err := load()
	if err != nil {
		return &invalidSettingsError{Cause: err}
	}
	address, path := "", ""
	if a.Metrics != "" {
		port, rest, _ := strings.Cut(a.Metrics, "/")
		address, path = net.JoinHostPort(d.IP, port), "/"+rest
	}
	if d.MemoryLimit > 0 {
		debug.SetMemoryLimit(d.MemoryLimit / heapDivisor)
	}
	e, err := daemon.NewEdge(d, load, address, path, ramp.SystemClock{}, os.Stdout, slog.LevelInfo)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx, reloadRequests())
}

// reloadRequests returns a channel that receives a value for each SIGHUP. Catching
// SIGHUP also keeps it from terminating the process.
func reloadRequests() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	requests := make(chan struct{})
	go func() {
		for range signals {
			requests <- struct{}{}
		}
	}()
	return requests
}

// invalidSettingsError reports settings that cannot be read or are invalid.
type invalidSettingsError struct {
	Cause error
}

// Error implements error.
func (e *invalidSettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *invalidSettingsError) Unwrap() error { return e.Cause }

// exitCode returns the exit code for the error of run.
func exitCode(err error) int {
	var invalid *invalidSettingsError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &invalid):
		return exitSettings
	}
	return exitFailed
}
