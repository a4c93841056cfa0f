package pool

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/coldstart"
	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
)

const coldInterval = 250 * time.Millisecond

// newColdPool returns a pool with a server "a" that this instance owns while it is cold,
// and "b" that another instance owns, both of a service with a limit and known to be
// cold for 3 s from epoch.
func newColdPool(rate float64) (p *Pool, owned, other *Worker) {
	p = New()
	rosters := (*coldstart.Rosters)(nil).Replace([]coldstart.Instance{{ID: "self", FailureDomain: "z"}, {ID: "peer", FailureDomain: "y"}}, epoch.Add(-time.Hour))
	p.SetColdStart(&ColdStart{
		Limits: map[string]coldstart.Limit{"s": {Rate: rate, ColdTime: 3 * time.Second}}, Self: "self", Rosters: rosters,
		Confirmed: func() time.Time { return epoch }, IsLive: func(string) bool { return true },
	})
	p.Put(Registration{ID: "a", Service: "s", FailureDomain: "z", Incarnation: 1, ColdLeft: 3 * time.Second, Revision: 5}, epoch)
	p.Put(Registration{ID: "b", Service: "s", FailureDomain: "y", Incarnation: 1, ColdLeft: 3 * time.Second, Revision: 6}, epoch)
	return p, p.Service("s")[0], p.Service("s")[1]
}

// coldRate makes owners send every coldInterval.
const coldRate = 4 / 0.75

// Guards against requests to a cold server by an instance that does not own it, and
// against more of them than the owner may send, also at the same time.
func TestOnlyTheOwnerSendsToAColdServer(t *testing.T) {
	p, owned, other := newColdPool(coldRate)
	if other.Accepts(epoch) || other.Acquire(epoch) {
		t.Error("an instance that does not own the cold server sends to it")
	}
	if at := other.RetryAt(epoch); !at.Equal(epoch.Add(3 * time.Second)) {
		t.Errorf("got the next request at %v, want at the end of the cold time", at)
	}
	var acquired atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if owned.Acquire(epoch) {
				acquired.Add(1)
			}
		})
	}
	wg.Wait()
	if n := acquired.Load(); n != 1 {
		t.Errorf("%d of 50 concurrent requests were sent, want 1", n)
	}
	if owned.Acquire(epoch.Add(coldInterval - 1)) {
		t.Error("a request was sent before the interval had passed")
	}
	if at := owned.RetryAt(epoch.Add(time.Millisecond)); !at.Equal(epoch.Add(coldInterval)) {
		t.Errorf("got the next request at %v, want at %v", at, epoch.Add(coldInterval))
	}
	if !owned.Acquire(epoch.Add(coldInterval)) {
		t.Error("no request was sent after the interval")
	}
	if n := p.ColdServers(epoch); n != 2 {
		t.Errorf("got %d cold servers, want 2", n)
	}
	if n := p.ColdSends(); n != 2 {
		t.Errorf("got %d requests to cold servers, want 2", n)
	}
}

// Guards against a change for services without a limit.
func TestWithoutLimitColdServersAreUsedAsOthers(t *testing.T) {
	_, owned, other := newColdPool(0)
	random := func() uint64 { t.Error("a random number was drawn"); return 0 }
	for _, w := range []*Worker{owned, other} {
		for range 10 {
			if !w.Accepts(epoch) || !w.Acquire(epoch) || w.Cold(epoch) || w.Ramps(epoch, random) || !w.RetryAt(epoch).Equal(time.Unix(0, 0)) {
				t.Errorf("server %s is limited", w.ID)
			}
		}
	}
}

