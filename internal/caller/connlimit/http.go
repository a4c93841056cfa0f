package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// Serve serves HTTP on l. It sets s.ConnState, s.ConnContext and the limits that s has for
// heads and idle connections, and wraps s.Handler.
func (g *Group) Serve(s *http.Server, l net.Listener) error {
	s.ConnState, s.ConnContext, s.Handler = connState, connContext, handler(s.Handler)
	s.ReadHeaderTimeout, s.IdleTimeout, s.ReadTimeout, s.MaxHeaderBytes = 0, 0, 0, maxServerHeadBytes
	return s.Serve(&listener{Listener: l, group: g, phase: reading})
}

// maxServerHeadBytes is the limit of net/http, in bytes. It is out of the way of
// Limits.HeadBytes, which may change while the server runs.
const maxServerHeadBytes = 1 << 30

// connKey is the key of a request's connection in its context.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState follows the phases of a connection of net/http.
func connState(c net.Conn, state http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		x.enter(receiving)
	case http.StateIdle:
		x.enter(idle)
	case http.StateHijacked, http.StateClosed:
		x.release()
		x.group.remove(x)
	}
}

// handler follows the body of each request, so that a request that was read is not taken
// for one that is still on its way.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, own *http.Request) {
		r := own
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case r.Body != nil && r.Body != http.NoBody:
			// net/http looks at the body of its own request to tell whether the client
			// still has to be read from, or waits for 100 Continue, before a response.
			r = own.WithContext(own.Context())
			r.Body = &body{ReadCloser: own.Body, conn: c}
		case !c.keep():
			MemoryFull.writeTo(w)
			return
		}
		next.ServeHTTP(w, r)
		if ok && c.held != nil {
			// net/http may keep the request for another half second, for a client that
			// has not read the response, but does not look at its header again.
			own.Header = nil
		}
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	done bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil || b.done:
	case errors.Is(err, io.EOF):
		if b.done = b.conn.keep(); !b.done {
			return n, ErrMemoryFull
		}
	case b.conn.stalled.Load():
		err = ErrStalled
	case b.conn.evicted.Load():
		err = ErrMemoryFull
	}
	return n, err
}
