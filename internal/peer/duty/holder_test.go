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

// fakeStore grants one lease, which does not age while the store is unavailable.
type fakeStore struct {
	store.Store
	unavailable, leaseEnded atomic.Bool
}

func (s *fakeStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	return 1, leaseTTL, nil
}
func (s *fakeStore) Commit(context.Context, store.Commit) (int64, error) { return 7, nil }
func (s *fakeStore) EndLease(context.Context, int64) error               { return nil }
func (s *fakeStore) Get(context.Context, string) (store.Item, error) {
	return store.Item{}, store.ErrUnavailable
}

func (s *fakeStore) RenewLease(context.Context, int64) error {
	switch {
	case s.unavailable.Load():
		return store.ErrUnavailable
	case s.leaseEnded.Load():
		return store.ErrLeaseEnded
	}
	return nil
}

// Guards against a holder that acts while its lease may have ended; against a
// duty that nobody performs for a whole lease after a store outage, although
// the lease did not age during the outage and nobody else held the duty; and
// against suspending, resuming or losing the duty without a log message.
func TestHolderDuringStoreOutage(t *testing.T) {
	for _, leaseEnded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			core, logs := observer.New(zap.InfoLevel)
			h := New(Config{Store: s, Key: "duty", Instance: "a", Now: time.Now, Log: zap.New(core)})
			ctx, stop := context.WithCancel(t.Context())
			go h.Run(ctx)
			time.Sleep(2 * acquireJitter)
			if _, ok := h.Fence(); !ok {
				t.Fatal("duty was not acquired")
			}
			s.unavailable.Store(true)
			time.Sleep(leaseTTL)
			if _, ok := h.Fence(); ok {
				t.Error("holder may act although its lease may have ended")
			}
			time.Sleep(10 * leaseTTL)
			s.leaseEnded.Store(leaseEnded)
			s.unavailable.Store(false)
			time.Sleep(renewPeriod + time.Millisecond)
			if fence, ok := h.Fence(); ok == leaseEnded {
				t.Errorf("lease ended %v: Fence returned ok %v with token %d", leaseEnded, ok, fence)
			}
			finalMessage := "duty lease renewed; duty resumed"
			if leaseEnded {
				finalMessage = "duty lease ended; duty lost"
			}
			for _, message := range []string{"duty lease not renewed before its end; duty suspended", finalMessage} {
				if n := logs.FilterMessage(message).Len(); n != 1 {
					t.Errorf("lease ended %v: got %d log messages %q, want 1", leaseEnded, n, message)
				}
			}
			stop()
			synctest.Wait()
		})
	}
}
