// Command slopes measures how the resource usage of a daemon grows with the
// number of shards, replicas, daemons and list entries, and prints the results as
// Markdown tables. It runs the stand-in platform and backend servers in its own
// process, and each daemon in a separate one.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Daemon *daemonCommand `arg:"subcommand:daemon" help:"run one daemon with a usage probe; started by slopes itself"`
	Idle   time.Duration  `arg:"--idle" default:"6s" help:"time over which idle daemons and list changes are measured"`
	Only   []string       `arg:"--only" placeholder:"PART" help:"tables to measure; all if not given"`
}

// table is one table of the output. Its name selects it with --only.
type table struct {
	name    string
	measure func(ctx context.Context, idle time.Duration) error
}

var tables = []table{
	{"query", measureQueries},
	{"control", measureControl},
	{"replica", measureReplicas},
	{"list", measureLists},
	{"order", measureOrders},
	{"account", measureTraces},
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	if a.Daemon != nil {
		return a.Daemon.run()
	}
	ctx := context.Background()
	load, _ := os.ReadFile("/proc/loadavg") // left empty on systems without this file
	fmt.Printf("load of the machine at the start: %s\n", strings.TrimSpace(string(load)))
	for _, t := range tables {
		if len(a.Only) > 0 && !slices.Contains(a.Only, t.name) {
			continue
		}
		if err := t.measure(ctx, a.Idle); err != nil {
			return fmt.Errorf("%s: %w", t.name, err)
		}
	}
	return nil
}
