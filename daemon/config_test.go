package daemon_test

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/process"
	"sycamoreramp.example/sycamoreramp/operator"
)

// outageLength is longer than a daemon serves under lists that neither the store nor
// a majority of the daemons confirms.
const outageLength = 12 * time.Second

// TestProcessesConfiguration guards against lists that are lost or stay in force too
// long. It edits the lists while a reply of the platform is lost and one daemon is
// frozen, then shuts the platform off, and finally freezes most of the fleet: a
// daemon without the platform and a majority must refuse queries.
func TestProcessesConfiguration(t *testing.T) {
	f := process.New(t, "prisms:6:2")
	daemons := []*process.Process{f.Daemon("d1", "d0"), f.Daemon("d2", "d1"), f.Daemon("d3", "d2")}
	applyDemoLists(t, f)
	for _, d := range daemons {
		awaitComplete(f, d)
	}
	var b strings.Builder
	editor := operator.Editor{Registry: f.Registry(), Clock: ramp.SystemClock{}}

	daemons[2].Freeze()
	f.PostControl("/fault", map[string]int{"lose": 1})
	current, _, err := f.Registry().Lists(t.Context())
	is.New(t).NoErr(err)
	updated, err := editor.Apply(t.Context(), current, current.Version, rand.Text(), "test")
	is.New(t).NoErr(err)
	fmt.Fprintf(&b, "edit whose reply was lost: accepted version %d\n", updated.Version)
	awaitVersion(f, daemons[:2], updated.Version)
	daemons[2].Resume()
	awaitVersion(f, daemons, updated.Version)
	fmt.Fprintln(&b, "in force on every daemon, including the one that was frozen")

	search := caller.Request{Operation: ramp.Search, Service: "prisms"}
	f.PostControl("/fault", map[string]bool{"down": true})
	time.Sleep(outageLength)
	for _, d := range daemons {
		runQuery(t, &b, f, "search at "+d.Name+" while the platform is down", d, search)
	}
	daemons[0].Freeze()
	daemons[1].Freeze()
	time.Sleep(outageLength)
	runQuery(t, &b, f, "search at d3 without the platform and the other daemons", daemons[2], search)
	daemons[0].Resume()
	daemons[1].Resume()
	awaitComplete(f, daemons[2])
	runQuery(t, &b, f, "search at d3 after the other daemons resumed", daemons[2], search)
	golden.Check(t, "processes-configuration", b.String())
}

// awaitVersion waits until lists of at least the version are in force on the daemons.
func awaitVersion(f *process.Fleet, daemons []*process.Process, version uint64) {
	client := operator.Client{Credential: process.OperatorCredential, Client: &http.Client{}}
	for _, d := range daemons {
		f.Eventually(d.Name+" has the version in force", func() bool {
			status, err := client.Status(f.Context(), d.Address)
			return err == nil && status.Version >= version
		})
	}
}
