package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener delays each new connection and closes those above a limit at once, as
// a backend server does.
type listener struct {
	net.Listener
	limit        int           // open connections; 0 for no limit
	connectDelay time.Duration // from accepting a connection until it can be read
	openCount    atomic.Int64
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openCount.Add(1) > int64(l.limit) && l.limit > 0 {
			l.openCount.Add(-1)
			_ = c.Close() // refused, so the error does not matter
			continue
		}
		return &connection{Conn: c, listener: l, readyAt: time.Now().Add(l.connectDelay)}, nil
	}
}

// connection is an accepted connection that counts towards its listener's limit.
type connection struct {
	net.Conn
	listener *listener
	readyAt  time.Time // when the first read may return
	closed   sync.Once
}

// Read implements net.Conn.
func (c *connection) Read(data []byte) (int, error) {
	time.Sleep(time.Until(c.readyAt))
	return c.Conn.Read(data)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Do(func() { c.listener.openCount.Add(-1) })
	return c.Conn.Close()
}
