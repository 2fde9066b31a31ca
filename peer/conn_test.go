package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// staticHandler returns the same gossip message and the same batch for every call.
type staticHandler struct{ ramp.PeerHandler }

// HandleGossip implements [ramp.PeerHandler].
func (staticHandler) HandleGossip(ramp.GossipMessage) ramp.GossipMessage {
	return ramp.GossipMessage{From: ramp.Daemon{ID: "b"}}
}

// HandleCollect implements [ramp.CollectHandler].
func (staticHandler) HandleCollect(_ context.Context, _ ramp.CollectRequest, send func(ramp.Batch) error) error {
	return send(ramp.Batch{Pending: []ramp.PendingPart{{Index: 0}}})
}

// startSilenceable starts a server behind a proxy and returns the proxy's address.
// After a call of silence, connections that are already open drop everything that
// the server sends, but are neither closed nor reset. Connections opened later work.
func startSilenceable(t *testing.T) (address string, silence func()) {
	t.Helper()
	var listen net.ListenConfig
	server, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() {
		_ = NewServer(staticHandler{}, "", ramp.SystemClock{}).WithCollectHandler(staticHandler{}).Serve(t.Context(), server)
	}()
	proxy, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = proxy.Close() })
	var generation atomic.Int64
	go func() {
		for {
			client, err := proxy.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", server.Addr().String())
			if err != nil {
				return
			}
			openedIn := generation.Load()
			go func() { _, _ = io.Copy(upstream, client) }()
			go func() {
				buffer := make([]byte, 4<<10)
				for {
					n, err := upstream.Read(buffer)
					if err != nil {
						_ = client.Close()
						return
					}
					if generation.Load() == openedIn {
						_, _ = client.Write(buffer[:n])
					}
				}
			}()
		}
	}()
	return proxy.Addr().String(), func() { generation.Add(1) }
}

// TestSilentConnections fails when calls keep reusing pooled connections on which the
// peer has stopped sending. The soak (seed 204) found this: two daemons stayed unknown
// to each other although new connections between them worked.
func TestSilentConnections(t *testing.T) {
	const timeout = 100 * time.Millisecond
	collect := func(c *Client, to ramp.Daemon) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		request := ramp.CollectRequest{Services: []string{"s"}, Deadline: time.Now().Add(timeout)}
		return c.Collect(ctx, to, request, func(ramp.Batch) {})
	}
	exchange := func(c *Client, to ramp.Daemon) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := c.Gossip(ctx, to, ramp.GossipMessage{})
		return err
	}
	for _, test := range []struct {
		name     string
		call     func(*Client, ramp.Daemon) error
		failures int // calls that may fail before a silent connection is replaced
	}{{"exchange", exchange, 1}, {"collect", collect, maxSilentStreams}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, silence := startSilenceable(t)
			c, to := NewClient("", ramp.SystemClock{}), ramp.Daemon{ID: "b", PeerAddress: address}
			defer func() { _ = c.Close() }()
			is.NoErr(test.call(c, to))
			time.Sleep(timeout / 4) // streams return their connection to the pool in a goroutine of their own
			silence()
			for range test.failures {
				is.True(test.call(c, to) != nil)
				time.Sleep(timeout / 4)
			}
			is.NoErr(test.call(c, to))
		})
	}
}
