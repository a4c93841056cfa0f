package connlimit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
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

const (
	// maxWrite bounds one write, in bytes. A write over TLS cannot be continued after its
	// deadline, so that this is what a client must take within Limits.WriteStall.
	maxWrite = 64 << 10
	// minWriteProgress is what a client must take of a larger write within
	// Limits.WriteStall, in bytes, if the connection is not over TLS. Whoever takes less
	// keeps the memory of a response at no cost.
	minWriteProgress = 4 << 10
	// deadlineSteps is the part of a time limit by which its deadline is too early at
	// most: it is moved only when it gains that much, so that a body or stream in many
	// small pieces costs little.
	deadlineSteps = 8
)

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

// deadlines are the read deadlines of a connection: the server's and the package's own.
// The earlier one applies.
type deadlines struct {
	mu          sync.Mutex
	server, own time.Time
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	d := &c.deadlines
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server = t
	return c.Conn.SetReadDeadline(d.earlier())
}

// setOwnDeadline sets the package's own read deadline; the zero time sets none.
func (c *conn) setOwnDeadline(t time.Time) {
	d := &c.deadlines
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own.Equal(t) {
		return
	}
	d.own = t
	_ = c.Conn.SetReadDeadline(d.earlier()) // fails only if the connection is closed
}

// ownDeadline returns the package's own read deadline.
func (c *conn) ownDeadline() time.Time {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	return c.deadlines.own
}

// earlier returns the earlier deadline, or the zero time if there is none.
func (d *deadlines) earlier() time.Time {
	if d.own.IsZero() || !d.server.IsZero() && d.server.Before(d.own) {
		return d.server
	}
	return d.own
}

// after returns the time after a duration, or the zero time if the duration is 0.
func after(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
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
		c.group.closed(HeadTimeout)
	case p == receiving && !c.evicted.Load() && c.ownPassed():
		c.stalled.Store(true)
		c.group.closed(BodyStalled)
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

// refuseTimeout bounds the write of the instance's own response.
const refuseTimeout = 100 * time.Millisecond

// refuse answers a request whose head is not complete, and lets nothing else be written.
func (c *conn) refuse(reason Reason) {
	if c.refused.Swap(true) {
		return
	}
	c.group.closed(reason)
	status, retryAfter := reason.response()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	// An error means that the client is gone, or reads nothing.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retryAfter)
}

// SetWriteDeadline implements net.Conn. The deadline and Limits.WriteStall both apply.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.serverWriteBy, c.writeBy = t, t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	for {
		if c.refused.Load() {
			return written, net.ErrClosed
		}
		c.extendWrite()
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		written += n
		if c.writeStalled(err) {
			if n >= minWriteProgress {
				continue
			}
			c.group.closed(WriteStalled)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writeStalled reports whether a write failed because of Limits.WriteStall.
func (c *conn) writeStalled(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.limits.WriteStall > 0 &&
		(c.serverWriteBy.IsZero() || time.Now().Before(c.serverWriteBy))
}

// extendWrite extends the write deadline up to the server's own.
func (c *conn) extendWrite() {
	if c.limits.WriteStall == 0 {
		return
	}
	now := time.Now()
	by := now.Add(c.limits.WriteStall)
	if !c.serverWriteBy.IsZero() && c.serverWriteBy.Before(by) {
		by = c.serverWriteBy
	}
	if c.writeBy.IsZero() || c.writeBy.After(by) || by.Sub(c.writeBy) > c.limits.WriteStall/deadlineSteps {
		c.writeBy = by
		_ = c.Conn.SetWriteDeadline(by) // fails only if the connection is closed
	}
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
}
