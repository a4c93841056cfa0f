package forward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// strictBudget allows no retries.
type strictBudget struct{ permissive }

func (strictBudget) Withdraw(string) bool { return false }

// silentStream serves streams of four events. Of all streams that count in started,
// the first one has a silence in the middle.
func silentStream(t *testing.T, started *atomic.Int64, silence time.Duration, duringSilence func()) *rawServer {
	return serveRaw(t, func(c *rawConn) {
		id := c.readRequest()
		if id == "" {
			return
		}
		c.send(head(id, "text/event-stream") + "\r\n")
		silentHere := started.Add(1) == 1
		for n := 1; n <= 4; n++ {
			if n == 3 && silentHere {
				duringSilence()
				time.Sleep(silence)
			}
			c.send(fmt.Sprintf("id: %d\ndata: a\n\n", n))
		}
	})
}

// full rejects all requests as not run.
func full(t *testing.T) *rawServer {
	return serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// Guards against a stream that is cut because its sound server is silent for a
// while and no other server may continue it.
func TestStreamOfSilentServerIsNotCut(t *testing.T) {
	const silence = 2 * time.Second
	tests := []struct {
		name   string
		change func(c *Config, silent *atomic.Bool)
		others func(t *testing.T) []*rawServer
	}{
		{"no other server", func(*Config, *atomic.Bool) {}, func(*testing.T) []*rawServer { return nil }},
		{"retry budget exhausted", func(c *Config, _ *atomic.Bool) { c.Budget = strictBudget{} }, func(t *testing.T) []*rawServer { return []*rawServer{full(t)} }},
		{"route removed meanwhile", func(c *Config, silent *atomic.Bool) {
			view := c.View
			c.View = func() View {
				v := view()
				if silent.Load() {
					v.Table = routes.New(routes.Table{Version: v.Table.Version + 1})
				}
				return v
			}
		}, func(t *testing.T) []*rawServer { return []*rawServer{silentStream(t, new(atomic.Int64), 0, func() {})} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			s := silentStream(t, new(atomic.Int64), silence, func() { silent.Store(true) })
			servers := append([]*rawServer{s}, tt.others(t)...)
			f := newForwarderWith(t, func(c *Config) {
				c.Random = rand.Uint64
				tt.change(c, &silent)
			}, 1000, 8*time.Second, servers...)
			for n := 0; !silent.Load(); n++ {
				if n == 100 {
					t.Fatal("the server whose stream pauses got no request")
				}
				r := call(t, f, http.MethodPost, "/reply/", "r1")
				if s.requests.Load() > 0 && (!r.complete || strings.Count(r.body, "data: a\n\n") != 4) {
					t.Errorf("got complete %v and %q, want 4 events", r.complete, r.body)
				}
			}
		})
	}
}

// Guards against a stream that is moved to another server, and its prompt read
// again, because a sound server is silent for about a second.
func TestStreamIsNotMovedAfterShortSilence(t *testing.T) {
	t.Parallel()
	var started atomic.Int64
	script := func() *rawServer { return silentStream(t, &started, 1100*time.Millisecond, func() {}) }
	first, second := script(), script()
	f := newForwarder(t, 1000, 8*time.Second, first, second)
	r := call(t, f, http.MethodPost, "/reply/", "r1")
	if !r.complete || strings.Count(r.body, "data: a\n\n") != 4 {
		t.Errorf("got complete %v and %q, want 4 events", r.complete, r.body)
	}
	if n := first.requests.Load() + second.requests.Load(); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// Guards against a stream that stays at a server that never continues although
// another server could.
func TestStreamOfStalledServerIsContinuedElsewhere(t *testing.T) {
	t.Parallel()
	var started atomic.Int64
	script := func() *rawServer { return silentStream(t, &started, 20*time.Second, func() {}) }
	f := newForwarder(t, 1000, 8*time.Second, script(), script())
	r := call(t, f, http.MethodPost, "/reply/", "r1")
	if !r.complete || strings.Count(r.body, "data: a\n\n") != 4 || started.Load() != 2 {
		t.Errorf("got complete %v and %q from %d servers, want 4 events from 2 servers", r.complete, r.body, started.Load())
	}
}

// Guards against an idempotent request that fails because its sound server is slow
// and the retry budget is exhausted.
func TestSlowIdempotentRequestIsNotGivenUp(t *testing.T) {
	t.Parallel()
	script := func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			time.Sleep(1500 * time.Millisecond)
			c.send(answer(id, "slow"))
		}
	}
	f := newForwarderWith(t, func(c *Config) { c.Budget = strictBudget{} }, 1000, 2*time.Second, serveRaw(t, script), serveRaw(t, script))
	if r := call(t, f, http.MethodGet, "/read/", "r1"); r.status != http.StatusOK || r.body != "slow" {
		t.Errorf("got status %d with %q, want the response of the slow server", r.status, r.body)
	}
}

// rejectSecond serves all requests that it counts in requests but for the
// second one, which it rejects as not run.
func rejectSecond(t *testing.T, requests *atomic.Int64, serve func(c *rawConn, id string, n int64)) *rawServer {
	return serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			if n := requests.Add(1); n != 2 {
				serve(c, id, n)
				return
			}
			c.send("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// Guards against a stream that is given up because the server that takes over rejects
// it once.
func TestStreamGoesOnAfterRejectedFailover(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	serve := func(c *rawConn, id string, request int64) {
		c.send(head(id, "text/event-stream") + "\r\n")
		for n := 1; n <= 4; n++ {
			if n == 3 && request == 1 {
				time.Sleep(20 * time.Second)
			}
			c.send(fmt.Sprintf("id: %d\ndata: a\n\n", n))
		}
	}
	f := newForwarder(t, 1000, 8*time.Second, rejectSecond(t, &requests, serve), rejectSecond(t, &requests, serve))
	if r := call(t, f, http.MethodPost, "/reply/", "r1"); !r.complete || strings.Count(r.body, "data: a\n\n") != 4 {
		t.Errorf("got complete %v and %q, want 4 events", r.complete, r.body)
	}
}

// Guards against an idempotent request that fails because the server that takes over
// from a slow one rejects it once.
func TestIdempotentRequestGoesOnAfterRejectedFailover(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	serve := func(c *rawConn, id string, request int64) {
		if request == 1 {
			time.Sleep(20 * time.Second)
		}
		c.send(answer(id, "ok"))
	}
	f := newForwarder(t, 1000, 4*time.Second, rejectSecond(t, &requests, serve), rejectSecond(t, &requests, serve))
	if r := call(t, f, http.MethodGet, "/read/", "r1"); r.status != http.StatusOK {
		t.Errorf("got status %d with %q, want 200", r.status, r.body)
	}
}

// Guards against a stream that is moved because its client, not its server, is slow.
func TestStreamOfSlowClientIsNotMoved(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	script := func(c *rawConn) {
		id := c.readRequest()
		if id == "" {
			return
		}
		requests.Add(1)
		c.send(head(id, "text/event-stream") + "\r\n")
		for n := 1; n <= 300; n++ {
			if !c.send(fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 64<<10))) {
				return
			}
		}
	}
	f := newForwarder(t, 1000, 12*time.Second, serveRaw(t, script), serveRaw(t, script))
	request, err := http.NewRequest(http.MethodPost, f.URL+"/reply/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "app.example"
	request.Header.Set("Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	time.Sleep(3 * time.Second)
	if _, err := io.Copy(io.Discard, response.Body); err != nil || requests.Load() != 1 {
		t.Errorf("got error %v and %d requests, want a complete stream from one request", err, requests.Load())
	}
}
