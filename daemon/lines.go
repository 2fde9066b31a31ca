package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of the log. A request takes one line and a failed attempt another, so
// they hold at several times the usual load of a daemon.
const (
	lineRate   = 500       // lines a second
	lineBurst  = 2000      // lines at once
	lineBuffer = 512 << 10 // bytes that wait to be written
	flushAfter = 50 * time.Millisecond
)

// lines writes the log without ever making its caller wait. Lines beyond its
// bounds are dropped, and their number is written once there is room again.
type lines struct {
	out     io.Writer
	clock   ramp.Clock
	wake    chan struct{} // has room for one signal
	ended   chan struct{}
	mutex   sync.Mutex // guards the fields below; held for moments, and no other lock with it
	waiting []byte     // at most lineBuffer bytes
	tokens  float64    // lines that may be written at once
	filled  time.Time  // when tokens was last counted
	dropped int        // since the last line about them
	total   int        // dropped since the start
	closed  bool
}

func newLines(out io.Writer, clock ramp.Clock) *lines {
	l := &lines{
		out: out, clock: clock, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		tokens: lineBurst, filled: clock.Now(),
	}
	go l.flush()
	return l
}

// Write implements [io.Writer]. It takes one line.
func (l *lines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	l.tokens = min(lineBurst, l.tokens+now.Sub(l.filled).Seconds()*lineRate)
	l.filled = now
	if l.tokens < 1 || len(l.waiting)+len(line) > lineBuffer || l.closed {
		l.dropped++
		l.total++
		return len(line), nil
	}
	l.tokens--
	if l.dropped > 0 {
		l.waiting = fmt.Appendf(l.waiting, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			now.Format(time.RFC3339Nano), l.dropped)
		l.dropped = 0
	}
	l.waiting = append(l.waiting, line...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (l *lines) Dropped() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}

// flush writes what waits, a moment after it has come.
func (l *lines) flush() {
	defer close(l.ended)
	for range l.wake {
		time.Sleep(flushAfter)
		l.mutex.Lock()
		batch := l.waiting
		l.waiting = nil
		l.mutex.Unlock()
		_, _ = l.out.Write(batch) // there is nowhere to report it
	}
}

// Close writes what waits, for at most the given time.
func (l *lines) Close(limit time.Duration) {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.wake)
	}
	l.mutex.Unlock()
	expired := make(chan struct{})
	stop := l.clock.AfterFunc(limit, func() { close(expired) })
	defer stop()
	select {
	case <-l.ended:
	case <-expired:
	}
}
