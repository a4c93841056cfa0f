package forward

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
)

// Guards against a request that yielded to a more urgent one and is then sent to a
// server whose failure domain was evacuated in the meantime.
func TestYieldingRequestIsValidatedAgain(t *testing.T) {
	s := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			if c.server.requests.Load() == 1 {
				c.send(refusal(id, "0"))
				continue
			}
			c.send(answer(id, "answer"))
		}
	})
	table, recorder := urgencyTable(8*time.Second, 0, 9), new(checkRecorder)
	var elapsed atomic.Int64
	start := time.Now()
	var servers *pool.Pool
	f := newForwarderWith(t, func(c *Config) {
		c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
		c.Now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
		c.Poison = recorder
		servers = c.Pool
	}, 1000, 10*time.Second, s)
	var wg sync.WaitGroup
	for n, path := range []string{"/0/", "/9/"} {
		wg.Go(func() {
			r := call(t, f, http.MethodPost, path, path)
			if r.status != http.StatusServiceUnavailable {
				t.Errorf("%s: got status %d, want 503", path, r.status)
			}
		})
		awaitWaiting(t, f, int64(n+1))
	}
	recorder.await(fingerprint(http.MethodPost, "/9/", ""), 3)
	awaitWaiting(t, f, 2)
	set, _ := (*evacuation.Set)(nil).Apply(evacuation.Update{Changes: []evacuation.Change{{Domain: "", Revision: 1}}}, start)
	servers.SetEvacuatedDomains(set)
	f.Config.Handler.(*Handler).StateChanged()
	elapsed.Store(int64(2 * time.Second))
	wg.Wait()
	if n := s.requests.Load(); n != 1 {
		t.Errorf("the evacuated server got %d requests, want 1 (before the evacuation)", n)
	}
}
