package forward

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/poison"
)

// poisonLog records what a handler reports about requests, and blocks them if block is
// set.
type poisonLog struct {
	permissive
	block poison.Block
	trial bool

	mu        sync.Mutex
	completed []poison.Request
	losses    []Loss
}

func (p *poisonLog) Blocked(poison.Request) poison.Block { return p.block }
func (p *poisonLog) Trial(poison.Request) bool           { return p.trial }

func (p *poisonLog) Completed(r poison.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completed = append(p.completed, r)
}

func (p *poisonLog) ReportLoss(l Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, l)
}

// Guards against requests that are cleared by a failure or an incomplete response, or
// stay rejected although a server answered them, against parts of prompts that are
// cleared by less than a success, and against reports that name the last part or miss
// another.
func TestOnlyCompleteResponseClearsRequest(t *testing.T) {
	shared := []uint64{xxhash.Sum64String("aaa"), xxhash.Sum64String("bbb")}
	const event = "id: 1\ndata: a\n\n"
	tests := []struct {
		name, path string
		status     int
		head, body string // further header lines, and the body
		// Whether the request and the parts of its prompt are cleared, and whether the
		// response counts as lost.
		request, parts, lost bool
	}{
		{"whole stream", "/draft/", 200, "", event, true, true, false},
		{"stream that ends inside an event", "/draft/", 200, "", event + "id: 2", false, false, true},
		{"stream without events", "/draft/", 200, "", "", false, false, true},
		{"whole response", "/book/", 200, "Content-Length: 2\r\n", "ok", true, true, false},
		{"response that is cut", "/book/", 200, "Content-Length: 9\r\n", "ok", false, false, true},
		{"failure of the server", "/book/", 500, "Content-Length: 2\r\n", "no", false, false, false},
		{"empty stream of a length", "/draft/", 200, "Content-Length: 0\r\n", "", false, false, false},
		{"rejection by the server", "/book/", 404, "Content-Length: 2\r\n", "no", true, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := &poisonLog{}
			f := newForwarderWith(t, func(c *Config) { c.Poison = p }, 1<<20, 5*time.Second, serveRaw(t, func(c *rawConn) {
				id := c.readRequest()
				c.send(fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n%s\r\n%s", tt.status, id, tt.head, tt.body))
			}))
			call(t, f, http.MethodPost, tt.path, "r1")
			p.mu.Lock()
			defer p.mu.Unlock()
			if cleared := len(p.completed) > 0; cleared != tt.request || cleared && p.completed[0].Fingerprint == 0 {
				t.Errorf("got cleared requests %v, want cleared %v", p.completed, tt.request)
			}
			if cleared := len(p.completed) > 0 && len(p.completed[0].Parts) > 0; cleared != tt.parts || cleared && !slices.Equal(p.completed[0].Parts, shared) {
				t.Errorf("got cleared parts %v, want cleared %v with %v", p.completed, tt.parts, shared)
			}
			if lost := len(p.losses) > 0; lost != tt.lost || lost && !slices.Equal(p.losses[0].Request.Parts, shared) {
				t.Errorf("got losses %+v, want lost %v with %v", p.losses, tt.lost, shared)
			}
		})
	}
}

// Guards against a blocked request that reaches a server, or whose client is told that it
// may have run, and against a trial that goes to a second server.
func TestBlockedRequestsAreNotSent(t *testing.T) {
	for _, tt := range []struct {
		block    poison.Block
		trial    bool
		status   int
		attempts int64
	}{
		{poison.NotBlocked, false, http.StatusBadGateway, 2},
		{poison.BlockedPart, true, http.StatusBadGateway, 1},
		{poison.BlockedPart, false, http.StatusServiceUnavailable, 0},
		{poison.BlockedRequest, true, http.StatusBadGateway, 1},
		{poison.BlockedRequest, false, http.StatusServiceUnavailable, 0},
	} {
		crash := func(c *rawConn) { c.readRequest() }
		servers := []*rawServer{serveRaw(t, crash), serveRaw(t, crash)}
		f := newForwarderWith(t, func(c *Config) { c.Poison = &poisonLog{block: tt.block, trial: tt.trial} }, 1<<20, 5*time.Second, servers...)
		r := call(t, f, http.MethodPost, "/reply/", "r1")
		attempts := servers[0].requests.Load() + servers[1].requests.Load()
		if r.status != tt.status || attempts != tt.attempts {
			t.Errorf("block %v, trial %v: got status %d after %d attempts, want %d after %d", tt.block, tt.trial, r.status, attempts, tt.status, tt.attempts)
		}
		if refused := tt.attempts == 0; refused != (r.header.Get("Retry-After") != "") {
			t.Errorf("block %v, trial %v: got Retry-After %q", tt.block, tt.trial, r.header.Get("Retry-After"))
		}
	}
}
