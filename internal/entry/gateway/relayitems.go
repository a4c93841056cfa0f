package gateway

import (
	"fmt"
	"sync"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/propagation"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// minCompressed is the size of a value, in bytes, from which on it is compressed for peers.
	// A configuration of many routes would take seconds on the slowest links.
	minCompressed = 4 << 10
	// maxCompressedValues bounds the compressed values that are kept.
	maxCompressedValues = 256
)

// compressedValues holds the compressed values of items, so that one that many peers ask for is
// compressed once. It is safe for concurrent use.
type compressedValues struct {
	mu    sync.Mutex
	byKey map[string]compressedValue
}

// compressedValue is the compressed value that a key had at a revision.
type compressedValue struct {
	revision int64
	data     []byte
}

// get returns the compressed value of an item, or nil if the value is to be sent as it is.
func (c *compressedValues) get(item store.Item) []byte {
	if len(item.Value) < minCompressed {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.byKey[item.Key]; ok && v.revision == item.Revision {
		return v.data
	}
	if c.byKey == nil || len(c.byKey) >= maxCompressedValues {
		c.byKey = make(map[string]compressedValue)
	}
	v := compressedValue{item.Revision, propagation.Compress(item.Value)}
	c.byKey[item.Key] = v
	return v.data
}

// toWire returns items as messages to a peer, which may read compressed values.
func (c *compressedValues) toWire(items []store.Item, compress bool) (wire []*peerpb.StoreItem) {
	for _, i := range items {
		w := &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed}
		if compress {
			w.Compressed = c.get(i)
		}
		if w.Compressed != nil {
			w.Value = nil
		}
		wire = append(wire, w)
	}
	return wire
}

// itemsFromWire returns the items in messages of a peer.
func itemsFromWire(wire []*peerpb.StoreItem) (items []store.Item, err error) {
	for _, w := range wire {
		value := w.GetValue()
		if packed := w.GetCompressed(); packed != nil {
			if value, err = propagation.Decompress(packed); err != nil {
				return nil, fmt.Errorf("item %q: %w", w.GetKey(), err)
			}
		}
		items = append(items, store.Item{Key: w.GetKey(), Value: value, Revision: w.GetRevision(), Removed: w.GetRemoved()})
	}
	return items, nil
}
