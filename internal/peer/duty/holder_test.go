package duty

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// fakeStore grants one lease; its time stands still while it is away.
type fakeStore struct {
	store.Store
	away, ended atomic.Bool
}

func (s *fakeStore) Grant(context.Context, time.Duration) (int64, time.Duration, error) {
	return 1, ttl, nil
}
func (s *fakeStore) Commit(context.Context, store.Commit) (int64, error) { return 7, nil }
func (s *fakeStore) End(context.Context, int64) error                    { return nil }
func (s *fakeStore) Get(context.Context, string) (store.Item, error) {
	return store.Item{}, store.ErrUnavailable
}

func (s *fakeStore) Renew(context.Context, int64) error {
	switch {
	case s.away.Load():
		return store.ErrUnavailable
	case s.ended.Load():
		return store.ErrLeaseEnded
	}
	return nil
}

// Guards against a holder that acts while its lease may have ended, and against
// a duty that rests for a whole lease after the store was away, although the
// lease stood still meanwhile and nobody else held it; and against either without
// a line in the log.
func TestHolderWhileTheStoreIsAway(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			core, lines := observer.New(zap.InfoLevel)
			h := New(Config{Store: s, Key: "duty", Instance: "a", Now: time.Now, Log: zap.New(core)})
			ctx, stop := context.WithCancel(t.Context())
			go h.Run(ctx)
			time.Sleep(2 * spread)
			if _, ok := h.Fence(); !ok {
				t.Fatal("the duty was not taken")
			}
			s.away.Store(true)
			time.Sleep(ttl)
			if _, ok := h.Fence(); ok {
				t.Error("acts although the lease may have ended")
			}
			time.Sleep(10 * ttl)
			s.ended.Store(ended)
			s.away.Store(false)
			time.Sleep(renewEvery + time.Millisecond)
			if fence, ok := h.Fence(); ok == ended {
				t.Errorf("lease ended %v: holds the duty %v with token %d", ended, ok, fence)
			}
			last := "duty regained"
			if ended {
				last = "duty lost"
			}
			for _, message := range []string{"duty suspended; its lease is not confirmed", last} {
				if n := lines.FilterMessage(message).Len(); n != 1 {
					t.Errorf("lease ended %v: %d lines %q, want 1", ended, n, message)
				}
			}
			stop()
			synctest.Wait()
		})
	}
}
