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

// errClient means that the client cannot be written to.
var errClient = errors.New("client is gone or does not read")

// sink takes the tokens of a generation.
type sink interface {
	// token is called once for each token; more says that the next follows
	// without waiting.
	token(token string, more bool) error
	// reached returns the number of tokens taken or skipped.
	reached() int
}

// discard is the sink of a response that is sent as a whole.
type discard struct{ next int }

func (d *discard) token(string, bool) error {
	d.next++
	return nil
}

func (d *discard) reached() int { return d.next }

// events writes a response as server-sent events.
type events struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadline is the write deadline last set.
	deadline time.Time
	started  bool
	// next is the index of the next token.
	next    int
	usage   bool
	chat    bool
	id      string
	opening []byte // the event up to the token
	buf     []byte
}

func newEvents(w http.ResponseWriter, g *generation, usage bool, next int, timeout time.Duration) *events {
	e := &events{w: w, control: http.NewResponseController(w), timeout: timeout, usage: usage, chat: g.route == RouteChat, id: g.id, next: next}
	e.opening = append(e.opening, `{"id":`...)
	e.opening = appendQuoted(e.opening, g.id)
	if e.chat {
		e.opening = append(e.opening, `,"object":"chat.completion.chunk","created":`...)
	} else {
		e.opening = append(e.opening, `,"object":"text_completion","created":`...)
	}
	e.opening = strconv.AppendInt(e.opening, g.created, 10)
	e.opening = append(e.opening, `,"model":`...)
	e.opening = appendQuoted(e.opening, g.entry)
	e.opening = append(e.opening, `,"choices":[`...)
	e.buf = make([]byte, 0, len(e.opening)+512)
	return e
}

func (e *events) reached() int { return e.next }

// start sends the headers and, at the beginning of a chat, the role.
func (e *events) start() {
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
		e.begin()
		e.buf = append(e.buf, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`...)
		e.close()
	}
}

func (e *events) begin() {
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, e.opening...)
}

func (e *events) close() {
	if e.usage {
		e.buf = append(e.buf, `,"usage":null`...)
	}
	e.buf = append(e.buf, "}\n\n"...)
}

// appendID numbers the event with the count of tokens up to and including it.
func (e *events) appendID() {
	e.buf = append(e.buf, "id: "...)
	e.buf = append(e.buf, e.id...)
	e.buf = append(e.buf, ':')
	e.buf = strconv.AppendInt(e.buf, int64(e.next), 10)
	e.buf = append(e.buf, '\n')
}

// flushAt is the size at which events are sent though more follow at once.
const flushAt = 8 << 10

// token writes one token.
func (e *events) token(token string, more bool) error {
	e.start()
	e.next++
	e.appendID()
	e.begin()
	if e.chat {
		e.buf = append(e.buf, `{"index":0,"delta":{"content":`...)
		e.buf = appendQuoted(e.buf, token)
		e.buf = append(e.buf, `},"finish_reason":null}]`...)
	} else {
		e.buf = append(e.buf, `{"index":0,"text":`...)
		e.buf = appendQuoted(e.buf, token)
		e.buf = append(e.buf, `,"logprobs":null,"finish_reason":null}]`...)
	}
	e.close()
	if more && len(e.buf) < flushAt {
		return nil
	}
	return e.flush()
}

// finish writes the end of the response.
func (e *events) finish(reason string, tokens int, u engine.Usage) error {
	e.start()
	e.appendID()
	e.begin()
	if e.chat {
		e.buf = append(e.buf, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		e.buf = append(e.buf, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	e.buf = appendQuoted(e.buf, reason)
	e.buf = append(e.buf, "}]"...)
	e.close()
	if e.usage {
		e.begin()
		e.buf = append(e.buf, `],"usage":`...)
		e.buf = appendUsage(e.buf, tokens, u)
		e.buf = append(e.buf, "}\n\n"...)
	}
	e.buf = append(e.buf, "data: [DONE]\n\n"...)
	return e.flush()
}

// fail ends the stream with an error event and without [DONE].
func (e *events) fail(err *reply.Error) error {
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, err.Body(true)...)
	e.buf = append(e.buf, "\n\n"...)
	return e.flush()
}

// flush sends what is buffered. The write deadline is moved only when a
// quarter of it has passed, because setting it costs about as much as
// encoding a token.
func (e *events) flush() error {
	if now := time.Now(); e.deadline.Sub(now) < e.timeout*3/4 {
		e.deadline = now.Add(e.timeout)
		if err := e.control.SetWriteDeadline(e.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errClient
		}
	}
	_, err := e.w.Write(e.buf)
	e.buf = e.buf[:0]
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errClient
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

const hex = "0123456789abcdef"

// appendQuoted appends s as a JSON string. Invalid UTF-8 becomes the
// replacement character.
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
	return append(append(b, `\u00`...), hex[c>>4], hex[c&15])
}
