package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

const (
	// maxEventSize bounds one event of a stream in bytes.
	maxEventSize = 1 << 20
	// maxPadding bounds the comments, and the events that the client already has, in the
	// stream of an attempt, in bytes.
	maxPadding = 1 << 20
	// maxKeptEvent is the size of the memory of an event, in bytes, beyond which it is not
	// used again after an event that needs less than a quarter of it.
	maxKeptEvent = 16 << 10
	// resumeSilenceFactor is the multiple of the route's EventGap, the longest
	// time between two events that is on time, after which a resumable stream is moved
	// to another server if its server sends nothing.
	resumeSilenceFactor = 2
	// minResumeSilence is the least such time. Sound servers may be silent for about
	// a second, and moving a stream makes its prompt be read again.
	minResumeSilence = 1500 * time.Millisecond
	// firstEventFactor is the multiple of the route's objective that the server of
	// a resumable stream has for the first event, if that is longer than
	// resumeSilenceFactor times EventGap.
	firstEventFactor = 3
)

var (
	errOnlyPadding  = errors.New("stream of the backend server brings too little but comments and repeated events")
	errEventTooLong = errors.New("stream event exceeds the size limit")
	errNotContinued = errors.New("backend server's response does not continue the stream that another one began")
)

// streamProgress is the position of the client in a stream.
type streamProgress struct {
	lastID     string // ID of the last event sent to the client
	lastNumber int64  // the last ID that is a number; 0 if there was none
	// unnumbered is true if an event without such an ID was sent after it, so that the
	// position is not known.
	unnumbered bool
}

// mayResume reports whether another server may continue the stream, if it has begun.
func (e *exchange) mayResume() bool {
	return !e.streamStarted || e.stream.lastNumber > 0 && !e.stream.unnumbered
}

// relay forwards the events of a stream as they arrive. Until the end of the
// response it forwards complete events only, so that another server can resume the
// stream after the last event.
func (e *exchange) relay(a *attempt, r *http.Response, uncachedTokens int64) outcome {
	a.isStream, a.continued = true, !e.streamStarted
	reader := eventReader{reader: bufio.NewReaderSize(r.Body, 4<<10), held: a.held}
	if e.route.Resumable && e.route.EventGap > 0 && len(e.attempts) < e.route.Attempts {
		a.failover = startFailover(e.maxSilence(a), e.reserveRetry, a.cancel)
	}
	for {
		event, err := reader.next()
		now := e.config.Now()
		if len(event) > 0 && err == nil {
			a.server.Received(now)
			if !isComment(event) {
				e.recordEvent(a, uncachedTokens, now)
			}
			a.failover.pause() // the time that the client takes is no silence of the server
			isPadding := e.isPadding(event)
			if isPadding && !a.addPadding(len(event)) {
				return e.recordInvalid(a)
			}
			if result, ok := e.forwardEvent(a, r, event, now); !ok {
				return result
			}
			if a.pace.events < paceEvents {
				a.pace.blocked += e.config.Now().Sub(now)
			}
			if isPadding {
				a.failover.resume()
			} else {
				a.failover.extend(e.maxSilence(a))
			}
			continue
		}
		a.failover.pause()
		if errors.Is(err, errMemoryFull) {
			return e.drop(a)
		}
		if errors.Is(err, io.EOF) {
			return e.finishStream(a, r, event)
		}
		a.err = err
		return e.handleTransportError(a, false)
	}
}

// recordEvent records an event of the server of an attempt. With the first one, it has
// read the prompt.
func (e *exchange) recordEvent(a *attempt, uncachedTokens int64, now time.Time) {
	a.observe(now)
	if a.pace.events == paceEvents {
		e.learnFromGaps(a)
	}
	if a.promptProcessed {
		return
	}
	a.promptProcessed = true
	e.learnFromFirstEvent(a)
	a.server.PromptRead(uncachedTokens)
	a.claim.Processed()
	e.config.Usage.AddFirst(e.service, now.Sub(e.start) > e.route.Objective)
	a.server.Prompts.Add(e.prompt.Parts, now)
	e.countUsage()
}

// isPadding reports whether an event brings the client nothing: it consists of comments,
// or the client already has it.
func (e *exchange) isPadding(event []byte) bool {
	if isComment(event) {
		return true
	}
	id, _ := eventID(event)
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && e.stream.lastNumber > 0 && n <= e.stream.lastNumber
}

