package forward

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// partsLog records what a handler reports about parts, and blocks them if verdict is
// set.
type partsLog struct {
	permissive
	verdict PartsVerdict

	mu        sync.Mutex
	completed [][]uint64
	losses    []Loss
}

func (p *partsLog) CheckParts([]uint64) PartsVerdict { return p.verdict }

func (p *partsLog) Completed(parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completed = append(p.completed, parts)
}

func (p *partsLog) ReportLoss(l Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, l)
}

// Guards against parts that are cleared by a failure or an incomplete response, and
// against reports that name the last part or miss another.
func TestOnlyCompleteSuccessClearsParts(t *testing.T) {
	shared := []uint64{xxhash.Sum64String("aaa"), xxhash.Sum64String("bbb")}
	const event = "id: 1\ndata: a\n\n"
	tests := []struct {
		name, path    string
		status        int
		head, body    string // further header lines, and the body
		cleared, lost bool
	}{
		{"whole stream", "/draft/", 200, "", event, true, false},
		{"stream that ends inside an event", "/draft/", 200, "", event + "id: 2", false, true},
		{"stream without events", "/draft/", 200, "", "", false, true},
		{"whole response", "/book/", 200, "Content-Length: 2\r\n", "ok", true, false},
		{"response that is cut", "/book/", 200, "Content-Length: 9\r\n", "ok", false, true},
		{"failure of the server", "/book/", 500, "Content-Length: 2\r\n", "no", false, false},
		{"empty stream of a length", "/draft/", 200, "Content-Length: 0\r\n", "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := &partsLog{}
			f := newForwarderWithPoison(t, p, 1<<20, 5*time.Second, serveRaw(t, func(c *rawConn) {
				id := c.readRequest()
				c.send(fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n%s\r\n%s", tt.status, id, tt.head, tt.body))
			}))
			call(t, f, http.MethodPost, tt.path, "r1")
			p.mu.Lock()
			defer p.mu.Unlock()
			if cleared := len(p.completed) > 0; cleared != tt.cleared || cleared && !slices.Equal(p.completed[0], shared) {
				t.Errorf("got cleared parts %v, want cleared %v with %v", p.completed, tt.cleared, shared)
			}
			if lost := len(p.losses) > 0; lost != tt.lost || lost && !slices.Equal(p.losses[0].Parts, shared) {
				t.Errorf("got losses %+v, want lost %v with %v", p.losses, tt.lost, shared)
			}
		})
	}
}

// Guards against a request with a blocked part that reaches a server, or whose client
// is told that it may have run, and against a trial that goes to a second server.
func TestBlockedPartsAreNotSent(t *testing.T) {
	for verdict, want := range map[PartsVerdict]struct {
		status   int
		attempts int64
	}{
		PartsAllowed: {http.StatusBadGateway, 2},
		PartsOnTrial: {http.StatusBadGateway, 1},
		PartsBlocked: {http.StatusServiceUnavailable, 0},
	} {
		crash := func(c *rawConn) { c.readRequest() }
		servers := []*rawServer{serveRaw(t, crash), serveRaw(t, crash)}
		f := newForwarderWithPoison(t, &partsLog{verdict: verdict}, 1<<20, 5*time.Second, servers...)
		r := call(t, f, http.MethodPost, "/reply/", "r1")
		attempts := servers[0].requests.Load() + servers[1].requests.Load()
		if r.status != want.status || attempts != want.attempts {
			t.Errorf("verdict %d: got status %d after %d attempts, want %d after %d", verdict, r.status, attempts, want.status, want.attempts)
		}
		if blocked := verdict == PartsBlocked; blocked != (r.header.Get("Retry-After") != "") {
			t.Errorf("verdict %d: got Retry-After %q", verdict, r.header.Get("Retry-After"))
		}
	}
}
