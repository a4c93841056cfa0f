package reply

import (
	"container/list"
	"sync"
	"time"
)

// Table is a cache of recent values, bounded by age, number and total weight.
// The zero value stores nothing: set the bounds before use. A Table is safe for
// concurrent use.
type Table[K comparable, V any] struct {
	// MaxEntries and MaxWeight bound the number of values and their total
	// weight; the oldest values are evicted first. A value that is heavier than
	// MaxWeight is not kept and evicts all others.
	MaxEntries int
	MaxWeight  int64
	// Keep is the age at which a value expires. Load and LoadOrStore evict the
	// expired values.
	Keep time.Duration

	mu     sync.Mutex
	byKey  map[K]*list.Element
	order  list.List
	weight int64
}

type entry[K comparable, V any] struct {
	key     K
	value   V
	weight  int64
	expires time.Time
}

// LoadOrStore returns the value stored under key if there is one. Otherwise it
// stores value with the given weight and returns it, even if the bounds do not
// allow keeping it. loaded is true if the value was already stored.
func (t *Table[K, V]) LoadOrStore(key K, value V, weight int64, now time.Time) (v V, loaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	if el, ok := t.byKey[key]; ok {
		return el.Value.(*entry[K, V]).value, true
	}
	if t.byKey == nil {
		t.byKey = make(map[K]*list.Element)
	}
	t.byKey[key] = t.order.PushBack(&entry[K, V]{key, value, weight, now.Add(t.Keep)})
	t.weight += weight
	t.evict(now)
	return value, false
}

// Load returns the value stored under key.
func (t *Table[K, V]) Load(key K, now time.Time) (v V, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	el, ok := t.byKey[key]
	if !ok {
		return v, false
	}
	return el.Value.(*entry[K, V]).value, true
}

// Delete removes the value stored under key.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if el, ok := t.byKey[key]; ok {
		t.remove(el)
	}
}

// Values returns all stored values, oldest first. They include values that have
// expired since the last call of Load or LoadOrStore.
func (t *Table[K, V]) Values() []V {
	t.mu.Lock()
	defer t.mu.Unlock()
	vs := make([]V, 0, t.order.Len())
	for el := t.order.Front(); el != nil; el = el.Next() {
		vs = append(vs, el.Value.(*entry[K, V]).value)
	}
	return vs
}

// evict removes the oldest values until the remaining ones are within the bounds
// and not expired.
func (t *Table[K, V]) evict(now time.Time) {
	for el := t.order.Front(); el != nil; el = t.order.Front() {
		e := el.Value.(*entry[K, V])
		if t.order.Len() <= t.MaxEntries && t.weight <= t.MaxWeight && now.Before(e.expires) {
			return
		}
		t.remove(el)
	}
}

func (t *Table[K, V]) remove(el *list.Element) {
	e := t.order.Remove(el).(*entry[K, V])
	t.weight -= e.weight
	delete(t.byKey, e.key)
}
