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

// TestLayouts writes down the snapshot after each of many steps. A step is a
// word and its operands; hold takes a VM id and shards as version:id:low-high
// in quarters of the key space.
func TestLayouts(t *testing.T) {
	steps := []string{
		"hold a 1:s0:0-2", "wait 2s", "wait 1s", "hold b 1:s1:2-4", "hold c 1:s1:2-4", // settles, then completes
		"hold a 1:s0:0-2 2:s0:0-2", "hold b 1:s1:2-4 2:s1:2-4", // a new version completes
		"leave b", "hold c 2:s1:2-4", // version 2 is whole only with c
		"hold a 2:s0:0-1 2:s1:1-2", "hold c 2:s1:2-4 2:s2:2-4", // a split within the version
		"forget a", "forget b", "forget c", // a list that lost its entries
		"wait 40s", "hold a 2:s0:0-2", "wait 1s",
		"hear c", "left", "wait 6s", "left", "wait 25s", "left", "hear c", "left", // told for a while
		"wait 9m", "left", "hold b 2:s1:2-4", "wait 1m", "left", "hold b 3:s0:0-4", // signs run out
	}
	var log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		layouts := replica.NewLayouts(ramp.SystemClock{})
		for _, step := range steps {
			told := apply(layouts, strings.Fields(step))
			time.Sleep(100 * time.Millisecond)
			s, ok := layouts.Snapshot("prisms")
			fmt.Fprintf(&log, "%-28s known=%t version=%d complete=%t", step, ok, s.Version, s.Complete())
			for _, h := range s.Shards {
				fmt.Fprintf(&log, " %s:%d-%d", h.ID, h.Range.Low>>30, h.Range.High>>30)
				for _, r := range h.Replicas {
					fmt.Fprintf(&log, ",%s", r.ID)
				}
			}
			fmt.Fprintf(&log, "%s\n", told)
		}
	})
	golden.Check(t, "layouts", log.String())
}

func apply(l *replica.Layouts, step []string) (told string) {
	switch step[0] {
	case "hold":
		h := ramp.Inventory{Replica: ramp.Replica{ID: step[1]}, Service: "prisms", ReportedAt: time.Now()}
		for _, text := range step[2:] {
			var s ramp.HeldShard
			text = strings.NewReplacer(":", " ", "-", " ").Replace(text)
			_, _ = fmt.Sscan(text, &s.Version, &s.ID, &s.Range.Low, &s.Range.High) // the golden file shows a mistake
			s.Range = ramp.KeyRange{Low: s.Range.Low << 30, High: s.Range.High << 30}
			h.Shards = append(h.Shards, s)
		}
		l.Update(h)
	case "forget":
		l.Remove(step[1])
	case "leave":
		l.MarkLeaving(step[1], time.Now())
	case "hear":
		l.MarkLeavingByPeer(step[1], time.Now())
	case "wait":
		d, _ := time.ParseDuration(step[1])
		time.Sleep(d)
	case "left":
		return fmt.Sprint(" told=", l.LeavingVMs())
	}
	return ""
}
