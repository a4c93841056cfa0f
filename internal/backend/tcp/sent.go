package tcp

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// SendTrace observes the connections that a transport uses for a request, to tell
// whether any byte of it was sent. The zero value is ready to use. A
// SendTrace is for a single request.
type SendTrace struct {
	mu        sync.Mutex
	uses      []connUse
	untracked bool       // a connection is not from NewTransport
	inline    [1]connUse // avoids an allocation for the first use
}

// connUse is a connection that a transport chose for a request, and the number of
// writes that were started on it before.
type connUse struct {
	conn         *conn
	writesBefore uint64
}

// Context returns a context for the request that s observes. The request must be
// made through a transport of NewTransport.
func (s *SendTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *SendTrace) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		s.untracked = true
		return
	}
	if s.uses == nil {
		s.uses = s.inline[:0]
	}
	s.uses = append(s.uses, connUse{c, c.writeCount()})
}

// Connecting reports whether no connection was chosen for the request so far.
func (s *SendTrace) Connecting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.untracked && len(s.uses) == 0
}

// NewConn reports whether the request was sent on a new connection, on which
// nothing was written before.
func (s *SendTrace) NewConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.untracked && len(s.uses) == 1 && s.uses[0].writesBefore == 0
}

// DropIdle closes the idle connections of a client or transport after the request got no
// response in time: connections may fall silent without a reset, and each idle one would cost a
// request. A request on a new connection says nothing about them, so they stay.
func (s *SendTrace) DropIdle(c interface{ CloseIdleConnections() }) {
	if !s.NewConn() {
		c.CloseIdleConnections()
	}
}

// NothingSent reports whether provably no byte of the request was sent. It must not
// be called before the transport has returned an error, because the call makes
// connections on which nothing was written for the request reject further writes.
func (s *SendTrace) NothingSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return false
	}
	for _, u := range s.uses {
		if !u.conn.seal(u.writesBefore) {
			return false
		}
	}
	return true
}

// AttemptHeader identifies an attempt in its request, and in each refusal of it.
const AttemptHeader = "Attempt"

// RefusesAttempt reports whether a refusal answers the attempt that s observed and
// not an earlier one: it echoes the attempt's ID, or it has no ID but came on a new
// connection, on which no response to an earlier request can be left.
func (s *SendTrace) RefusesAttempt(h http.Header, id string) bool {
	echo := h.Get(AttemptHeader)
	return echo == id && id != "" || echo == "" && s.NewConn()
}
