package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times of the detection of pauses.
const (
	// pauseCheckInterval is the time between two signs of life of the process.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the least time without a sign of life that counts as a pause. A busy
	// process is late by less.
	minPause = time.Second
	// resumeTime is the time after a pause within which the requests that arrived
	// meanwhile are read.
	resumeTime = 100 * time.Millisecond
)

// systemBootClock is the [ramp.BootClock] of the operating system.
type systemBootClock struct{}

// Uptime implements [ramp.BootClock].
func (systemBootClock) Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no clock, so no pause is detected
	}
	return time.Duration(t.Nano())
}

// pauseDetector detects that the process, or its machine, was paused. Requests that it
// reads just afterwards may have waited in their connections for any time, so that their
// callers are gone and their time budgets, which count from their arrival, are over.
type pauseDetector struct {
	clock     ramp.Clock
	boot      ramp.BootClock
	log       *slog.Logger
	aliveAt   atomic.Int64 // uptime of the last sign of life, in ns
	resumedAt atomic.Int64 // uptime at the end of the last pause, in ns; 0 for none
	pauses    atomic.Uint64
}

func newPauseDetector(clock ramp.Clock, boot ramp.BootClock, log *slog.Logger) *pauseDetector {
	p := &pauseDetector{clock: clock, boot: boot, log: log}
	p.aliveAt.Store(int64(boot.Uptime()))
	return p
}

// Run gives signs of life until ctx ends.
func (p *pauseDetector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Resumed()
		p.aliveAt.Store(int64(p.boot.Uptime()))
		_ = ramp.Sleep(ctx, p.clock, pauseCheckInterval)
	}
}

// Resumed reports whether the process was paused until just now. It may be called before
// Run gives the first sign of life after the pause.
func (p *pauseDetector) Resumed() bool {
	now := p.boot.Uptime()
	alive := p.aliveAt.Load()
	if pause := now - time.Duration(alive); pause >= minPause && p.aliveAt.CompareAndSwap(alive, int64(now)) {
		p.resumedAt.Store(int64(now))
		p.pauses.Add(1)
		p.log.Warn("process was paused", "pause", pause)
	}
	resumed := p.resumedAt.Load()
	return resumed > 0 && now-time.Duration(resumed) < resumeTime
}

// Pauses returns how often the process was paused so far, a pause included that has just
// ended.
func (p *pauseDetector) Pauses() uint64 {
	p.Resumed()
	return p.pauses.Load()
}
