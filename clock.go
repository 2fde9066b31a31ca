package sycamoreramp

import (
	"context"
	"time"
)

// Clock tells the time and starts timers. Decisions use no other source of time.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in a goroutine of its own after d, unless the returned
	// function is called before.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements [Clock].
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements [Clock].
func (SystemClock) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// Sleep blocks for d by the clock. It returns the error of ctx when that ends
// first.
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
