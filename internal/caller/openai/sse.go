package openai

import (
	"errors"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// errClientDisconnected means that writing to the client failed or timed out, or
// that ctx ended because the request was canceled or the server is shutting down.
var errClientDisconnected = errors.New("client disconnected or stopped reading")

// sink receives the tokens of a generation in order.
type sink interface {
	// writeToken is called once for each token. more is true if the next token
	// follows immediately, so that a flush can be deferred.
	writeToken(token string, more bool) error
	// nextIndex returns the index of the next token, which is the number of
	// tokens written or skipped.
	nextIndex() int
}

// discard is the sink of a response that is not streamed.
type discard struct{ next int }

func (d *discard) writeToken(string, bool) error {
	d.next++
	return nil
}

func (d *discard) nextIndex() int { return d.next }

// eventWriter writes a streamed response as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the current write deadline of the connection.
	deadline time.Time
	started  bool
	// next is the index of the next token.
	next         int
	includeUsage bool
	chat         bool
	id           string
	chunkPrefix  []byte // the part of a chunk that precedes its choice
	buf          []byte
}

func newEventWriter(w http.ResponseWriter, g *generation, usage bool, next int, timeout time.Duration) *eventWriter {
	e := &eventWriter{w: w, controller: http.NewResponseController(w), timeout: timeout, includeUsage: usage, chat: g.route == RouteChat, id: g.id, next: next}
	e.chunkPrefix = append(e.chunkPrefix, `{"id":`...)
	e.chunkPrefix = appendQuoted(e.chunkPrefix, g.id)
	if e.chat {
		e.chunkPrefix = append(e.chunkPrefix, `,"object":"chat.completion.chunk","created":`...)
	} else {
		e.chunkPrefix = append(e.chunkPrefix, `,"object":"text_completion","created":`...)
	}
	e.chunkPrefix = strconv.AppendInt(e.chunkPrefix, g.created, 10)
	e.chunkPrefix = append(e.chunkPrefix, `,"model":`...)
	e.chunkPrefix = appendQuoted(e.chunkPrefix, g.entry)
	e.chunkPrefix = append(e.chunkPrefix, `,"choices":[`...)
	e.buf = make([]byte, 0, len(e.chunkPrefix)+512)
	return e
}

func (e *eventWriter) nextIndex() int { return e.next }

// start writes the header and, at the beginning of a chat response, buffers the
// chunk with the role.
func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	e.w.WriteHeader(http.StatusOK)
	if e.chat && e.next == 0 {
		e.beginChunk()
		e.buf = append(e.buf, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`...)
		e.endChunk()
	}
}

// beginChunk appends the part of an event that precedes its choice.
func (e *eventWriter) beginChunk() {
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, e.chunkPrefix...)
}

// endChunk appends the part of an event that follows its choice.
func (e *eventWriter) endChunk() {
	if e.includeUsage {
		e.buf = append(e.buf, `,"usage":null`...)
	}
	e.buf = append(e.buf, "}\n\n"...)
}

// appendID appends the event ID: the ID of the generation and the number of
// tokens up to and including this event.
func (e *eventWriter) appendID() {
	e.buf = append(e.buf, "id: "...)
	e.buf = append(e.buf, e.id...)
	e.buf = append(e.buf, ':')
	e.buf = strconv.AppendInt(e.buf, int64(e.next), 10)
	e.buf = append(e.buf, '\n')
}

// flushSize is the buffer size in bytes at which events are sent even if more
// events follow immediately.
const flushSize = 8 << 10

// writeToken writes one token as an event.
func (e *eventWriter) writeToken(token string, more bool) error {
	e.start()
	e.next++
	e.appendID()
	e.beginChunk()
	if e.chat {
		e.buf = append(e.buf, `{"index":0,"delta":{"content":`...)
		e.buf = appendQuoted(e.buf, token)
		e.buf = append(e.buf, `},"finish_reason":null}]`...)
	} else {
		e.buf = append(e.buf, `{"index":0,"text":`...)
		e.buf = appendQuoted(e.buf, token)
		e.buf = append(e.buf, `,"logprobs":null,"finish_reason":null}]`...)
	}
	e.endChunk()
	if more && len(e.buf) < flushSize {
		return nil
	}
	return e.flush()
}

// finish writes the finish reason, the usage if requested, and [DONE].
func (e *eventWriter) finish(reason string, tokens int, u engine.Usage) error {
	e.start()
	e.appendID()
	e.beginChunk()
	if e.chat {
		e.buf = append(e.buf, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		e.buf = append(e.buf, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	e.buf = appendQuoted(e.buf, reason)
	e.buf = append(e.buf, "}]"...)
	e.endChunk()
	if e.includeUsage {
		e.beginChunk()
		e.buf = append(e.buf, `],"usage":`...)
		e.buf = appendUsage(e.buf, tokens, u)
		e.buf = append(e.buf, "}\n\n"...)
	}
	e.buf = append(e.buf, "data: [DONE]\n\n"...)
	return e.flush()
}

// fail ends the stream with an error event. It does not write [DONE].
func (e *eventWriter) fail(err *reply.Error) error {
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, err.Body(true)...)
	e.buf = append(e.buf, "\n\n"...)
	return e.flush()
}

// flush sends the buffered events. The write deadline is extended only when a
// quarter of the timeout has passed, because setting it costs about as much as
// encoding a token.
func (e *eventWriter) flush() error {
	if now := time.Now(); e.deadline.Sub(now) < e.timeout*3/4 {
		e.deadline = now.Add(e.timeout)
		if err := e.controller.SetWriteDeadline(e.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errClientDisconnected
		}
	}
	_, err := e.w.Write(e.buf)
	e.buf = e.buf[:0]
	if err == nil {
		err = e.controller.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errClientDisconnected
	}
	return nil
}

func appendUsage(b []byte, tokens int, u engine.Usage) []byte {
	b = append(b, `{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(u.Prompt), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(tokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(u.Prompt+tokens), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(u.Cached), 10)
	return append(b, "}}"...)
}

const hexDigits = "0123456789abcdef"

// appendQuoted appends s as a JSON string. It replaces each invalid UTF-8 byte
// with the Unicode replacement character.
func appendQuoted(b []byte, s string) []byte {
	b = append(b, '"')
	start := 0
	for i := 0; i < len(s); {
		c := s[i]
		if c >= ' ' && c != '"' && c != '\\' && c < utf8.RuneSelf {
			i++
			continue
		}
		if c >= utf8.RuneSelf {
			r, n := utf8.DecodeRuneInString(s[i:])
			if r != utf8.RuneError || n > 1 {
				i += n
				continue
			}
		}
		b = append(b, s[start:i]...)
		b = appendEscaped(b, c)
		i++
		start = i
	}
	b = append(b, s[start:]...)
	return append(b, '"')
}

func appendEscaped(b []byte, c byte) []byte {
	switch {
	case c >= utf8.RuneSelf:
		return append(b, `\ufffd`...)
	case c == '"' || c == '\\':
		return append(b, '\\', c)
	case c == '\n':
		return append(b, `\n`...)
	}
	return append(append(b, `\u00`...), hexDigits[c>>4], hexDigits[c&15])
}
