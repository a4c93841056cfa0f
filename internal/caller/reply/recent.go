package reply

import (
	"container/list"
	"sync"
	"time"
)

// Table remembers recent values by key, bounded by age, number and weight.
// The zero value holds nothing; set the bounds first. It is safe for
// concurrent use.
type Table[K comparable, V any] struct {
	// MaxEntries and MaxWeight bound the contents; the oldest go first.
	MaxEntries int
	MaxWeight  int64
	// Keep is the age at which a value is dropped.
	Keep time.Duration

	mu     sync.Mutex
	byKey  map[K]*list.Element
	order  list.List
	weight int64
}

type tableEntry[K comparable, V any] struct {
	key    K
	value  V
	weight int64
	until  time.Time
}

// LoadOrStore returns the value under key, or stores and returns value.
func (t *Table[K, V]) LoadOrStore(key K, value V, weight int64, now time.Time) (v V, loaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trim(now)
	if el, ok := t.byKey[key]; ok {
		return el.Value.(*tableEntry[K, V]).value, true
	}
	if t.byKey == nil {
		t.byKey = make(map[K]*list.Element)
	}
	t.byKey[key] = t.order.PushBack(&tableEntry[K, V]{key, value, weight, now.Add(t.Keep)})
	t.weight += weight
	t.trim(now)
	return value, false
}

// Load returns the value under key.
func (t *Table[K, V]) Load(key K, now time.Time) (v V, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trim(now)
	el, ok := t.byKey[key]
	if !ok {
		return v, false
	}
	return el.Value.(*tableEntry[K, V]).value, true
}

// Delete drops the value under key.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if el, ok := t.byKey[key]; ok {
		t.remove(el)
	}
}

// Values returns the values, oldest first.
func (t *Table[K, V]) Values() []V {
	t.mu.Lock()
	defer t.mu.Unlock()
	vs := make([]V, 0, t.order.Len())
	for el := t.order.Front(); el != nil; el = el.Next() {
		vs = append(vs, el.Value.(*tableEntry[K, V]).value)
	}
	return vs
}

func (t *Table[K, V]) trim(now time.Time) {
	for el := t.order.Front(); el != nil; el = t.order.Front() {
		e := el.Value.(*tableEntry[K, V])
		if t.order.Len() <= t.MaxEntries && t.weight <= t.MaxWeight && now.Before(e.until) {
			return
		}
		t.remove(el)
	}
}

func (t *Table[K, V]) remove(el *list.Element) {
	e := t.order.Remove(el).(*tableEntry[K, V])
	t.weight -= e.weight
	delete(t.byKey, e.key)
}
