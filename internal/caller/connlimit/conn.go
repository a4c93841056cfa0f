package connlimit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

// phase is what a connection is doing.
type phase int32

const (
	// opaque is a connection whose protocol the package does not know.
	opaque phase = iota
	// reading is a connection on which a head is expected or not complete.
	reading
	// idle is a connection between two requests.
	idle
	// receiving is a connection whose request has a body that is not complete.
	receiving
	// working is a connection whose request was read and may have been passed on.
	working
	// numPhases is the number of phases.
	numPhases
)

// ErrStalled is the error of reading a body of which the client sent nothing for too long.
var ErrStalled = errors.New("client sent nothing of the request body for too long")

// ErrMemoryFull is the error of reading a body of a request whose head made room for
// others in the memory of the instance.
var ErrMemoryFull = errors.New("request head does not fit into the memory of the instance")

// conn is a connection of a Group.
type conn struct {
	net.Conn
	group   *Group
	address netip.Addr

	// queue, previous and next are the place of the connection among those in the same
	// phase. They, since, served and removed are guarded by group.mu.
	queue          *queue
	previous, next *conn
	since          time.Time // when the phase began
	served         bool      // a request was read
	removed        bool      // not counted any more

	phase    atomic.Int32
	received atomic.Int64 // bytes of the body, or of an opaque connection
	heardAt  atomic.Int64 // when an opaque connection last sent something, Unix time in ns
	evicted  atomic.Bool  // the holding was evicted
	stalled  atomic.Bool  // of the body nothing came in time
	refused  atomic.Bool  // the instance has given its own response; nothing else is sent

	// The fields below belong to the goroutine that serves the connection.
	limits Limits
	head   head
	held   *limit.Holding
	// serverWriteBy is the server's write deadline, and writeBy the one that is set.
	serverWriteBy, writeBy time.Time

	deadlines deadlines
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, c.readError(err)
	}
	switch phase(c.phase.Load()) {
	case opaque:
		c.received.Add(int64(n))
		c.heardAt.Store(time.Now().UnixNano())
	case idle:
		c.enter(reading)
		fallthrough
	case reading:
		if reason := c.countHead(p[:n]); reason != "" {
			c.refuse(reason)
			return 0, io.EOF
		}
	case receiving:
		c.received.Add(int64(n))
		c.extendBody()
	}
	return n, err
}

// readError records why a read failed, and answers a request whose head was evicted.
func (c *conn) readError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	switch p := phase(c.phase.Load()); {
	case c.evicted.Load() && p == reading:
		c.refuse(MemoryFull)
	case p == reading && c.ownPassed() && c.head.bytes > 0:
		c.refuse(HeadTimeout)
	case p == reading && c.ownPassed():
		c.group.record(HeadTimeout)
	case p == receiving && !c.evicted.Load() && c.ownPassed():
		c.stalled.Store(true)
		c.group.record(BodyStalled)
	}
	return err
}

// ownPassed reports whether the package's own read deadline has passed.
func (c *conn) ownPassed() bool {
	own := c.ownDeadline()
	return !own.IsZero() && !time.Now().Before(own)
}

// countHead counts bytes of a head, and returns why the request is refused, or an empty
// Reason.
func (c *conn) countHead(p []byte) Reason {
	c.head.add(p)
	if reason := c.head.exceeds(&c.limits); reason != "" {
		return reason
	}
	if c.held == nil && c.head.cost() > limit.FreeBytes {
		c.held = c.group.config.Memory.Hold(c.evict)
	}
	if !c.held.Resize(c.head.cost()) {
		return MemoryFull
	}
	return ""
}

// evict ends the read of a head or body, which then gives the memory back.
func (c *conn) evict() {
	c.evicted.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// extendBody extends the deadline of a body of which something has come.
func (c *conn) extendBody() {
	now := time.Now()
	if stall := c.limits.BodyStall; stall > 0 && c.ownDeadline().Sub(now) < stall-stall/deadlineSteps {
		c.setOwnDeadline(after(now, c.limits.BodyStall))
	}
}

// refuseTimeout bounds the write of the instance's own response. At 100 ms, an instance with
// little processor time sometimes closed the connection without the response.
const refuseTimeout = time.Second

// refuse answers a request whose head is not complete, and lets nothing else be written.
func (c *conn) refuse(reason Reason) {
	if c.refused.Swap(true) {
		return
	}
	c.group.record(reason)
	status, retryAfter := reason.response()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	// An error means that the client is gone, or reads nothing.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retryAfter)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.group.remove(c)
	return c.Conn.Close()
}

// closeNow closes the connection without the alert that TLS would send, which could wait
// for the client.
func (c *conn) closeNow() {
	if inner, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		_ = inner.NetConn().Close()
		return
	}
	_ = c.Conn.Close()
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	now := time.Now()
	c.group.move(c, p, now)
	switch p {
	case reading:
		c.limits = c.group.config.Limits()
		c.setOwnDeadline(after(now, c.limits.HeadTimeout))
	case idle:
		c.release()
		c.setOwnDeadline(after(now, c.limits.IdleTimeout))
	case receiving:
		c.received.Store(0)
		c.setOwnDeadline(after(now, c.limits.BodyStall))
	case working:
		c.setOwnDeadline(time.Time{})
	}
}

// keep protects the request from eviction, because it is complete. It returns false if its
// head was evicted before; the request must then be refused.
func (c *conn) keep() bool {
	if !c.held.Keep() {
		return false
	}
	c.enter(working)
	return true
}

// release forgets the head of the last request.
func (c *conn) release() {
	c.held.Release()
	c.head, c.held = head{}, nil
	c.evicted.Store(false)
}
