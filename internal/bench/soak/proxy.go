package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the bytes of its connections.
type mode int

const (
	modePass   mode = iota // forwards all bytes
	modeSilent             // keeps connections open and drops their bytes
	modeSlow               // delays all bytes by slowDelay
	modeRefuse             // closes new connections and drops the bytes of open ones
)

// slowDelay is the delay of each read in modeSlow.
const slowDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// resetConnections closes all connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConnections()
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeRefuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyBytes(t, c) })
	wg.Go(func() { p.copyBytes(c, t) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// copyBytes forwards bytes in one direction until either connection is closed.
func (p *proxy) copyBytes(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch p.currentMode() {
		case modeSilent, modeRefuse:
			// Forward nothing more in this direction, even after the mode
			// changes: bytes have been lost, so the connection cannot continue.
			_, _ = io.Copy(io.Discard, from)
			return
		case modeSlow:
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
