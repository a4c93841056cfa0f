package tcp

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Sent observes the connections that one request was given. Its zero value is
// ready; it serves a single request.
type Sent struct {
	mu      sync.Mutex
	uses    []use
	unknown bool
	first   [1]use
}

type use struct {
	conn *conn
	mark uint64
}

// Context returns a context under which a request made through a transport of
// NewTransport is observed.
func (s *Sent) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.got})
}

func (s *Sent) got(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		s.unknown = true
		return
	}
	if s.uses == nil {
		s.uses = s.first[:0]
	}
	s.uses = append(s.uses, use{c, c.started()})
}

// Nothing reports whether provably no byte of the request was sent. It may be
// called once the transport has returned an error; a connection on which
// nothing was written yet is then closed to writes.
func (s *Sent) Nothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknown {
		return false
	}
	for _, u := range s.uses {
		if !u.conn.seal(u.mark) {
			return false
		}
	}
	return true
}
