package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// initialBackoff is the upper bound of the random delay after a failed call.
	// Each consecutive failure doubles the bound, up to maxBackoff, because calls
	// that the store rejects add to its call rate and are charged as well.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// batchDelay is the delay after a change, so that changes in quick succession
	// share a call. It is a small part of the time within which a change must take
	// effect on all instances.
	batchDelay = 200 * time.Millisecond
	// defaultMaxRelayAge is the default of Config.MaxRelayAge.
	defaultMaxRelayAge = 2500 * time.Millisecond
	// A copy of more than largeCopy bytes that was confirmed longer than maxReplayAge ago is
	// listed rather than watched: a watch delivers each version of an item in between.
	largeCopy    = 128 << 10
	maxReplayAge = 1500 * time.Millisecond
)

// Change is a change of the copy: the result of a listing, a watch or a relay call
// to a peer.
type Change struct {
	Items []store.Item
	// Complete means that Items are all items below the prefix as of Revision; any
	// other item no longer exists. Revision is set only if Complete is set.
	Complete bool
	Revision int64
	// Lost are the items that the copy had and that the first listing of a new era of the
	// store lacks.
	Lost []store.Item
	// Peer is the ID of the peer that the change came from, or empty if it came from the store.
	Peer string
}

// Config configures a Follower. All fields except Prefix, Relay, MaxRelayAge and
// Log are required; an empty Prefix selects all keys.
type Config struct {
	Store  store.Store
	Prefix string
	// Wait is how long a watch waits for changes. Each response, even one without
	// changes, confirms the copy.
	Wait time.Duration
	// Apply applies a change to the copy. It is called only from Run.
	Apply func(Change)
	// Relay returns the changes that a peer has seen, so that not every instance
	// calls the store. After an error, the next call must use another peer. It
	// returns ErrNoRelay if the instance must call the store itself. If Relay is
	// nil, the instance always calls the store.
	Relay func(ctx context.Context, after int64, maxWait time.Duration) (RelayReply, error)
	// RelayList returns the items of a peer after a key. It returns errors as Relay does.
	// It is required if Relay is set.
	RelayList func(ctx context.Context, after string) (RelayPage, error)
	// MaxRelayAge is the greatest accepted age of a peer's copy; the default is
	// 2.5 s. A copy is confirmed as of the beginning of a watch, so that it is up to
	// two waits old although all is well.
	MaxRelayAge time.Duration
	// Now reads the boot clock.
	Now func() time.Time
	Log *zap.Logger
}

// Follower replicates the keys below a prefix. Its methods other than Run are safe
// for concurrent use.
type Follower struct {
	config      Config
	confirmed   atomic.Int64
	lastFailure atomic.Int64
	// failing is set while the last call to the store failed.
	failing atomic.Bool
	changes changeLog
	copy    itemCopy
	// era is the latest era of the store that the copy belonged to.
	era atomic.Int64
	// directUntil is the time until which the store is called directly. Only Run
	// uses it.
	directUntil time.Time
	// peer is the peer that the last changes came from, or empty if it was the store. Only
	// Run uses it.
	peer string
}

// New returns a Follower. Run starts it.
func New(c Config) *Follower {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.MaxRelayAge == 0 {
		c.MaxRelayAge = defaultMaxRelayAge
	}
	return &Follower{config: c}
}

// Confirmed returns the time, on the boot clock, as of which the copy is known to
// be complete, or the zero time if it never was.
func (f *Follower) Confirmed() time.Time { return loadTime(&f.confirmed) }

// LastFailure returns the time, on the boot clock, at which a call to the store last
// failed or its history was found compacted, or the zero time.
func (f *Follower) LastFailure() time.Time { return loadTime(&f.lastFailure) }

// Era returns the latest era of the store that the copy belonged to.
func (f *Follower) Era() int64 { return f.era.Load() }

// Knows reports whether the copy has an item with the key.
func (f *Follower) Knows(key string) bool { return f.copy.has(key) }

// Failing reports whether the last call to the store failed. The copy may be up to
// date all the same, through peers.
func (f *Follower) Failing() bool { return f.failing.Load() }

func loadTime(v *atomic.Int64) time.Time {
	n := v.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	from := f.listStale(ctx)
	failures := 0     // consecutive
	watching := false // the last successful call was one to the store
	for ctx.Err() == nil {
		sent := f.config.Now()
		if next, pause, ok := f.updateFromPeer(ctx, from, sent); ok {
			from, watching = next, false
			if pause {
				wait.For(ctx, batchDelay)
			}
			continue
		}
		// The first call confirms the copy at once: others may already rely on this
		// instance, and their copies are as old as this one.
		maxWait := time.Duration(0)
		if watching {
			maxWait = f.config.Wait
		}
		next, count, err := f.updateFromStore(ctx, from, maxWait)
		now := f.config.Now()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.recordFailure(err, from, failures, now)
			bound := min(maxBackoff, initialBackoff<<min(failures, 10))
			wait.For(ctx, bound/2+rand.N(bound/2))
			failures++
			continue
		}
		f.recordSuccess(next, failures, sent, now)
		from, failures, watching = next, 0, true
		if count > 0 || now.Sub(sent) < batchDelay {
			wait.For(ctx, batchDelay)
		}
	}
}

