package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/admission"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// urgencyTable has a route for each urgency in urgencies, below a path of its number.
func urgencyTable(objective time.Duration, urgencies ...int) *routes.Table {
	t := routes.Table{Version: 1, Services: []routes.Service{{Name: "service"}}}
	for _, u := range urgencies {
		t.Routes = append(t.Routes, routes.Route{
			Name: strconv.Itoa(u), Host: "app.example", Prefix: fmt.Sprintf("/%d/", u), Kind: routes.NonIdempotent, Timeout: 10 * time.Second, Objective: objective,
			Split: []routes.Target{{Service: "service", Weight: 1}}, Attempts: 1, Priority: u, Public: true,
		})
	}
	return routes.New(t)
}

// checkRecorder records which requests are checked before they are sent.
type checkRecorder struct {
	permissive
	mu      sync.Mutex
	checked []uint64 // fingerprints
}

// Blocked implements Poison.
func (c *checkRecorder) Blocked(r poison.Request) poison.Block {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = append(c.checked, r.Fingerprint)
	return poison.NotBlocked
}

// reset forgets the checks.
func (c *checkRecorder) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = nil
}

// await returns once a request was checked n times.
func (c *checkRecorder) await(fingerprint uint64, n int) {
	for done := false; !done; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		matches := slices.DeleteFunc(slices.Clone(c.checked), func(f uint64) bool { return f != fingerprint })
		done = len(matches) >= n
		c.mu.Unlock()
	}
}

// Guards against requests that are sent in the order of their arrival, or at random, when
// a server becomes usable.
func TestUrgentRequestsAreSentFirst(t *testing.T) {
	s := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send(answer(id, "answer"))
		}
	})
	table := urgencyTable(8*time.Second, 0, 3, 9)
	servers, recorder := pool.New(), new(checkRecorder)
	f := newForwarderWith(t, func(c *Config) {
		c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
		c.Pool, c.Poison = servers, recorder
	}, 1000, 10*time.Second, s)
	var wg sync.WaitGroup
	for n, u := range []int{9, 3, 0, 9, 3, 0} {
		wg.Go(func() {
			if r := call(t, f, http.MethodPost, fmt.Sprintf("/%d/", u), fmt.Sprint("r", n)); r.status != http.StatusOK {
				t.Errorf("got status %d, want 200", r.status)
			}
		})
	}
	awaitWaiting(t, f, 6)
	recorder.reset()
	servers.Put(pool.Registration{ID: "server-0", Service: "service", Address: s.address, Slots: 8}, time.Now())
	f.Config.Handler.(*Handler).StateChanged()
	wg.Wait()
	var want []uint64
	for _, path := range []string{"/0/", "/0/", "/3/", "/3/", "/9/", "/9/"} {
		want = append(want, fingerprint(http.MethodPost, path, ""))
	}
	if !slices.Equal(recorder.checked, want) {
		t.Errorf("requests were sent in the order %v, want %v", recorder.checked, want)
	}
}

// awaitWaiting returns once n requests wait for a server at f.
func awaitWaiting(t *testing.T, f *httptest.Server, n int64) {
	t.Helper()
	w := f.Config.Handler.(*Handler).waiters
	for start := time.Now(); w.count.Load() != n; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("%d requests wait, want %d", w.count.Load(), n)
		}
	}
}

// testWaiters returns waiters for which a server is usable from the time in usableAt on.
func testWaiters(limits admission.Config) (w *waiters, usableAt *time.Time) {
	usableAt = new(time.Time)
	c := waitersConfig{Limits: limits, Now: time.Now}
	c.UsableAt = func(string, time.Time) time.Time { return *usableAt }
	c.Table, c.Stopping = func() *routes.Table { return nil }, func() bool { return false }
	return newWaiters(c), usableAt
}

