package peer

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// silentCalls is how many streams in a row may end without a byte from the other
// side before their connection counts as silent. One may have been cancelled
// before there was anything to say.
const silentCalls = 2

// transport counts what comes from the other side.
type transport struct {
	net.Conn
	reads atomic.Int64 // reads that brought bytes
}

// Read implements [net.Conn].
func (t *transport) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.reads.Add(1)
	}
	return n, err
}

// conn is a kept connection to another daemon. It closes itself when the other
// side says nothing to its calls: calls are cancelled without closing their
// connection, so one that has gone silent would be used for ever.
type conn struct {
	drpcpool.Conn
	transport *transport
	unheard   atomic.Int64 // streams in a row that ended without a byte from the other side
}

func newConn(opened net.Conn) *conn {
	t := &transport{Conn: opened}
	return &conn{Conn: drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managed}), transport: t}
}

// Invoke implements [drpc.Conn].
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	before := c.transport.reads.Load()
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil && c.transport.reads.Load() == before {
		_ = c.Close() // the call has failed already
	}
	return err
}

// NewStream implements [drpc.Conn].
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	before := c.transport.reads.Load()
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		switch {
		case c.transport.reads.Load() > before:
			c.unheard.Store(0)
		case c.unheard.Add(1) >= silentCalls:
			_ = c.Close() // the stream has ended already
		}
	})
	return stream, nil
}
