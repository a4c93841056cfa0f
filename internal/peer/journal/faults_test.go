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

// faulty loses, delays and rejects calls of a store at random.
type faulty struct {
	kv.Store
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
}

func (f *faulty) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faulty) Get(ctx context.Context, key string) (kv.Value, error) {
	if f.draw(15) == 0 {
		return kv.Value{}, kv.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *faulty) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	switch f.draw(20) {
	case 0:
		return 0, kv.ErrUnavailable
	case 1:
		return 0, kv.ErrUnknown // lost before it took effect
	case 2, 3:
		_, _ = f.Store.Put(ctx, key, data, ifRevision)
		return 0, kv.ErrUnknown // took effect, answer lost
	case 4, 5:
		f.late.Go(func() {
			time.Sleep(time.Duration(f.draw(5000)) * time.Microsecond)
			_, _ = f.Store.Put(context.Background(), key, data, ifRevision)
		})
		return 0, kv.ErrUnknown // takes effect later, if at all
	}
	return f.Store.Put(ctx, key, data, ifRevision)
}

// Guards against a second run of a key, or a run of an attempt that was told
// not-run, in the shell with concurrent instances and a faulty store.
func TestAtMostOneRunWithFaults(t *testing.T) {
	const seed, keys, clients, tries = 1, 500, 16, 250
	t.Logf("seed %d", seed)
	store := &faulty{Store: kvtest.New(), random: rand.New(rand.NewPCG(seed, 1))}
	t.Cleanup(store.late.Wait)
	m, js := newMesh(t, 3, quick(store, 2))
	var runs [keys]atomic.Int32
	var reserved, pending, rejected atomic.Int32
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(c+2)))
			for try := range tries {
				k, id := random.IntN(keys), fmt.Sprintf("%d-%d", c, try)
				m.setCut(fmt.Sprintf("entry-%d", random.IntN(3)), random.IntN(3) == 0)
				j := js[random.IntN(len(js))]
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(40))*time.Millisecond)
				r, err := j.Reserve(ctx, keyOf(k), id, 7)
				cancel()
				switch {
				case err != nil:
					rejected.Add(1)
				case r.Status != decide.Reserved:
					pending.Add(1)
				case random.IntN(3) == 0: // proved not to have run
					reserved.Add(1)
					_, _ = j.Complete(t.Context(), keyOf(k), id, true, nil)
				default:
					reserved.Add(1)
					if n := runs[k].Add(1); n > 1 {
						t.Errorf("key %d: got %d runs, want at most 1; the last by %s", k, n, id)
					}
					_, _ = j.Complete(t.Context(), keyOf(k), id, false, &decide.Response{Status: 200})
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d attempts: %d reserved, %d answered otherwise, %d not run", clients*tries, reserved.Load(), pending.Load(), rejected.Load())
	if reserved.Load() < keys/2 {
		t.Errorf("too many faults to show anything: got %d reservations, want at least %d", reserved.Load(), keys/2)
	}
}

// ambiguous loses the answers of writes that take effect, and fails reads,
// while on.
type ambiguous struct {
	kv.Store
	on atomic.Bool
}

func (a *ambiguous) Get(ctx context.Context, key string) (kv.Value, error) {
	if a.on.Load() {
		return kv.Value{}, kv.ErrUnavailable
	}
	return a.Store.Get(ctx, key)
}

func (a *ambiguous) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	revision, err := a.Store.Put(ctx, key, data, ifRevision)
	if a.on.Load() {
		return 0, kv.ErrUnknown
	}
	return revision, err
}

// Guards against a reservation that could not be settled, and was answered as
// not run, blocking its key until it expires.
func TestUnsettledReservationIsRemoved(t *testing.T) {
	is := is.New(t)
	store := &ambiguous{Store: kvtest.New()}
	_, js := newMesh(t, 1, quick(store, 1))
	_, err := js[0].Reserve(t.Context(), keyOf(1), "a", 7) // caches the shard
	is.NoErr(err)
	store.on.Store(true)
	_, err = js[0].Reserve(t.Context(), keyOf(2), "b", 7)
	is.True(err != nil) // not run
	store.on.Store(false)
	for i := range 300 {
		r, err := js[0].Reserve(t.Context(), keyOf(2), fmt.Sprint("c", i), 7)
		if err == nil && r.Status == decide.Reserved {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("key of an unsettled reservation: got pending for 3 s, want it free")
}

// Guards against goroutines or calls that outlive the journal.
func TestCloseEndsCalls(t *testing.T) {
	store := kvtest.New()
	defer store.Hold()()
	j, err := journal.New(journal.Config{Self: "a", Incarnation: 1, Store: store})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { _, err := j.Reserve(t.Context(), keyOf(1), "a", 1); done <- err }()
	j.Close()
	if err := <-done; err == nil {
		t.Error("call on a closed journal: got no error, want not-run")
	}
}
