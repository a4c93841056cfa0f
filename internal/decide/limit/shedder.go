package limit

import (
	"math"
	"sync"
	"sync/atomic"
)

// Class is the priority class of a request under overload.
type Class uint8

// Classes of requests. Batch requests are rejected first.
const (
	Interactive Class = iota
	Batch
)

// thresholdFactor is the multiple f of the free capacity that one workspace may
// use. A single workspace can use up to f/(1+f) of the capacity; the rest stays
// free for others. Batch stops at four fifths, so that batch requests are rejected
// before interactive ones.
var thresholdFactor = [...]float64{Interactive: 12, Batch: 4}

// Shedder rejects requests before queues grow. Each workspace may use up to a
// multiple of the capacity that is still free, which is the dynamic threshold
// scheme of shared switch buffers. A workspace with many requests thus gets less
// capacity as others arrive, without a fixed quota. The zero value admits
// everything until SetCapacity is called. The methods are safe for concurrent
// use.
type Shedder struct {
	capacity atomic.Uint64 // bits of a float64
	total    atomic.Int64
	running  sync.Map // workspace name to *atomic.Int64, its admitted requests
}

// SetCapacity sets the number of concurrent requests from this instance that the
// backend servers can run without queueing. Zero or less means no limit.
func (s *Shedder) SetCapacity(requests float64) {
	s.capacity.Store(math.Float64bits(max(requests, 0)))
}

// Admit reports whether a request may run. Each admitted request must be followed
// by one call of Release with the same workspace.
func (s *Shedder) Admit(workspace string, c Class) bool {
	own := s.counter(workspace)
	running, total := own.Add(1), s.total.Add(1)
	capacity := math.Float64frombits(s.capacity.Load())
	if capacity == 0 || allowed(capacity, float64(total-1), float64(running-1), c) {
		return true
	}
	own.Add(-1)
	s.total.Add(-1)
	return false
}

// Release ends a request that Admit admitted.
func (s *Shedder) Release(workspace string) {
	s.counter(workspace).Add(-1)
	s.total.Add(-1)
}

// Load returns the fraction of the capacity in use, or 0 if no capacity is set.
func (s *Shedder) Load() float64 {
	capacity := math.Float64frombits(s.capacity.Load())
	if capacity == 0 {
		return 0
	}
	return float64(s.total.Load()) / capacity
}

func (s *Shedder) counter(workspace string) *atomic.Int64 {
	if v, ok := s.running.Load(workspace); ok {
		return v.(*atomic.Int64)
	}
	v, _ := s.running.LoadOrStore(workspace, new(atomic.Int64))
	return v.(*atomic.Int64)
}

func allowed(capacity, total, running float64, c Class) bool {
	return total < capacity && running < thresholdFactor[c]*(capacity-total)
}
