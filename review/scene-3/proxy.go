package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections of one instance on to a worker. When it is cut, new connections
// are refused and the open ones are reset.
type proxy struct {
	target, address string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{target: target, conns: make(map[net.Conn]bool)}
	p.listen(freeAddress())
	p.address = p.listener.Addr().String()
	return p
}

func (p *proxy) listen(address string) {
	l, err := net.Listen("tcp", address)
	check(err)
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
}

func (p *proxy) serve(c net.Conn) {
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	pass := func(to, from net.Conn) {
		if _, err := io.Copy(to, from); err != nil {
			reset(to)
			return
		}
		to.(*net.TCPConn).CloseWrite()
	}
	wg.Go(func() { pass(d, c) })
	wg.Go(func() { pass(c, d) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
	c.Close()
	d.Close()
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// cut cuts the path, and heal ends that.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) heal() { p.listen(p.address) }
