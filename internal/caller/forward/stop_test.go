package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
)

// Guards against requests that a planned stop cuts without an answer (LOST): those that
// come too late are refused as not run, and those still at work get an answer that
// promises nothing.
func TestPlannedStopAnswersAllRequests(t *testing.T) {
	for _, tt := range []struct {
		name, path      string
		refusing        bool // from the start
		noServer        bool
		status          int
		notRun, reaches bool
	}{
		{"comes too late", "/book/", true, false, http.StatusServiceUnavailable, true, false},
		{"stream comes too late", "/reply/", true, false, http.StatusServiceUnavailable, true, false},
		{"at work", "/book/", false, false, http.StatusGatewayTimeout, false, true},
		{"repeatable, at work", "/read/", false, false, http.StatusGatewayTimeout, false, true},
		{"stream without an event", "/draft/", false, false, http.StatusGatewayTimeout, false, true},
		{"waits for a server", "/book/", false, true, http.StatusServiceUnavailable, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ending, end := context.WithCancel(t.Context())
			defer end()
			var refusing atomic.Bool
			refusing.Store(tt.refusing)
			silent := serveRaw(t, func(c *rawConn) {
				c.readRequest()
				<-t.Context().Done()
			})
			f := newForwarderWith(t, func(c *Config) {
				c.Refusing, c.Ending = refusing.Load, ending
				if tt.noServer {
					c.Pool = pool.New()
				}
			}, 1<<20, 15*time.Second, silent)
			time.AfterFunc(300*time.Millisecond, func() {
				refusing.Store(true)
				time.AfterFunc(200*time.Millisecond, end)
			})
			r := call(t, f, http.MethodPost, tt.path, "r1")
			if r.status != tt.status || !r.complete || r.took > 5*time.Second {
				t.Errorf("got status %d, complete %v after %v, want %d", r.status, r.complete, r.took, tt.status)
			}
			if notRun := r.header.Get("Retry-After") != ""; notRun != tt.notRun {
				t.Errorf("got Retry-After %q with status %d, want one %v", r.header.Get("Retry-After"), r.status, tt.notRun)
			}
			if reached := silent.requests.Load() > 0; reached != tt.reaches {
				t.Errorf("reached a server: %v, want %v", reached, tt.reaches)
			}
		})
	}
}
