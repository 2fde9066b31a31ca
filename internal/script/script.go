// Package script implements commands for the testscript tests of the programs.
package script

import (
	"errors"
	"os/exec"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// Exits implements the command exits CODE PROGRAM ARGUMENTS, which runs a program
// and fails the script if its exit code is not CODE.
func Exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}