// Guards against a cold time that ends too early, because of an entry that was written
// before the server turned cold or was applied already, or never.
func TestColdTimeEnds(t *testing.T) {
	entry := func(left time.Duration, revision int64) Registration {
		return Registration{ID: "b", Service: "s", FailureDomain: "y", Incarnation: 1, ColdLeft: left, Revision: revision}
	}
	restarted := entry(0, 9)
	restarted.Incarnation = 2
	second := epoch.Add(time.Second)
	tests := []struct {
		name string
		do   func(p *Pool, w *Worker)
		want time.Duration // the end of the cold time
	}{
		{"entry", func(*Pool, *Worker) {}, 3 * time.Second},
		{"entry says warm", func(p *Pool, _ *Worker) { p.Put(entry(0, 7), second) }, time.Second},
		{"the same entry again", func(p *Pool, _ *Worker) { p.Put(entry(3*time.Second, 6), second) }, 3 * time.Second},
		{"later entry", func(p *Pool, _ *Worker) { p.Put(entry(3*time.Second, 7), second) }, 4 * time.Second},
		{"response", func(_ *Pool, w *Worker) { w.SetColdLeft(5*time.Second, second) }, 6 * time.Second},
		{"response with a shorter time", func(_ *Pool, w *Worker) { w.SetColdLeft(time.Second, second) }, 3 * time.Second},
		{"entry from before the response", func(p *Pool, w *Worker) { w.SetColdLeft(5*time.Second, epoch); p.Put(entry(0, 7), second) }, 5 * time.Second},
		{"entry from after the response", func(p *Pool, w *Worker) {
			w.SetColdLeft(5*time.Second, epoch)
			p.Put(entry(0, 7), epoch.Add(maxEntryDelay+1))
		}, maxEntryDelay + 1},
		{"garbled response", func(_ *Pool, w *Worker) { w.SetColdLeft(1<<62, epoch) }, maxColdTime},
		{"another process", func(p *Pool, _ *Worker) { p.Put(restarted, second) }, 0},
		{"domain evacuated and returned", func(p *Pool, _ *Worker) {
			s, _ := p.EvacuatedDomains().Apply(evacuation.Update{Changes: []evacuation.Change{{Domain: "y", Revision: 8}, {Domain: "y", Revision: 9, Removed: true}}}, second)
			p.SetEvacuatedDomains(s)
		}, 4 * time.Second},
	}
	for _, tt := range tests {
		p, _, w := newColdPool(coldRate)
		tt.do(p, w)
		w = p.Service("s")[1]
		if w.Cold(epoch.Add(tt.want)) || tt.want > 0 && !w.Cold(epoch.Add(tt.want-1)) {
			t.Errorf("%s: cold time ends %v after the start, want %v", tt.name, w.coldUntil(*w.coldLimit.Load()).Sub(epoch), tt.want)
		}
	}
}

// Guards against a server that gets all requests at once when its cold time ends, or few
// of them for ever.
func TestServerRampsUpAfterItsColdTime(t *testing.T) {
	p, _, w := newColdPool(coldRate)
	p.Put(Registration{ID: "b", Service: "s", FailureDomain: "y", Incarnation: 1, Revision: 7}, epoch.Add(3500*time.Millisecond))
	n := uint64(0)
	random := func() uint64 { n += 0x9e3779b97f4a7c15; return n >> 11 }
	for after, want := range map[time.Duration]int{3 * time.Second: 0, 4500 * time.Millisecond: 500, 6 * time.Second: 1000} {
		got := 0
		for range 1000 {
			if !w.Ramps(epoch.Add(after), random) {
				got++
			}
		}
		if got < want-50 || got > want+50 {
			t.Errorf("%v after the start: got %d of 1000 requests, want about %d", after, got, want)
		}
	}
}

// Guards against a request that is sent to a server whose failure domain was evacuated
// after the server was chosen.
func TestEvacuationCountsBetweenChoiceAndSending(t *testing.T) {
	p := New()
	p.Put(Registration{ID: "a", Service: "s", FailureDomain: "z"}, epoch)
	w := p.Service("s")[0]
	if !w.Accepts(epoch) {
		t.Fatal("the server accepts no requests")
	}
	s, _ := p.EvacuatedDomains().Apply(evacuation.Update{Changes: []evacuation.Change{{Domain: "z", Revision: 1}}}, epoch)
	p.SetEvacuatedDomains(s)
	if w.Acquire(epoch) || w.Usable() {
		t.Error("the server of the evacuated domain can be acquired")
	}
	s, _ = s.Apply(evacuation.Update{Complete: true, Revision: 2}, epoch.Add(time.Minute))
	p.SetEvacuatedDomains(s)
	if at := epoch.Add(time.Minute); !w.Acquire(at) || !w.RecentlyJoined(at) {
		t.Error("the server of the returned domain cannot be acquired, or does not count as new")
	}
}
