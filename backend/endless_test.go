package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// testMemory is the memory for bodies in these tests, in bytes.
const testMemory = 64 << 20

// endless is a reply that begins with a text and repeats another one for ever.
type endless struct{ name, begin, repeat string }

var endlessReplies = []endless{
	{"fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	{"one field", "HTTP/1.1 200 OK\r\nX-Field: ", "value"},
	{"status line", "HTTP/1.1 200 ", "OK"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	{"bytes without a meaning", "", "garbage "},
}

// repeatReader reads the reply, and reports an error after far more bytes than a reply may
// have.
type repeatReader struct {
	begin    string // what is left of it
	block    string // many repetitions
	position int
}

func newRepeatReader(e endless) *repeatReader {
	return &repeatReader{begin: e.begin, block: strings.Repeat(e.repeat, 1024)}
}

// errReadOn is the error for a reader that does not stop.
var errReadOn = errors.New("the reader did not stop")

// Read implements [io.Reader].
func (r *repeatReader) Read(p []byte) (int, error) {
	if r.position > 4*maxResponse {
		return 0, errReadOn
	}
	n := copy(p, r.begin)
	r.begin = r.begin[n:]
	if n == 0 {
		n = copy(p, r.block[r.position%len(r.block):])
		r.position += n
	}
	return n, nil
}

// TestEndlessReplyIsGivenUp fails when a daemon reads on while a replica sends bytes without
// end, in the head or in the body of its answer.
func TestEndlessReplyIsGivenUp(t *testing.T) {
	for _, reply := range endlessReplies {
		t.Run(reply.name, func(t *testing.T) {
			source := newRepeatReader(reply)
			r := readReply(newReplyReader(source, ramp.NewMemory(testMemory)), http.MethodGet, nil)
			if r.err == nil || errors.Is(r.err, errReadOn) {
				t.Errorf("after %d bytes: %v", source.position, r.err)
			}
			if inBody := strings.Contains(reply.begin, "\r\n\r\n"); !inBody && source.position > maxHead+readBuffer {
				t.Errorf("read %d bytes of a head", source.position)
			}
		})
	}
}

// TestEndlessRepliesShareMemory fails when many replicas that send bodies without end at
// once take more memory than the daemon has for replies.
func TestEndlessRepliesShareMemory(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		_, _ = io.Copy(c, newRepeatReader(endless{begin: "HTTP/1.1 200 OK\r\n\r\n", repeat: "0123456789abcdef"}))
		return false
	})
	e := NewExchanger(echoCodec{}, ramp.NewMemory(testMemory), ramp.SystemClock{})
	const calls = 64
	results := make(chan error, calls)
	for i := range calls {
		go func() {
			c := s.call(fmt.Sprint("m", i), true)
			c.MaxConnections, c.Deadline = calls, time.Now().Add(time.Minute)
			for {
				_, err := e.Exchange(t.Context(), c)
				var failed *ramp.AttemptError
				if !errors.As(err, &failed) || failed.Sent { // a busy machine may not open a connection in time
					results <- err
					return
				}
			}
		}()
	}
	most := int64(0)
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	for ended := 0; ended < calls; {
		select {
		case err := <-results:
			is.True(isTooLong(err))
			ended++
		case <-ticks.C:
			most = max(most, e.pool.memory.InUse())
		}
	}
	is.True(most <= testMemory)
	is.Equal(e.pool.memory.InUse(), int64(0))
}