// Guards against requests that are examined together, although each choice of a server
// must take the ones before into account, in the wrong order, or not at all after one
// that cannot be sent.
func TestWaitersAreExaminedOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, usableAt := testWaiters(admission.Config{MaxRequests: 10, MaxBytes: 100})
		var entries []*queueEntry
		for u := range 3 {
			now := time.Now()
			e, position := w.offer("service", admission.Request{Urgency: 2 - u, Arrival: now, Deadline: now.Add(time.Hour)}, now.Add(time.Second))
			if position != 0 {
				t.Errorf("request of urgency %d has position %d, want 0", 2-u, position)
			}
			entries = append(entries, e)
		}
		*usableAt = time.Now().Add(5 * time.Millisecond)
		w.checkAll()
		expect := func(step string, want ...*queueEntry) {
			t.Helper()
			for i, e := range entries {
				select {
				case s := <-e.Value:
					if s != examine || !slices.Contains(want, e) {
						t.Errorf("%s: entry %d got signal %d", step, i, s)
					}
				default:
					if slices.Contains(want, e) {
						t.Errorf("%s: entry %d got no signal", step, i)
					}
				}
			}
		}
		expect("no server usable")
		time.Sleep(5*time.Millisecond + time.Nanosecond)
		expect("server usable", entries[2])
		w.endExamination("service", entries[2], true)
		expect("first one sent", entries[1])
		entries[1].Request.ReadyAt = time.Now().Add(300 * time.Millisecond)
		w.resume("service", entries[1], time.Now().Add(time.Second))
		expect("second one returned", entries[0])
		w.endExamination("service", entries[0], true)
		time.Sleep(290 * time.Millisecond)
		expect("second one not ready")
		time.Sleep(20 * time.Millisecond)
		expect("second one ready", entries[1])
		w.endExamination("service", entries[1], false)
		if n := w.count.Load(); n != 0 {
			t.Errorf("%d requests are left", n)
		}
	})
}

// Guards against requests that wait longer than they may, exceed the bounds of the queue,
// or stay in it after their clients have left.
func TestWaitersAreRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := testWaiters(admission.Config{MaxRequests: 2, MaxBytes: 100})
		now := time.Now()
		offer := func(urgency int) *queueEntry {
			e, _ := w.offer("service", admission.Request{Urgency: urgency, Arrival: now, Deadline: now.Add(time.Hour)}, now.Add(95*time.Millisecond))
			return e
		}
		urgent, shed, left := offer(0), offer(9), offer(1)
		if s := <-shed.Value; s != refuse || time.Since(now) > 0 {
			t.Errorf("least urgent request got signal %d after %v, want a refusal at once", s, time.Since(now))
		}
		w.remove("service", left)
		if n := w.count.Load(); n != 1 || w.length(0) != 1 || w.length(1) != 0 {
			t.Errorf("%d requests wait, want 1", n)
		}
		if s := <-urgent.Value; s != refuse || time.Since(now) != 95*time.Millisecond {
			t.Errorf("got signal %d after %v, want a refusal after 95ms", s, time.Since(now))
		}
	})
}

// Guards against waiting requests that do not learn of a planned stop, and against ones that
// are examined without pause because they may go on in spite of it.
func TestPlannedStopExaminesWaitersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := testWaiters(admission.Config{MaxRequests: 2, MaxBytes: 100})
		now := time.Now()
		e, _ := w.offer("service", admission.Request{Arrival: now, Deadline: now.Add(time.Hour)}, now.Add(time.Second))
		w.config.Stopping = func() bool { return true }
		w.checkAll()
		if s := <-e.Value; s != examine || time.Since(now) > 0 {
			t.Errorf("got signal %d after %v, want an examination at once", s, time.Since(now))
		}
		w.resume("service", e, now.Add(time.Second))
		if s := <-e.Value; s != refuse || time.Since(now) != time.Second {
			t.Errorf("got signal %d after %v, want a refusal after 1s", s, time.Since(now))
		}
	})
}

