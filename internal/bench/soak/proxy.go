package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with bytes.
type mode int

const (
	pass mode = iota
	silent
	slow
	refuse
)

// slowBy delays each piece of a slow connection.
const slowBy = 150 * time.Millisecond

// proxy passes connections on to a target.
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

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset closes all connections.
func (p *proxy) reset() {
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
	p.reset()
}

func (p *proxy) current() mode {
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
		if p.current() == refuse {
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
	wg.Go(func() { p.copy(t, c) })
	wg.Go(func() { p.copy(c, t) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// copy passes bytes on in one direction until either end closes.
func (p *proxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch p.current() {
		case silent, refuse:
			// What is held up by a cut is lost with its connection.
			_, _ = io.Copy(io.Discard, from)
			return
		case slow:
			time.Sleep(slowBy)
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
