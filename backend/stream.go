package backend

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times for which idle streams are kept.
const (
	idleKeep  = 14 * time.Second // for replicas that do not say how long they keep them
	idleShare = 0.8              // of the time that a replica states
)

// stream is a connection to a replica. One goroutine reads it, so that bytes
// which belong to no request, and its end, are seen at once.
type stream struct {
	connection net.Conn
	reader     *bufio.Reader
	address    string
	until      time.Time // kept idle until then; guarded by the streams' mutex

	mutex   sync.Mutex // guards the fields below; held for moments, and no other lock with it
	method  string     // of the request whose response is expected
	replies chan reply // of that request; nil for none
	closed  bool
}

// expect announces a request and returns where its reply will come, or nil when
// the stream is closed.
func (s *stream) expect(method string) <-chan reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil
	}
	s.method, s.replies = method, make(chan reply, 1)
	return s.replies
}

// expected returns the request whose response comes next, and forgets it.
func (s *stream) expected() (method string, replies chan reply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	method, replies = s.method, s.replies
	s.replies = nil
	return method, replies
}

func (s *stream) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// close ends the stream. It may be called more than once.
func (s *stream) close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	_ = s.connection.Close() // nothing is written any more
}

// read delivers replies until the stream ends or sends something that was not
// asked for.
func (s *stream) read(ended func(*stream)) {
	defer ended(s)
	for {
		_, err := s.reader.Peek(1)
		method, replies := s.expected()
		if replies == nil {
			return
		}
		if err != nil {
			replies <- reply{err: err}
			return
		}
		r := readReply(s.reader, method)
		replies <- r
		if r.err != nil || !r.keep {
			return
		}
	}
}

// peerStreams are the streams to one address. They are an immutable value.
type peerStreams struct {
	open int       // also those that are being opened
	idle []*stream // the one used last stands last; never modified
}

// streams keeps the connections to replicas, and bounds their number.
type streams struct {
	clock ramp.Clock
	dial  dialFunc
	mutex *ramp.Mutex
	peers map[string]peerStreams // by address; only those that are not empty
}

func newStreams(clock ramp.Clock, dial dialFunc) *streams {
	return &streams{
		clock: clock, dial: dial, mutex: ramp.NewMutex(ramp.RankReplicas), peers: make(map[string]peerStreams),
	}
}

// take returns a stream to the replica and whether it is new. With kept set an
// idle one will do. It returns a [*LimitError] when too many are open.
func (t *streams) take(ctx context.Context, i ramp.Instance, limit int, kept bool) (*stream, bool, error) {
	for kept {
		s := t.idle(i.Address)
		if s == nil {
			break
		}
		if !s.isClosed() && t.clock.Now().Before(s.until) {
			return s, false, nil
		}
		t.drop(s)
	}
	if err := t.reserve(i.Address, limit); err != nil {
		return nil, false, err
	}
	connection, err := t.dial(ctx, "tcp", i.Address)
	if err != nil {
		t.release(i.Address)
		return nil, true, err
	}
	s := &stream{connection: connection, reader: bufio.NewReaderSize(connection, readBuffer), address: i.Address}
	go s.read(t.ended)
	return s, true, nil
}

// idle removes and returns the idle stream to the address that was used last, or
// nil.
func (t *streams) idle(address string) *stream {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.peers[address]
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	s := p.idle[last]
	p.idle = p.idle[:last:last]
	t.peers[address] = p
	return s
}

// reserve counts a stream that is about to be opened. An idle one makes room.
func (t *streams) reserve(address string, limit int) error {
	t.mutex.Lock()
	p := t.peers[address]
	var spare *stream
	if p.open >= limit && len(p.idle) > 0 {
		spare, p.idle = p.idle[0], slices.Clone(p.idle[1:])
		p.open--
	}
	if p.open >= limit {
		t.mutex.Unlock()
		return &LimitError{Address: address, Granted: limit}
	}
	p.open++
	t.peers[address] = p
	t.mutex.Unlock()
	if spare != nil {
		spare.close()
	}
	return nil
}

// release counts a stream as closed.
func (t *streams) release(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.peers[address]
	p.open--
	t.store(address, p)
}

// put keeps a stream for another call.
func (t *streams) put(s *stream, stated time.Duration) {
	keep := idleKeep
	if stated > 0 {
		keep = time.Duration(idleShare * float64(stated))
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s.until = t.clock.Now().Add(keep)
	p := t.peers[s.address]
	p.idle = append(slices.Clip(p.idle), s)
	t.peers[s.address] = p
}

// drop closes a stream that the caller took.
func (t *streams) drop(s *stream) {
	s.close()
	t.release(s.address)
}

// ended takes an idle stream out whose reading has ended. One that is in use is
// dropped by its user.
func (t *streams) ended(s *stream) {
	s.close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.peers[s.address]
	if at := slices.Index(p.idle, s); at >= 0 {
		p.idle = slices.Delete(slices.Clone(p.idle), at, at+1)
		p.open--
		t.store(s.address, p)
	}
}

// store keeps what is not empty. The caller holds the mutex.
func (t *streams) store(address string, p peerStreams) {
	if p.open <= 0 && len(p.idle) == 0 {
		delete(t.peers, address)
		return
	}
	t.peers[address] = p
}
