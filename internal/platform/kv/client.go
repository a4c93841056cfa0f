package kv

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// MaxValueBytes is the largest value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

const (
	// watchWait is how long one watch call to the store waits for a change.
	watchWait = 25 * time.Second
	// watchPause is the delay between watch calls. It prevents a tight loop if the
	// store responds immediately without a change.
	watchPause = 100 * time.Millisecond
)

// Client reads and writes single keys of a store. It is safe for concurrent use.
type Client struct{ store store.Store }

var _ Store = (*Client)(nil)

// New returns a client of a store. It makes no call.
func New(s store.Store) *Client { return &Client{s} }

// Get returns the key's value. Errors are ErrAbsent and ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	item, err := c.store.Get(ctx, key)
	if err != nil {
		return Value{}, readError(err)
	}
	return valueOf(item), nil
}

// Put stores data if the key's revision is ifRevision, where 0 requires that the
// key is absent, and returns the new revision. Errors are ErrConflict,
// ErrTooLarge, ErrUnavailable and ErrUnknown.
func (c *Client) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	if len(data) > MaxValueBytes {
		return 0, fmt.Errorf("put %s: %w", key, ErrTooLarge)
	}
	revision, err := c.store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key, Revision: ifRevision}}, Puts: []store.Put{{Key: key, Value: data}},
	})
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, store.ErrConflict):
		return 0, fmt.Errorf("put %s: %w", key, ErrConflict)
	case errors.Is(err, store.ErrUnavailable):
		return 0, fmt.Errorf("put %s: %w: %w", key, ErrUnavailable, err)
	}
	return 0, fmt.Errorf("put %s: %w: %w", key, ErrUnknown, err)
}

// Watch returns the key's value once its revision is above after. It calls the
// store until there is such a value, a call fails or ctx ends; the error is
// ErrUnavailable. If the key is absent or removed, Watch waits until it is written.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Value, error) {
	from := after
	for {
		var items []store.Item
		var err error
		if from == 0 {
			items, from, err = c.store.List(ctx, key)
		} else {
			items, from, err = c.store.Watch(ctx, key, from, watchWait)
		}
		if errors.Is(err, store.ErrCompacted) {
			from = 0
			continue
		}
		if err != nil {
			return Value{}, readError(err)
		}
		found := Value{Revision: after}
		for _, item := range items {
			// The key may also be a prefix of other keys.
			if item.Key == key && !item.Removed && item.Revision > found.Revision {
				found = valueOf(item)
			}
		}
		if found.Revision > after {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return Value{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case <-time.After(watchPause):
		}
	}
}

// readError converts an error of a read to ErrAbsent or ErrUnavailable.
func readError(err error) error {
	if errors.Is(err, store.ErrAbsent) {
		return ErrAbsent
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func valueOf(i store.Item) Value { return Value{Data: i.Value, Revision: i.Revision} }
