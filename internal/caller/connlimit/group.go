package connlimit

import (
	"errors"
	"net"
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
	if victim != nil {
		victim.closeNow()
	}
	if reason != "" {
		g.record(reason)
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
		g.uncount(victim)
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
		g.uncount(victim)
	}
	g.mu.Unlock()
	if victim != nil {
		g.record(reason)
		victim.closeNow()
	}
}

// remove removes a connection that is closed.
func (g *Group) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uncount(c)
}

// uncount removes a connection from the counts and its queue, if it is still counted. g.mu
// must be held.
func (g *Group) uncount(c *conn) {
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

// record counts a connection that the group closes, or a request that it refuses.
func (g *Group) record(reason Reason) { g.config.Report.count(g.config.Listener, reason) }

// remoteAddress returns the IP address of the peer of a connection, or the zero Addr if it
// has none.
func remoteAddress(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
