package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// resumeAfter is how long the server of a resumable stream may be silent
	// before another one goes on with it, as a multiple of the longest pause
	// that is on time.
	resumeAfter = 2
	// firstAfter is the same for the first event, as a multiple of the objective.
	firstAfter = 3
)

var errEventSize = errors.New("event of the stream is too long")

// progress is how far the client has a stream.
type progress struct {
	last   string // ID of the last event
	number int64  // the same as a number; 0 is none
}

// relay passes the events of a stream on as they come. Only whole events are
// passed on, so that another server can go on after the last one.
func (e *exchange) relay(s *send, r *http.Response, unread int64) fate {
	read := bufio.NewReaderSize(r.Body, 4<<10)
	watch := e.watch(s)
	defer watch.Stop()
	for {
		event, err := readEvent(read)
		now := e.config.Now()
		if len(event) > 0 && err == nil {
			s.worker.Heard(now)
			if !s.read {
				s.read = true
				s.worker.Read(unread)
				e.config.Usage.First(e.service, now.Sub(e.start) > e.route.Objective)
				s.worker.Prompts.Add(e.prompt.Parts, now)
				e.count()
			}
			watch.Reset(e.silence())
			if f, ok := e.pass(s, r, event, now); !ok {
				return f
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			return e.finish(s, r, event)
		}
		s.err = err
		return e.unanswered(s, false)
	}
}

// silence is how long the server of a resumable stream may be silent.
func (e *exchange) silence() time.Duration {
	if !e.route.Resumable || e.route.Pause <= 0 || len(e.sends) >= e.route.Attempts {
		return time.Hour
	}
	if !e.streaming {
		return max(resumeAfter*e.route.Pause, firstAfter*e.route.Objective)
	}
	return resumeAfter * e.route.Pause
}

// watch cancels a send whose server is silent for too long.
func (e *exchange) watch(s *send) *time.Timer { return time.AfterFunc(e.silence(), s.cancel) }

// pass writes one event to the client.
func (e *exchange) pass(s *send, r *http.Response, event []byte, now time.Time) (fate, bool) {
	id, ok := eventID(event)
	if n, err := strconv.ParseInt(id, 10, 64); ok && err == nil {
		if e.stream.number > 0 && n <= e.stream.number {
			return answered, true // the client has it
		}
		if e.stream.number > 0 && n != e.stream.number+1 {
			s.err = errors.New("stream goes on at event " + id + " after " + e.stream.last)
			return lost, false
		}
		e.stream.number = n
	}
	if ok {
		e.stream.last = id
	}
	e.head(r, now)
	if _, err := e.w.Write(event); err != nil {
		s.err = err
		e.reason = ClientLeft
		return answered, false
	}
	if err := http.NewResponseController(e.w).Flush(); err != nil {
		s.err = err
		e.reason = ClientLeft
		return answered, false
	}
	return answered, true
}

// head writes the head of the answer before its first event.
func (e *exchange) head(r *http.Response, now time.Time) {
	if e.streaming {
		return
	}
	e.streaming, e.status, e.first = true, r.StatusCode, now
	header := e.w.Header()
	copyEndToEnd(header, r.Header)
	setPlain(header, r.Header)
	e.w.WriteHeader(r.StatusCode)
}

// finish ends a stream whose server has ended it.
func (e *exchange) finish(s *send, r *http.Response, rest []byte) fate {
	now := e.config.Now()
	if len(rest) > 0 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		// Without a length, an incomplete event shows that the server broke off.
		s.err = io.ErrUnexpectedEOF
		return e.unanswered(s, false)
	}
	e.head(r, now)
	if len(rest) > 0 {
		if _, err := e.w.Write(rest); err != nil {
			e.reason = ClientLeft
			return answered
		}
	}
	s.worker.Succeeded(now)
	e.reason = Served
	return answered
}

// readEvent returns the next event with the blank line that ends it. With
// io.EOF it returns what came after the last event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEvent:
			return nil, errEventSize
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
	}
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
