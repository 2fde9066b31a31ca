package backend

import (
	"context"
	"fmt"
	"net"
	"sync"

	ramp "sycamoreramp.example/sycamoreramp"
)

// maxIdlePerHost lets net/http keep every idle connection; [connLimiter] bounds their
// number.
const maxIdlePerHost = 1 << 16

// LimitError reports a connection that was not opened, or a request that was not sent,
// because all allowed connections to a backend server are in use.
type LimitError struct {
	Address string // IP number and port of the backend server
	Limit   int    // connections allowed
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("connection limit reached: address=%s granted=%d", e.Address, e.Limit)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connCount counts the requests and the connections to one backend server. It is an
// immutable value.
type connCount struct {
	inUse int // requests in flight; each uses at most one connection
	open  int // connections, including those being opened
}

// connLimiter limits the requests in flight and the open connections to each backend
// server to the same number.
type connLimiter struct {
	mutex  *ramp.Mutex
	dial   dialFunc
	limit  int
	counts map[string]connCount // by address; no zero values
}

func newConnLimiter(limit int, dial dialFunc) *connLimiter {
	return &connLimiter{mutex: ramp.NewMutex(ramp.RankReplicas), dial: dial, limit: limit, counts: map[string]connCount{}}
}

// SetLimit sets the limit for each backend server and reports whether it was lowered.
func (l *connLimiter) SetLimit(limit int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lowered := limit < l.limit
	l.limit = limit
	return lowered
}

// Acquire counts a request until Release is called. It reports whether the request's
// connection must be closed afterwards, because more are open than allowed, or returns
// a [*LimitError].
func (l *connLimiter) Acquire(address string) (excess bool, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.counts[address]
	if c.inUse >= l.limit {
		return false, &LimitError{Address: address, Limit: l.limit}
	}
	c.inUse++
	l.store(address, c)
	return c.open > l.limit, nil
}

// Release ends a request counted by Acquire.
func (l *connLimiter) Release(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.counts[address]
	c.inUse--
	l.store(address, c)
}

// Dial opens a connection, which counts towards the limit until it is closed, or returns
// a [*LimitError].
func (l *connLimiter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.reserveConn(address); err != nil {
		return nil, err
	}
	conn, err := l.dial(ctx, network, address)
	if err != nil {
		l.releaseConn(address)
		return nil, err
	}
	return &countedConn{Conn: conn, onClose: sync.OnceFunc(func() { l.releaseConn(address) })}, nil
}

func (l *connLimiter) reserveConn(address string) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.counts[address]
	if c.open >= l.limit {
		return &LimitError{Address: address, Limit: l.limit}
	}
	c.open++
	l.store(address, c)
	return nil
}

func (l *connLimiter) releaseConn(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.counts[address]
	c.open--
	l.store(address, c)
}

// store sets the count of an address and removes zero values. The caller holds the
// mutex.
func (l *connLimiter) store(address string, c connCount) {
	if c == (connCount{}) {
		delete(l.counts, address)
		return
	}
	l.counts[address] = c
}

// countedConn is a connection that calls onClose when it is closed.
type countedConn struct {
	net.Conn
	onClose func() // idempotent
}

// Close implements [net.Conn].
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.onClose()
	return err
}
