package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// relayWait is how long a peer may wait for a change before it replies. A peer
	// that does not respond is detected after relayWait plus relayMargin, well
	// before a change must take effect.
	relayWait   = 500 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// maxSilentPeers is the number of peers that do not reply before the store is
	// called, and maxRelayAttempts the number of peers that are called at most. All but
	// the first are called with no wait and must reply at once. The store may reject most
	// instances of a failure domain, and these are asked first.
	maxSilentPeers   = 2
	maxRelayAttempts = 16
	// relayListTimeout bounds a call for a page of a peer's items, which may be large.
	relayListTimeout = 2 * time.Second
	// maxRelayPages bounds a listing in case a peer always reports more pages.
	maxRelayPages = 1000
	// relayCooldown is how long the store is called directly after all relay
	// attempts have failed, unless the peers replied at once.
	relayCooldown = 3 * time.Second
)

// RelayReply is a peer's reply with the changes since the requested revision.
type RelayReply struct {
	Items []store.Item
	// Next is the revision to continue from. More reports whether the peer has changes after
	// it that did not fit into the reply.
	Next int64
	More bool
	// Age is the time since the peer's copy was last known to be complete. Waited
	// is how long the peer waited before it replied.
	Age, Waited time.Duration
	// Peer is the ID of the peer.
	Peer string
}

// RelayPage is a page of a peer's items in the order of their keys. The pages are not one
// snapshot.
type RelayPage struct {
	Items []store.Item
	More  bool
	// Next is the revision up to which the peer has all changes.
	Next int64
	// Age is the time since the peer's copy was last known to be complete.
	Age time.Duration
	// Peer is the ID of the peer.
	Peer string
}

// ErrRelayGap means that a peer replied, but has not all changes after the requested
// revision or cannot reach the store itself.
var ErrRelayGap = errors.New("peer is missing changes or cannot reach the store")

// ErrRelayBehind means that a peer has a current copy, but not all changes after the
// requested revision. Its items can be listed.
var ErrRelayBehind = errors.New("peer is missing changes and has a current copy")

// ErrNoRelay means that there is no peer to read the store through; the caller must
// call the store directly.
var ErrNoRelay = errors.New("no peer to read the store through")

// updateFromPeer gets changes from a peer instead of the store, and reports whether to pause
// before the next call. The result ok is false if the store must be called.
func (f *Follower) updateFromPeer(ctx context.Context, from int64, sent time.Time) (next int64, pause, ok bool) {
	if f.config.Relay == nil || sent.Before(f.directUntil) {
		return 0, false, false
	}
	if f.Confirmed().IsZero() && !f.Failing() {
		// The peers may have started at the same time. The store confirms the copy
		// at once.
		return 0, false, false
	}
	maxWait, silent := relayWait, 0
	if f.Confirmed().IsZero() {
		maxWait = 0
	}
	for attempt := 0; attempt < maxRelayAttempts && silent < maxSilentPeers; attempt++ {
		next, pause, err := f.changesFromPeer(ctx, from, maxWait, sent)
		if err == nil {
			return next, pause, true
		}
		if errors.Is(err, ErrNoRelay) || ctx.Err() != nil {
			return 0, false, false
		}
		f.config.Log.Debug("follower's call to a relay peer failed", zap.Error(err), zap.Int64("revision", from))
		if !errors.Is(err, ErrRelayGap) {
			silent++
		}
		sent, maxWait = f.config.Now(), 0
	}
	if silent > 0 {
		f.directUntil = f.config.Now().Add(relayCooldown)
	}
	return 0, false, false
}

// changesFromPeer gets the changes after a revision from a peer, or all of its items if from
// is 0 or the peer does not have these changes. It reports whether to pause before the next
// call, so that changes in quick succession share one.
func (f *Follower) changesFromPeer(ctx context.Context, from int64, maxWait time.Duration, sent time.Time) (next int64, pause bool, err error) {
	var r RelayReply
	if from != 0 {
		r, err = f.callPeer(ctx, from, maxWait)
	}
	if from == 0 || errors.Is(err, ErrRelayBehind) {
		next, count, err := f.listFromPeer(ctx)
		return next, count > 0, err
	}
	if err != nil {
		return 0, false, err
	}
	return f.applyRelayed(r, from, sent), len(r.Items) > 0 && !r.More, nil
}

// callPeer makes one call to a peer and rejects a copy that is too old.
func (f *Follower) callPeer(ctx context.Context, from int64, maxWait time.Duration) (RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+relayMargin)
	defer cancel()
	r, err := f.config.Relay(ctx, from, maxWait)
	if err == nil {
		err = f.checkPeer(r.Next, r.Age)
	}
	return r, err
}

// checkPeer returns an error if a peer's copy, which has all changes up to the revision next,
// is too old or of an earlier era.
func (f *Follower) checkPeer(next int64, age time.Duration) error {
	switch {
	case age > f.config.MaxRelayAge:
		return fmt.Errorf("%w: its copy is %v old", ErrRelayGap, age)
	case store.Era(next) < f.era.Load():
		return fmt.Errorf("%w: its copy is of era %d of the store", ErrRelayGap, store.Era(next))
	}
	return nil
}

// applyRelayed applies the reply to a call that was sent to a peer at the time
// sent.
func (f *Follower) applyRelayed(r RelayReply, from int64, sent time.Time) (next int64) {
	f.applyChanges(r.Items, r.Next, r.Peer)
	if r.More {
		return max(from, r.Next) // the copy is not complete as of any time yet
	}
	// The age is as of the time of the reply. That time is known only to be at
	// least Waited after sent: the reply may have been in transit, or this machine
	// suspended, for any time since.
	f.confirm(sent.Add(r.Waited - r.Age))
	return max(from, r.Next)
}

// listFromPeer lists the items of a peer. Another peer may return a later page, so that the
// listing has all changes up to the lowest revision of a page.
func (f *Follower) listFromPeer(ctx context.Context) (next int64, count int, err error) {
	var items []store.Item
	var asOf time.Time
	for n := range maxRelayPages {
		after := ""
		if n > 0 {
			after = items[len(items)-1].Key
		}
		sent := f.config.Now()
		page, err := f.callPeerForPage(ctx, after)
		if err != nil {
			return 0, 0, err
		}
		if pageAsOf := sent.Add(-page.Age); n == 0 || pageAsOf.Before(asOf) {
			asOf = pageAsOf
		}
		if n == 0 || page.Next < next {
			next = page.Next
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			f.applyListing(items, next, page.Peer)
			f.confirm(asOf)
			f.config.Log.Info("follower listed the items of a peer", zap.Int64("revision", next), zap.Int("items", len(items)))
			return next, len(items), nil
		}
	}
	return 0, 0, fmt.Errorf("%w: its listing has too many pages", ErrRelayGap)
}

// callPeerForPage calls a peer for a page of its items, and rejects a copy that is too old.
func (f *Follower) callPeerForPage(ctx context.Context, after string) (RelayPage, error) {
	ctx, cancel := context.WithTimeout(ctx, relayListTimeout)
	defer cancel()
	page, err := f.config.RelayList(ctx, after)
	if err == nil {
		err = f.checkPeer(page.Next, page.Age)
	}
	return page, err
}
