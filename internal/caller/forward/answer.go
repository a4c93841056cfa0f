package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// bufferedResponse is a server's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse processes the response to an attempt once its headers have
// arrived, and returns the outcome of the attempt.
func (e *exchange) handleResponse(a *attempt, r *http.Response, uncachedTokens int64) outcome {
	names := &e.config.Headers
	now := e.config.Now()
	if r.Header.Get(names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest {
		if r.StatusCode == http.StatusMisdirectedRequest {
			a.server.Failed(now)
		} else {
			a.server.Rejected(now, fullServerPause)
		}
		return outcomeNotRun
	}
	if r.Header.Get(names.Request) != e.id {
		// The connection held an extra response to an earlier request. The
		// server's other connections may hold more of them.
		a.err = errRequestIDMismatch
		a.cancel()
		return e.recordInvalid(a)
	}
	if r.StatusCode == http.StatusOK && e.route.Kind == routes.Streaming && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		if r.Header.Get(names.ServerSeal) == "" {
			a.err = errNoServerSeal
			return e.recordInvalid(a)
		}
		return e.relay(a, r, uncachedTokens)
	}
	body, err := e.readResponse(r)
	if errors.Is(err, errResponseTooLong) {
		// Bytes that are no response may come without end.
		a.err = err
		a.cancel()
		return e.recordInvalid(a)
	}
	if err != nil {
		a.err = err
		return e.handleTransportError(a, false)
	}
	a.server.Received(e.config.Now())
	e.countUsage()
	if r.StatusCode < 300 && r.Header.Get(names.ServerSeal) == "" {
		a.err = errNoServerSeal
		return e.recordInvalid(a)
	}
	res := &bufferedResponse{status: r.StatusCode, header: r.Header, body: body}
	if e.streamStarted {
		// The client already has the headers of a stream, which this response
		// cannot continue.
		a.server.Failed(now)
		return outcomeLost
	}
	if r.StatusCode >= 500 && e.route.Repeatable() {
		e.failedResponse = res
		return outcomeFailed
	}
	a.server.Succeeded(e.config.Now())
	if r.StatusCode < 300 {
		e.config.Poison.Completed(e.sharedParts)
	}
	e.deliver(res)
	return outcomeAnswered
}

// recordInvalid records an invalid response and returns the outcome.
func (e *exchange) recordInvalid(a *attempt) outcome {
	a.server.Failed(e.config.Now())
	e.countUsage()
	return outcomeInvalid
}

// readResponse reads the body of a response that is not a stream.
func (e *exchange) readResponse(r *http.Response) (body []byte, err error) {
	limit := e.config.MaxResponseBytes
	if r.ContentLength > limit && e.r.Method != http.MethodHead {
		return nil, errResponseTooLong
	}
	body = make([]byte, 0, min(maxInitialBuffer, max(minInitialBuffer, r.ContentLength+1)))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		e.bufferedBytes += n
		fits := e.buffered.take(n)
		switch {
		case int64(len(body)) > limit || !fits:
			return body, errResponseTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// deliver writes a server's complete response to the client.
func (e *exchange) deliver(res *bufferedResponse) {
	e.reason, e.status = Served, res.status
	header := e.w.Header()
	copyEndToEnd(header, res.header)
	suppressDefaultHeaders(header, res.header)
	switch {
	case e.r.Method == http.MethodHead:
		// The length is that of the body that a GET request would get.
		if length, ok := res.header["Content-Length"]; ok {
			header["Content-Length"] = length
		}
	case res.status != http.StatusNoContent && res.status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	e.firstByte = e.config.Now()
	e.w.WriteHeader(res.status)
	if _, err := e.w.Write(res.body); err != nil && e.r.Context().Err() != nil {
		e.reason = ClientLeft
	}
}

// suppressDefaultHeaders keeps net/http from adding headers that the server did
// not send.
func suppressDefaultHeaders(header, from http.Header) {
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			header[name] = nil
		}
	}
}
