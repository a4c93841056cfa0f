package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against the text of an error, or the end of an empty answer, that stands in the
// middle of a stream for which the client waits, after another server has begun it
// (ORDER, MIXED).
func TestStreamIsContinuedByItsRestOnly(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }
	chunked := func(id, body string) string {
		text := head(id, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return text + "0\r\n\r\n"
	}
	const whole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	tests := []struct {
		name     string
		first    string // the events of the first server, which then breaks off
		second   func(id string) string
		complete bool
	}{
		{"rest of the stream", event(1), func(id string) string { return chunked(id, event(2)+event(3)) }, true},
		{"whole stream again", event(1), func(id string) string { return chunked(id, whole) }, true},
		{"rest after a comment", event(1), func(id string) string { return chunked(id, ": ready\n\n"+event(2)+event(3)) }, true},
		{"empty stream", event(1), func(id string) string { return chunked(id, "") }, false},
		{"empty stream of a length", event(1), func(id string) string {
			return head(id, "text/event-stream") + "Content-Length: 0\r\n\r\n"
		}, false},
		{"comment only", event(1), func(id string) string { return chunked(id, ": ready\n\n") }, false},
		{"events that the client has", event(1) + event(2), func(id string) string { return chunked(id, event(1)+event(2)) }, false},
		{"error event without an ID", event(1), func(id string) string { return chunked(id, "data: {\"error\":\"failed\"}\n\n") }, false},
		{"error event before the rest", event(1), func(id string) string { return chunked(id, "event: error\ndata: x\n\n"+event(2)+event(3)) }, false},
		{"events that do not follow", event(1), func(id string) string { return chunked(id, event(3)) }, false},
		{"error", event(1), func(id string) string {
			return "HTTP/1.1 500 Failed\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 6\r\n\r\nfailed"
		}, false},
		{"success that is no stream", event(1), func(id string) string { return answer(id, "failed") }, false},
		{"head of an error as a body", event(1), func(id string) string { return chunked(id, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n") }, false},
		{"refusal", event(1), func(id string) string {
			return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}, false},
		{"the same events without IDs", "data: 1\n\n", func(id string) string { return chunked(id, "data: 1\n\ndata: 2\n\n") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{}, 2)
			script := func(c *rawConn) {
				id := c.readRequest()
				if id == "" {
					return
				}
				select {
				case begun <- struct{}{}:
				default:
				}
				if c.server.requests.Load() == 1 && len(begun) == 1 {
					c.send(head(id, "text/event-stream") + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(tt.first), tt.first))
					return
				}
				c.send(tt.second(id))
			}
			f := newForwarder(t, 1<<20, 5*time.Second, serveRaw(t, script), serveRaw(t, script))
			r := call(t, f, http.MethodPost, "/reply/", "r1")
			switch {
			case tt.complete && (!r.complete || strings.Replace(r.body, ": ready\n\n", "", 1) != whole):
				t.Errorf("got %q, complete %v, want the whole stream", r.body, r.complete)
			case !tt.complete && (r.complete || r.body != tt.first):
				t.Errorf("got %q, complete %v, want the first server's events and a broken stream", r.body, r.complete)
			}
		})
	}
}

// Guards against a server that stops in the middle of the head of its answer and closes
// the connection: the client must not get a success of which nothing is known (MIXED).
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for _, tt := range []struct{ path, contentType, rest string }{
		{"/book/", "text/plain", "Content-Length: 5\r\n\r\n"},
		{"/read/", "text/plain", "Connection: close\r\n\r\n"},
		{"/draft/", "text/event-stream", "Transfer-Encoding: chunked\r\n\r\n"},
		{"/reply/", "text/event-stream", "Connection: close\r\n\r\n"},
	} {
		whole := head("r1", tt.contentType) + tt.rest
		for n := range len(whole) {
			s := serveRaw(t, func(c *rawConn) {
				if c.readRequest() != "" {
					c.send(whole[:n])
				}
			})
			if r := call(t, newForwarder(t, 1<<20, 2*time.Second, s), http.MethodPost, tt.path, "r1"); r.status > 0 && r.status < 300 {
				t.Errorf("%s: after %q and the end of the connection: got status %d with %q", tt.path, whole[:n], r.status, r.body)
			}
		}
	}
}
