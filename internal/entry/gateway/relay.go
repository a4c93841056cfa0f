package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
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

// relaySource gets the changes of the store from peers, and serves them to peers.
type relaySource struct {
	instance string
	members  *membership.Table
	follower *follow.Follower
	// watch calls Watch at a peer.
	watch func(ctx context.Context, peer string, r *peerpb.WatchRequest) (*peerpb.WatchReply, error)
	now   func() time.Time
	// avoidUntil is the time, by instance ID, until which a peer is not asked. Only the
	// follower's goroutine uses it.
	avoidUntil map[string]time.Time
	calls      *prometheus.CounterVec
}

// newRelaySource returns a relaySource after registering its metrics. The caller sets the
// follower.
func newRelaySource(s relaySource, r prometheus.Registerer) (*relaySource, error) {
	s.avoidUntil = make(map[string]time.Time)
	s.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "follower_relay_calls_total", Help: "Calls for the store's changes at peers by outcome.",
	}, []string{"outcome"})
	return &s, r.Register(s.calls)
}

// get gets store changes from the peer that this instance follows. A peer that
// fails is skipped for a while, so that the other instances agree on the next
// watcher instead of each calling the store. An instance whose own calls to the
// store fail does not watch it for the others but follows one of them.
func (s *relaySource) get(ctx context.Context, after int64, wait time.Duration) (r follow.RelayReply, err error) {
	now := s.now()
	failing := s.follower.Failing() && now.Sub(s.follower.LastFailure()) < relayAvoidTime
	watcher := s.members.Upstream(time.Now(), func(id string) bool {
		return now.Before(s.avoidUntil[id]) || failing && id == s.instance
	})
	if watcher == "" {
		return follow.RelayReply{}, follow.ErrNoRelay
	}
	defer func() {
		s.calls.WithLabelValues(relayOutcome(err)).Inc()
		switch {
		case errors.Is(err, follow.ErrRelayGap):
			s.avoidUntil[watcher] = now.Add(relayGapAvoidTime)
		case err != nil:
			s.avoidUntil[watcher] = now.Add(relayAvoidTime)
		}
	}()
	reply, err := s.watch(ctx, watcher, &peerpb.WatchRequest{After: after, Wait: wait.Milliseconds()})
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

// relayOutcome returns the outcome of a call to a peer as a label of the metrics.
func relayOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, follow.ErrRelayGap):
		return "gap"
	}
	return "failed"
}

// serve serves the watch of a peer that follows the store through this instance.
func (s *relaySource) serve(ctx context.Context, q *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	maxWait := min(max(0, time.Duration(q.GetWait())*time.Millisecond), maxRelayWait)
	r, ok := s.follower.Serve(ctx, q.GetAfter(), maxWait)
	if !ok {
		return &peerpb.WatchReply{Gap: true}, nil
	}
	reply := &peerpb.WatchReply{Revision: r.Next, Age: r.Age.Milliseconds(), Waited: r.Waited.Milliseconds()}
	for _, i := range r.Items {
		reply.Items = append(reply.Items, &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
	}
	return reply, nil
}
