package tcp

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("request was reported as not sent")

// conn counts the writes that were started. Once sealed it refuses to write,
// so "nothing was sent" stays true for a write that races with the check.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before the bytes can leave.
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

func (c *conn) started() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses further writes and reports true if none was started after
// mark.
func (c *conn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return false
	}
	c.sealed = true
	return true
}
