package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// blockedWriter is an output whose Write blocks until released is closed.
type blockedWriter struct{ released chan struct{} }

// Write implements [io.Writer].
func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// TestLogWriterBlockedOutput guards against a write that blocks while the output is
// blocked, and against buffering more than the limit.
func TestLogWriterBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := blockedWriter{make(chan struct{})}
		l := newLogWriter(out, ramp.SystemClock{})
		line := []byte(strings.Repeat("x", 999) + "\n")
		started := time.Now()
		for range 10 {
			time.Sleep(time.Second)
			for range 1000 {
				_, err := l.Write(line)
				is.NoErr(err)
			}
		}
		is.Equal(time.Since(started), 10*time.Second)
		is.True(len(l.buffer) <= maxBufferedBytes)
		is.True(l.Dropped() > 8000)
		l.Close(time.Second)
		close(out.released)
		<-l.done
	})
}

// syncBuffer is a buffer that is safe for concurrent writes.
type syncBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements [io.Writer].
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Buffer.Write(p)
}

// TestLogWriterRateLimit writes at ten times the allowed rate. It guards against lines
// over the rate being written, and against drops that are not counted in the log.
func TestLogWriterRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &syncBuffer{}
		l := newLogWriter(out, ramp.SystemClock{})
		for range 10 {
			for range 10 * maxLineRate {
				_, _ = l.Write([]byte("line\n"))
			}
			time.Sleep(time.Second)
		}
		_, _ = l.Write([]byte("last\n"))
		l.Close(time.Second)
		written := strings.Count(out.String(), "line\n")
		is.True(written <= maxLineBurst+10*maxLineRate)
		is.Equal(written+l.Dropped(), 10*10*maxLineRate)
		is.True(strings.Contains(out.String(), `msg="log lines dropped" count=`))
	})
}
