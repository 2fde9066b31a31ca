package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

func attempt(address string, operation ramp.Operation, number int) ramp.Attempt {
	q := ramp.Query{
		ID: "q1", Service: "prisms", Operation: operation, Deadline: time.Now().Add(time.Minute),
	}
	if operation != ramp.Search {
		q.Key = standin.Keys("prisms")[0]
	}
	return ramp.Attempt{
		Query: q, Number: number, IndexVersion: 1, Shard: ramp.Shard{ID: "s0", Range: ramp.KeySpace},
		Replica: ramp.Replica{ID: "vm", Address: address},
	}
}

// describeResult formats the result of an attempt.
func describeResult(reply ramp.Reply, err error) string {
	var failed *ramp.AttemptError
	if errors.As(err, &failed) {
		return fmt.Sprintf("outcome=%s sent=%t new_connection=%t", failed.Outcome, failed.Sent, failed.NewConnection)
	}
	return fmt.Sprintf("hits=%d new_connection=%t err=%v", len(reply.Hits), reply.NewConnection, err)
}

// naiveReply formats the result of a client that accepts every reply.
func naiveReply(a ramp.Attempt) string {
	response, err := http.Post("http://"+a.Replica.Address+"/run", "application/json",
		strings.NewReader(`{"query":"q1","shard":"s0","version":1}`))
	if err != nil {
		return "error"
	}
	defer response.Body.Close()
	data := make([]byte, 100)
	n, _ := response.Body.Read(data) // the naive client ignores errors
	return fmt.Sprintf("accepted status=%d empty=%t", response.StatusCode, n == 0)
}

// TestReplies records the outcomes of attempts at a misbehaving backend server, next to
// what a client without checks would accept.
func TestReplies(t *testing.T) {
	b := standin.NewBackend("vm", "prisms", 2)
	b.SetShards(standin.Split(1, 1))
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	c := NewClient(ramp.SystemClock{}, 2)
	var log strings.Builder
	for i, behaviour := range []standin.Behaviour{
		{}, {}, {Truncate: true}, {}, {WrongAttempt: true}, {}, {Drain: true}, {Shed: true}, {},
	} {
		b.SetBehaviour(behaviour)
		a := attempt(address, ramp.Search, i)
		reply, err := c.Send(context.Background(), a)
		fmt.Fprintf(&log, "truncate=%t crossed=%t drain=%t shed=%t: %s; naive client: %s\n", behaviour.Truncate,
			behaviour.WrongAttempt, behaviour.Drain, behaviour.Shed, describeResult(reply, err), naiveReply(a))
	}
	other := attempt(address, ramp.Search, 20)
	other.IndexVersion = 2
	fmt.Fprintf(&log, "another version: %s\n", describeResult(c.Send(context.Background(), other)))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	fmt.Fprintf(&log, "cancelled before sending: %s\n", describeResult(c.Send(ended, attempt(address, ramp.Search, 21))))
	server.Close()
	fmt.Fprintf(&log, "server gone: %s\n",
		describeResult(c.Send(context.Background(), attempt("127.0.0.1:1", ramp.Order, 22))))
	golden.Check(t, "replies", log.String())
}

// serveRaw accepts TCP connections, calls serve for each of them, and returns the
// listening address.
func serveRaw(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

const replyFormat = `{"query":"q1","attempt":%d,"shard":"s0","version":1,"low":0,"high":4294967296,"hits":[]}`

func respond(conn net.Conn, attempt int) {
	text := fmt.Sprintf(replyFormat, attempt)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// TestExtraReply guards against accepting the reply to an earlier attempt that a server
// sends on a reused connection, and against using that connection again.
func TestExtraReply(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	address := serveRaw(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		connections.Add(1)
		buffer := make([]byte, 4096)
		for i := range 3 {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			respond(conn, 0) // from the second request on, the reply to the previous attempt
			if i > 0 {
				respond(conn, 1)
			}
		}
	})
	c := NewClient(ramp.SystemClock{}, 1)
	_, err := c.Send(context.Background(), attempt(address, ramp.Search, 0))
	is.NoErr(err)
	_, err = c.Send(context.Background(), attempt(address, ramp.Search, 1))
	is.True(strings.HasPrefix(describeResult(ramp.Reply{}, err), "outcome=mismatch sent=true"))
	_, err = c.Send(context.Background(), attempt(address, ramp.Search, 0))
	is.NoErr(err)                          // on a new connection
	is.Equal(connections.Load(), int64(2)) // the connection with the extra reply is closed
}

// TestDeadConnection guards against the transport resending an order after the server
// closed a reused connection on receiving it.
func TestDeadConnection(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address := serveRaw(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, 4096)
		for i := range 2 {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			requests.Add(1)
			if i == 0 {
				respond(conn, 0)
			}
		}
	})
	c := NewClient(ramp.SystemClock{}, 1)
	_, err := c.Send(context.Background(), attempt(address, ramp.Search, 0))
	is.NoErr(err)
	_, err = c.Send(context.Background(), attempt(address, ramp.Order, 1))
	is.Equal(describeResult(ramp.Reply{}, err), "outcome=unreachable sent=true new_connection=false")
	is.Equal(requests.Load(), int64(2))
}

// connCounter counts a client's open connections.
type connCounter struct {
	mutex         sync.Mutex
	open, maxOpen int
}

func (c *connCounter) add(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open += n
	c.maxOpen = max(c.maxOpen, c.open)
}

func (c *connCounter) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.maxOpen = c.open
}

func (c *connCounter) peak() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.maxOpen
}

func (c *connCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.add(1)
	return &countedConn{Conn: conn, onClose: sync.OnceFunc(func() { c.add(-1) })}, nil
}

// TestMaxConnections sends many attempts at once under a changing limit. The client must
// never hold more connections than the limit, and must report the attempts that it
// refuses as not sent. A client with a high limit holds more.
func TestMaxConnections(t *testing.T) {
	is := is.New(t)
	b := standin.NewBackend("vm", "prisms", 100)
	b.SetShards(standin.Split(1, 1))
	b.SetBehaviour(standin.Behaviour{Delay: 20 * time.Millisecond})
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	load := func(c *Client) (refused int64) {
		var group sync.WaitGroup
		var count atomic.Int64
		for i := range 64 {
			group.Go(func() {
				_, err := c.Send(context.Background(), attempt(server.Listener.Addr().String(), ramp.Search, i))
				var failed *ramp.AttemptError
				if errors.As(err, &failed) {
					is.Equal(failed.Outcome, ramp.NotStarted)
					is.Equal(failed.Sent, false)
					count.Add(1)
				}
			})
		}
		group.Wait()
		return count.Load()
	}
	held, unbounded := &connCounter{}, &connCounter{}
	c := newClient(ramp.SystemClock{}, 8, held.dial)
	is.True(load(c) > 0)
	is.True(held.peak() <= 8)
	c.SetMaxConnections(3)
	for range 64 { // closes the connections above the limit after their request
		_, err := c.Send(context.Background(), attempt(server.Listener.Addr().String(), ramp.Search, 0))
		is.NoErr(err)
	}
	held.reset()
	is.True(load(c) > 0)
	is.True(held.peak() <= 3)
	is.Equal(load(newClient(ramp.SystemClock{}, 1000, unbounded.dial)), int64(0))
	is.True(unbounded.peak() > 8) // shows that the check can fail
}
