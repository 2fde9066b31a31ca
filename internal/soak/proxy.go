// Package soak runs the real daemons as separate processes against stand-ins,
// injects faults from outside the processes, and checks invariants on what callers
// and replicas observe.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode says how a proxy disturbs its connections. The zero value forwards unchanged.
type mode struct {
	delay       time.Duration // added to every chunk, in both directions
	refuse      bool          // existing and new connections are reset
	dropAll     bool          // no bytes are forwarded in either direction; connections stay open
	dropReplies bool          // no bytes are forwarded back to the client
}

// proxy is a loopback TCP proxy in front of one target address.
type proxy struct {
	listener net.Listener

	mutex  sync.Mutex // guards the fields below
	target string
	mode   mode
	cut    int // faults that drop all bytes, whatever the mode
	conns  map[net.Conn]bool
}

func newProxy(host, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address returns the address that the proxy listens on.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode for new and existing connections.
func (p *proxy) set(m mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	if !m.refuse {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// redirect resets all connections and forwards new ones to another target.
func (p *proxy) redirect(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) currentMode() mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.mode
	m.dropAll = m.dropAll || p.cut > 0
	return m
}

// cutOff drops all bytes until the returned function is called, whatever the mode.
func (p *proxy) cutOff() (end func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut++
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.cut--
	}
}

func (p *proxy) currentTarget() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.target
}

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode().refuse {
			reset(near)
			continue
		}
		far, err := net.DialTimeout("tcp", p.currentTarget(), time.Second)
		if err != nil {
			reset(near)
			continue
		}
		p.mutex.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mutex.Unlock()
		go p.pump(near, far, false)
		go p.pump(far, near, true)
	}
}

// pump copies bytes until one side closes. Once the mode has dropped bytes, the
// connection stays silent even if the mode changes back.
func (p *proxy) pump(from, to net.Conn, back bool) {
	defer func() {
		p.mutex.Lock()
		delete(p.conns, from)
		p.mutex.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		m := p.currentMode()
		if m.dropAll || m.dropReplies && back {
			_, _ = io.Copy(io.Discard, from) // silent until one side closes
			return
		}
		time.Sleep(m.delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
