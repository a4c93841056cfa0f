package limit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	kib = int64(1) << 10
	mib = int64(1) << 20
)

// Guards against bodies that together fill the memory of the instance, and against a few
// large ones that keep all others out.
func TestMemoryEvictsTheLargest(t *testing.T) {
	m := NewMemory(MemoryConfig{Bytes: 4 * mib})
	evicted := ""
	hold := func(name string) *Holding { return m.Hold(func() { evicted += name }) }
	endless, second, small := hold("endless"), hold("second"), hold("small")
	if !endless.Resize(3*mib) || !second.Resize(mib) {
		t.Fatal("4 MiB are refused, want them within the limit")
	}
	if !small.Resize(FreeBytes) || evicted != "" {
		t.Errorf("evicted %q for a holding of %d bytes, want none", evicted, FreeBytes)
	}
	if endless.Resize(3*mib + 1) {
		t.Error("the largest holding grew beyond the limit")
	}
	if !small.Resize(100*kib) || evicted != "endless" || !endless.Evicted() || endless.Resize(1) || endless.Keep() {
		t.Errorf("evicted %q for 100 KiB, want the largest", evicted)
	}
	endless.Release()
	if got, want := m.Used(), mib+100*kib; got != want {
		t.Errorf("%d bytes in use after the eviction, want %d", got, want)
	}
	second.Release()
	small.Release()
	small.Release()
	if got := m.Used(); got != 0 {
		t.Errorf("%d bytes in use after all are released, want 0", got)
	}
}

// Guards against a complete answer that is dropped for one that may never end.
func TestMemoryKeepsCompleteHoldings(t *testing.T) {
	m := NewMemory(MemoryConfig{Bytes: 4 * mib})
	complete, next := m.Hold(func() { t.Error("a complete holding was evicted") }), m.Hold(func() {})
	complete.Resize(4 * mib)
	if !complete.Keep() {
		t.Error("a holding that was not evicted is not kept")
	}
	if next.Resize(mib) {
		t.Error("1 MiB within a full memory without a holding to evict, want it refused")
	}
	complete.Release()
	if !next.Resize(mib) {
		t.Error("1 MiB is refused after the release")
	}
}

// Guards against a sum that drifts, or exceeds the limit, when many holdings grow, are
// evicted and are released at once.
func TestMemoryUnderLoad(t *testing.T) {
	m := NewMemory(MemoryConfig{Bytes: 4 * mib})
	var wg sync.WaitGroup
	var exceeded atomic.Bool
	for seed := range uint64(8) {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, 0))
			for range 2000 {
				h := m.Hold(func() {})
				for size := random.Int64N(mib); size < 2*mib && h.Resize(size); size += random.Int64N(mib) {
					if m.Used() > 4*mib {
						exceeded.Store(true)
					}
				}
				if random.IntN(2) == 0 {
					h.Keep()
				}
				h.Release()
			}
		})
	}
	wg.Wait()
	if exceeded.Load() || m.Used() != 0 {
		t.Errorf("limit exceeded: %v, %d bytes in use at the end, want within the limit and 0", exceeded.Load(), m.Used())
	}
}
