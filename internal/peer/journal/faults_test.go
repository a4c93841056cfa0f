package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	decide "wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
)

// faultyStore randomly drops, delays and rejects calls to a store.
type faultyStore struct {
	kv.Store
	mu      sync.Mutex
	random  *rand.Rand
	delayed sync.WaitGroup
}

func (f *faultyStore) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultyStore) Get(ctx context.Context, key string) (kv.Value, error) {
	if f.intN(15) == 0 {
		return kv.Value{}, kv.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	switch f.intN(20) {
	case 0:
		return 0, kv.ErrUnavailable
	case 1:
		return 0, kv.ErrUnknown // the write was lost
	case 2, 3:
		_, _ = f.Store.Put(ctx, key, data, ifRevision)
		return 0, kv.ErrUnknown // the write took effect, the reply was lost
	case 4, 5:
		f.delayed.Go(func() {
			time.Sleep(time.Duration(f.intN(5000)) * time.Microsecond)
			_, _ = f.Store.Put(context.Background(), key, data, ifRevision)
		})
		return 0, kv.ErrUnknown // the write takes effect later or fails
	}
	return f.Store.Put(ctx, key, data, ifRevision)
}

// Guards against running the call of a key twice, or running an attempt that was
// reported as not run, with concurrent instances, unreachable owners and a store
// that drops, delays and rejects calls.
func TestAtMostOneRunWithFaults(t *testing.T) {
	const seed, keys, clients, tries = 1, 500, 16, 250
	t.Logf("seed %d", seed)
	store := &faultyStore{Store: kvtest.New(), random: rand.New(rand.NewPCG(seed, 1))}
	t.Cleanup(store.delayed.Wait)
	m, js := newMesh(t, 3, fastConfig(store, 2))
	var runs [keys]atomic.Int32
	var reserved, otherStatus, notRun atomic.Int32
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(c+2)))
			for try := range tries {
				k, id := random.IntN(keys), fmt.Sprintf("%d-%d", c, try)
				m.setUnreachable(fmt.Sprintf("entry-%d", random.IntN(3)), random.IntN(3) == 0)
				j := js[random.IntN(len(js))]
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(40))*time.Millisecond)
				r, err := j.Reserve(ctx, testKey(k), id, 7)
				cancel()
				switch {
				case err != nil:
					notRun.Add(1)
				case r.Status != decide.Reserved:
					otherStatus.Add(1)
				case random.IntN(3) == 0: // the call provably did not run
					reserved.Add(1)
					_, _ = j.Complete(t.Context(), testKey(k), id, true, nil)
				default:
					reserved.Add(1)
					if n := runs[k].Add(1); n > 1 {
						t.Errorf("key %d: got %d runs, want at most 1; the last by %s", k, n, id)
					}
					_, _ = j.Complete(t.Context(), testKey(k), id, false, &decide.Response{Status: 200})
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d attempts: %d reserved, %d with another status, %d not run", clients*tries, reserved.Load(), otherStatus.Load(), notRun.Load())
	if reserved.Load() < keys/2 {
		t.Errorf("too many faults to show anything: got %d reservations, want at least %d", reserved.Load(), keys/2)
	}
}

// ambiguousStore, while failing is set, performs writes but reports their effect
// as unknown, and fails reads.
type ambiguousStore struct {
	kv.Store
	failing atomic.Bool
}

func (a *ambiguousStore) Get(ctx context.Context, key string) (kv.Value, error) {
	if a.failing.Load() {
		return kv.Value{}, kv.ErrUnavailable
	}
	return a.Store.Get(ctx, key)
}

func (a *ambiguousStore) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	revision, err := a.Store.Put(ctx, key, data, ifRevision)
	if a.failing.Load() {
		return 0, kv.ErrUnknown
	}
	return revision, err
}

// Guards against a reservation that blocks its key until it expires, although
// the caller was told not to run the call because the effect of the write was
// unknown.
func TestReservationWithUnknownEffectIsRemoved(t *testing.T) {
	is := is.New(t)
	store := &ambiguousStore{Store: kvtest.New()}
	_, js := newMesh(t, 1, fastConfig(store, 1))
	_, err := js[0].Reserve(t.Context(), testKey(1), "a", 7) // caches the shard
	is.NoErr(err)
	store.failing.Store(true)
	_, err = js[0].Reserve(t.Context(), testKey(2), "b", 7)
	is.True(err != nil) // not run
	store.failing.Store(false)
	for i := range 300 {
		r, err := js[0].Reserve(t.Context(), testKey(2), fmt.Sprint("c", i), 7)
		if err == nil && r.Status == decide.Reserved {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("key of a reservation with unknown effect: not reserved within 3 s, want reserved")
}

// Guards against writer goroutines or calls that outlive the journal.
func TestCloseEndsCalls(t *testing.T) {
	store := kvtest.New()
	defer store.Hold()()
	j, err := journal.New(journal.Config{Self: "a", Incarnation: 1, Store: store})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { _, err := j.Reserve(t.Context(), testKey(1), "a", 1); done <- err }()
	j.Close()
	if err := <-done; err == nil {
		t.Error("Reserve on a closed journal: got no error, want not-run")
	}
}
