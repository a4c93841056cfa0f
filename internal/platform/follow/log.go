package follow

import (
	"context"
	"slices"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// maxLogItems bounds the number of changes that are kept for peers, and
	// maxLogBytes the total size of their values. A peer that needs older changes
	// calls the store.
	maxLogItems = 4096
	maxLogBytes = 8 << 20
	// maxReplyBytes bounds the total size of the changes in one reply to a peer. A
	// single larger change is still sent, so that the peer makes progress.
	maxReplyBytes = 512 << 10
	// itemOverhead is the size of a change in a reply besides its key and value.
	itemOverhead = 32
)

// replySize returns the size of an item in a reply to a peer.
func replySize(item store.Item) int { return len(item.Key) + len(item.Value) + itemOverhead }

// changeLog holds the latest changes of the store for peers. With the zero value,
// waitAfter reports ok as false until reset is called.
type changeLog struct {
	mu    sync.Mutex
	items []store.Item
	bytes int
	base  int64 // all changes after this revision are in items
	next  int64
	wake  chan struct{}
}

// reset drops all changes; the log then starts after the revision next.
func (l *changeLog) reset(next int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items, l.bytes, l.base, l.next = nil, 0, next, next
}

// add appends the changes up to the revision next and drops the oldest changes
// until the log is within its limits.
func (l *changeLog) add(items []store.Item, next int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, items...)
	for _, item := range items {
		l.bytes += len(item.Value)
	}
	l.next = max(l.next, next)
	drop := 0
	for drop < len(l.items) && (len(l.items)-drop > maxLogItems || l.bytes > maxLogBytes) {
		l.bytes -= len(l.items[drop].Value)
		l.base = max(l.base, l.items[drop].Revision)
		drop++
	}
	if drop > 0 {
		l.items = append([]store.Item(nil), l.items[drop:]...)
	}
}

// end returns the revision up to which the log has all changes.
func (l *changeLog) end() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// wakeWaiting wakes all callers of waitAfter, after a confirmation of the copy or a
// failed call to the store.
func (l *changeLog) wakeWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wake != nil {
		close(l.wake)
		l.wake = nil
	}
}

// changes are the changes after a revision.
type changes struct {
	items []store.Item
	// next is the revision to continue from, and more reports whether there are changes
	// after it that did not fit.
	next int64
	more bool
}

// waitAfter returns the changes after a revision. If there are none, it waits up to
// maxWait for the next call of wakeWaiting. The result ok is false if the log
// does not reach back to the revision.
func (l *changeLog) waitAfter(ctx context.Context, after int64, maxWait time.Duration) (c changes, ok bool) {
	c, wake, ok := l.changesAfter(after)
	if !ok || len(c.items) > 0 || maxWait <= 0 {
		return c, ok
	}
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
	c, _, ok = l.changesAfter(after)
	return c, ok
}

// changesAfter returns the changes after a revision, without those that a later one of the same
// key supersedes, and a channel that is closed by the next call of wakeWaiting.
func (l *changeLog) changesAfter(after int64) (c changes, wake <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wake == nil {
		l.wake = make(chan struct{})
	}
	if after < l.base || l.base == 0 {
		return c, l.wake, false
	}
	size := 0
	for _, item := range l.latestAfter(after) {
		if size += replySize(item); size > maxReplyBytes && len(c.items) > 0 {
			c.more = true
			return c, l.wake, true
		}
		c.items, c.next = append(c.items, item), item.Revision
	}
	c.next = max(after, l.next)
	return c, l.wake, true
}

// latestAfter returns the last change after a revision of each key, in order. The caller holds
// the lock.
func (l *changeLog) latestAfter(after int64) (latest []store.Item) {
	seen := make(map[string]bool)
	for _, item := range slices.Backward(l.items) {
		if item.Revision > after && !seen[item.Key] {
			seen[item.Key] = true
			latest = append(latest, item)
		}
	}
	slices.Reverse(latest)
	return latest
}
