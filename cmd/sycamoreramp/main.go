// Command sycamoreramp is the command-line tool of the query tier, for operators
// and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/version"
)

// Exit codes of the tool. They are part of its interface for scripts.
const (
	exitOK       = 0
	exitFailed   = 1 // the call failed
	exitUsage    = 2 // the command line or a file is invalid
	exitConflict = 3 // another edit was accepted first; nothing was changed
	exitLagging  = 4 // a daemon does not answer or has an older version of the lists
	exitRefused  = 5 // the request was refused
	exitPartial  = 6 // the answer does not cover every key asked for
	exitUnknown  = 7 // an edit may or may not have been accepted
)

// command is a subcommand of the tool. An exitError from run sets the exit code.
type command interface {
	run(ctx context.Context, t tool) error
}

// arguments are the command line of the tool.
type arguments struct {
	Show      *showCommand      `arg:"subcommand:show" help:"print the two lists in force"`
	Apply     *applyCommand     `arg:"subcommand:apply" help:"replace the two lists"`
	Diff      *diffCommand      `arg:"subcommand:diff" help:"compare files or versions of the two lists"`
	History   *historyCommand   `arg:"subcommand:history" help:"print the last versions with their changes"`
	Undo      *undoCommand      `arg:"subcommand:undo" help:"make an earlier version the newest again"`
	Status    *statusCommand    `arg:"subcommand:status" help:"print what each daemon has in force"`
	Search    *searchCommand    `arg:"subcommand:search" help:"ask every shard of a service"`
	Read      *readCommand      `arg:"subcommand:read" help:"ask for one record"`
	Order     *orderCommand     `arg:"subcommand:order" help:"send a request that runs at most once"`
	Ticket    *ticketCommand    `arg:"subcommand:ticket" help:"print a new ticket for an order"`
	Explain   *explainCommand   `arg:"subcommand:explain" help:"print the account of an earlier request"`
	Trace     *traceCommand     `arg:"subcommand:trace" help:"print the log lines of daemons about a request"`
	Addresses *addressesCommand `arg:"subcommand:addresses" help:"print the addresses that a caller should use"`
	Belief    *beliefCommand    `arg:"subcommand:belief" help:"print the fleet as a daemon on the platform sees it"`
	Burn      *burnCommand      `arg:"subcommand:burn" help:"print the burn rate of each error budget, with its cause"`
	Check     *checkCommand     `arg:"subcommand:check" help:"check settings files and lists without using them"`
	Version   *versionCommand   `arg:"subcommand:version" help:"print the version of the tool"`
	Settings  string            `arg:"--settings,env:SYCAMORERAMP_SETTINGS" help:"TOML file with defaults for the flags"`
	Timeout   time.Duration     `arg:"--timeout,env:SYCAMORERAMP_TIMEOUT" default:"15s" help:"bound on the whole command"`
}

// Description returns the first paragraph of the help text.
func (arguments) Description() string {
	return "sycamoreramp reads and edits the lists of the query tier, sends it queries, and explains the answers."
}

// Epilogue returns the last paragraphs of the help text.
func (arguments) Epilogue() string {
	return `A flag takes precedence over its environment variable, and that over the settings file.

Examples:
  sycamoreramp check --example tool > tool.toml
  sycamoreramp --settings tool.toml status
  sycamoreramp --settings tool.toml apply --customers customers.toml --plans plans.toml
  sycamoreramp --settings tool.toml search --account prisms
  sycamoreramp --settings tool.toml read prisms prisms-007
  sycamoreramp --settings tool.toml order --body "two prisms" prisms prisms-007
  sycamoreramp --settings tool.toml explain d1-5f6cb5d2ec6c8a3e-12

Exit codes:
  0  done
  1  the call failed
  2  the command line or a file is wrong
  3  another edit came first; nothing was changed
  4  a daemon does not answer or has an older version of the lists
  5  the request was refused
  6  the answer is partial
  7  an edit may or may not have been accepted; repeat it with the same --edit`
}

// tool holds what every subcommand is run with.
type tool struct {
	out    io.Writer
	clock  ramp.Clock
	client *http.Client
}

// exitError is an error that ends the tool with the given exit code.
type exitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.Cause.Error() }

// Unwrap returns the error without the exit code.
func (e *exitError) Unwrap() error { return e.Cause }

func main() {
	err := setEnvFromSettings(os.Args[1:])
	if err == nil {
		err = runCommand(os.Args[1:])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sycamoreramp:", err)
	}
	os.Exit(exitCode(err))
}

// runCommand parses the command line and runs its subcommand within --timeout.
func runCommand(args []string) error {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "sycamoreramp"}, &a)
	if err != nil {
		return err
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		return parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
	}
	subcommand, ok := parser.Subcommand().(command)
	if err == nil && !ok {
		err = errors.New("a subcommand is needed")
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(os.Stderr, parser.SubcommandNames()...) // the error is printed in any case
		return &exitError{Code: exitUsage, Cause: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	return subcommand.run(ctx, tool{out: os.Stdout, clock: ramp.SystemClock{}, client: &http.Client{}})
}

// exitCode returns the exit code for the error that ended the tool.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	var conflict *ramp.ConflictError
	if errors.As(err, &conflict) {
		return exitConflict
	}
	var refused *ramp.RefusedError
	if errors.As(err, &refused) {
		return exitRefused
	}
	return exitFailed
}

// versionCommand prints the version of the tool.
type versionCommand struct{}

func (*versionCommand) run(_ context.Context, t tool) error {
	_, err := fmt.Fprintln(t.out, "sycamoreramp", version.Number)
	return err
}
