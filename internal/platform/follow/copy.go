package follow

import (
	"maps"
	"slices"
	"sync"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// itemCopy holds the latest items for peers that list them. The zero value is empty.
type itemCopy struct {
	mu    sync.Mutex
	items map[string]store.Item
}

// replace makes items, which are all that exist, the content of the copy.
func (c *itemCopy) replace(items []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.items = make(map[string]store.Item, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
}

// apply applies changes. A change that is older than the item that a listing has found
// already has no effect.
func (c *itemCopy) apply(changes []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range changes {
		switch {
		case item.Revision < c.items[item.Key].Revision:
		case item.Removed:
			delete(c.items, item.Key)
		default:
			c.items[item.Key] = item
		}
	}
}

// missing returns the items of the copy that items lacks.
func (c *itemCopy) missing(items []store.Item) (lost []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if !present[key] {
			lost = append(lost, c.items[key])
		}
	}
	return lost
}

// size returns the size of the values, in bytes.
func (c *itemCopy) size() (bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range c.items {
		bytes += len(item.Value)
	}
	return bytes
}

// has reports whether the copy has an item with the key.
func (c *itemCopy) has(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.items[key]
	return ok
}

// page returns the items after a key in the order of their keys, up to maxReplyBytes, and
// whether there are more.
func (c *itemCopy) page(after string) (items []store.Item, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if key <= after {
			continue
		}
		item := c.items[key]
		if size += replySize(item); size > maxReplyBytes && len(items) > 0 {
			return items, true
		}
		items = append(items, item)
	}
	return items, false
}