// Guards against a less urgent new request that takes the slot of a full server before a
// more urgent one that waits for it.
func TestLessUrgentRequestsYield(t *testing.T) {
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
	var elapsed atomic.Int64 // since the start, in nanoseconds
	start := time.Now()
	f := newForwarderWith(t, func(c *Config) {
		c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
		c.Now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
		c.Poison = recorder
	}, 1000, 10*time.Second, s)
	var wg sync.WaitGroup
	for n, path := range []string{"/0/", "/9/"} {
		wg.Go(func() {
			if r := call(t, f, http.MethodPost, path, path); r.status != http.StatusOK {
				t.Errorf("%s: got status %d, want 200", path, r.status)
			}
		})
		awaitWaiting(t, f, int64(n+1))
	}
	// The less urgent request is accepted, and checked before and after its first wait.
	urgent, other := fingerprint(http.MethodPost, "/0/", ""), fingerprint(http.MethodPost, "/9/", "")
	recorder.await(other, 3)
	awaitWaiting(t, f, 2)
	recorder.reset()
	elapsed.Store(int64(fullServerPause))
	wg.Wait()
	if want := []uint64{urgent, other}; !slices.Equal(recorder.checked, want) {
		t.Errorf("requests were sent in the order %v, want %v", recorder.checked, want)
	}
}

// Guards against a request that is refused although a server is due in time for its
// objective, and against one that is held although none is.
func TestRequestWaitsWhileItsObjectiveCanBeMet(t *testing.T) {
	for _, tt := range []struct {
		name   string
		pause  time.Duration // of the only server, when the request arrives
		status int
		held   bool
	}{
		{"server is due in time", 1500 * time.Millisecond, http.StatusOK, true},
		{"server is due too late", 3500 * time.Millisecond, http.StatusServiceUnavailable, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := serveRaw(t, func(c *rawConn) {
				for id := c.readRequest(); id != ""; id = c.readRequest() {
					c.send(answer(id, "answer"))
				}
			})
			table, servers := urgencyTable(4*time.Second, 0), pool.New()
			var elapsed atomic.Int64 // since the start, in nanoseconds
			start := time.Now()
			f := newForwarderWith(t, func(c *Config) {
				c.View = func() View { return View{Table: table, Confirmed: start, Fresh: true} }
				c.Now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
				c.Pool = servers
			}, 1000, 10*time.Second)
			servers.Put(pool.Registration{ID: "server-0", Service: "service", Address: s.address, Slots: 8}, start)
			servers.Service("service")[0].SetRetryAt(start.Add(tt.pause))
			done := make(chan result, 1)
			go func() { done <- call(t, f, http.MethodPost, "/0/", "r1") }()
			if tt.held {
				awaitWaiting(t, f, 1)
				elapsed.Store(int64(tt.pause))
			}
			if r := <-done; r.status != tt.status {
				t.Errorf("got status %d, want %d", r.status, tt.status)
			}
		})
	}
}

// Guards against requests that wait for a server, and take a turn, after their clients
// have left.
func TestRequestLeavesTheQueueWithItsClient(t *testing.T) {
	table := urgencyTable(20*time.Second, 0)
	f := newForwarderWith(t, func(c *Config) {
		c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
	}, 1000, 10*time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/0/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "app.example"
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultClient.Do(request); err == nil {
			t.Errorf("got status %d, want no response", response.StatusCode)
			response.Body.Close()
		}
	}()
	awaitWaiting(t, f, 1)
	cancel()
	<-done
	awaitWaiting(t, f, 0)
}

// BenchmarkCheck measures a check of a queue of 64 requests behind 90 servers that want no
// requests, which takes place every 20 ms while requests wait, and at each end of an attempt.
func BenchmarkCheck(b *testing.B) {
	servers := pool.New()
	for i := range 90 {
		servers.Put(pool.Registration{ID: strconv.Itoa(i), Service: "service", Address: "127.0.0.1:1"}, time.Now())
	}
	for _, s := range servers.Service("service") {
		s.SetRetryAt(time.Now().Add(time.Hour))
	}
	table := urgencyTable(time.Second, 0)
	h, err := New(Config{Pool: servers, Now: time.Now, View: func() View { return View{Table: table} }})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	for i := range 64 {
		h.waiters.offer("service", admission.Request{Workspace: strconv.Itoa(i % 16), Urgency: i % 3, Arrival: now, Deadline: now.Add(time.Hour)}, now.Add(time.Hour))
	}
	for b.Loop() {
		h.waiters.check("service")
	}
}
