package kv

import (
	"context"
	"errors"
)

// Errors that callers can test for with errors.Is.
var (
	// ErrAbsent means that the key does not exist.
	ErrAbsent = errors.New("key does not exist")
	// ErrConflict means that the key's revision is not the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("key-value store is unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("effect of the write is unknown")
	// ErrTooLarge means that the value is over 1 MiB.
	ErrTooLarge = errors.New("value is larger than 1 MiB")
)

// Value is a key's data and the revision of its last modification.
type Value struct {
	Data     []byte
	Revision int64
}

// Store reads, writes and watches single keys. Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (Value, error)
	Put(ctx context.Context, key string, data []byte, ifRevision int64) (revision int64, err error)
	Watch(ctx context.Context, key string, after int64) (Value, error)
}