// recordFailure records that a call to the store failed at now, after the given number of
// consecutive failures.
func (f *Follower) recordFailure(err error, from int64, failures int, now time.Time) {
	f.failing.Store(true)
	f.lastFailure.Store(now.UnixNano())
	f.changes.wakeWaiting() // the peers must look for another instance
	if failures == 0 {
		f.config.Log.Warn("follower's call to the store failed", zap.Error(err), zap.Int64("revision", from), zap.Duration("confirmed-before", now.Sub(f.Confirmed())))
	}
}

// recordSuccess records that a call to the store, made at sent, succeeded. The copy is
// confirmed as of then unless next is 0.
func (f *Follower) recordSuccess(next int64, failures int, sent, now time.Time) {
	f.failing.Store(false)
	if failures > 0 {
		f.config.Log.Info("follower's calls to the store succeed again", zap.Int64("revision", next), zap.Duration("confirmed-before", now.Sub(f.Confirmed())))
	}
	if next != 0 {
		f.confirmed.Store(sent.UnixNano())
		f.changes.wakeWaiting()
	}
}

// listStale applies a listing that may be some seconds old and returns the revision
// to continue from, or 0 if the listing failed. The first changes after it confirm
// the copy. A large fleet that starts at once then costs the store little.
func (f *Follower) listStale(ctx context.Context) (next int64) {
	items, next, err := f.config.Store.ListStale(ctx, f.config.Prefix)
	if err != nil {
		f.config.Log.Info("first listing of the store failed", zap.Error(err))
		return 0
	}
	f.applyListing(items, next, "")
	return next
}

// setPeer records which peer the changes come from now, or that they come from the store.
func (f *Follower) setPeer(peer string) {
	if peer == f.peer {
		return
	}
	f.config.Log.Info("follower gets the changes from elsewhere", zap.String("peer", peer), zap.String("previous-peer", f.peer),
		zap.Duration("confirmed-before", f.config.Now().Sub(f.Confirmed())))
	f.peer = peer
}

// applyListing applies a listing of all items by a peer, or by the store if peer is empty. It
// has all changes up to the revision next.
func (f *Follower) applyListing(items []store.Item, next int64, peer string) {
	f.setPeer(peer)
	var lost []store.Item
	if era := store.Era(next); era > f.era.Load() {
		lost = f.copy.missing(items)
		f.config.Log.Info("store began a new era", zap.Int64("era", era), zap.Int64("previous-era", f.era.Swap(era)), zap.Int("items", len(items)), zap.Int("lost", len(lost)))
	}
	f.config.Apply(Change{Items: items, Complete: true, Revision: next, Lost: lost, Peer: peer})
	f.copy.replace(items)
	f.changes.reset(next)
}

// applyChanges applies changes up to the revision next, which came from a peer, or from the
// store if peer is empty.
func (f *Follower) applyChanges(items []store.Item, next int64, peer string) {
	f.setPeer(peer)
	if len(items) > 0 {
		f.config.Apply(Change{Items: items, Peer: peer})
	}
	f.copy.apply(items)
	f.changes.add(items, next)
}

// updateFromStore makes one call to the store and applies the result. It lists all
// items if from is 0 or a listing is smaller, and otherwise watches for changes after
// from, for at most maxWait. It returns the revision to continue from, 0 to list again,
// and the number of items received.
func (f *Follower) updateFromStore(ctx context.Context, from int64, maxWait time.Duration) (next int64, count int, err error) {
	// A copy that was never confirmed is from the listing at the start, which is recent.
	confirmed := f.Confirmed()
	isOld := !confirmed.IsZero() && f.config.Now().Sub(confirmed) > maxReplayAge
	if from == 0 || isOld && f.copy.size() > largeCopy {
		items, next, err := f.config.Store.List(ctx, f.config.Prefix)
		if err != nil {
			return 0, 0, err
		}
		f.applyListing(items, next, "")
		return next, len(items), nil
	}
	items, next, err := f.config.Store.Watch(ctx, f.config.Prefix, from, maxWait)
	if errors.Is(err, store.ErrCompacted) {
		f.config.Log.Info("changes after the watched revision are not available; follower lists all keys again", zap.Int64("revision", from), zap.Error(err))
		f.lastFailure.Store(f.config.Now().UnixNano())
		return 0, 0, nil
	}
	if err != nil {
		return from, 0, err
	}
	f.applyChanges(items, next, "")
	return next, len(items), nil
}

// confirm records that the copy is complete as of a time, and tells the peers that wait.
func (f *Follower) confirm(asOf time.Time) {
	f.confirmed.Store(max(f.confirmed.Load(), asOf.UnixNano()))
	f.changes.wakeWaiting()
}
