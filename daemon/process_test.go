package daemon_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/process"
)

// TestProcesses runs a search, a read and an order against three daemons, of which
// one is killed and one is frozen between the calls. It guards against an order that
// runs twice when it is retried at another daemon.
func TestProcesses(t *testing.T) {
	f := process.New(t, "prisms:6:2")
	daemons := []*process.Process{f.Daemon("d1", "d0"), f.Daemon("d2", "d1"), f.Daemon("d3", "d2")}
	applyDemoLists(t, f)
	for _, d := range daemons {
		awaitComplete(f, d)
		awaitMembers(f, d, len(daemons))
	}
	ticket, err := f.Client().Ticket(t.Context(), daemons[0].Address)
	is.New(t).NoErr(err)

	var b strings.Builder
	order := caller.Request{Operation: ramp.Order, Service: "prisms", Key: "prisms-001", Body: "one", Ticket: ticket}
	runQuery(t, &b, f, "order sent to another daemon than the issuer", daemons[1], order)
	runQuery(t, &b, f, "retried at the issuer", daemons[0], order)
	daemons[0].Kill()
	runQuery(t, &b, f, "retried after the issuer was killed", daemons[2], order)
	daemons[1].Freeze()
	runQuery(t, &b, f, "search while another daemon is frozen", daemons[2],
		caller.Request{Operation: ramp.Search, Service: "prisms"})
	daemons[1].Resume()
	runQuery(t, &b, f, "read at the daemon that was frozen", daemons[1],
		caller.Request{Operation: ramp.Read, Service: "prisms", Key: "prisms-001"})
	fmt.Fprintf(&b, "orders started by backend servers: %d\n", len(f.Orders()))
	golden.Check(t, "processes", b.String())
}

// applyDemoLists applies the lists of the demonstration.
func applyDemoLists(t *testing.T, f *process.Fleet) {
	t.Helper()
	customers, err := os.ReadFile("../internal/demo/customers.toml")
	is.New(t).NoErr(err)
	plans, err := os.ReadFile("../internal/demo/plans.toml")
	is.New(t).NoErr(err)
	f.ApplyLists(string(customers), string(plans))
}

// awaitComplete waits until the daemon gives a complete answer to a search.
func awaitComplete(f *process.Fleet, d *process.Process) {
	f.Eventually(d.Name+" gives a complete answer", func() bool {
		answer, err := f.Client().Run(f.Context(), d.Address, caller.Request{Operation: ramp.Search, Service: "prisms"})
		return err == nil && answer.Complete
	})
}

// awaitMembers waits until the daemon returns the addresses of that many daemons to
// callers.
func awaitMembers(f *process.Fleet, d *process.Process, members int) {
	f.Eventually(d.Name+" returns the addresses of all daemons", func() bool {
		addresses, _, err := f.Client().Addresses(f.Context(), d.Address, "")
		return err == nil && len(addresses) == members
	})
}

// runQuery runs the call at the daemon and writes its result to b.
func runQuery(
	t *testing.T, b *strings.Builder, f *process.Fleet, label string, d *process.Process, call caller.Request,
) {
	t.Helper()
	answer, err := f.Client().Run(t.Context(), d.Address, call)
	is.New(t).NoErr(err)
	fmt.Fprintf(b, "%s: ran=%s reason=%q complete=%t snapshot=%d hits=%d\n",
		label, answer.Ran, answer.Reason, answer.Complete, answer.IndexVersion, len(answer.Hits))
}
