package connlimit

import (
	"errors"
	"sync"
	"time"
)

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
