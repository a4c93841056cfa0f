package pool

import (
	"fmt"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

var epoch = time.Unix(1000, 0)

// Guards against memory use that grows with all prompts ever sent, and against
// parts that count as cached long after their last use or without the parts
// before them.
func TestPromptsAreBoundedAndExpire(t *testing.T) {
	var p Prompts
	now := epoch
	for n := range uint64(100_000) {
		now = now.Add(promptTTL / 100) // 100 parts are in use at a time
		p.Add([]route.Part{{Chain: n, Tokens: 10}}, now)
	}
	if got, limit := len(p.parts), 1000; got > limit {
		t.Errorf("got %d parts kept with 100 in use, want at most %d", got, limit)
	}
	parts := []route.Part{{Chain: 1 << 40, Tokens: 100}, {Chain: 1<<40 + 1, Tokens: 50}}
	p.Add(parts[:1], now)
	tests := []struct {
		name  string
		parts []route.Part
		after time.Duration
		want  int
	}{
		{"both parts, first one read", parts, 0, 100},
		{"second part only", parts[1:], 0, 0},
		{"after the TTL", parts, promptTTL + 1, 0},
	}
	for _, tt := range tests {
		if got := p.CachedTokens(tt.parts, now.Add(tt.after)); got != tt.want {
			t.Errorf("%s: got %d tokens cached, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a server that is lost, duplicated or wrongly restored when its
// registration changes, expires and returns.
func TestPoolKeepsOneWorkerPerServer(t *testing.T) {
	p := New()
	s := Registration{ID: "a", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}
	usable := func() int {
		n := 0
		for _, w := range p.Service("s") {
			if w.Usable() {
				n++
			}
		}
		return n
	}
	leaving, restarted, moved := s, s, s
	leaving.Leaving = true
	restarted.Incarnation = 2
	moved.Incarnation, moved.Service = 2, "other"
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"registered", func() { p.Put(s, epoch) }, 1},
		{"registered again", func() { p.Put(s, epoch) }, 1},
		{"leaving", func() { p.Put(leaving, epoch) }, 0},
		{"old registration again", func() { p.Put(s, epoch) }, 0},
		{"new incarnation", func() { p.Put(restarted, epoch) }, 1},
		{"registration expired", func() { p.Remove("a", epoch.Add(time.Second)) }, 1},
		{"before the time of removal", func() { p.Expire(epoch) }, 1},
		{"registered again before the time of removal", func() { p.Put(restarted, epoch); p.Expire(epoch.Add(time.Minute)) }, 1},
		{"not registered again", func() { p.Remove("a", epoch.Add(time.Second)); p.Expire(epoch.Add(time.Minute)) }, 0},
		{"registered after the removal", func() { p.Put(restarted, epoch) }, 1},
		{"moved to another service", func() { p.Put(moved, epoch) }, 0},
		{"removed", func() { p.Remove("a", time.Time{}) }, 0},
	}
	for _, st := range steps {
		st.do()
		if got := usable(); got != st.want {
			t.Errorf("%s: got %d usable servers, want %d", st.name, got, st.want)
		}
	}
	if p.Len() != 0 {
		t.Errorf("got %d servers at the end, want none", p.Len())
	}
}

// Guards against what is known of a process that counts for the next one under the same
// ID and address: prompts that it has read, its load, its failures and its leaving.
func TestRestartedServerStartsAnew(t *testing.T) {
	s := Registration{ID: "a", Service: "s", Address: "127.0.0.1:1", Incarnation: 1700000000000}
	parts := []route.Part{{Chain: 1, Tokens: 100}}
	p := New()
	p.Put(s, epoch)
	old := p.Service("s")[0]
	old.Prompts.Add(parts, epoch)
	old.Begin(100, epoch)
	old.Failed(epoch)
	s.Leaving = true
	p.Put(s, epoch)

	s.Leaving, s.Incarnation = false, s.Incarnation+1
	if !p.Put(s, epoch) {
		t.Error("the restart counts as no change")
	}
	w := p.Service("s")[0]
	if w == old || len(p.Service("s")) != 1 {
		t.Fatalf("got %d servers, the first of which is the old process: %v", len(p.Service("s")), w == old)
	}
	if !w.Usable() || w.Suspect(epoch) || w.Running() != 0 || w.PendingTokens() != 0 || w.Prompts.CachedTokens(parts, epoch) != 0 || !w.RecentlyJoined(epoch) {
		t.Errorf("the restarted server is usable %v, suspect %v, runs %d requests with %d tokens to read and has cached %d tokens, want a new one",
			w.Usable(), w.Suspect(epoch), w.Running(), w.PendingTokens(), w.Prompts.CachedTokens(parts, epoch))
	}
	if old.Usable() {
		t.Error("the old process is still usable")
	}
	// The end of a request of the old process must not count for the new one.
	old.PromptRead(100)
	old.End()
	if w.Running() != 0 || w.PendingTokens() != 0 {
		t.Errorf("after the end of a request of the old process: %d requests and %d tokens, want none", w.Running(), w.PendingTokens())
	}
}

// Guards against a silent server that keeps getting requests, and against a
// server that is avoided for long after one failure.
func TestSilentOrFailedServerIsSuspect(t *testing.T) {
	w := newWorker(Registration{ID: "a"}, new(processState), new(sharedState), epoch)
	now := epoch
	check := func(what string, want bool) {
		t.Helper()
		if got := w.Suspect(now); got != want {
			t.Errorf("%s: suspect %v, want %v", what, got, want)
		}
	}
	check("idle", false)
	w.Begin(0, now)
	now = now.Add(silenceTimeout + 1)
	check("silent with a request", true)
	w.Received(now)
	check("data received", false)
	w.End()
	now = now.Add(time.Hour)
	check("idle for an hour", false)
	w.Failed(now)
	check("failed", true)
	now = now.Add(minAvoidance + 1)
	check("a while after one failure", false)
	for range 20 {
		w.Failed(now)
	}
	now = now.Add(maxAvoidance + 1)
	check("after many failures", false)
	w.Failed(now)
	w.Succeeded(now)
	check("succeeded after failures", false)
}

// Guards against readers that see none or only a part of a batch after its end, or
// changes outside of a batch late.
func TestBatchIsPublishedOnce(t *testing.T) {
	p := New()
	before := p.view.Load()
	p.Batch(func() {
		for n := range 10 {
			p.Put(Registration{ID: fmt.Sprint(n), Service: "s"}, epoch)
		}
		p.Remove("3", time.Time{})
		if p.view.Load() != before {
			t.Error("a view was published within the batch")
		}
	})
	if got := len(p.Service("s")); got != 9 {
		t.Errorf("after the batch: got %d servers, want 9", got)
	}
	p.Put(Registration{ID: "later", Service: "s"}, epoch)
	if got := len(p.Service("s")); got != 10 {
		t.Errorf("after another server: got %d servers, want 10", got)
	}
	unchanged := p.view.Load()
	p.Batch(func() {})
	if p.view.Load() != unchanged {
		t.Error("a batch without changes published a view")
	}
}

// BenchmarkRegister registers servers as the first listing of the store does; the
// time for a server must not grow with their number.
func BenchmarkRegister(b *testing.B) {
	for _, servers := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			for b.Loop() {
				p := New()
				p.Batch(func() {
					for n := range servers {
						p.Put(Registration{ID: fmt.Sprint(n), Service: "s"}, epoch)
					}
				})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*servers), "ns/server")
		})
	}
}

