package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// refusal returns a response that refuses request id and asks for no requests for
// retryAfter.
func refusal(id, retryAfter string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: full\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n"
}

// Guards against requests to a server before the end of the time for which it has
// asked for none, when another server is there, and against one that is not used
// again after that time.
func TestRefusingServerGetsNoRequestsUntilRetryAfter(t *testing.T) {
	const retryAfter = 1500 * time.Millisecond
	for _, tt := range []struct{ name, notRun string }{{"not run", "Not-Run: full\r\n"}, {"may have run", ""}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var refusing atomic.Pointer[rawServer] // refuses until it is nil again
			var once sync.Once
			script := func(c *rawConn) {
				for id := c.readRequest(); id != ""; id = c.readRequest() {
					once.Do(func() { refusing.Store(c.server) })
					if refusing.Load() != c.server {
						c.send(answer(id, "answer"))
						continue
					}
					c.send("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nSeal: s\r\n" + tt.notRun + "Retry-After: 1.5\r\nContent-Length: 0\r\n\r\n")
				}
			}
			f := newForwarder(t, 1000, 20*time.Second, serveRaw(t, script), serveRaw(t, script))
			call(t, f, http.MethodGet, "/read/", "a")
			refused := time.Now()
			s := refusing.Load()
			for n := 0; time.Since(refused) < retryAfter-300*time.Millisecond; n++ {
				if r := call(t, f, http.MethodGet, "/read/", fmt.Sprint("b", n)); r.status != http.StatusOK {
					t.Errorf("got status %d, want the other server's response", r.status)
				}
			}
			if n := s.requests.Load(); n != 1 && time.Since(refused) < retryAfter {
				t.Errorf("%d requests reached the server, want 1 before the end of its time", n)
			}
			refusing.Store(nil)
			for n := 0; s.requests.Load() < 2; n++ {
				if time.Since(refused) > 20*time.Second {
					t.Fatal("the server is not used again")
				}
				call(t, f, http.MethodGet, "/read/", fmt.Sprint("c", n))
			}
		})
	}
}

// Guards against a request that waits although all servers want none for longer
// than it may wait, that reaches one of them, or that comes back too early.
func TestAllServersWantNoRequests(t *testing.T) {
	s := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send(refusal(id, "600"))
		}
	})
	f := newForwarder(t, 1000, 80*time.Second, s) // a request may wait for 2.5 s
	for n := range 3 {
		r := call(t, f, http.MethodPost, "/book/", fmt.Sprint("r", n))
		if want := `{"error":"servers-full","not-run":true}`; r.status != http.StatusServiceUnavailable || r.body != want {
			t.Errorf("request %d: got %d with %s, want 503 with %s", n, r.status, r.body, want)
		}
		if r.took > 2*time.Second {
			t.Errorf("request %d: refused after %v, want at once", n, r.took)
		}
		// A third of the 80 s until the deadline.
		if seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || seconds < 20 || seconds > 27 {
			t.Errorf("request %d: got Retry-After %q, want a third of its time", n, r.header.Get("Retry-After"))
		}
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the server, want 1", n)
	}
}

// Guards against a request that is refused although a server accepts requests again
// within the time that the request may wait.
func TestRequestWaitsForServer(t *testing.T) {
	var refusals atomic.Int64
	s := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			if refusals.Add(1) == 1 {
				c.send(refusal(id, "0.4"))
				continue
			}
			c.send(answer(id, "answer"))
		}
	})
	f := newForwarder(t, 1000, 80*time.Second, s) // a request may wait for 2.5 s
	first, err := http.NewRequest(http.MethodPost, f.URL+"/book/", nil)
	if err != nil {
		t.Fatal(err)
	}
	first.Host = "app.example"
	first.Header.Set("Request-Id", "r1")
	// The client leaves after the refusal has arrived.
	if response, err := (&http.Client{Timeout: 100 * time.Millisecond}).Do(first); err == nil {
		response.Body.Close()
	}
	r := call(t, f, http.MethodPost, "/book/", "r2")
	if r.status != http.StatusOK || r.took < 100*time.Millisecond {
		t.Errorf("got status %d after %v, want 200 after the server's time", r.status, r.took)
	}
}

// Guards against a garbled Retry-After that excludes a server for good, and against
// a value that is not honored.
func TestParseRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		value string
		want  time.Duration
	}{
		{"2", 2 * time.Second},
		{"0.25", 250 * time.Millisecond},
		{"599", 599 * time.Second},
		{"1e300", maxServerRetryAfter},
		{"Inf", maxServerRetryAfter},
		{"1e999", 0},
		{"-5", 0}, {"0", 0}, {"NaN", 0}, {"", 0}, {"soon", 0},
		{"Sat, 05 Dec 2026 07:00:00 GMT", 0},
	} {
		if got := parseRetryAfter(tt.value); got != tt.want {
			t.Errorf("%q: got %v, want %v", tt.value, got, tt.want)
		}
	}
}
