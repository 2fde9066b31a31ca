// Command sycamorerampd is the daemon of the query tier.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
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
	exitOK       = 0 // it left gracefully
	exitFailed   = 1 // it could not listen, or requests were cut at shutdown
	exitSettings = 2 // the command line or the settings file is wrong
)

type arguments struct {
	Settings string `arg:"--settings,required,env:SYCAMORERAMP_SETTINGS" help:"TOML file with the daemon's settings"`
	Platform bool   `arg:"--platform" help:"run on the users' platform; the settings file has its format"`
	Metrics  string `arg:"--metrics" help:"with --platform: port and path that serve the metrics, such as 9464/metrics"`
}

// Description implements go-arg's description.
func (arguments) Description() string {
	return "sycamorerampd serves callers of the query tier. It ends gracefully on SIGTERM and SIGINT."
}

// Version implements go-arg's version.
func (arguments) Version() string { return "sycamorerampd " + version.Number }

// Epilogue implements go-arg's epilogue.
func (arguments) Epilogue() string {
	return `The tool prints a settings file with every setting and checks one:
  sycamoreramp check --example daemon > d1.toml
  sycamoreramp check --daemon d1.toml

Exit codes:
  0  left gracefully
  1  could not listen, or requests were cut at shutdown
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

func run(a arguments) error {
	if a.Platform {
		return runOnPlatform(a)
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		return &settingsError{Cause: err}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return &settingsError{Cause: err}
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

// runOnPlatform runs a daemon on the users' platform.
func runOnPlatform(a arguments) error {
	load := func() (ramp.Deployment, error) { return platform.LoadSettings(a.Settings) }
	d, err := load()
	if err != nil {
		return &settingsError{Cause: err}
	}
	address, path := "", ""
	if a.Metrics != "" {
		port, rest, _ := strings.Cut(a.Metrics, "/")
		address, path = net.JoinHostPort(d.IP, port), "/"+rest
	}
	e, err := daemon.NewEdge(d, load, address, path, ramp.SystemClock{}, os.Stdout, slog.LevelInfo)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx, hangups())
}

// hangups passes on that the process got SIGHUP, which would end it otherwise.
func hangups() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	asked := make(chan struct{})
	go func() {
		for range signals {
			asked <- struct{}{}
		}
	}()
	return asked
}

// settingsError is a settings file that cannot be used.
type settingsError struct {
	Cause error
}

// Error implements error.
func (e *settingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *settingsError) Unwrap() error { return e.Cause }

func exitCode(err error) int {
	var unusable *settingsError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &unusable):
		return exitSettings
	}
	return exitFailed
}
