package pool

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/pacing"
)

// limitedServer returns the only server of a pool, which allows rate requests per second, at
// an instance that is the only sender or none.
func limitedServer(rate float64, isSender bool) *Worker {
	p, now := New(), time.Unix(1000, 0)
	p.Put(Registration{ID: "server", Service: "service", Address: "127.0.0.1:1", Incarnation: 1}, now)
	live := []pacing.Instance{{ID: "other"}}
	if isSender {
		live[0].ID = "self"
	}
	p.SetSenders(&Senders{Self: "self", Live: live})
	w := p.Service("service")[0]
	w.RecordLimit(rate, now, now)
	return w
}

// Guards against more requests to a limited server than it allows, also in one moment.
func TestLimitedServerIsPaced(t *testing.T) {
	w, now := limitedServer(2, true), time.Unix(2000, 0)
	var acquired atomic.Int64
	for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				if w.Acquire(now) {
					acquired.Add(1)
				}
			})
		}
		wg.Wait()
	}
	if n := acquired.Load(); n < 6 || n > 9 {
		t.Errorf("got %d requests in 4 s, want 6 to 9", n)
	}
	if at := w.RetryAt(now); at.After(now.Add(time.Second)) {
		t.Errorf("may be sent the next request in %v, want within 1 s", at.Sub(now))
	}
}

// Guards against requests of an instance that is not among the senders of a limited server,
// and against a server that stays limited after its limit has ended.
func TestOnlySendersUseALimitedServer(t *testing.T) {
	w, now := limitedServer(2, false), time.Unix(2000, 0)
	if w.Acquire(now) || w.Accepts(now) {
		t.Error("a request is sent to the server")
	}
	if at := w.RetryAt(now); !at.After(now) {
		t.Errorf("the next request may be sent at %v, want later than now", at)
	}
	w.RecordLimit(0, now, now)
	if !w.Acquire(now) || w.Limited() {
		t.Error("the server is still limited")
	}
}

// Guards against a server that counts as limited because an earlier process under its ID was.
func TestLimitBelongsToTheProcess(t *testing.T) {
	p, now := New(), time.Unix(1000, 0)
	p.Put(Registration{ID: "server", Service: "service", Address: "127.0.0.1:1", Incarnation: 1}, now)
	p.Service("service")[0].RecordLimit(1, now, now)
	p.Put(Registration{ID: "server", Service: "service", Address: "127.0.0.1:1", Incarnation: 2}, now)
	if p.Service("service")[0].Limited() {
		t.Error("the new process is limited")
	}
}
