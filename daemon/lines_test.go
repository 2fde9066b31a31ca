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

// stuck is a reader of the log that does not read.
type stuck struct{ released chan struct{} }

// Write implements [io.Writer].
func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// TestLogIsNotRead fails when a line waits for a reader that does not read, or
// when more memory is held for it than stated.
func TestLogIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader := stuck{make(chan struct{})}
		l := newLines(reader, ramp.SystemClock{})
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
		is.True(len(l.waiting) <= lineBuffer)
		is.True(l.Dropped() > 8000)
		l.Close(time.Second)
		close(reader.released)
		<-l.ended
	})
}

// safeBuffer is a buffer for several goroutines.
type safeBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements [io.Writer].
func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Buffer.Write(p)
}

// TestLogAtTenfoldLoad fails when lines beyond the stated rate are written, or
// when it is not said how many were dropped.
func TestLogAtTenfoldLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &safeBuffer{}
		l := newLines(out, ramp.SystemClock{})
		for range 10 {
			for range 10 * lineRate {
				_, _ = l.Write([]byte("line\n"))
			}
			time.Sleep(time.Second)
		}
		_, _ = l.Write([]byte("last\n"))
		l.Close(time.Second)
		written := strings.Count(out.String(), "line\n")
		is.True(written <= lineBurst+10*lineRate)
		is.Equal(written+l.Dropped(), 10*10*lineRate)
		is.True(strings.Contains(out.String(), `msg="log lines dropped" count=`))
	})
}
