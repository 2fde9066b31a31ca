package backend

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Idle time-outs of pooled connections.
const (
	defaultIdleTimeout = 14 * time.Second // for replicas that do not advertise a keep-alive time
	idleTimeoutFactor  = 0.8              // of the advertised keep-alive time
)

// persistentConn is a keep-alive connection to a replica. A goroutine reads it all the
// time, so that the end of the connection and bytes that answer no request are detected
// at once.
type persistentConn struct {
	netConn   net.Conn
	reader    *replyReader
	address   string
	idleUntil time.Time // expiry while idle; guarded by the pool's mutex

	mutex   sync.Mutex    // guards the fields below; held briefly and never together with another lock
	method  string        // of the request that awaits a response
	held    *ramp.Holding // to which the memory of the response is added
	replies chan reply    // receives the response; nil if none is awaited
	closed  bool
}

// expectReply registers a request that is about to be sent. It returns the channel that
// gets its reply, or nil if the connection is closed.
func (c *persistentConn) expectReply(method string, held *ramp.Holding) <-chan reply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil
	}
	c.method, c.held, c.replies = method, held, make(chan reply, 1)
	return c.replies
}

// takeExpected returns the request that awaits a response and clears it. The channel is
// nil if there is none.
func (c *persistentConn) takeExpected() (method string, held *ramp.Holding, replies chan reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	method, held, replies = c.method, c.held, c.replies
	c.held, c.replies = nil, nil
	return method, held, replies
}

func (c *persistentConn) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// close closes the connection. It is idempotent.
func (c *persistentConn) close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	_ = c.netConn.Close() // nothing to flush
}

// readReplies delivers replies until the connection ends, can carry no more requests, or
// receives bytes that answer no request. It calls onEnd when it returns.
func (c *persistentConn) readReplies(onEnd func(*persistentConn)) {
	defer onEnd(c)
	for {
		_, err := c.reader.Peek(1)
		method, held, replies := c.takeExpected()
		if replies == nil {
			return
		}
		if err != nil {
			replies <- reply{err: err}
			return
		}
		r := readReply(c.reader, method, held)
		replies <- r
		if r.err != nil || !r.reusable {
			return
		}
	}
}

// peerConns holds the connections to one address. It is an immutable value.
type peerConns struct {
	open int               // number of connections, including those in use or being opened
	idle []*persistentConn // least recently used first; never modified
}

// connPool pools connections to replicas and limits their number for each address.
type connPool struct {
	clock  ramp.Clock
	dial   dialFunc
	memory *ramp.Memory // for the bodies of replies
	mutex  *ramp.Mutex
	peers  map[string]peerConns // by address; no empty values
}

func newConnPool(clock ramp.Clock, dial dialFunc, memory *ramp.Memory) *connPool {
	return &connPool{
		clock: clock, dial: dial, memory: memory,
		mutex: ramp.NewMutex(ramp.RankReplicas), peers: make(map[string]peerConns),
	}
}

// get returns a connection to the replica and whether it is new. It returns an idle one
// only if reuse is set. It returns a [*LimitError] if the limit of open connections is
// reached.
func (p *connPool) get(ctx context.Context, i ramp.Instance, limit int, reuse bool) (*persistentConn, bool, error) {
	for reuse {
		c := p.takeIdle(i.Address)
		if c == nil {
			break
		}
		if !c.isClosed() && p.clock.Now().Before(c.idleUntil) {
			return c, false, nil
		}
		p.discard(c)
	}
	if err := p.reserve(i.Address, limit); err != nil {
		return nil, false, err
	}
	connection, err := p.dial(ctx, "tcp", i.Address)
	if err != nil {
		p.release(i.Address)
		return nil, true, err
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // without it the kernel buffers more
	}
	c := &persistentConn{netConn: connection, reader: newReplyReader(connection, p.memory), address: i.Address}
	go c.readReplies(p.removeEnded)
	return c, true, nil
}

// takeIdle removes and returns the most recently used idle connection to the address, or
// nil if there is none.
func (p *connPool) takeIdle(address string) *persistentConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.peers[address]
	if len(peer.idle) == 0 {
		return nil
	}
	last := len(peer.idle) - 1
	c := peer.idle[last]
	peer.idle = peer.idle[:last:last]
	p.peers[address] = peer
	return c
}

// reserve counts a connection that is about to be opened. At the limit it evicts the
// least recently used idle connection, or returns a [*LimitError] if there is none.
func (p *connPool) reserve(address string, limit int) error {
	p.mutex.Lock()
	peer := p.peers[address]
	var evicted *persistentConn
	if peer.open >= limit && len(peer.idle) > 0 {
		evicted, peer.idle = peer.idle[0], slices.Clone(peer.idle[1:])
		peer.open--
	}
	if peer.open >= limit {
		p.mutex.Unlock()
		return &LimitError{Address: address, Limit: limit}
	}
	peer.open++
	p.peers[address] = peer
	p.mutex.Unlock()
	if evicted != nil {
		evicted.close()
	}
	return nil
}

// release undoes reserve after the connection was closed or could not be opened.
func (p *connPool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.peers[address]
	peer.open--
	p.setPeer(address, peer)
}

// put returns a connection to the pool for reuse. The argument advertised is the
// replica's keep-alive time, 0 if unknown.
func (p *connPool) put(c *persistentConn, advertised time.Duration) {
	timeout := defaultIdleTimeout
	if advertised > 0 {
		timeout = time.Duration(idleTimeoutFactor * float64(advertised))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.idleUntil = p.clock.Now().Add(timeout)
	peer := p.peers[c.address]
	peer.idle = append(slices.Clip(peer.idle), c)
	p.peers[c.address] = peer
}

// discard closes a connection that get or takeIdle returned.
func (p *connPool) discard(c *persistentConn) {
	c.close()
	p.release(c.address)
}

// removeEnded closes a connection whose reader has ended, and removes it if it is idle.
// A connection in use is discarded by its user.
func (p *connPool) removeEnded(c *persistentConn) {
	c.close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.peers[c.address]
	if at := slices.Index(peer.idle, c); at >= 0 {
		peer.idle = slices.Delete(slices.Clone(peer.idle), at, at+1)
		peer.open--
		p.setPeer(c.address, peer)
	}
}

// setPeer stores the connections to an address, or removes the entry if there are none.
// The caller holds the mutex.
func (p *connPool) setPeer(address string, peer peerConns) {
	if peer.open <= 0 && len(peer.idle) == 0 {
		delete(p.peers, address)
		return
	}
	p.peers[address] = peer
}
