package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Guards against a request that was accepted while no keys were needed, and is sent after
// a configuration that requires them (CONFIG), and against one that is rejected because
// keys are no longer needed.
func TestKeysAreCheckedBeforeEachAttempt(t *testing.T) {
	route := routes.Route{
		Name: "book", Host: "app.example", Prefix: "/book/", Kind: routes.NonIdempotent, Timeout: 5 * time.Second, Objective: time.Second,
		Split: []routes.Target{{Service: "service", Weight: 1}}, Attempts: 2,
	}
	table := func(keys ...string) *routes.Table {
		v := routes.Table{Routes: []routes.Route{route}, Services: []routes.Service{{Name: "service"}}}
		if len(keys) > 0 {
			v.Workspaces = []routes.Workspace{{Name: "fairs", Keys: keys}}
		}
		return routes.New(v)
	}
	for _, tt := range []struct {
		name          string
		before, after *routes.Table
		status        int
	}{
		{"keys are needed now", table(), table("other"), http.StatusUnauthorized},
		{"keys are needed now, and the client has one", table(), table("key"), http.StatusOK},
		{"keys are no longer needed", table("key"), table(), http.StatusOK},
		{"the key was taken away", table("key"), table("other"), http.StatusUnauthorized},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var current atomic.Pointer[routes.Table]
			current.Store(tt.before)
			servers := make([]*rawServer, 2)
			for i := range servers {
				servers[i] = serveRaw(t, func(c *rawConn) {
					id := c.readRequest()
					head := "HTTP/1.1 200 OK\r\nSeal: s\r\n"
					if current.Swap(tt.after) == tt.before {
						head = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
					}
					c.send(head + fmt.Sprintf("Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
				})
			}
			f := newForwarderWith(t, func(c *Config) {
				c.View = func() View { return View{Table: current.Load(), Confirmed: time.Now(), Fresh: true} }
			}, 1<<20, 5*time.Second, servers...)
			r := callWithKey(t, f, "/book/", "r1", "key")
			if sent := servers[0].requests.Load() + servers[1].requests.Load(); r.status != tt.status || (sent > 1) != (tt.status == http.StatusOK) {
				t.Errorf("got status %d after %d attempts, want %d", r.status, sent, tt.status)
			}
		})
	}
}
