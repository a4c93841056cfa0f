package store

import (
	"context"
	"errors"
	"time"
)

// Errors that callers can test for with errors.Is.
var (
	// ErrCompacted means that the store no longer has the history after the
	// requested revision; the keys must be listed again.
	ErrCompacted = errors.New("store history is no longer available")
	// ErrConflict means that a condition of a commit did not hold.
	ErrConflict = errors.New("commit condition did not hold")
	// ErrLeaseEnded means that the lease has ended and its keys are removed; the
	// caller must grant a new lease.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrAbsent means that there is no such key.
	ErrAbsent = errors.New("key is absent")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknown means that the call failed but may have had an effect or may
	// still have one later.
	ErrUnknown = errors.New("outcome of the store call is unknown")
)

// Item is the state of a key: its value, or its removal if Removed is set.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
	Removed  bool
}

// Condition requires that a key is at the given revision; 0 requires that the key
// is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key. A nonzero Lease attaches the key to that lease.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Commit is an atomic change of several keys, made only if all conditions hold.
type Commit struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is a linearizable key-value store.
type Store interface {
	// Get returns the item of a key, or ErrAbsent.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items below a prefix and the revision to watch from.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// ListStale is like List, but the items and the revision may be some seconds
	// old. It is cheaper than List.
	ListStale(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes below a prefix after a revision as soon as there
	// are any, or none after wait, and the revision to continue from. It returns
	// ErrCompacted if the history after the revision is no longer available or
	// cannot be read.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit makes a change and returns its revision. It returns ErrConflict if a
	// condition does not hold and ErrLeaseEnded if the lease of a put has ended.
	Commit(ctx context.Context, c Commit) (int64, error)
	// GrantLease creates a lease that expires ttl after the call reaches the store
	// unless it is renewed. It returns the lease and its granted duration.
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// RenewLease restarts the duration of a lease. It returns ErrLeaseEnded if the lease
	// has ended.
	RenewLease(ctx context.Context, lease int64) error
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, lease int64) error
}
