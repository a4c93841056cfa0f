package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
)

// Guards against a server that gets more requests than its responses say that it takes.
func TestServerGetsNoMoreRequestsThanItsLimit(t *testing.T) {
	limited := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nLimit: 1.5\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	other := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send(answer(id, "ok"))
		}
	})
	changes := 0
	f := newForwarderWith(t, func(c *Config) {
		c.Headers.Limit = "Limit"
		c.OnLimitChange = func() { changes++ }
		c.Pool.SetSenders(&pool.Senders{Self: "self"})
	}, 1000, 2*time.Second, limited, other)
	for i := range 40 {
		if r := call(t, f, http.MethodGet, "/read/", fmt.Sprint("r", i)); r.status != http.StatusOK {
			t.Fatalf("request %d: got status %d, want 200", i, r.status)
		}
	}
	if n := limited.requests.Load(); n != 1 {
		t.Errorf("the limited server got %d requests of an instance that is no sender, want 1", n)
	}
	if changes != 1 {
		t.Errorf("got %d changes of the limit, want 1", changes)
	}
}

// Guards against clients that wait for a server that takes no request of this instance: they
// must be told at once to come back.
func TestRequestsBeyondTheLimitAreRefusedAtOnce(t *testing.T) {
	limited := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nLimit: 0.1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	f := newForwarderWith(t, func(c *Config) { c.Headers.Limit = "Limit" }, 1000, 2*time.Second, limited)
	for _, id := range []string{"tells the limit", "uses it"} {
		if r := call(t, f, http.MethodGet, "/read/", id); r.status != http.StatusOK {
			t.Fatalf("request that %s: got status %d, want 200", id, r.status)
		}
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			r := call(t, f, http.MethodGet, "/read/", fmt.Sprint("r", i))
			if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || r.took > time.Second {
				t.Errorf("got status %d with Retry-After %q after %v, want 503 with one at once", r.status, r.header.Get("Retry-After"), r.took)
			}
		})
	}
	wg.Wait()
}

// Guards against limits that no server can mean.
func TestParseLimit(t *testing.T) {
	for value, want := range map[string]float64{"1.5": 1.5, "0": minLimit, "": 0, "-1": 0, "NaN": 0, "Inf": 0, "1e300": 0, "soon": 0} {
		if got := parseLimit(value); got != want {
			t.Errorf("%q: got %v, want %v", value, got, want)
		}
	}
}
