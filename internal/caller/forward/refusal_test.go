package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// limitedBudget allows a number of retries.
type limitedBudget struct{ retries atomic.Int64 }

// allowRetries returns a change of a configuration that allows n retries.
func allowRetries(n int64) func(*Config) {
	return func(c *Config) {
		b := new(limitedBudget)
		b.retries.Store(n)
		c.Budget = b
	}
}

func (b *limitedBudget) Deposit(string)       {}
func (b *limitedBudget) Withdraw(string) bool { return b.retries.Add(-1) >= 0 }

// mayHaveRun reports whether r leaves open whether its request ran.
func (r result) mayHaveRun() bool {
	return r.status == http.StatusBadGateway && !strings.Contains(r.body, `"not-run":true`)
}

// Guards against an earlier refusal, sent once more on a kept connection, that is
// taken for the refusal of a request that the server runs.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	for _, tt := range []struct {
		name string
		// early reports whether the second copy comes before the next request.
		early bool
	}{{"while the next request runs", false}, {"before the next request", true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var seen atomic.Int64
			s := serveRaw(t, func(c *rawConn) {
				first := c.readRequest()
				if first == "" {
					return
				}
				if seen.Add(1) > 1 {
					for id := first; id != ""; id = c.readRequest() {
						c.send(answer(id, "answer"))
					}
					return
				}
				c.send(refusal(first, "0"))
				if tt.early {
					c.send(refusal(first, "0"))
				}
				if c.readRequest() != "" {
					c.send(refusal(first, "0"))
					c.readRequest()
				}
			})
			f := newForwarderWith(t, allowRetries(0), 1000, 4*time.Second, s)
			if r := call(t, f, http.MethodPost, "/book/", "r1"); r.status != http.StatusServiceUnavailable {
				t.Errorf("refused request: got status %d, want 503", r.status)
			}
			before := s.requests.Load()
			r := call(t, f, http.MethodPost, "/book/", "r2")
			runs := s.requests.Load() - before
			if runs != 1 || !r.mayHaveRun() && r.body != "answer" {
				t.Errorf("got status %d with %q, and the server got it %d times; want its answer or 502 without a claim that it did not run, and one send", r.status, r.body, runs)
			}
			if r := call(t, f, http.MethodPost, "/book/", "r3"); r.body != "answer" {
				t.Errorf("next request: got status %d with %q, want its answer on another connection", r.status, r.body)
			}
		})
	}
}

// Guards against a refusal without the request's ID, or with the ID of another
// request, that counts as proof that a request did not run.
func TestRefusalMustEchoTheRequest(t *testing.T) {
	const full, misdirected = "503 Service Unavailable\r\nNot-Run: full", "421 Misdirected Request"
	for _, tt := range []struct {
		name, response string
		notRun         bool
	}{
		{"full", full + "\r\nRequest-Id: r1", true},
		{"full, no ID", full, false},
		{"full, other ID", full + "\r\nRequest-Id: r0", false},
		{"bad request, no ID", "400 Bad Request\r\nNot-Run: no-id", false},
		{"misdirected", misdirected + "\r\nRequest-Id: r1", true},
		{"misdirected, no ID, new connection", misdirected, true},
		{"misdirected, other ID", misdirected + "\r\nRequest-Id: r0", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			script := func(c *rawConn) {
				if c.readRequest() != "" {
					c.send("HTTP/1.1 " + tt.response + "\r\nContent-Length: 0\r\n\r\n")
					c.readRequest()
				}
			}
			first, second := serveRaw(t, script), serveRaw(t, script)
			f := newForwarderWith(t, allowRetries(1), 1000, 4*time.Second, first, second)
			r := call(t, f, http.MethodPost, "/book/", "r1")
			sends := first.requests.Load() + second.requests.Load()
			switch {
			case tt.notRun && (r.status != http.StatusServiceUnavailable || sends != 2):
				t.Errorf("got status %d after %d sends, want 503 after 2", r.status, sends)
			case !tt.notRun && (!r.mayHaveRun() || sends != 1):
				t.Errorf("got status %d with %q after %d sends, want 502 without a claim that it did not run, after 1", r.status, r.body, sends)
			}
		})
	}
}

