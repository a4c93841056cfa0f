package limit

import "sync"

// FreeBytes is the size up to which a Holding is not counted, in bytes. Most bodies and
// events are smaller, so that neither the lock nor a full Memory concerns them.
const FreeBytes = 16 << 10

// evictionRatio is how much larger than the size that is asked for a holding must be to be
// evicted for it. Otherwise holdings of about the same size, which grow together, would
// evict each other, and what they held fills the memory until it is collected.
const evictionRatio = 2

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Bytes is the limit of all counted holdings together.
	Bytes int64
}

// Memory limits the bytes that the requests of an instance hold together. If it is full,
// the largest holding that may be evicted makes room for much smaller ones, so that a few
// bodies without end do not keep the others out. It is safe for concurrent use.
type Memory struct {
	config MemoryConfig

	mu   sync.Mutex
	used int64
	// holdings are those that are counted.
	holdings map[*Holding]struct{}
}

// NewMemory returns a Memory without holdings.
func NewMemory(c MemoryConfig) *Memory {
	return &Memory{config: c, holdings: make(map[*Holding]struct{})}
}

// Used returns the bytes of the counted holdings.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Holding is the part of a Memory that one request holds. Only Evicted may be called
// concurrently with the other methods. A nil Holding holds nothing and has no limit.
type Holding struct {
	memory *Memory
	evict  func()
	// counted is true once the holding was larger than FreeBytes.
	counted bool

	// The fields below are guarded by memory.mu.
	size          int64
	kept, evicted bool
}

// Hold returns an empty Holding. evict is called once if the holding is evicted; it must
// not block, and must make the owner release the holding. A nil Memory has no limit.
func (m *Memory) Hold(evict func()) *Holding {
	if m == nil {
		return nil
	}
	return &Holding{memory: m, evict: evict}
}

// Resize sets the size of the holding and reports whether its owner may hold that much.
// If not, the owner must release the holding.
func (h *Holding) Resize(bytes int64) bool {
	if h == nil || !h.counted && bytes <= FreeBytes {
		return true
	}
	victim, ok := h.memory.resize(h, bytes)
	if victim != nil {
		victim.evict()
	}
	return ok
}

// Keep protects the holding from eviction: what it holds is complete. It returns false if
// the holding was evicted before.
func (h *Holding) Keep() bool {
	if h == nil || !h.counted {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.kept = true
	return !h.evicted
}

// Evicted reports whether the holding was evicted.
func (h *Holding) Evicted() bool {
	if h == nil {
		return false
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.evicted
}

// Release empties the holding. It may be called more than once.
func (h *Holding) Release() {
	if h == nil || !h.counted {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.remove(h)
}

// resize sets the size of a holding. If that exceeds the limit, it evicts the largest
// holding, which the caller must tell, or refuses the size if there is no holding that is
// larger by evictionRatio.
func (m *Memory) resize(h *Holding, bytes int64) (victim *Holding, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.counted = true
	if h.evicted {
		return nil, false
	}
	if grown := bytes - h.size; grown > 0 && m.used+grown > m.config.Bytes {
		if victim = m.largest(h, evictionRatio*bytes); victim == nil {
			return nil, false
		}
		// The bytes of the victim are free as soon as its owner has noticed.
		victim.evicted = true
		m.remove(victim)
	}
	m.used += bytes - h.size
	h.size = bytes
	m.holdings[h] = struct{}{}
	return victim, true
}

// largest returns the largest holding but h that may be evicted, if it has more than the
// given size.
func (m *Memory) largest(h *Holding, size int64) (largest *Holding) {
	for x := range m.holdings {
		if x != h && !x.kept && x.size > size {
			largest, size = x, x.size
		}
	}
	return largest
}

// remove removes a holding from the sum.
func (m *Memory) remove(h *Holding) {
	m.used -= h.size
	h.size = 0
	delete(m.holdings, h)
}
