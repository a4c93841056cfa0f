package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stream that ends inside an event, or before its first one, and that
// looks complete to the client or is not resumed where that is allowed.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	chunked := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	withLength := func(body string) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	untilClose := func(body string) string { return "\r\n" + body }
	framings := []struct {
		name  string
		frame func(body string) string
	}{{"chunks", chunked}, {"length", withLength}, {"end of connection", untilClose}}
	tests := []struct {
		name, body string
		complete   bool
	}{
		{"all events", first + second, true},
		{"inside the first event", "id: 1\ndata: a", false},
		{"inside the second event", first + "id: 2\ndata", false},
		{"before the blank line", first + "id: 2\ndata: b\n", false},
	}
	for _, f := range framings {
		for _, tt := range tests {
			t.Run(f.name+"/"+tt.name, func(t *testing.T) {
				t.Parallel()
				checkStreamEnd(t, f.frame(tt.body), tt.complete, first+second)
			})
		}
	}
	t.Run("end of connection/no event", func(t *testing.T) {
		t.Parallel()
		checkStreamEnd(t, untilClose(""), false, first+second)
	})
}

// checkStreamEnd checks what clients get if the first attempt at a stream gets response
// and further ones the whole stream.
func checkStreamEnd(t *testing.T, response string, complete bool, whole string) {
	t.Helper()
	for _, tt := range []struct {
		path         string
		wantComplete bool
	}{{"/draft/", complete}, {"/reply/", true}} {
		var attempts atomic.Int64
		script := func(c *rawConn) {
			id, body := c.readRequest(), response
			if id != "" && attempts.Add(1) > 1 {
				body = "\r\n" + whole
			}
			c.send(head(id, "text/event-stream") + body)
		}
		f := newForwarder(t, 1<<20, 5*time.Second, serveRaw(t, script), serveRaw(t, script))
		r := call(t, f, http.MethodPost, tt.path, "r1")
		if got := r.complete && r.status == http.StatusOK; got != tt.wantComplete {
			t.Errorf("%s: complete %v with status %d and %q, want %v", tt.path, got, r.status, r.body, tt.wantComplete)
		}
		if tt.wantComplete && r.body != whole {
			t.Errorf("%s: got %q, want %q", tt.path, r.body, whole)
		}
	}
}
