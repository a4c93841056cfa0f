package forward

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// bufferedResponse is a server's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   body
	held   *limit.Holding
}

// minStatus and maxStatus bound the status of a final response. net/http panics if
// a handler sends one below 100, and does not send a body with 101.
const (
	minStatus = 200
	maxStatus = 599
)

// handleResponse processes the response to an attempt once its headers have
// arrived, and returns the outcome of the attempt.
func (e *exchange) handleResponse(a *attempt, r *http.Response, uncachedTokens int64) outcome {
	names := &e.config.Headers
	now := e.config.Now()
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		a.err = errInvalidStatus
		a.cancel()
		return e.recordInvalid(a)
	}
	refused := r.Header.Get(names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	isOwn := e.isOwnResponse(a, r, refused)
	e.recordAvailability(a, r, isOwn)
	if !isOwn {
		// The connection held an extra response to an earlier request. The
		// server's other connections may hold more of them. If the response has no
		// body, its connection is idle already.
		a.err = errRequestIDMismatch
		a.cancel()
		a.server.Transport.CloseIdleConnections()
		return e.recordInvalid(a)
	}
	if refused {
		return e.recordRefusal(a, r)
	}
	if r.StatusCode == http.StatusOK && e.route.Kind == routes.Streaming && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		if r.Header.Get(names.ServerSeal) == "" {
			a.err = errNoServerSeal
			return e.recordInvalid(a)
		}
		return e.relay(a, r, uncachedTokens)
	}
	body, err := e.readResponse(a, r)
	switch {
	case errors.Is(err, errMemoryFull):
		return e.drop(a)
	case errors.Is(err, errTooLong):
		// Bytes that are no response may come without end.
		a.err = err
		a.cancel()
		return e.recordInvalid(a)
	case err != nil:
		a.err = err
		return e.handleTransportError(a, false)
	}
	a.server.Received(e.config.Now())
	a.observe(e.config.Now())
	e.countUsage()
	if r.StatusCode < 300 && r.Header.Get(names.ServerSeal) == "" {
		a.err = errNoServerSeal
		return e.recordInvalid(a)
	}
	res := &bufferedResponse{status: r.StatusCode, header: r.Header, body: body, held: a.held}
	if e.streamStarted {
		// The client already has the headers of a stream, which this response
		// cannot continue.
		a.server.Failed(now)
		return outcomeLost
	}
	if r.StatusCode >= 500 && e.route.Repeatable() {
		e.releaseFailedResponse()
		e.failedResponse, a.held = res, nil
		return outcomeFailed
	}
	if !e.route.Repeatable() && guaranteesNotRun(r.StatusCode) {
		a.err = errUnprovenRefusal
		return e.recordInvalid(a)
	}
	a.server.Succeeded(e.config.Now())
	if r.StatusCode < http.StatusInternalServerError {
		e.recordCompleted(r.StatusCode)
	}
	e.deliver(res)
	return outcomeAnswered
}

// recordCompleted records that the server survived the request. Whether it would have
// survived the parts of the prompt too is only known from a success: a request may be
// rejected before its prompt is read.
func (e *exchange) recordCompleted(status int) {
	survived := e.suspect
	if status >= http.StatusMultipleChoices {
		survived.Parts = nil
	}
	e.config.Poison.Completed(survived)
}

// guaranteesNotRun reports whether clients take a status as a guarantee that their
// request was not run and never will be.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isOwnResponse reports whether r is the response to this request. A response is
// identified by the ID that it echoes. Without an ID, a refusal is the request's
// own only on a new connection, which holds no responses to earlier requests, and
// only if it comes from another process than the intended one or the request has no
// ID to echo.
func (e *exchange) isOwnResponse(a *attempt, r *http.Response, refused bool) bool {
	echo := r.Header.Get(e.config.Headers.Request)
	if refused && echo == "" {
		return a.newConn && (r.StatusCode == http.StatusMisdirectedRequest || e.id == "")
	}
	return echo == e.id
}

// recordRefusal records a response that proves that the server did not run the
// request, and returns the outcome.
func (e *exchange) recordRefusal(a *attempt, r *http.Response) outcome {
	now := e.config.Now()
	if r.StatusCode != http.StatusMisdirectedRequest {
		a.rejectedAt = now
		a.server.Rejected(now, rejectionPause(a.server))
		return outcomeNotRun
	}
	// The connections lead to another process than the intended one.
	a.server.Failed(now)
	a.server.Transport.CloseIdleConnections()
	return outcomeNotRun
}

// recordInvalid records an invalid response and returns the outcome.
func (e *exchange) recordInvalid(a *attempt) outcome {
	a.server.Failed(e.config.Now())
	e.countUsage()
	return outcomeInvalid
}

// readResponse reads the body of a response that is not a stream.
func (e *exchange) readResponse(a *attempt, r *http.Response) (body, error) {
	maxBytes := e.config.MaxResponseBytes
	if r.ContentLength > maxBytes && e.r.Method != http.MethodHead {
		return body{}, errTooLong
	}
	return readBody(r.Body, r.ContentLength, maxBytes, a.held)
}

// drop ends an attempt whose response does not fit into the memory of the instance, and
// returns the outcome. That says nothing about the server.
func (e *exchange) drop(a *attempt) outcome {
	a.err = errMemoryFull
	a.cancel()
	e.countUsage()
	return outcomeDropped
}

// releaseFailedResponse gives the memory of the failed response back.
func (e *exchange) releaseFailedResponse() {
	if e.failedResponse != nil {
		e.failedResponse.held.Release()
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
		header.Set("Content-Length", strconv.FormatInt(res.body.size, 10))
	}
	e.firstByte = e.config.Now()
	e.w.WriteHeader(res.status)
	if err := res.body.writeTo(e.w); err != nil && e.r.Context().Err() != nil {
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
