package exchange

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// SetConfig configures a Set. Key, Add and Take are required.
type SetConfig[K comparable, V any] struct {
	Key func(V) K
	// Join merges an offered value into the one at hand and reports whether the
	// result differs from the latter. It must be commutative, associative and
	// idempotent. Nil keeps the first value.
	Join func(have, offered V) (joined V, changed bool)
	// Deadline returns when a value expires; the zero time means never. Nil
	// means that no value does.
	Deadline func(V) time.Time
	// Add adds a value to a digest, and Take returns a digest's values.
	Add  func(*peerpb.Digest, V)
	Take func(*peerpb.Digest) []V
	// Relay reports whether a value is sent to a member. Nil sends every value
	// to every link, so that it reaches all that are connected in any way.
	Relay func(to membership.Member, v V) bool
	// Urgent makes a change travel at once instead of with the next heartbeat.
	Urgent bool
	// Changed is told of each value that changed the set, by Put or by a peer.
	// It may be nil.
	Changed func(V)
	// Limit bounds the values; default 4096. A full set takes no new ones.
	Limit int
	// Batch bounds the values per digest; default 256.
	Batch int
	// Now is the clock; default time.Now.
	Now func() time.Time
}

// Set is a set of values that spreads to all peers, such as vetoes, crash
// reports or marks of leaving backend servers. It is a Source and a Sink; its
// methods are safe for concurrent use.
type Set[K comparable, V any] struct {
	config SetConfig[K, V]

	mu      sync.Mutex
	version uint64
	rows    map[K]element[V]
}

type element[V any] struct {
	value   V
	changed uint64
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
	return &Set[K, V]{config: c, rows: make(map[K]element[V])}
}

// Put merges v into the set and reports whether the set changed.
func (s *Set[K, V]) Put(v V) (changed bool) {
	s.mu.Lock()
	changed = s.put(v)
	s.mu.Unlock()
	if changed && s.config.Changed != nil {
		s.config.Changed(v)
	}
	return changed
}

func (s *Set[K, V]) put(v V) bool {
	if s.expired(v) {
		return false
	}
	k := s.config.Key(v)
	e, ok := s.rows[k]
	switch {
	case !ok:
		if len(s.rows) >= s.config.Limit {
			s.expire()
		}
		if len(s.rows) >= s.config.Limit {
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
	s.rows[k] = e
	return true
}

// Get returns the value of a key, if it has not expired.
func (s *Set[K, V]) Get(k K) (V, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.rows[k]
	if !ok || s.expired(e.value) {
		var none V
		return none, false
	}
	return e.value, true
}

// Values returns the values that have not expired, in no order.
func (s *Set[K, V]) Values() []V {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	vs := make([]V, 0, len(s.rows))
	for _, e := range s.rows {
		vs = append(vs, e.value)
	}
	return vs
}

// Remove drops a key from this set only; a peer that still holds it brings it
// back.
func (s *Set[K, V]) Remove(k K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, k)
}

// Digest implements Source.
func (s *Set[K, V]) Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since == s.version {
		return since
	}
	s.expire()
	var es []element[V]
	for _, e := range s.rows {
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
	for _, v := range s.config.Take(d) {
		changed = s.Put(v) || changed
	}
	return changed && s.config.Urgent
}

func (s *Set[K, V]) expire() {
	for k, e := range s.rows {
		if s.expired(e.value) {
			delete(s.rows, k)
		}
	}
}

func (s *Set[K, V]) expired(v V) bool {
	if s.config.Deadline == nil {
		return false
	}
	deadline := s.config.Deadline(v)
	return !deadline.IsZero() && !s.config.Now().Before(deadline)
}
