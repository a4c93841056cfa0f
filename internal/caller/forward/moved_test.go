package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// serviceBudget allows no retries at one service.
type serviceBudget struct {
	permissive
	exhausted string
}

func (b serviceBudget) Withdraw(service string) bool { return service != b.exhausted }

// Guards against repeats at a service whose budget is exhausted, after the route moved there
// from another service.
func TestRepeatAtTheNewServiceOfARouteIsChargedThere(t *testing.T) {
	var current atomic.Pointer[routes.Table]
	tableWith := func(version int64, service string) *routes.Table {
		return routes.New(routes.Table{Version: version, Routes: []routes.Route{{
			Name: "read", Host: "app.example", Prefix: "/read/", Kind: routes.Idempotent, Timeout: 2 * time.Second,
			Split: []routes.Target{{Service: service, Weight: 1}}, Attempts: 2, Public: true,
		}}, Services: []routes.Service{{Name: "service"}, {Name: "next"}}})
	}
	current.Store(tableWith(1, "service"))
	first := serveRaw(t, func(c *rawConn) {
		c.readRequest()
		current.Store(tableWith(2, "next")) // and the connection breaks
	})
	next := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send(answer(id, "ok"))
		}
	})
	f := newForwarderWith(t, func(c *Config) {
		c.Budget = serviceBudget{exhausted: "next"}
		c.View = func() View { return View{Table: current.Load(), Fresh: true} }
		c.Pool.Put(pool.Registration{ID: "next", Service: "next", Address: next.address, Slots: 4, Incarnation: 1}, time.Now())
	}, 1000, 2*time.Second, first)
	if r := call(t, f, http.MethodGet, "/read/", "r1"); r.status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", r.status)
	}
	if n := next.requests.Load(); n != 0 {
		t.Errorf("the new service got %d requests, want none", n)
	}
}
