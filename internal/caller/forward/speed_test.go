package forward

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/speed"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// testClock is a clock that only add moves.
type testClock struct{ elapsed atomic.Int64 }

func (c *testClock) add(d time.Duration) { c.elapsed.Add(int64(d)) }
func (c *testClock) now() time.Time      { return time.Unix(1000, c.elapsed.Load()) }

// Guards against servers whose speed is not learnt from their responses, and against
// servers that seem fast because they fail requests.
func TestSpeedIsLearntFromResponses(t *testing.T) {
	const requests = 200
	tests := []struct{ name, path, contentType, body string }{
		{"responses", "/read/x", "text/plain", "whole"},
		{"streams", "/draft/x", "text/event-stream", "data: x\n\n"},
	}
	for _, tt := range tests {
		var clock testClock
		serve := func(status string, d time.Duration) *rawServer {
			return serveRaw(t, func(c *rawConn) {
				for id := c.readRequest(); id != ""; id = c.readRequest() {
					clock.add(d)
					response := strings.Replace(answer(id, tt.body), "text/plain", tt.contentType, 1)
					c.send(strings.Replace(response, "200 OK", status, 1))
				}
			})
		}
		var servers []*pool.Worker
		registry := prometheus.NewRegistry()
		f := newForwarderWith(t, func(c *Config) {
			var calls atomic.Uint64
			c.Random = func() uint64 { return calls.Add(0x9e3779b97f4a7c15) }
			c.Now, c.Registerer = clock.now, registry
			servers = c.Pool.Service("service")
		}, 1<<20, 10*time.Second, serve("200 OK", 20*time.Millisecond), serve("200 OK", 20*time.Millisecond),
			serve("200 OK", 60*time.Millisecond), serve("500 Internal Server Error", time.Microsecond))
		for range requests {
			requestWithoutPrompt(t, f.URL+tt.path)
		}
		var speeds []float64
		for _, s := range servers {
			speeds = append(speeds, s.Speed.At(clock.now()))
		}
		if speeds[2] >= min(1, speeds[0], speeds[1]) {
			t.Errorf("%s: got speeds %.2f, want the third one lowest", tt.name, speeds)
		}
		if speeds[3] != 1 {
			t.Errorf("%s: got speed %.2f of a server that fails all requests, want 1", tt.name, speeds[3])
		}
		if n, err := testutil.GatherAndCount(registry, "forward_server_speed"); n != 2 || err != nil {
			t.Errorf("%s: got %d figures of the speed, error %v, want 2", tt.name, n, err)
		}
	}
}

// requestWithoutPrompt sends a request that any server may run, and reads the response.
func requestWithoutPrompt(t *testing.T, url string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "app.example"
	request.Header.Set("Request-Id", "id")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// Guards against streams whose gaps don't show the speed of a server, and against slow
// clients that make a server seem slow.
func TestSpeedIsLearntFromGaps(t *testing.T) {
	tests := []struct {
		name         string
		gap, blocked time.Duration
		slow         bool
	}{
		{"same gap", 10 * time.Millisecond, 0, false},
		{"long gap", 30 * time.Millisecond, 0, true},
		{"long gap, some of it caused by the client", 30 * time.Millisecond, 5 * time.Millisecond, true},
		{"long gap, caused by the client", 30 * time.Millisecond, 25 * time.Millisecond, false},
	}
	for _, tt := range tests {
		var clock testClock
		e := &exchange{Handler: &Handler{config: Config{Now: clock.now}}, route: &routes.Route{Kind: routes.Streaming}}
		stream := func(server *pool.Worker, gap, blocked time.Duration) {
			a := &attempt{server: server, isStream: true, outcome: outcomeAnswered}
			for range minGapEvents {
				clock.add(gap)
				a.pace.add(clock.now())
				a.pace.blocked += blocked
			}
			e.learnFromEnd(a)
		}
		var normal, other pool.Worker
		for range 30 {
			stream(&normal, 10*time.Millisecond, 0)
		}
		for range 30 {
			stream(&other, tt.gap, tt.blocked)
		}
		if got := other.Speed.At(clock.now()); (got < 1) != tt.slow {
			t.Errorf("%s: got speed %.2f, want a slow server: %v", tt.name, got, tt.slow)
		}
	}
}

// Guards against servers in other failure domains that seem slow because of the latency.
func TestLatencyIsNoSlowness(t *testing.T) {
	var clock testClock
	e := &exchange{Handler: &Handler{config: Config{Now: clock.now}}, route: &routes.Route{Kind: routes.Idempotent}}
	var local, remote pool.Worker
	for range 100 {
		e.learn(&attempt{server: &local}, speed.Response, 5*time.Millisecond, false)
		e.learn(&attempt{server: &remote}, speed.Response, 5*time.Millisecond+2800*time.Microsecond, false)
	}
	if a, b := local.Speed.At(clock.now()), remote.Speed.At(clock.now()); a != b {
		t.Errorf("got speeds %.2f and %.2f of a local and a remote server, want the same", a, b)
	}
}

// Guards against an attempt without a response that is no evidence of slowness.
func TestSpeedIsLearntFromSilence(t *testing.T) {
	var clock testClock
	e := &exchange{Handler: &Handler{config: Config{Now: clock.now}}, route: &routes.Route{Kind: routes.Streaming}}
	var server, silent pool.Worker
	for range 30 {
		e.learn(&attempt{server: &server}, speed.FirstEvent, 10*time.Millisecond, false)
		e.learnFromEnd(&attempt{server: &silent, outcome: outcomeLost, took: time.Second})
	}
	if got := silent.Speed.At(clock.now()); got >= 1 {
		t.Errorf("got speed %.2f of a silent server, want less than 1", got)
	}
}
