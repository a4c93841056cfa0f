package connlimit

import (
	"errors"
	"net"
	"os"
	"time"
)

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
			c.group.record(WriteStalled)
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
