package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrCompacted means that the history after the revision is gone; the keys
	// must be listed again.
	ErrCompacted = errors.New("history is no longer available")
	// ErrConflict means that a condition of a commit did not hold.
	ErrConflict = errors.New("a condition did not hold")
	// ErrLeaseEnded means that the lease has ended.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrAbsent means that there is no such key.
	ErrAbsent = errors.New("key is absent")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknown means that the call may have had an effect, or may have one
	// later.
	ErrUnknown = errors.New("outcome of the call is unknown")
)

// Item is a key with its value, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
	Removed  bool
}

// Condition requires that a key is at a revision; 0 means that it is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key, under a lease unless that is 0.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Commit is a change of several keys that happens wholly or not at all.
type Commit struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is a linearizable key-value service.
type Store interface {
	// Get returns an item, or ErrAbsent.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items below a prefix and the revision to watch from.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes below a prefix after a revision as soon as
	// there is one, or none after wait, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit makes a change and returns its revision.
	Commit(ctx context.Context, c Commit) (int64, error)
	// Grant returns a lease that ends ttl after the call reached the store,
	// unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// Renew lets a lease run its whole time again.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
}