// Guards against a process that is used again after it said that it leaves, because
// its registration disappeared and returned, or changed, and against a new process
// that is taken for it.
func TestLeavingOutlivesTheRegistration(t *testing.T) {
	s := Registration{ID: "a", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}
	changed, restarted, moved := s, s, s
	changed.Version = "v2"
	restarted.Incarnation = 2
	moved.Address = "127.0.0.1:2"
	for _, tt := range []struct {
		name     string
		register func(p *Pool)
		usable   bool
	}{
		{"the same registration", func(p *Pool) { p.Put(s, epoch) }, false},
		{"another version", func(p *Pool) { p.Put(changed, epoch) }, false},
		{"removed and registered", func(p *Pool) { p.Remove("a", time.Time{}); p.Put(s, epoch) }, false},
		{"expired and registered", func(p *Pool) { p.Remove("a", epoch); p.Expire(epoch); p.Put(s, epoch) }, false},
		{"an old registration after a new process", func(p *Pool) { p.Put(restarted, epoch); p.Put(s, epoch) }, false},
		{"new incarnation", func(p *Pool) { p.Put(restarted, epoch) }, true},
		{"new address", func(p *Pool) { p.Put(moved, epoch) }, true},
	} {
		p := New()
		p.Put(s, epoch)
		p.Service("s")[0].MarkLeaving()
		tt.register(p)
		if got := p.Service("s")[0].Usable(); got != tt.usable {
			t.Errorf("%s: usable %v, want %v", tt.name, got, tt.usable)
		}
	}
	p := New()
	p.Put(s, epoch)
	w := p.Service("s")[0]
	p.Remove("a", time.Time{})
	w.MarkLeaving() // an answer that comes after the removal
	p.Put(s, epoch)
	if p.Service("s")[0].Usable() {
		t.Error("usable after an answer that came between removal and registration")
	}
}

