package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// steppedBootClock is the uptime of a machine whose process a test pauses. It implements
// [ramp.BootClock].
type steppedBootClock struct {
	started time.Time
	paused  atomic.Int64 // time that passed while the process was paused, in ns
}

// Uptime implements [ramp.BootClock].
func (c *steppedBootClock) Uptime() time.Duration {
	return time.Hour + time.Since(c.started) + time.Duration(c.paused.Load())
}

// TestPauseDetector records when a process counts as just resumed: from the first call
// after a pause, even before any other goroutine runs, until the requests that arrived
// meanwhile are read. A process that is late for want of processor time is not paused.
func TestPauseDetector(t *testing.T) {
	var b strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		boot := &steppedBootClock{started: time.Now()}
		p := newPauseDetector(ramp.SystemClock{}, boot, slog.New(slog.DiscardHandler))
		go p.Run(ctx)
		record := func(when string) { fmt.Fprintf(&b, "%s: resumed=%t\n", when, p.Resumed()) }
		time.Sleep(10 * time.Second)
		record("after 10 s")
		boot.paused.Add(int64(500 * time.Millisecond))
		record("late by 0.5 s")
		time.Sleep(5 * time.Second)
		boot.paused.Add(int64(3 * time.Second))
		record("at the end of a pause of 3 s")
		time.Sleep(90 * time.Millisecond)
		record("90 ms later")
		time.Sleep(20 * time.Millisecond)
		record("110 ms later")
		time.Sleep(5 * time.Second)
		boot.paused.Add(int64(3 * time.Second))
		synctest.Wait()
		time.Sleep(pauseCheckInterval)
		synctest.Wait()
		record("after a pause that the detector saw first")
		time.Sleep(time.Second)
		record("1 s later")
		cancel()
		synctest.Wait()
	})
	golden.Check(t, "pause", b.String())
}
