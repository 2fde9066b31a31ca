package peer

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// maxSilentStreams is the number of consecutive streams without a byte from the
// peer after which a connection is closed. A single one is no proof that the
// connection is dead: it may have been cancelled before the peer had data to send.
const maxSilentStreams = 2

// transport is a network connection that counts the reads that returned data.
type transport struct {
	net.Conn
	reads atomic.Int64 // reads that returned at least one byte
}

// Read implements [net.Conn].
func (t *transport) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.reads.Add(1)
	}
	return n, err
}

// conn is a pooled connection to another daemon. It closes itself when its calls
// get no data from the peer. Cancelling a call does not close its connection, so a
// dead connection would otherwise stay in the pool and be reused indefinitely.
type conn struct {
	drpcpool.Conn
	transport     *transport
	silentStreams atomic.Int64 // consecutive streams that ended without a byte from the peer
}

// newConn returns a drpc connection over the network connection.
func newConn(netConn net.Conn) *conn {
	t := &transport{Conn: netConn}
	return &conn{Conn: drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions}), transport: t}
}

// Invoke implements [drpc.Conn]. It closes the connection when the call fails
// without a byte from the peer.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	readsBefore := c.transport.reads.Load()
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil && c.transport.reads.Load() == readsBefore {
		_ = c.Close() // the error of the call is returned
	}
	return err
}

// NewStream implements [drpc.Conn]. It closes the connection when maxSilentStreams
// consecutive streams ended without a byte from the peer.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	readsBefore := c.transport.reads.Load()
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		switch {
		case c.transport.reads.Load() > readsBefore:
			c.silentStreams.Store(0)
		case c.silentStreams.Add(1) >= maxSilentStreams:
			_ = c.Close() // the stream has ended, so there is no caller to return the error to
		}
	})
	return stream, nil
}