// Guards against a misdirected response without an ID that is left over from an
// earlier request on the connection.
func TestMisdirectedOnKeptConnectionMustEchoTheRequest(t *testing.T) {
	s := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			if c.server.requests.Load() == 1 {
				c.send(answer(id, "answer"))
				continue
			}
			c.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := newForwarder(t, 1000, 4*time.Second, s)
	if r := call(t, f, http.MethodPost, "/book/", "r1"); r.status != http.StatusOK {
		t.Fatalf("got status %d, want 200", r.status)
	}
	if r := call(t, f, http.MethodPost, "/book/", "r2"); !r.mayHaveRun() || s.connections.Load() != 1 {
		t.Errorf("got status %d with %q on %d connections, want 502 without a claim that it did not run, on 1", r.status, r.body, s.connections.Load())
	}
}

// Guards against a request that is sent twice on one connection: a second copy of its
// first refusal would be taken for the refusal of the second send. It also guards against
// one that is sent to full servers again and again.
func TestRequestIsSentOnceOnEachConnection(t *testing.T) {
	var twice atomic.Int64
	script := func(c *rawConn) {
		seen := make(map[string]bool)
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			if seen[id] {
				twice.Add(1)
			}
			seen[id] = true
			c.send(refusal(id, "0"))
		}
	}
	servers := []*rawServer{serveRaw(t, script), serveRaw(t, script)}
	f := newForwarder(t, 1000, 4*time.Second, servers...)
	for n, path := range []string{"/read/", "/book/", "/draft/", "/reply/"} {
		if r := call(t, f, http.MethodPost, path, fmt.Sprint("r", n)); r.status != http.StatusServiceUnavailable {
			t.Errorf("%s: got status %d, want 503", path, r.status)
		}
		if got, most := servers[0].requests.Load()+servers[1].requests.Load(), int64((n+1)*maxQueuedRejections); got > most {
			t.Errorf("%s: servers got %d requests so far, want at most %d", path, got, most)
		}
	}
	if n := twice.Load(); n > 0 {
		t.Errorf("%d requests were sent on a connection that had their refusal", n)
	}
}

// Guards against a request that is refused although a full server takes it shortly after,
// and against a late copy of its refusal that is taken for the refusal of the second send.
func TestRejectedRequestIsSentAgain(t *testing.T) {
	for _, path := range []string{"/read/", "/book/", "/draft/", "/reply/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			again := make(chan struct{})
			s := serveRaw(t, func(c *rawConn) {
				id := c.readRequest()
				if c.server.requests.Load() > 1 {
					close(again)
					time.Sleep(50 * time.Millisecond)
					c.send(answer(id, "answer"))
					return
				}
				c.send(refusal(id, "0"))
				<-again
				c.send(refusal(id, "0"))
				c.readRequest()
			})
			f := newForwarder(t, 1000, 20*time.Second, s)
			if r := call(t, f, http.MethodPost, path, "r1"); r.body != "answer" || s.requests.Load() != 2 {
				t.Errorf("got status %d with %q after %d sends, want the answer after 2", r.status, r.body, s.requests.Load())
			}
		})
	}
}

// Guards against a status that clients take as a guarantee that a request was not
// run, passed on from a server that doesn't give that guarantee.
func TestUnprovenRefusalIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			script := func(c *rawConn) {
				for id := c.readRequest(); id != ""; id = c.readRequest() {
					c.send(fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbusy", status, id))
				}
			}
			first, second := serveRaw(t, script), serveRaw(t, script)
			f := newForwarder(t, 1000, 4*time.Second, first, second)
			for n, path := range []string{"/book/", "/draft/"} {
				r := call(t, f, http.MethodPost, path, "r1")
				if guaranteed := status != http.StatusInternalServerError; guaranteed && !r.mayHaveRun() || !guaranteed && r.status != status {
					t.Errorf("%s: got status %d with %q, want no guarantee that the server did not give", path, r.status, r.body)
				}
				if sends := first.requests.Load() + second.requests.Load(); sends != int64(n+1) {
					t.Errorf("%s: %d sends so far, want %d", path, sends, n+1)
				}
			}
		})
	}
}
