package kvtest

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

// Guards against a write with a lost response that does not take effect. That
// would hide faults in code that resolves writes with an unknown outcome.
func TestLostResponseTakesEffect(t *testing.T) {
	is := is.New(t)
	s := New()
	s.LoseResponses(1)
	_, err := s.Put(t.Context(), "a", []byte("1"), 0)
	is.True(errors.Is(err, kv.ErrUnknown))
	v, err := s.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(v.Data), "1")
	_, err = s.Put(t.Context(), "a", []byte("2"), 0)
	is.True(errors.Is(err, kv.ErrConflict))
	is.Equal(s.Calls(), Calls{Get: 1, Put: 2})
}

// Guards against watches that continue during an outage and against held calls
// that continue after their context has ended.
func TestFaultsReleaseCallers(t *testing.T) {
	is := is.New(t)
	s := New()
	done := make(chan error)
	go func() {
		_, err := s.Watch(t.Context(), "a", 0)
		done <- err
	}()
	s.SetOutage(true)
	is.True(errors.Is(<-done, kv.ErrUnavailable))
	s.SetOutage(false)

	release := s.Hold()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, err := s.Put(ctx, "a", nil, 0)
		done <- err
	}()
	cancel()
	is.True(errors.Is(<-done, kv.ErrUnknown))
	release()
	_, err := s.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
}
