package reply

import (
	"container/list"
	"sync"
	"time"
)

// Cache is a cache of recent values, bounded by age, number and total weight.
// The zero value stores nothing: set the bounds before use. A Cache is safe for
// concurrent use.
type Cache[K comparable, V any] struct {
	// MaxEntries and MaxWeight bound the number of values and their total
	// weight; the oldest values are evicted first. A value that is heavier than
	// MaxWeight is not kept and evicts all others.
	MaxEntries int
	MaxWeight  int64
	// TTL is the age at which a value expires. Load and LoadOrStore evict the
	// expired values.
	TTL time.Duration

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
func (c *Cache[K, V]) LoadOrStore(key K, value V, weight int64, now time.Time) (v V, loaded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(now)
	if el, ok := c.byKey[key]; ok {
		return el.Value.(*entry[K, V]).value, true
	}
	if c.byKey == nil {
		c.byKey = make(map[K]*list.Element)
	}
	c.byKey[key] = c.order.PushBack(&entry[K, V]{key, value, weight, now.Add(c.TTL)})
	c.weight += weight
	c.evict(now)
	return value, false
}

// Load returns the value stored under key.
func (c *Cache[K, V]) Load(key K, now time.Time) (v V, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(now)
	el, ok := c.byKey[key]
	if !ok {
		return v, false
	}
	return el.Value.(*entry[K, V]).value, true
}

// Delete removes the value stored under key.
func (c *Cache[K, V]) Delete(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.byKey[key]; ok {
		c.remove(el)
	}
}

// Values returns all stored values, oldest first. They include values that have
// expired since the last call of Load or LoadOrStore.
func (c *Cache[K, V]) Values() []V {
	c.mu.Lock()
	defer c.mu.Unlock()
	vs := make([]V, 0, c.order.Len())
	for el := c.order.Front(); el != nil; el = el.Next() {
		vs = append(vs, el.Value.(*entry[K, V]).value)
	}
	return vs
}

// evict removes the oldest values until the remaining ones are within the bounds
// and not expired.
func (c *Cache[K, V]) evict(now time.Time) {
	for el := c.order.Front(); el != nil; el = c.order.Front() {
		e := el.Value.(*entry[K, V])
		if c.order.Len() <= c.MaxEntries && c.weight <= c.MaxWeight && now.Before(e.expires) {
			return
		}
		c.remove(el)
	}
}

func (c *Cache[K, V]) remove(el *list.Element) {
	e := c.order.Remove(el).(*entry[K, V])
	c.weight -= e.weight
	delete(c.byKey, e.key)
}
