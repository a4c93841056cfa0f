package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var errSealed = errors.New("connection rejects writes: its request was reported as not sent")

// conn counts the writes that were started. Once sealed it rejects writes, so
// that no write can start after SendTrace.NothingSent has returned true.
//
// Its end is io.EOF only if the peer has ended it. The kernel tells a reset to one call
// only: if that is a write, a read then finds what looks like a regular end.
type conn struct {
	net.Conn
	mu      sync.Mutex
	ended   sync.Cond // broadcast when writing falls to 0; uses mu
	writes  uint64
	writing int // writes in progress
	sealed  bool
	lost    error // what a write was told of the connection, such as a reset
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c}
	wrapped.ended.L = &wrapped.mu
	return wrapped
}

// Write counts the write before any byte can be sent.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	c.writing++
	return true
}

func (c *conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	if c.writing--; c.writing == 0 {
		c.ended.Broadcast()
	}
}

// isLoss reports whether the error of a write means that the connection was lost. It is not
// if the peer had ended its side before (EPIPE) or if this side ended the write.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read returns the error of a write in place of io.EOF if the connection was lost.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if lost := c.loss(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// loss returns what a write was told of the loss of the connection, if it was. It ends the
// writes in progress: one of them may be about to return with the error, and after the end
// of the response the rest of the request is of no use.
func (c *conn) loss() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return err // the connection is closed
		}
	}
	for c.writing > 0 {
		c.ended.Wait()
	}
	return c.lost
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal reports whether the number of started writes is still count, and if so
// rejects further writes.
func (c *conn) seal(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealed = true
	return true
}
