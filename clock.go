package sycamoreramp

import (
	"context"
	"time"
)

// Clock returns the current time and starts timers. It is the only source of time
// of the decision packages.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d, unless stop is called before.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// BootClock returns the time since the machine started, which goes on while the machine
// is suspended and does not step.
type BootClock interface {
	Uptime() time.Duration
}

// SystemClock is the [Clock] of the operating system.
type SystemClock struct{}

// Now implements [Clock].
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements [Clock].
func (SystemClock) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// Sleep blocks for d as measured by the clock. It returns the error of ctx if ctx
// ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	expired := make(chan struct{})
	stop := c.AfterFunc(d, func() { close(expired) })
	defer stop()
	select {
	case <-expired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
