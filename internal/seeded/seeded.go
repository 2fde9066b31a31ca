// Package seeded fixes the random schedules of tests, so that they give the
// same result in every run.
package seeded

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// seed is the seed of rapid's random generator.
const seed = "20261204"

// SetSeed sets the seed of rapid and the number of schedules that it tries for each
// property. It must be called before the command line is parsed, so that flags can
// override both.
func SetSeed(checks int) {
	for name, value := range map[string]string{
		"seed": seed, "checks": strconv.Itoa(checks), "nofailfile": "true",
	} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// RunSerially runs the tests with fixed schedules on one processor, because the race
// detector of Go 1.26 can fail in large synctest bubbles on several. It is called
// from TestMain and does not return.
func RunSerially(m *testing.M, checks int) {
	SetSeed(checks)
	flag.Parse()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
