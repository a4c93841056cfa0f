package gateway

import (
	"context"
	"errors"
	"time"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// maxRelayWait bounds how long a peer's watch may wait for a change.
const maxRelayWait = 2 * time.Second

// relayAvoidTime is how long a peer is not asked again after it failed to relay the
// store, and relayGapAvoidTime the same for one that replied but cannot reach the
// store itself.
const (
	relayAvoidTime    = 5 * time.Second
	relayGapAvoidTime = time.Second
)

// relay gets store changes from the peer that this instance follows. A peer that
// fails is skipped for a while, so that the other instances agree on the next
// watcher instead of each calling the store. An instance whose own calls to the
// store fail does not watch it for the others but follows one of them.
func (f *Instance) relay(ctx context.Context, after int64, wait time.Duration) (r follow.RelayReply, err error) {
	now := f.now()
	failing := f.follower.Failing() && now.Sub(f.follower.LastFailure()) < relayAvoidTime
	watcher := f.members.Upstream(time.Now(), func(id string) bool {
		return now.Before(f.relayAvoidUntil[id]) || failing && id == f.config.ID
	})
	if watcher == "" {
		return follow.RelayReply{}, follow.ErrNoRelay
	}
	defer func() {
		switch {
		case errors.Is(err, follow.ErrRelayGap):
			f.relayAvoidUntil[watcher] = now.Add(relayGapAvoidTime)
		case err != nil:
			f.relayAvoidUntil[watcher] = now.Add(relayAvoidTime)
		}
	}()
	reply, err := f.exchange.Watch(ctx, watcher, &peerpb.WatchRequest{After: after, Wait: wait.Milliseconds()})
	if err != nil {
		return follow.RelayReply{}, err
	}
	if reply.GetGap() {
		return follow.RelayReply{}, follow.ErrRelayGap
	}
	r = follow.RelayReply{Next: reply.GetRevision(), Age: time.Duration(reply.GetAge()) * time.Millisecond, Waited: time.Duration(reply.GetWaited()) * time.Millisecond}
	for _, i := range reply.GetItems() {
		r.Items = append(r.Items, store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision(), Removed: i.GetRemoved()})
	}
	return r, nil
}

// serveWatch serves the watch of a peer that follows the store through this
// instance.
func (f *Instance) serveWatch(ctx context.Context, q *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	maxWait := min(max(0, time.Duration(q.GetWait())*time.Millisecond), maxRelayWait)
	r, ok := f.follower.Serve(ctx, q.GetAfter(), maxWait)
	if !ok {
		return &peerpb.WatchReply{Gap: true}, nil
	}
	reply := &peerpb.WatchReply{Revision: r.Next, Age: r.Age.Milliseconds(), Waited: r.Waited.Milliseconds()}
	for _, i := range r.Items {
		reply.Items = append(reply.Items, &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
	}
	return reply, nil
}