// Guards against a server that gets requests before the time that it asked for,
// because of a shorter time in a later refusal, a success, or a new registration.
func TestRetryTimeHolds(t *testing.T) {
	s := Registration{ID: "a", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}
	changed, restarted := s, s
	changed.Version = "v2"
	restarted.Incarnation = 2
	at := epoch.Add(3 * time.Second)
	for _, tt := range []struct {
		name   string
		do     func(p *Pool, w *Worker)
		before bool
	}{
		{"nothing else", func(*Pool, *Worker) {}, false},
		{"an earlier time", func(_ *Pool, w *Worker) { w.SetRetryAt(epoch.Add(time.Second)) }, false},
		{"a success", func(_ *Pool, w *Worker) { w.Succeeded(epoch.Add(time.Second)) }, false},
		{"another version", func(p *Pool, _ *Worker) { p.Put(changed, epoch) }, false},
		{"removed and registered", func(p *Pool, _ *Worker) { p.Remove("a", time.Time{}); p.Put(s, epoch) }, false},
		{"new process", func(p *Pool, _ *Worker) { p.Put(restarted, epoch) }, true},
	} {
		p := New()
		p.Put(s, epoch)
		w := p.Service("s")[0]
		w.SetRetryAt(at)
		tt.do(p, w)
		w = p.Service("s")[0]
		if got := w.Accepts(at.Add(-1)); got != tt.before {
			t.Errorf("%s: accepts requests before the time: %v, want %v", tt.name, got, tt.before)
		}
		if !w.Accepts(at) {
			t.Errorf("%s: accepts no requests at the time", tt.name)
		}
	}
}

// Guards against memory use that grows with all processes that ever left.
func TestRemovedProcessesAreBounded(t *testing.T) {
	p := New()
	for n := range 3 * maxRemovedProcesses {
		s := Registration{ID: fmt.Sprint("s", n%5), Service: "s", Address: "127.0.0.1:1", Incarnation: int64(n + 1)}
		p.Put(s, epoch)
		if n%2 == 0 {
			p.Remove(s.ID, time.Time{})
		}
	}
	if got, limit := len(p.states.states), maxRemovedProcesses+5; got > limit || len(p.states.removed) > maxRemovedProcesses {
		t.Errorf("got %d states and %d removed processes, want at most %d and %d", got, len(p.states.removed), limit, maxRemovedProcesses)
	}
}

// Guards against a leaving process that is used again, because others that were removed
// and returned many times took its place among those that are remembered.
func TestReturningProcessesKeepTheOthersRemembered(t *testing.T) {
	p := New()
	const servers = 100
	for range 20 { // rounds
		for n := range servers {
			s := Registration{ID: fmt.Sprint("s", n), Service: "s", Address: "127.0.0.1:1", Incarnation: 1}
			p.Put(s, epoch)
		}
		for _, w := range p.Service("s") {
			w.MarkLeaving()
		}
		for n := range servers {
			p.Remove(fmt.Sprint("s", n), time.Time{})
		}
	}
	if got := len(p.states.removed); got != servers {
		t.Errorf("got %d removed processes, want %d", got, servers)
	}
	p.Put(Registration{ID: "s0", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}, epoch)
	if p.Service("s")[0].Usable() {
		t.Error("a process that said that it leaves is usable after it returned")
	}
}

// Guards against an entry of another writer that moves a sound server to another service,
// or takes it out of use for good (ROUTE).
func TestUpdateWithoutIncarnationIsIgnored(t *testing.T) {
	p := New()
	s := Registration{ID: "a", Service: "s", Address: "127.0.0.1:1", Incarnation: 1}
	p.Put(s, epoch)
	odd := s
	odd.Incarnation, odd.Service, odd.Leaving = 0, "other", true
	if p.Put(odd, epoch) {
		t.Error("an update without an incarnation changed the server")
	}
	if got := p.Service("s"); len(got) != 1 || !got[0].Usable() || len(p.Service("other")) != 0 {
		t.Errorf("got servers %v of the service and %v of the other, want the server unchanged", got, p.Service("other"))
	}
}
