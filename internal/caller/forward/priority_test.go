package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Guards against servers that treat all requests as equally urgent, against a client that
// chooses its own priority, and against a header that servers did not get before from a
// configuration whose priorities do not differ.
func TestServersGetThePriorityOfTheTable(t *testing.T) {
	route := func(name string, priority int) routes.Route {
		return routes.Route{
			Name: name, Host: "app.example", Prefix: "/" + name + "/", Kind: routes.NonIdempotent, Timeout: 5 * time.Second, Objective: time.Second,
			Split: []routes.Target{{Service: "service", Weight: 1}}, Attempts: 1, Priority: priority,
		}
	}
	plain := []routes.Workspace{{Name: "plain", Keys: []string{"plain"}}}
	urgent := append(plain, routes.Workspace{Name: "urgent", Keys: []string{"urgent"}, HasPriority: true})
	for _, tt := range []struct {
		name       string
		routes     []routes.Route
		workspaces []routes.Workspace
		path, key  string
		want       string
	}{
		{"of the route", []routes.Route{route("book", 2), route("read", 4)}, plain, "/book/", "plain", "2"},
		{"of the other route", []routes.Route{route("book", 2), route("read", 4)}, plain, "/read/", "plain", "4"},
		{"bounded", []routes.Route{route("book", 12), route("read", 4)}, plain, "/book/", "plain", "9"},
		{"of the workspace", []routes.Route{route("book", 3)}, urgent, "/book/", "urgent", "0"},
		{"of the route, beside an urgent workspace", []routes.Route{route("book", 3)}, urgent, "/book/", "plain", "3"},
		{"equal", []routes.Route{route("book", 3), route("read", 3)}, plain, "/book/", "plain", ""},
		{"none", []routes.Route{route("book", 0)}, urgent, "/book/", "urgent", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := make(chan []string, 1)
			s := serveRaw(t, func(c *rawConn) {
				r, err := http.ReadRequest(c.reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				got <- r.Header["Priority"]
				c.send(answer(r.Header.Get("Request-Id"), "answer"))
			})
			table := routes.New(routes.Table{Version: 1, Routes: tt.routes, Workspaces: tt.workspaces, Services: []routes.Service{{Name: "service"}}})
			f := newForwarderWith(t, func(c *Config) {
				c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
			}, 1000, 5*time.Second, s)
			r := send(t, f, http.MethodPost, tt.path, "r1", http.Header{"Key": {tt.key}, "Priority": {"7"}})
			if r.status != http.StatusOK {
				t.Fatalf("got status %d, want 200", r.status)
			}
			values := <-got
			if tt.want == "" && values != nil || tt.want != "" && (len(values) != 1 || values[0] != tt.want) {
				t.Errorf("server got priority %q, want %q", values, tt.want)
			}
		})
	}
}
