package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

// Config configures a Group.
type Config struct {
	// Limits returns the limits in force. It is called for each connection and head.
	Limits func() Limits
	// Memory holds the heads of requests that are not small; nil has no limit.
	Memory *limit.Memory
	// Report counts connections that the group closed and requests that it refused.
	Report *Report
	// Listener names the listener in metrics and log lines.
	Listener string
}

// Group is the connections of one listener. It is safe for concurrent use.
type Group struct {
	config Config

	mu        sync.Mutex
	open      int
	byAddress map[netip.Addr]int
	// queues are the connections by phase, those that have been in it the longest first.
	queues [numPhases]queue
}

// New returns a Group without connections.
func New(c Config) *Group {
	g := &Group{config: c, byAddress: make(map[netip.Addr]int)}
	c.Report.add(g)
	return g
}

// Open returns the number of open connections.
func (g *Group) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Listen returns a listener that bounds the connections of l without looking at what they
// send. It is meant for servers that are not net/http's.
func (g *Group) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, group: g, phase: opaque}
}

// Serve serves HTTP on l. It sets s.ConnState, s.ConnContext and the limits that s has for
// heads and idle connections, and wraps s.Handler.
func (g *Group) Serve(s *http.Server, l net.Listener) error {
	s.ConnState, s.ConnContext, s.Handler = connState, connContext, handler(s.Handler)
	s.ReadHeaderTimeout, s.IdleTimeout, s.ReadTimeout, s.MaxHeaderBytes = 0, 0, 0, maxServerHeadBytes
	return s.Serve(&listener{Listener: l, group: g, phase: reading})
}

// maxServerHeadBytes is the limit of net/http, in bytes. It is out of the way of
// Limits.HeadBytes, which may change while the server runs.
const maxServerHeadBytes = 1 << 30

// listener accepts the connections of a group.
type listener struct {
	net.Listener
	group *Group
	phase phase
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.group.makeRoom()
		}
		if err != nil {
			return nil, err
		}
		if c := l.group.admit(inner, l.phase); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit adds a connection to the group, in place of another one if the group is full. It
// returns nil if there is no room.
func (g *Group) admit(inner net.Conn, p phase) *conn {
	now := time.Now()
	c := &conn{Conn: inner, group: g, address: remoteAddress(inner), limits: g.config.Limits()}
	c.heardAt.Store(now.UnixNano())
	c.phase.Store(int32(p))
	if p == reading {
		c.setOwnDeadline(after(now, c.limits.HeadTimeout))
	}
	victim, reason := g.add(c, p, now)
	if reason != "" {
		g.closed(reason)
	}
	if victim != nil {
		victim.closeNow()
	}
	if reason == TooManyConnections || reason == TooManyFromAddress {
		return nil
	}
	return c
}

// add counts a connection. It returns the connection that must be closed for it, if any,
// and the reason why that one or c itself is closed.
func (g *Group) add(c *conn, p phase, now time.Time) (victim *conn, reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most := c.limits.ConnectionsPerAddress; most > 0 && g.byAddress[c.address] >= most {
		return nil, TooManyFromAddress
	}
	if most := c.limits.Connections; most > 0 && g.open >= most {
		if victim, reason = g.victim(now); victim == nil {
			return nil, TooManyConnections
		}
		g.discount(victim)
	}
	g.open++
	g.byAddress[c.address]++
	c.since = now
	g.queues[p].add(c)
	return victim, reason
}

// makeRoom closes a connection because the process has no descriptor left.
func (g *Group) makeRoom() {
	g.mu.Lock()
	victim, reason := g.victim(time.Now())
	if victim != nil {
		g.discount(victim)
	}
	g.mu.Unlock()
	if victim != nil {
		g.closed(reason)
		victim.closeNow()
	}
}

// remove ends the count of a connection.
func (g *Group) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discount(c)
}

// discount ends the count of a connection. g.mu must be held.
func (g *Group) discount(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	g.open--
	if g.byAddress[c.address]--; g.byAddress[c.address] == 0 {
		delete(g.byAddress, c.address)
	}
	remove(c)
}

// move puts a connection into the queue of a phase.
func (g *Group) move(c *conn, p phase, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase.Store(int32(p))
	if c.removed {
		return
	}
	c.since = now
	c.served = c.served || p == receiving || p == working
	remove(c)
	g.queues[p].add(c)
}

// closed counts a connection that the group closes, or a request that it refuses.
func (g *Group) closed(reason Reason) { g.config.Report.count(g.config.Listener, reason) }

// remoteAddress returns the IP address of the peer of a connection, or the zero Addr if it
// has none.
func remoteAddress(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState follows the phases of a connection of net/http.
func connState(c net.Conn, state http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		x.enter(receiving)
	case http.StateIdle:
		x.enter(idle)
	case http.StateHijacked, http.StateClosed:
		x.release()
		x.group.remove(x)
	}
}

// handler follows the body of each request, so that a request that was read is not taken
// for one that is still on its way.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case r.Body != nil && r.Body != http.NoBody:
			r.Body = &body{ReadCloser: r.Body, conn: c}
		case !c.keep():
			MemoryFull.writeTo(w)
			return
		}
		next.ServeHTTP(w, r)
		if ok && c.held != nil {
			// net/http may keep the request for another half second, for a client that
			// has not read the response, but does not look at its header again.
			r.Header = nil
		}
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	done bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil || b.done:
	case errors.Is(err, io.EOF):
		if b.done = b.conn.keep(); !b.done {
			return n, ErrMemoryFull
		}
	case b.conn.stalled.Load():
		err = ErrStalled
	case b.conn.evicted.Load():
		err = ErrMemoryFull
	}
	return n, err
}
