package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
)

// maxRelayWait bounds how long a peer's watch may wait for a change.
const maxRelayWait = 2 * time.Second

// relayAvoidTime is how long a peer is not asked again after it failed to relay the
// store, and relayGapAvoidTime the same for one that replied but cannot reach the
// store itself. Each consecutive reply of that kind doubles it up to relayAvoidTime, so that
// an instance gets past many such peers.
const (
	relayAvoidTime    = 5 * time.Second
	relayGapAvoidTime = time.Second
)

// avoidedPeer is a peer that is not asked until a time, because of its last replies.
type avoidedPeer struct {
	until time.Time
	gaps  int // consecutive replies without changes
}

// relaySource gets the changes of the store from peers, and serves them to peers.
type relaySource struct {
	instance string
	members  *membership.Table
	follower *follow.Follower
	// watch and list call Watch and List at a peer.
	watch func(ctx context.Context, peer string, r *peerpb.WatchRequest) (*peerpb.WatchReply, error)
	list  func(ctx context.Context, peer string, r *peerpb.ListRequest) (*peerpb.ListReply, error)
	now   func() time.Time
	// avoided are the peers that failed lately, by instance ID. Only the follower's
	// goroutine uses it.
	avoided    map[string]avoidedPeer
	compressed *compressedValues
	calls      *prometheus.CounterVec
}

// newRelaySource returns a relaySource after registering its metrics. The caller sets the
// follower.
func newRelaySource(s relaySource, r prometheus.Registerer) (*relaySource, error) {
	s.avoided, s.compressed = make(map[string]avoidedPeer), new(compressedValues)
	s.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "follower_relay_calls_total", Help: "Calls for the store's changes at peers by outcome.",
	}, []string{"outcome"})
	return &s, r.Register(s.calls)
}

// call calls the peer that this instance follows. A peer that fails is skipped for a while,
// so that the other instances agree on the next watcher instead of each calling the store.
// An instance whose own calls to the store fail does not watch it for the others but
// follows one of them.
func (s *relaySource) call(peerCall func(peer string) error) error {
	now := s.now()
	failing := s.follower.Failing() && now.Sub(s.follower.LastFailure()) < relayAvoidTime
	watcher := s.members.Upstream(time.Now(), func(id string) bool {
		return now.Before(s.avoided[id].until) || failing && id == s.instance
	})
	if watcher == "" {
		return follow.ErrNoRelay
	}
	err := peerCall(watcher)
	s.calls.WithLabelValues(relayOutcome(err)).Inc()
	switch {
	case err == nil || errors.Is(err, follow.ErrRelayBehind):
		delete(s.avoided, watcher)
	case errors.Is(err, follow.ErrRelayGap):
		gaps := s.avoided[watcher].gaps
		s.avoided[watcher] = avoidedPeer{now.Add(min(relayAvoidTime, relayGapAvoidTime<<min(gaps, 10))), gaps + 1}
	default:
		s.avoided[watcher] = avoidedPeer{until: now.Add(relayAvoidTime)}
	}
	return err
}

// get gets store changes from a peer.
func (s *relaySource) get(ctx context.Context, after int64, wait time.Duration) (r follow.RelayReply, err error) {
	err = s.call(func(peer string) error {
		reply, err := s.watch(ctx, peer, &peerpb.WatchRequest{After: after, Wait: wait.Milliseconds(), AcceptsCompressed: true})
		switch {
		case err != nil:
			return err
		case reply.GetBehind():
			return follow.ErrRelayBehind
		case reply.GetGap():
			return follow.ErrRelayGap
		}
		items, err := itemsFromWire(reply.GetItems())
		if err != nil {
			return err
		}
		r = follow.RelayReply{Items: items, Next: reply.GetRevision(), More: reply.GetMore(), Age: milliseconds(reply.GetAge()), Waited: milliseconds(reply.GetWaited()), Peer: peer}
		return nil
	})
	return r, err
}

// getPage gets a page of the store's items from a peer.
func (s *relaySource) getPage(ctx context.Context, after string) (p follow.RelayPage, err error) {
	err = s.call(func(peer string) error {
		reply, err := s.list(ctx, peer, &peerpb.ListRequest{AfterKey: after, AcceptsCompressed: true})
		switch {
		case err != nil:
			return err
		case reply.GetUnavailable():
			return follow.ErrRelayGap
		}
		items, err := itemsFromWire(reply.GetItems())
		if err != nil {
			return err
		}
		p = follow.RelayPage{Items: items, More: reply.GetMore(), Next: reply.GetRevision(), Age: milliseconds(reply.GetAge()), Peer: peer}
		return nil
	})
	return p, err
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// relayOutcome returns the outcome of a call to a peer as a label of the metrics.
func relayOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, follow.ErrRelayGap):
		return "gap"
	case errors.Is(err, follow.ErrRelayBehind):
		return "behind"
	}
	return "failed"
}

// serveWatch serves the watch of a peer that follows the store through this instance.
func (s *relaySource) serveWatch(ctx context.Context, q *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	maxWait := min(max(0, milliseconds(q.GetWait())), maxRelayWait)
	r, err := s.follower.Serve(ctx, q.GetAfter(), maxWait)
	if err != nil {
		return &peerpb.WatchReply{Gap: true, Behind: errors.Is(err, follow.ErrRelayBehind)}, nil
	}
	return &peerpb.WatchReply{Items: s.compressed.toWire(r.Items, q.GetAcceptsCompressed()), Revision: r.Next, More: r.More, Age: r.Age.Milliseconds(), Waited: r.Waited.Milliseconds()}, nil
}

// serveList serves a page of the items to a peer.
func (s *relaySource) serveList(_ context.Context, q *peerpb.ListRequest) (*peerpb.ListReply, error) {
	p, err := s.follower.ServeList(q.GetAfterKey())
	if err != nil {
		return &peerpb.ListReply{Unavailable: true}, nil
	}
	return &peerpb.ListReply{Items: s.compressed.toWire(p.Items, q.GetAcceptsCompressed()), More: p.More, Revision: p.Next, Age: p.Age.Milliseconds()}, nil
}
