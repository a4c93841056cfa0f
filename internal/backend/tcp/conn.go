package tcp

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection rejects writes: its request was reported as not sent")

// conn counts the writes that were started. Once sealed it rejects writes, so
// that no write can start after SendTrace.NothingSent has returned true.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before any byte can be sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
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
