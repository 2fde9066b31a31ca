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

// told answers all news with its own.
type told struct{ ramp.PeerHandler }

func (told) HandleGossip(ramp.GossipMessage) ramp.GossipMessage {
	return ramp.GossipMessage{From: ramp.Daemon{ID: "b"}}
}

// HandleCollect implements [ramp.CollectHandler].
func (told) HandleCollect(_ context.Context, _ ramp.CollectRequest, send func(ramp.Batch) error) error {
	return send(ramp.Batch{Pending: []ramp.PendingPart{{Index: 0}}})
}

// startSilenced starts a daemon behind a listener whose connections pass nothing
// back once the returned function was called; later ones work. Nothing resets the
// silent ones.
func startSilenced(t *testing.T) (address string, silence func()) {
	t.Helper()
	var listen net.ListenConfig
	behind, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = NewServer(told{}, "", ramp.SystemClock{}).WithCollector(told{}).Serve(t.Context(), behind) }()
	front, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = front.Close() })
	var era atomic.Int64
	go func() {
		for {
			near, err := front.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", behind.Addr().String())
			if err != nil {
				return
			}
			opened := era.Load()
			go func() { _, _ = io.Copy(far, near) }()
			go func() {
				buffer := make([]byte, 4<<10)
				for {
					n, err := far.Read(buffer)
					if err != nil {
						_ = near.Close()
						return
					}
					if era.Load() == opened {
						_, _ = near.Write(buffer[:n])
					}
				}
			}()
		}
	}()
	return front.Addr().String(), func() { era.Add(1) }
}

// TestSilentConnections fails when calls go on using kept connections that have
// gone silent: found by the soak (seed 204), where two daemons stayed unknown to
// each other while new connections between them worked.
func TestSilentConnections(t *testing.T) {
	const limit = 100 * time.Millisecond
	collect := func(c *Client, to ramp.Daemon) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		wanted := ramp.CollectRequest{Services: []string{"s"}, Deadline: time.Now().Add(limit)}
		return c.Collect(ctx, to, wanted, func(ramp.Batch) {})
	}
	exchange := func(c *Client, to ramp.Daemon) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := c.Gossip(ctx, to, ramp.GossipMessage{})
		return err
	}
	for _, test := range []struct {
		name  string
		call  func(*Client, ramp.Daemon) error
		tries int // calls that a silent connection may cost
	}{{"exchange", exchange, 1}, {"collect", collect, silentCalls}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, silence := startSilenced(t)
			c, to := NewClient("", ramp.SystemClock{}), ramp.Daemon{ID: "b", PeerAddress: address}
			defer func() { _ = c.Close() }()
			is.NoErr(test.call(c, to))
			time.Sleep(limit / 4) // streams give their connection back beside their caller
			silence()
			for range test.tries {
				is.True(test.call(c, to) != nil)
				time.Sleep(limit / 4)
			}
			is.NoErr(test.call(c, to))
		})
	}
}
