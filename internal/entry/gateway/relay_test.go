package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// storeTimeout is how long a call to a silent store takes beyond its wait.
const storeTimeout = 450 * time.Millisecond

// simulatedStore has one change, at changedAt, and does not reply to an instance
// from silentAt on, if that is set.
type simulatedStore struct {
	store.Store
	changedAt, silentAt time.Time
}

func (s *simulatedStore) ListStale(context.Context, string) ([]store.Item, int64, error) {
	return nil, 5, nil
}

func (s *simulatedStore) Watch(ctx context.Context, _ string, after int64, maxWait time.Duration) ([]store.Item, int64, error) {
	end := time.Now().Add(maxWait)
	for {
		if !s.silentAt.IsZero() && !time.Now().Before(s.silentAt) {
			wait.For(ctx, time.Until(end)+storeTimeout)
			return nil, 0, store.ErrUnavailable
		}
		if after < 6 && !time.Now().Before(s.changedAt) {
			return []store.Item{{Key: "a", Revision: 6}}, 6, nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
		wait.For(ctx, 10*time.Millisecond)
	}
}

// Guards against changes that are in effect later than 2 s after the store has
// acknowledged them, because the store no longer replies to the instance that
// watches for the others, or to the next one either.
func TestChangeArrivesInTimeThoughWatcherIsCutOff(t *testing.T) {
	const limit, instances = 2 * time.Second, 5
	for _, silent := range []int{0, 1, 2} {
		for phase := range 10 { // between the watches and the change
			synctest.Test(t, func(t *testing.T) {
				changedAt := time.Now().Add(5*time.Second + time.Duration(phase)*60*time.Millisecond)
				followers := make([]*follow.Follower, instances)
				appliedAt := make([]atomic.Int64, instances)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				for i := range followers {
					s := &simulatedStore{changedAt: changedAt}
					if i < silent {
						s.silentAt = changedAt.Add(-10 * time.Millisecond)
					}
					avoidUntil := make([]time.Time, instances)
					relay := func(ctx context.Context, after int64, maxWait time.Duration) (follow.RelayReply, error) {
						failing := followers[i].Failing() && time.Since(followers[i].LastFailure()) < relayAvoidTime
						for j, other := range followers {
							if time.Now().Before(avoidUntil[j]) || j == i && failing {
								continue
							}
							if j == i {
								return follow.RelayReply{}, follow.ErrNoRelay
							}
							r, err := other.Serve(ctx, after, maxWait)
							if err != nil {
								avoidUntil[j] = time.Now().Add(relayGapAvoidTime)
								return follow.RelayReply{}, follow.ErrRelayGap
							}
							return r, nil
						}
						return follow.RelayReply{}, follow.ErrNoRelay
					}
					followers[i] = follow.New(follow.Config{
						Store: s, Wait: watchWait, MaxRelayAge: maxRelayAge, Relay: relay, Now: time.Now, Log: zap.NewNop(),
						Apply: func(c follow.Change) {
							if len(c.Items) > 0 {
								appliedAt[i].CompareAndSwap(0, time.Now().UnixNano())
							}
						},
					})
				}
				for _, f := range followers {
					go f.Run(ctx)
				}
				<-ctx.Done()
				synctest.Wait()
				for i := range followers {
					if i < silent {
						continue // not in touch
					}
					took := time.Unix(0, appliedAt[i].Load()).Sub(changedAt)
					if name := fmt.Sprintf("%d silent, phase %d, instance %d", silent, phase, i); took < 0 || took > limit {
						t.Errorf("%s: change applied after %v, want it within %v", name, took, limit)
					}
				}
			})
		}
	}
}
