package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// echoCodec accepts responses that echo the id of the request. It implements
// [ramp.CallCodec].
type echoCodec struct{}

// Fields implements [ramp.CallCodec].
func (echoCodec) Fields(c ramp.Call, left time.Duration) []ramp.Field {
	return []ramp.Field{{Name: "Id", Value: c.Message.ID}, {Name: "Left", Value: left.Round(time.Minute).String()}}
}

// Validate implements [ramp.CallCodec].
func (echoCodec) Validate(c ramp.Call, r ramp.Response) (ramp.Response, error) {
	for _, f := range r.Fields {
		if f.Name == "Id" && f.Value == c.Message.ID {
			return r, nil
		}
	}
	return ramp.Response{}, &ramp.AttemptError{Outcome: ramp.Mismatched, Sent: true}
}

// rawServer is a TCP server that calls reply for each request, in order on each
// connection. The requests are numbered from 1 over all connections. A connection is
// closed when reply returns false.
type rawServer struct {
	net.Listener
	opened atomic.Int64
	served atomic.Int64
}

func newRawServer(t *testing.T, reply func(number int64, r *http.Request, c net.Conn) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil || !reply(s.served.Add(1), r, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *rawServer) call(id string, idempotent bool) ramp.Call {
	return ramp.Call{
		Message:  ramp.Message{ID: id, Method: http.MethodGet, Host: "h", Target: "/x?y=%2F"},
		Instance: ramp.Instance{Replica: ramp.Replica{ID: "i", Address: s.Addr().String()}},
		Deadline: time.Now().Add(300 * time.Millisecond), Idempotent: idempotent, MaxConnections: 2,
		BeforeSend: func() error { return nil },
	}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestExchange sends two calls in turn to a replica that misbehaves at the first, and
// records the outcomes of both and the number of connections opened.
func TestExchange(t *testing.T) {
	write := func(c net.Conn, s string) bool { _, err := c.Write([]byte(s)); return err == nil }
	tests := []struct {
		name  string
		once  bool
		first func(c net.Conn, id string) bool
	}{
		{"valid reply", false, func(c net.Conn, id string) bool { return write(c, ok(id, "body")) }},
		{"not idempotent", true, func(c net.Conn, id string) bool { return write(c, ok(id, "body")) }},
		{
			"extra reply along with it",
			false,
			func(c net.Conn, id string) bool { return write(c, ok(id, "body")+ok(id, "more")) },
		},
		{"extra reply a little later", false, func(c net.Conn, id string) bool {
			done := write(c, ok(id, "body"))
			time.Sleep(10 * time.Millisecond)
			return done && write(c, ok(id, "more"))
		}},
		{"connection closed after the reply", false, func(c net.Conn, id string) bool {
			return write(c, strings.Replace(ok(id, "body"), "\r\n", "\r\nConnection: close\r\n", 1))
		}},
		{
			"no length",
			false,
			func(c net.Conn, id string) bool { write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nbody"); return false },
		},
		{"no length, reset", false, func(c net.Conn, id string) bool {
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nbod")
			time.Sleep(10 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}},
		{
			"truncated body",
			false,
			func(c net.Conn, id string) bool { write(c, ok(id, "body")[:len(ok(id, "body"))-2]); return false },
		},
		{
			"truncated head",
			false,
			func(c net.Conn, id string) bool {
				write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Le")
				return false
			},
		},
		{
			"head without its empty line",
			false,
			func(c net.Conn, id string) bool { write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"); return false },
		},
		{"not HTTP", false, func(c net.Conn, _ string) bool { return write(c, "garbage\r\n\r\n") }},
		{"reply to another request", false, func(c net.Conn, _ string) bool { return write(c, ok("other", "body")) }},
		{"connection closed", false, func(net.Conn, string) bool { return false }},
		{"no reply", false, func(net.Conn, string) bool { return true }},
		{
			"interim response",
			false,
			func(c net.Conn, id string) bool { return write(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+ok(id, "body")) },
		},
	}
	var b strings.Builder
	for _, test := range tests {
		s := newRawServer(t, func(number int64, r *http.Request, c net.Conn) bool {
			if number == 1 {
				return test.first(c, r.Header.Get("Id"))
			}
			return write(c, ok(r.Header.Get("Id"), "second"))
		})
		e := NewExchanger(echoCodec{}, ramp.NewMemory(testMemory), ramp.SystemClock{})
		fmt.Fprintf(&b, "%s:", test.name)
		for _, id := range []string{"one", "two"} {
			r, err := e.Exchange(t.Context(), s.call(id, !test.once))
			var failed *ramp.AttemptError
			if errors.As(err, &failed) {
				fmt.Fprintf(&b, " %s sent=%t;", failed.Outcome, failed.Sent)
			} else {
				fmt.Fprintf(&b, " %d %q;", r.Status, r.Body)
			}
			time.Sleep(20 * time.Millisecond)
		}
		fmt.Fprintf(&b, " connections=%d\n", s.opened.Load())
	}
	golden.Check(t, "exchange", b.String())
}

// TestLateReply guards against taking a late reply to an earlier request, which arrives
// after the next request was sent, for the reply to the next request.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, func(number int64, r *http.Request, c net.Conn) bool {
		late := ""
		if number == 2 {
			late = ok("one", "late")
		}
		_, err := c.Write([]byte(late + ok(r.Header.Get("Id"), "own")))
		return err == nil
	})
	e := NewExchanger(echoCodec{}, ramp.NewMemory(testMemory), ramp.SystemClock{})
	_, err := e.Exchange(t.Context(), s.call("one", true))
	is.NoErr(err)
	_, err = e.Exchange(t.Context(), s.call("two", true))
	var failed *ramp.AttemptError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome, ramp.Mismatched)
	r, err := e.Exchange(t.Context(), s.call("three", true))
	is.NoErr(err)
	is.Equal(string(r.Body), "own")
	is.Equal(s.opened.Load(), int64(2))
}

// TestConnectionLimit guards against opening more connections than the call allows.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, func(int64, *http.Request, net.Conn) bool { return true })
	e := NewExchanger(echoCodec{}, ramp.NewMemory(testMemory), ramp.SystemClock{})
	results := make(chan error, 4)
	for range 4 {
		go func() {
			_, err := e.Exchange(t.Context(), s.call("id", true))
			results <- err
		}()
	}
	notStarted := 0
	for range 4 {
		var failed *ramp.AttemptError
		is.True(errors.As(<-results, &failed))
		if failed.Outcome == ramp.NotStarted {
			notStarted++
			is.True(!failed.Sent)
		}
	}
	is.Equal(notStarted, 2)
	is.Equal(s.opened.Load(), int64(2))
}

