package usage

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const window = 5 * time.Second

// values is a store that keeps keys in memory.
type values struct {
	store.Store
	mu    sync.Mutex
	items map[string][]byte
}

func (v *values) List(context.Context, string) (items []store.Item, next int64, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key, value := range v.items {
		items = append(items, store.Item{Key: key, Value: value})
	}
	return items, 1, nil
}

func (v *values) Commit(_ context.Context, c store.Commit) (int64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, condition := range c.Conditions {
		if _, ok := v.items[condition.Key]; ok {
			return 0, store.ErrConflict
		}
	}
	for _, p := range c.Puts {
		v.items[p.Key] = p.Value
	}
	return 1, nil
}

func (v *values) Get(_ context.Context, key string) (store.Item, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return store.Item{Key: key, Value: v.items[key]}, nil
}

// holder is the duty as one instance sees it.
type holder struct {
	fleet *fleet
	id    string
}

func (h holder) Fence() (int64, bool) {
	current, fence := h.fleet.current()
	return fence, current == h.id
}

func (h holder) Current() (string, int64) { return h.fleet.current() }

func (h holder) Learn(string, int64) {}

// fleet is a number of reporters that reach each other.
type fleet struct {
	t         *testing.T
	mu        sync.Mutex
	holder    string
	fence     int64
	reporters map[string]*Reporter
	stops     map[string]context.CancelFunc
	store     values
	reports   map[int64]map[string]int64
}

func newFleet(t *testing.T, ids ...string) *fleet {
	f := &fleet{
		t: t, holder: ids[0], fence: 1, reporters: make(map[string]*Reporter), stops: make(map[string]context.CancelFunc),
		store: values{items: make(map[string][]byte)}, reports: make(map[int64]map[string]int64),
	}
	for _, id := range ids {
		f.start(id, 1)
	}
	return f
}

func (f *fleet) current() (string, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder, f.fence
}

// appoint gives the duty to an instance, or to none.
func (f *fleet) appoint(id string, fence int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder, f.fence = id, fence
}

func (f *fleet) start(id string, incarnation int) {
	r := New(Config{
		Instance: id, Node: fmt.Sprintf("%s/%d", id, incarnation), Window: window, Duty: holder{f, id}, Store: &f.store, Prefix: "usage/",
		Report: func(_ context.Context, _, k int64, counts map[string]int64) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			if have, ok := f.reports[k]; ok && !maps.Equal(have, counts) {
				f.t.Errorf("window %d is reported as %v and as %v", k, have, counts)
			}
			f.reports[k] = counts
			return nil
		},
		Tell: func(ctx context.Context, id string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
			f.mu.Lock()
			to, ok := f.reporters[id]
			f.mu.Unlock()
			if !ok {
				return nil, fmt.Errorf("%s is gone", id)
			}
			return to.Serve(ctx, r)
		},
		Live: f.live, Registered: f.live, Log: zap.NewNop(),
	})
	ctx, stop := context.WithCancel(f.t.Context())
	f.mu.Lock()
	f.reporters[id], f.stops[id] = r, stop
	f.mu.Unlock()
	go r.Run(ctx)
}

func (f *fleet) live() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.reporters {
		ids = append(ids, id)
	}
	return ids
}

// stop ends an instance as planned; a successor takes its duty.
func (f *fleet) stop(id, successor string) {
	r := f.reporters[id]
	r.Flush(f.t.Context())
	f.mu.Lock()
	delete(f.reporters, id)
	f.mu.Unlock()
	if current, fence := f.current(); current == id {
		f.appoint("", fence+1)
		r.HandOver(f.t.Context())
		time.Sleep(2 * time.Second) // its lease runs out
		f.appoint(successor, fence+1)
	}
	f.stops[id]()
}

// total returns what was reported of a workspace.
func (f *fleet) total(workspace string) (n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, counts := range f.reports {
		n += counts[workspace]
	}
	return n
}

// Guards against counts that are lost, or counted twice, when instances stop as
// planned in the midst of a window, the holder of the duty among them.
func TestPlannedStopsLoseNoCounts(t *testing.T) {
	tests := []struct {
		name string
		stop []string
	}{
		{"none", nil},
		{"an instance", []string{"b"}},
		{"the holder", []string{"a"}},
		{"an instance, then the holder", []string{"b", "a"}},
		{"the holder, then an instance", []string{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c", "d")
				want := int64(0)
				for i := range 100 {
					for _, r := range f.reporters {
						r.Began("fairs")
						want++
					}
					time.Sleep(100 * time.Millisecond)
					if n := i - 40; n >= 0 && n%10 == 0 && n/10 < len(tt.stop) {
						f.stop(tt.stop[n/10], "c")
					}
				}
				time.Sleep(2 * waitForAll)
				for _, stop := range f.stops {
					stop()
				}
				if got := f.total("fairs"); got != want {
					t.Errorf("got %d requests reported, want %d", got, want)
				}
			})
		})
	}
}

// Guards against an instance that restarted twice in a window and stands for
// another one whose counts are on their way.
func TestRestartedInstanceStandsForNoOther(t *testing.T) {
	c := &collector{got: map[int64]map[string]*peerpb.UsageRequest{7: {"a/1": nil, "a/2": nil}}}
	if c.complete(7, []string{"a", "b"}) {
		t.Error("counts of a alone are complete for a and b")
	}
	c.got[7]["b/1"] = nil
	if !c.complete(7, []string{"a", "b"}) {
		t.Error("counts of a and b are not complete")
	}
}
