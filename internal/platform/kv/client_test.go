package kv

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// scriptedStore is a store whose calls return results set by the test.
type scriptedStore struct {
	store.Store
	commits int
	err     error
	lists   [][]store.Item
	watches []func() ([]store.Item, int64, error)
}

func (s *scriptedStore) Commit(context.Context, store.Commit) (int64, error) {
	s.commits++
	return 7, s.err
}

func (s *scriptedStore) List(context.Context, string) ([]store.Item, int64, error) {
	items := s.lists[0]
	s.lists = s.lists[1:]
	return items, 100, nil
}

func (s *scriptedStore) Watch(context.Context, string, int64, time.Duration) ([]store.Item, int64, error) {
	f := s.watches[0]
	s.watches = s.watches[1:]
	return f()
}

// Guards against reporting a write as without effect when only its response was
// lost, and against reporting a definite rejection as an unknown outcome.
func TestWriteErrors(t *testing.T) {
	for _, c := range []struct{ from, want error }{
		{store.ErrUnknown, ErrUnknown}, {store.ErrConflict, ErrConflict}, {store.ErrUnavailable, ErrUnavailable},
		{errors.New("another"), ErrUnknown},
	} {
		s := &scriptedStore{err: c.from}
		if _, err := New(s).Put(t.Context(), "a", nil, 0); !errors.Is(err, c.want) {
			t.Errorf("Put after %v = %v, want %v", c.from, err, c.want)
		}
		if s.commits != 1 {
			t.Errorf("Put after %v made %d calls, want 1", c.from, s.commits)
		}
	}
	s := &scriptedStore{}
	if _, err := New(s).Put(t.Context(), "a", make([]byte, MaxValueBytes+1), 0); !errors.Is(err, ErrTooLarge) || s.commits > 0 {
		t.Errorf("Put of a large value = %v with %d calls, want %v and none", err, s.commits, ErrTooLarge)
	}
}

// Guards against a watch that returns an older revision, that returns the change of
// another key, or that misses a change because the history was compacted.
func TestWatch(t *testing.T) {
	is := is.New(t)
	item := func(key string, revision int64) store.Item {
		return store.Item{Key: key, Revision: revision, Value: []byte(key)}
	}
	events := func(items ...store.Item) func() ([]store.Item, int64, error) {
		return func() ([]store.Item, int64, error) { return items, 50, nil }
	}
	s := &scriptedStore{watches: []func() ([]store.Item, int64, error){
		events(item("a", 3), item("ab", 9)),
		events(store.Item{Key: "a", Revision: 10, Removed: true}),
		func() ([]store.Item, int64, error) { return nil, 0, store.ErrCompacted },
		events(item("a", 120)),
	}, lists: [][]store.Item{{item("a", 3), item("ab", 90)}}}
	v, err := New(s).Watch(t.Context(), "a", 5)
	is.NoErr(err)
	is.Equal(v, Value{Data: []byte("a"), Revision: 120})
	_, err = New(&scriptedStore{watches: []func() ([]store.Item, int64, error){
		func() ([]store.Item, int64, error) { return nil, 0, store.ErrUnavailable },
	}}).Watch(t.Context(), "a", 5)
	is.True(errors.Is(err, ErrUnavailable))
}