// TestCancelledCall guards against leaving the connection of a cancelled call open, so
// that the replica continues to work on it.
func TestCancelledCall(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newRawServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		var one [1]byte
		_, _ = c.Read(one[:])
		close(closed)
		return false
	})
	e := NewExchanger(echoCodec{}, ramp.NewMemory(testMemory), ramp.SystemClock{})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := e.Exchange(ctx, s.call("id", true))
	var failed *ramp.AttemptError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome, ramp.Cancelled)
	<-closed
}

// TestWithdrawnCallIsNotSent guards against sending a call that was withdrawn while its
// connection was opened.
func TestWithdrawnCallIsNotSent(t *testing.T) {
	errLeft := &ramp.AttemptError{Outcome: ramp.NotStarted}
	for _, test := range []struct {
		name       string
		beforeSend error
		cancelled  bool // the context ends when the connection is open
		outcome    ramp.Outcome
	}{
		{"sent", nil, false, ""},
		{"withdrawn", errLeft, false, ramp.NotStarted},
		{"cancelled", nil, true, ramp.Cancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
				_, err := c.Write([]byte(ok(r.Header.Get("Id"), "body")))
				return err == nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			e := NewExchanger(echoCodec{}, ramp.NewMemory(testMemory), ramp.SystemClock{})
			e.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, network, address)
				if test.cancelled {
					cancel()
				}
				return c, err
			}
			call := s.call("id", false)
			call.BeforeSend = func() error { return test.beforeSend }
			_, err := e.Exchange(ctx, call)
			cancel()
			var failed *ramp.AttemptError
			is.Equal(errors.As(err, &failed), test.outcome != "")
			if failed != nil {
				is.Equal(failed.Outcome, test.outcome)
				is.Equal(failed.Sent, false)
			}
			time.Sleep(20 * time.Millisecond) // a request that was sent is read within it
			is.Equal(s.served.Load() == 0, test.outcome != "")
		})
	}
}