// addPadding adds bytes of padding, and reports whether the attempt may go on.
func (a *attempt) addPadding(bytes int) bool {
	if a.padding += bytes; a.padding > maxPadding {
		a.err = errOnlyPadding
		return false
	}
	return true
}

// maxSilence returns how long the server of a resumable stream may send nothing
// before another one takes over.
func (e *exchange) maxSilence(a *attempt) time.Duration {
	silence := max(resumeSilenceFactor*e.route.EventGap, minResumeSilence)
	if !a.promptProcessed {
		silence = max(silence, firstEventFactor*e.route.Objective)
	}
	return silence
}

// forwardEvent writes one event to the client, unless an earlier server of a
// resumed stream already sent it. It returns false if the stream cannot continue;
// the outcome is meaningful only then. Until a server that takes over has sent the event
// that follows, nothing else of it may reach the client.
func (e *exchange) forwardEvent(a *attempt, r *http.Response, event []byte, now time.Time) (outcome, bool) {
	id, ok := eventID(event)
	n, err := strconv.ParseInt(id, 10, 64)
	numbered := ok && err == nil
	if !numbered && !a.continued {
		if isComment(event) {
			return outcomeAnswered, true
		}
		a.err = errNotContinued
		return e.recordInvalid(a), false
	}
	if numbered {
		if e.stream.lastNumber > 0 && n <= e.stream.lastNumber {
			return outcomeAnswered, true // the client already has this event
		}
		if e.stream.lastNumber > 0 && n != e.stream.lastNumber+1 {
			a.err = errors.New("backend server skipped events: got event " + id + " after event " + e.stream.lastID)
			return outcomeLost, false
		}
		e.stream.lastNumber, a.continued = n, true
	}
	if ok {
		e.stream.lastID = id
	}
	if !isComment(event) {
		e.stream.unnumbered = !numbered
	}
	e.writeHead(r, now)
	if _, err := e.w.Write(event); err != nil {
		a.err = err
		e.reason = ClientLeft
		return outcomeAnswered, false
	}
	if err := http.NewResponseController(e.w).Flush(); err != nil {
		a.err = err
		e.reason = ClientLeft
		return outcomeAnswered, false
	}
	return outcomeAnswered, true
}

// writeHead writes the response headers of a stream if they were not sent yet.
func (e *exchange) writeHead(r *http.Response, now time.Time) {
	if e.streamStarted {
		return
	}
	e.streamStarted, e.status, e.firstByte = true, r.StatusCode, now
	header := e.w.Header()
	copyEndToEnd(header, r.Header)
	suppressDefaultHeaders(header, r.Header)
	e.w.WriteHeader(r.StatusCode)
}

// finishStream ends a stream after the end of the server's response. rest is what
// came after the last complete event. A stream that ends inside an event has been
// broken off, and so has one without events that ends with its connection. The end of a
// response that continued nothing is not the end of the stream that it should continue.
func (e *exchange) finishStream(a *attempt, r *http.Response, rest []byte) outcome {
	now := e.config.Now()
	endsWithConnection := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if len(rest) > 0 || endsWithConnection && a.pace.events == 0 {
		a.err = io.ErrUnexpectedEOF
		return e.handleTransportError(a, false)
	}
	if !a.continued {
		a.err = errNotContinued
		return e.recordInvalid(a)
	}
	e.writeHead(r, now)
	a.server.Succeeded(now)
	if a.pace.events > 0 {
		e.config.Poison.Completed(e.suspect)
	}
	e.reason = Served
	return outcomeAnswered
}

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	held   *limit.Holding
	event  []byte // the memory of the last event, which the next one uses again
}

// next returns the next event with the blank line that ends it. Together with io.EOF it
// returns the bytes after the last complete event. The event is valid until the next
// call.
func (s *eventReader) next() ([]byte, error) {
	if cap(s.event) > maxKeptEvent && len(s.event) < cap(s.event)/4 {
		s.event = nil
		s.held.Resize(0)
	}
	s.event = s.event[:0]
	for {
		line, err := s.reader.ReadSlice('\n')
		s.event = append(s.event, line...)
		switch {
		case len(s.event) > maxEventSize:
			return nil, errEventTooLong
		case !s.held.Resize(int64(cap(s.event))), err != nil && s.held.Evicted():
			return nil, errMemoryFull
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return s.event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(s.event) > len(line):
			return s.event, nil
		}
	}
}

// isComment reports whether an event consists of comments, which servers send to keep a
// connection open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}
