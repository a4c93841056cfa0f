package exchange

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// SetConfig configures a Set. Key, Add and Extract are required.
type SetConfig[K comparable, V any] struct {
	Key func(V) K
	// Join merges an offered value into the current one and reports whether the
	// result differs from the current one. It must be commutative, associative
	// and idempotent. Nil keeps the first value.
	Join func(current, offered V) (joined V, changed bool)
	// Deadline returns when a value expires; the zero time means never. Nil
	// means that values do not expire.
	Deadline func(V) time.Time
	// Add adds a value to a digest, and Extract returns the values of a
	// digest.
	Add     func(*peerpb.Digest, V)
	Extract func(*peerpb.Digest) []V
	// Relay reports whether a value is sent to a member. Nil sends every value
	// to every link, so that it reaches all members that are linked directly or
	// through others.
	Relay func(to membership.Member, v V) bool
	// Urgent makes the node forward changes received from peers immediately
	// instead of with the next heartbeat. After Put, the caller calls Node.Notify.
	Urgent bool
	// OnChange is called with each value that changed the set, whether from Put
	// or from a peer. It may be nil.
	OnChange func(V)
	// Limit bounds the number of values; default 4096. A full set rejects new
	// values.
	Limit int
	// Batch bounds the number of values per digest; default 256.
	Batch int
	// Now is the clock; default time.Now.
	Now func() time.Time
}

// Set is a set of values replicated to all peers, such as vetoes, crash reports
// or marks of leaving backend servers. It is a Source and a Sink, and its
// methods are safe for concurrent use.
type Set[K comparable, V any] struct {
	config SetConfig[K, V]

	mu       sync.Mutex
	version  uint64
	elements map[K]element[V]
}

type element[V any] struct {
	value   V
	changed uint64 // version of the set at the last change of the value
}

// NewSet returns an empty set.
func NewSet[K comparable, V any](c SetConfig[K, V]) *Set[K, V] {
	if c.Limit == 0 {
		c.Limit = 4096
	}
	if c.Batch == 0 {
		c.Batch = 256
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Set[K, V]{config: c, elements: make(map[K]element[V])}
}

// Put merges v into the set and reports whether the set changed.
func (s *Set[K, V]) Put(v V) (changed bool) {
	s.mu.Lock()
	changed = s.put(v)
	s.mu.Unlock()
	if changed && s.config.OnChange != nil {
		s.config.OnChange(v)
	}
	return changed
}

func (s *Set[K, V]) put(v V) bool {
	if s.isExpired(v) {
		return false
	}
	k := s.config.Key(v)
	e, ok := s.elements[k]
	switch {
	case !ok:
		if len(s.elements) >= s.config.Limit {
			s.removeExpired()
		}
		if len(s.elements) >= s.config.Limit {
			return false
		}
		e.value = v
	case s.config.Join == nil:
		return false
	default:
		joined, changed := s.config.Join(e.value, v)
		if !changed {
			return false
		}
		e.value = joined
	}
	s.version++
	e.changed = s.version
	s.elements[k] = e
	return true
}

// Get returns the value of a key unless it has expired.
func (s *Set[K, V]) Get(k K) (V, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.elements[k]
	if !ok || s.isExpired(e.value) {
		var zero V
		return zero, false
	}
	return e.value, true
}

// Values returns the values that have not expired, in no particular order.
func (s *Set[K, V]) Values() []V {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	vs := make([]V, 0, len(s.elements))
	for _, e := range s.elements {
		vs = append(vs, e.value)
	}
	return vs
}

// Remove deletes a key from this set only; a peer that still holds the key may
// add it again.
func (s *Set[K, V]) Remove(k K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.elements, k)
}

// Digest implements Source.
func (s *Set[K, V]) Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since == s.version {
		return since
	}
	s.removeExpired()
	var es []element[V]
	for _, e := range s.elements {
		if e.changed > since && (s.config.Relay == nil || s.config.Relay(to, e.value)) {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b element[V]) int { return cmp.Compare(a.changed, b.changed) })
	next = s.version
	if len(es) > s.config.Batch {
		es = es[:s.config.Batch]
		next = es[len(es)-1].changed
	}
	for _, e := range es {
		s.config.Add(d, e.value)
	}
	return next
}

// Merge implements Sink.
func (s *Set[K, V]) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	changed := false
	for _, v := range s.config.Extract(d) {
		changed = s.Put(v) || changed
	}
	return changed && s.config.Urgent
}

func (s *Set[K, V]) removeExpired() {
	for k, e := range s.elements {
		if s.isExpired(e.value) {
			delete(s.elements, k)
		}
	}
}

func (s *Set[K, V]) isExpired(v V) bool {
	if s.config.Deadline == nil {
		return false
	}
	deadline := s.config.Deadline(v)
	return !deadline.IsZero() && !s.config.Now().Before(deadline)
}
