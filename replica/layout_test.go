package replica_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/replica"
)

// TestLayouts records the snapshot after each step of a script. A step is a command
// and its operands; update takes a VM id and shards as version:id:low-high in
// quarters of the key space.
func TestLayouts(t *testing.T) {
	steps := []string{
		"update a 1:s0:0-2", "wait 2s", "wait 1s", "update b 1:s1:2-4", "update c 1:s1:2-4", // partly served, then complete
		"update a 1:s0:0-2 2:s0:0-2", "update b 1:s1:2-4 2:s1:2-4", // a new version completes
		"leave b", "update c 2:s1:2-4", // version 2 is complete only with c
		"update a 2:s0:0-1 2:s1:1-2", "update c 2:s1:2-4 2:s2:2-4", // a split within the version
		"remove a", "remove b", "remove c", // a VM list that lost its entries
		"wait 40s", "update a 2:s0:0-2", "wait 1s",
		"peer-leave c", "leaving", "wait 6s", "leaving", "wait 25s", "leaving", "peer-leave c", "leaving", // gossiped briefly
		"wait 9m", "leaving", "update b 2:s1:2-4", "wait 1m", "leaving", "update b 3:s0:0-4", // the marks expire
	}
	var log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		layouts := replica.NewLayouts(ramp.SystemClock{})
		for _, step := range steps {
			leaving := apply(layouts, strings.Fields(step))
			time.Sleep(100 * time.Millisecond)
			s, ok := layouts.Snapshot("prisms")
			fmt.Fprintf(&log, "%-28s known=%t version=%d complete=%t", step, ok, s.Version, s.Complete())
			for _, h := range s.Shards {
				fmt.Fprintf(&log, " %s:%d-%d", h.ID, h.Range.Low>>30, h.Range.High>>30)
				for _, r := range h.Replicas {
					fmt.Fprintf(&log, ",%s", r.ID)
				}
			}
			fmt.Fprintf(&log, "%s\n", leaving)
		}
	})
	golden.Check(t, "layouts", log.String())
}

// apply runs a step and returns its output for the golden file, if any.
func apply(l *replica.Layouts, step []string) (leaving string) {
	switch step[0] {
	case "update":
		h := ramp.Inventory{Replica: ramp.Replica{ID: step[1]}, Service: "prisms", ReportedAt: time.Now()}
		for _, text := range step[2:] {
			var s ramp.HeldShard
			text = strings.NewReplacer(":", " ", "-", " ").Replace(text)
			_, _ = fmt.Sscan(text, &s.Version, &s.ID, &s.Range.Low, &s.Range.High) // the golden file shows a malformed step
			s.Range = ramp.KeyRange{Low: s.Range.Low << 30, High: s.Range.High << 30}
			h.Shards = append(h.Shards, s)
		}
		l.Update(h)
	case "remove":
		l.Remove(step[1])
	case "leave":
		l.MarkLeaving(step[1], time.Now())
	case "peer-leave":
		l.MarkLeavingByPeer(step[1], time.Now())
	case "wait":
		d, _ := time.ParseDuration(step[1])
		time.Sleep(d)
	case "leaving":
		return fmt.Sprint(" gossip=", l.LeavingVMs())
	}
	return ""
}
