package limit

import (
	"math"
	"sync"
	"sync/atomic"
)

// Class is the priority of a request under overload.
type Class uint8

// Classes of requests. Batch is rejected first.
const (
	Interactive Class = iota
	Batch
)

// reach is the multiple of the free capacity that one workspace may hold. A
// workspace alone reaches reach/(1+reach) of the capacity; what is left free
// admits the others. Batch stops at four fifths, so that it is rejected before
// an interactive request is.
var reach = [...]float64{Interactive: 12, Batch: 4}

// Shedder rejects requests before queues grow. Each workspace may hold a
// multiple of the capacity that is still free (the dynamic threshold known from
// shared switch buffers), so that a large workspace yields as others arrive
// and needs no fixed quota. The zero value admits everything until SetCapacity
// is called. The methods are safe for concurrent use.
type Shedder struct {
	capacity atomic.Uint64 // bits of a float64
	total    atomic.Int64
	held     sync.Map // workspace name to *atomic.Int64
}

// SetCapacity sets the number of requests at a time that the backend servers
// can run without queueing for this node; zero or less is no limit.
func (s *Shedder) SetCapacity(requests float64) {
	s.capacity.Store(math.Float64bits(max(requests, 0)))
}

// Admit reports whether a request may run. Each admitted request is followed
// by one call of Release with the same workspace.
func (s *Shedder) Admit(workspace string, c Class) bool {
	own := s.of(workspace)
	held, total := own.Add(1), s.total.Add(1)
	capacity := math.Float64frombits(s.capacity.Load())
	if capacity == 0 || allowed(capacity, float64(total-1), float64(held-1), c) {
		return true
	}
	own.Add(-1)
	s.total.Add(-1)
	return false
}

// Release ends a request that Admit admitted.
func (s *Shedder) Release(workspace string) {
	s.of(workspace).Add(-1)
	s.total.Add(-1)
}

// Load returns the part of the capacity in use, or 0 without a capacity.
func (s *Shedder) Load() float64 {
	capacity := math.Float64frombits(s.capacity.Load())
	if capacity == 0 {
		return 0
	}
	return float64(s.total.Load()) / capacity
}

func (s *Shedder) of(workspace string) *atomic.Int64 {
	if v, ok := s.held.Load(workspace); ok {
		return v.(*atomic.Int64)
	}
	v, _ := s.held.LoadOrStore(workspace, new(atomic.Int64))
	return v.(*atomic.Int64)
}

func allowed(capacity, total, held float64, c Class) bool {
	return total < capacity && held < reach[c]*(capacity-total)
}
