package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// collected is a server's whole answer.
type collected struct {
	status int
	header http.Header
	body   []byte
}

// answer decides the fate of a send whose answer has begun.
func (e *exchange) answer(s *send, r *http.Response, unread int64) fate {
	names := &e.config.Headers
	now := e.config.Now()
	if r.Header.Get(names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest {
		if r.StatusCode == http.StatusMisdirectedRequest {
			s.worker.Failed(now)
		} else {
			s.worker.Rejected(now, fullPause)
		}
		return notRun
	}
	if r.Header.Get(names.Request) != e.id {
		// An extra answer to an earlier request lay in the connection, and
		// more may lie in others.
		s.err = errNoEcho
		s.cancel()
		return e.improper(s)
	}
	if r.StatusCode == http.StatusOK && e.route.Kind == routes.Streaming && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		if r.Header.Get(names.Proof) == "" {
			s.err = errNoProof
			return e.improper(s)
		}
		return e.relay(s, r, unread)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		s.err = err
		return e.unanswered(s, false)
	}
	s.worker.Heard(e.config.Now())
	e.count()
	if r.StatusCode < 300 && r.Header.Get(names.Proof) == "" {
		s.err = errNoProof
		return e.improper(s)
	}
	c := &collected{status: r.StatusCode, header: r.Header, body: body}
	if e.streaming {
		// The client has the head of a stream, which this does not go on with.
		s.worker.Failed(now)
		return lost
	}
	if r.StatusCode >= 500 && e.route.Repeatable() {
		e.held = c
		return failing
	}
	s.worker.Succeeded(e.config.Now())
	e.deliver(c)
	return answered
}

// improper decides the fate of a send whose answer is not a proper one.
func (e *exchange) improper(s *send) fate {
	s.worker.Failed(e.config.Now())
	e.count()
	return invalid
}

// deliver passes a server's whole answer on.
func (e *exchange) deliver(c *collected) {
	e.reason, e.status = Served, c.status
	header := e.w.Header()
	copyEndToEnd(header, c.header)
	setPlain(header, c.header)
	header.Set("Content-Length", strconv.Itoa(len(c.body)))
	e.first = e.config.Now()
	e.w.WriteHeader(c.status)
	if _, err := e.w.Write(c.body); err != nil && e.r.Context().Err() != nil {
		e.reason = ClientLeft
	}
}

// setPlain keeps net/http from adding headers that the server did not send.
func setPlain(header, from http.Header) {
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			header[name] = nil
		}
	}
}
