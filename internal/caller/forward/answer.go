package forward

import (
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponse))
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
	e.deliver(res)
	return outcomeAnswered
}

// recordInvalid records an invalid response and returns the outcome.
func (e *exchange) recordInvalid(a *attempt) outcome {
	a.server.Failed(e.config.Now())
	e.countUsage()
	return outcomeInvalid
}

// deliver writes a server's complete response to the client.
func (e *exchange) deliver(res *bufferedResponse) {
	e.reason, e.status = Served, res.status
	header := e.w.Header()
	copyEndToEnd(header, res.header)
	suppressDefaultHeaders(header, res.header)
	header.Set("Content-Length", strconv.Itoa(len(res.body)))
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
