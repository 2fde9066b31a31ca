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

// verdict names how an attempt ended.
func verdict(reply ramp.Reply, err error) string {
	var failed *ramp.AttemptError
	if errors.As(err, &failed) {
		return fmt.Sprintf("outcome=%s sent=%t connected=%t", failed.Outcome, failed.Sent, failed.NewConnection)
	}
	return fmt.Sprintf("hits=%d connected=%t err=%v", len(reply.Hits), reply.NewConnection, err)
}

// naive is what a client would return that trusts each reply.
func naive(a ramp.Attempt) string {
	response, err := http.Post("http://"+a.Replica.Address+"/run", "application/json",
		strings.NewReader(`{"query":"q1","shard":"s0","version":1}`))
	if err != nil {
		return "error"
	}
	defer response.Body.Close()
	data := make([]byte, 100)
	n, _ := response.Body.Read(data) // the naive client takes what it gets
	return fmt.Sprintf("accepted status=%d empty=%t", response.StatusCode, n == 0)
}

// TestReplies sends attempts over HTTP to a backend server that misbehaves.
func TestReplies(t *testing.T) {
	b := standin.NewBackend("vm", "prisms", 2)
	b.SetParts(standin.Split(1, 1))
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	c := NewClient(ramp.SystemClock{}, 2)
	var log strings.Builder
	for i, behaviour := range []standin.Behaviour{
		{}, {}, {Truncate: true}, {}, {Crossed: true}, {}, {Drain: true}, {Shed: true}, {},
	} {
		b.Set(behaviour)
		a := attempt(address, ramp.Search, i)
		reply, err := c.Send(context.Background(), a)
		fmt.Fprintf(&log, "truncate=%t crossed=%t drain=%t shed=%t: %s; naive client: %s\n", behaviour.Truncate,
			behaviour.Crossed, behaviour.Drain, behaviour.Shed, verdict(reply, err), naive(a))
	}
	other := attempt(address, ramp.Search, 20)
	other.IndexVersion = 2
	fmt.Fprintf(&log, "another version: %s\n", verdict(c.Send(context.Background(), other)))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	fmt.Fprintf(&log, "cancelled before: %s\n", verdict(c.Send(ended, attempt(address, ramp.Search, 21))))
	server.Close()
	fmt.Fprintf(&log, "server gone: %s\n", verdict(c.Send(context.Background(), attempt("127.0.0.1:1", ramp.Order, 22))))
	golden.Check(t, "replies", log.String())
}

// raw serves connections with the function and returns its address.
func raw(t *testing.T, serve func(net.Conn)) string {
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

const body = `{"query":"q1","attempt":%d,"shard":"s0","version":1,"low":0,"high":4294967296,"hits":[]}`

func respond(conn net.Conn, attempt int) {
	text := fmt.Sprintf(body, attempt)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// TestLeftover lets a server send a second reply on a connection: the next
// attempt must not take it, and the connection must not be used again.
func TestLeftover(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	address := raw(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		connections.Add(1)
		buffer := make([]byte, 4096)
		for i := range 3 {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			respond(conn, 0) // the reply to the attempt before, from the second request on
			if i > 0 {
				respond(conn, 1)
			}
		}
	})
	c := NewClient(ramp.SystemClock{}, 1)
	_, err := c.Send(context.Background(), attempt(address, ramp.Search, 0))
	is.NoErr(err)
	_, err = c.Send(context.Background(), attempt(address, ramp.Search, 1))
	is.True(strings.HasPrefix(verdict(ramp.Reply{}, err), "outcome=mismatch sent=true"))
	_, err = c.Send(context.Background(), attempt(address, ramp.Search, 0))
	is.NoErr(err)                          // over a new connection
	is.Equal(connections.Load(), int64(2)) // the connection with the leftover is dropped
}

// TestDeadConnection closes a kept connection as the next request arrives. An
// order must not be sent again by the transport.
func TestDeadConnection(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address := raw(t, func(conn net.Conn) {
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
	is.Equal(verdict(ramp.Reply{}, err), "outcome=unreachable sent=true connected=false")
	is.Equal(requests.Load(), int64(2))
}

// counter counts the connections that a client holds.
type counter struct {
	mutex      sync.Mutex
	open, most int
}

func (k *counter) add(n int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.open += n
	k.most = max(k.most, k.open)
}

func (k *counter) reset() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.most = k.open
}

func (k *counter) peak() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.most
}

func (k *counter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	k.add(1)
	return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { k.add(-1) })}, nil
}

// TestConnections sends many attempts at once while the grant changes. The
// client must never hold more connections than granted, and what it refuses
// must be stated as not sent. The naive client, without a grant, holds more.
func TestConnections(t *testing.T) {
	is := is.New(t)
	b := standin.NewBackend("vm", "prisms", 100)
	b.SetParts(standin.Split(1, 1))
	b.Set(standin.Behaviour{Delay: 20 * time.Millisecond})
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
	held, unbounded := &counter{}, &counter{}
	c := newClient(ramp.SystemClock{}, 8, held.dial)
	is.True(load(c) > 0)
	is.True(held.peak() <= 8)
	c.SetConnections(3)
	for range 64 { // connections that were not idle yet are closed after a request
		_, err := c.Send(context.Background(), attempt(server.Listener.Addr().String(), ramp.Search, 0))
		is.NoErr(err)
	}
	held.reset()
	is.True(load(c) > 0)
	is.True(held.peak() <= 3)
	is.Equal(load(newClient(ramp.SystemClock{}, 1000, unbounded.dial)), int64(0))
	is.True(unbounded.peak() > 8) // the check can fail
}
