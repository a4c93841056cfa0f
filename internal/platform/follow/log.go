package follow

import (
	"context"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// maxLog bounds the changes that are kept for peers, and maxLogBytes their
	// values. A peer that lacks older ones calls the store.
	maxLog      = 4096
	maxLogBytes = 8 << 20
	// maxAnswer bounds the values in one answer to a peer, in bytes.
	maxAnswer = 512 << 10
)

// log holds the latest changes for peers. The zero value is empty.
type log struct {
	mu      sync.Mutex
	items   []store.Item
	bytes   int
	oldest  int64 // changes after it are complete
	next    int64
	changed chan struct{}
}

// reset forgets all changes up to a revision.
func (l *log) reset(next int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items, l.bytes, l.oldest, l.next = nil, 0, next, next
}

// add appends changes.
func (l *log) add(items []store.Item, next int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, items...)
	for _, item := range items {
		l.bytes += len(item.Value)
	}
	l.next = max(l.next, next)
	drop := 0
	for drop < len(l.items) && (len(l.items)-drop > maxLog || l.bytes > maxLogBytes) {
		l.bytes -= len(l.items[drop].Value)
		l.oldest = l.items[drop].Revision
		drop++
	}
	if drop > 0 {
		l.items = append([]store.Item(nil), l.items[drop:]...)
	}
}

// confirm wakes the peers that wait.
func (l *log) confirm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// after returns the changes after a revision. It waits for the next
// confirmation if there are none.
func (l *log) after(ctx context.Context, after int64, wait time.Duration) (items []store.Item, next int64, ok bool) {
	items, next, changed, ok := l.look(after)
	if !ok || len(items) > 0 {
		return items, next, ok
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-changed:
	}
	items, next, _, ok = l.look(after)
	return items, next, ok
}

func (l *log) look(after int64) (items []store.Item, next int64, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	if after < l.oldest || l.oldest == 0 {
		return nil, 0, l.changed, false
	}
	size := 0
	for _, item := range l.items {
		if item.Revision <= after {
			continue
		}
		if size += len(item.Value); size > maxAnswer && len(items) > 0 {
			return items, items[len(items)-1].Revision, l.changed, true
		}
		items = append(items, item)
	}
	return items, max(after, l.next), l.changed, true
}
