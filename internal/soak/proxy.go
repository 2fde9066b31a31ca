// Package soak runs the real daemons as processes of their own against
// stand-ins, injects faults from outside them, and checks what callers and
// replicas see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes of its connections.
type mode struct {
	delay  time.Duration // of every chunk, both ways
	refuse bool          // connections are reset, old and new ones
	mute   bool          // nothing passes, either way; connections stay
	deaf   bool          // nothing passes back
}

// proxy is a loopback proxy in front of one address.
type proxy struct {
	listener net.Listener

	mutex  sync.Mutex // guards the fields below
	target string
	mode   mode
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

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what happens to connections from now on.
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

// turn resets the connections and lets the address lead to another target.
func (p *proxy) turn(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) now() mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

func (p *proxy) leadsTo() string {
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
		if p.now().refuse {
			reset(near)
			continue
		}
		far, err := net.DialTimeout("tcp", p.leadsTo(), time.Second)
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

// pump passes bytes on until a side ends. Bytes that are held back stay held back:
// their connection has gone silent.
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
		m := p.now()
		if m.mute || m.deaf && back {
			_, _ = io.Copy(io.Discard, from) // silent until a side gives up
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
