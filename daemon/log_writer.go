package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits of the log. A request writes one line and a failed attempt another, so no
// line is dropped at several times the usual load of a daemon.
const (
	maxLineRate      = 500                   // lines per second, sustained
	maxLineBurst     = 2000                  // lines in a burst
	maxBufferedBytes = 512 << 10             // bytes waiting to be written
	flushDelay       = 50 * time.Millisecond // from the first buffered line to the write of its batch
)

// logWriter is an asynchronous, rate-limited [io.Writer] for the log. Write never
// blocks on the output. Lines over the limits are dropped, and their count is logged
// with the next line that is accepted.
type logWriter struct {
	out             io.Writer
	clock           ramp.Clock
	wake            chan struct{} // wakes flushLoop; buffers one signal; closed by Close
	done            chan struct{} // closed when flushLoop has ended
	mutex           sync.Mutex    // guards the fields below; held only briefly, and never together with another lock
	buffer          []byte        // lines not written yet; at most maxBufferedBytes, without the lines that count drops
	tokens          float64       // of the token bucket; one per line
	refilledAt      time.Time     // when tokens was last refilled
	unreportedDrops int           // lines dropped since the last line that counts them
	totalDropped    int           // lines dropped since the start
	closed          bool
}

func newLogWriter(out io.Writer, clock ramp.Clock) *logWriter {
	l := &logWriter{
		out: out, clock: clock, wake: make(chan struct{}, 1), done: make(chan struct{}),
		tokens: maxLineBurst, refilledAt: clock.Now(),
	}
	go l.flushLoop()
	return l
}

// Write implements [io.Writer]. Each call must pass one line. It reports success for
// a dropped line too.
func (l *logWriter) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	l.tokens = min(maxLineBurst, l.tokens+now.Sub(l.refilledAt).Seconds()*maxLineRate)
	l.refilledAt = now
	if l.tokens < 1 || len(l.buffer)+len(line) > maxBufferedBytes || l.closed {
		l.unreportedDrops++
		l.totalDropped++
		return len(line), nil
	}
	l.tokens--
	if l.unreportedDrops > 0 {
		l.buffer = fmt.Appendf(l.buffer, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			now.Format(time.RFC3339Nano), l.unreportedDrops)
		l.unreportedDrops = 0
	}
	l.buffer = append(l.buffer, line...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (l *logWriter) Dropped() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.totalDropped
}

// flushLoop writes the buffer in batches, flushDelay after each wake-up, until Close.
func (l *logWriter) flushLoop() {
	defer close(l.done)
	for range l.wake {
		time.Sleep(flushDelay)
		l.mutex.Lock()
		batch := l.buffer
		l.buffer = nil
		l.mutex.Unlock()
		_, _ = l.out.Write(batch) // there is nowhere to report an error
	}
}

// Close drops further lines and waits until the buffer is written, or until the
// timeout.
func (l *logWriter) Close(timeout time.Duration) {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.wake)
	}
	l.mutex.Unlock()
	expired := make(chan struct{})
	stop := l.clock.AfterFunc(timeout, func() { close(expired) })
	defer stop()
	select {
	case <-l.done:
	case <-expired:
	}
}
