package kvtest

import (
	"context"
	"fmt"
	"sync"

	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

// Calls holds the number of calls by method. Failed calls are included, except puts
// of values that are too large.
type Calls struct {
	Get, Put, Watch int
}

// Store is an in-memory kv.Store that is safe for concurrent use.
type Store struct {
	mu              sync.Mutex
	values          map[string]kv.Value
	revision        int64
	calls           Calls
	outage          bool
	responsesToLose int
	hold            chan struct{}
	// changed is closed and replaced at each put and each change of the outage
	// state, to wake pending watches.
	changed chan struct{}
}

var _ kv.Store = (*Store)(nil)

// New returns an empty store with no faults enabled.
func New() *Store {
	return &Store{revision: 1, values: make(map[string]kv.Value), changed: make(chan struct{})}
}

// SetOutage makes calls, pending watches included, fail with
// kv.ErrUnavailable while on is true.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notify()
}

// LoseResponses makes the next n writes take effect but return kv.ErrUnknown, as if
// their responses were lost. Writes that fail for another reason do not count
// towards n.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// Hold makes new calls block until release is called or their context ends. A
// write whose context ends while it is blocked has no effect and returns
// kv.ErrUnknown.
func (s *Store) Hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := make(chan struct{})
	s.hold = hold
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.hold == hold {
			s.hold = nil
		}
		close(hold)
	})
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Value, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return kv.Value{}, fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return kv.Value{}, kv.ErrUnavailable
	}
	v, ok := s.values[key]
	if !ok {
		return kv.Value{}, kv.ErrAbsent
	}
	return clone(v), nil
}

// Put implements kv.Store.
func (s *Store) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	if len(data) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	if err := s.startCall(ctx, func(c *Calls) { c.Put++ }); err != nil {
		return 0, fmt.Errorf("%w: %w", kv.ErrUnknown, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 0, kv.ErrUnavailable
	}
	if s.values[key].Revision != ifRevision {
		return 0, kv.ErrConflict
	}
	s.revision++
	s.values[key] = clone(kv.Value{Data: data, Revision: s.revision})
	s.notify()
	if s.loseResponse() {
		return 0, kv.ErrUnknown
	}
	return s.revision, nil
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, key string, after int64) (kv.Value, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return kv.Value{}, fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	for {
		s.mu.Lock()
		v, outage, changed := clone(s.values[key]), s.outage, s.changed
		s.mu.Unlock()
		if outage {
			return kv.Value{}, kv.ErrUnavailable
		}
		if v.Revision > after {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return kv.Value{}, fmt.Errorf("%w: %w", kv.ErrUnavailable, ctx.Err())
		case <-changed:
		}
	}
}

// startCall counts a call, blocks while Hold is in effect, and returns the error of
// ctx.
func (s *Store) startCall(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		select {
		case <-ctx.Done():
		case <-hold:
		}
	}
	return ctx.Err()
}

// loseResponse reports whether to drop the response to a write, and counts it as
// dropped.
func (s *Store) loseResponse() bool {
	if s.responsesToLose == 0 {
		return false
	}
	s.responsesToLose--
	return true
}

// notify wakes pending watches. The caller holds s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(v kv.Value) kv.Value {
	return kv.Value{Data: append([]byte(nil), v.Data...), Revision: v.Revision}
}
