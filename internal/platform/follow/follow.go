package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// retryLeast and retryMost bound the random pause after a failed call.
	retryLeast = 50 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	// gather is the pause after a change, so that the changes of a storm share
	// calls. It delays a change by a small part of the time in which it must be
	// in force everywhere.
	gather = 40 * time.Millisecond
	// relayWait is how long a peer may wait for a change. A peer that is gone
	// shows after it and relayMargin, well before a change must be in force.
	relayWait   = 500 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// relayAge is the age from which on a peer's copy is not good enough. The
	// peer's own watch confirms it every second.
	relayAge = 2500 * time.Millisecond
	// relayRest is how long the store is called directly after a peer failed.
	relayRest = 3 * time.Second
)

// Change is what a listing or a watch brought.
type Change struct {
	Items []store.Item
	// Whole tells that the items are all that there are; others are gone.
	Whole bool
}

// Relayed is what a peer has seen of the store.
type Relayed struct {
	Items []store.Item
	// Next is the revision to go on from.
	Next int64
	// Age is how long ago the peer's copy was known to be complete, and Waited
	// how long the peer waited before it answered.
	Age, Waited time.Duration
}

// ErrNoRelay means that no peer is to be asked.
var ErrNoRelay = errors.New("no peer relays the store")

// Config configures a Follower. All fields but Log
// and Relay are required.
type Config struct {
	Store  store.Store
	Prefix string
	// Wait is how long a watch without changes waits; each answer confirms the
	// copy.
	Wait time.Duration
	// Apply takes a change. It is called from Run only.
	Apply func(Change)
	// Relay returns the changes that a peer has seen, so that not every instance
	// calls the store. It returns ErrNoRelay if the instance is to call the
	// store itself. Nil always does.
	Relay func(ctx context.Context, after int64, wait time.Duration) (Relayed, error)
	// Now reads the boot clock.
	Now func() time.Time
	Log *zap.Logger
}

// Follower follows the keys below a prefix.
type Follower struct {
	config    Config
	confirmed atomic.Int64
	trouble   atomic.Int64
	log       log
	// direct is until when the store is called directly; Run alone uses it.
	direct time.Time
}

// New returns a follower; Run starts it.
func New(c Config) *Follower {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return &Follower{config: c}
}

// Confirmed returns the time as of which the copy is known to be complete, or
// the zero time.
func (f *Follower) Confirmed() time.Time { return at(&f.confirmed) }

// Trouble returns when a call last failed, or the zero time.
func (f *Follower) Trouble() time.Time { return at(&f.trouble) }

func at(v *atomic.Int64) time.Time {
	n := v.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var from int64
	down := false
	for ctx.Err() == nil {
		sent := f.config.Now()
		if next, n, ok := f.relay(ctx, from, sent); ok {
			from = next
			if n > 0 {
				pause(ctx, gather)
			}
			continue
		}
		next, n, err := f.step(ctx, from)
		now := f.config.Now()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.trouble.Store(now.UnixNano())
			if !down {
				down = true
				f.config.Log.Warn("store lost", zap.Error(err), zap.Int64("revision", from), zap.Duration("confirmed-before", now.Sub(f.Confirmed())))
			}
			pause(ctx, retryLeast+rand.N(retryMost-retryLeast))
			continue
		}
		if down {
			down = false
			f.config.Log.Info("store regained", zap.Int64("revision", next), zap.Duration("confirmed-before", now.Sub(f.Confirmed())))
		}
		if next != 0 {
			f.confirmed.Store(sent.UnixNano())
			f.log.confirm()
		}
		from = next
		if n > 0 || now.Sub(sent) < gather {
			pause(ctx, gather)
		}
	}
}

// step makes one call and applies what it brought.
func (f *Follower) step(ctx context.Context, from int64) (next int64, n int, err error) {
	if from == 0 {
		items, next, err := f.config.Store.List(ctx, f.config.Prefix)
		if err != nil {
			return 0, 0, err
		}
		f.config.Apply(Change{Items: items, Whole: true})
		f.log.reset(next)
		return next, len(items), nil
	}
	items, next, err := f.config.Store.Watch(ctx, f.config.Prefix, from, f.config.Wait)
	if errors.Is(err, store.ErrCompacted) {
		f.config.Log.Info("history of the store is gone; listing again", zap.Int64("revision", from))
		f.trouble.Store(f.config.Now().UnixNano())
		return 0, 0, nil
	}
	if err != nil {
		return from, 0, err
	}
	if len(items) > 0 {
		f.config.Apply(Change{Items: items})
	}
	f.log.add(items, next)
	return next, len(items), nil
}

// relay asks a peer instead of the store, if there is one to ask.
func (f *Follower) relay(ctx context.Context, from int64, sent time.Time) (next int64, n int, ok bool) {
	if f.config.Relay == nil || from == 0 || sent.Before(f.direct) {
		return 0, 0, false
	}
	call, cancel := context.WithTimeout(ctx, relayWait+relayMargin)
	defer cancel()
	r, err := f.config.Relay(call, from, relayWait)
	if errors.Is(err, ErrNoRelay) {
		return 0, 0, false
	}
	now := f.config.Now()
	if err == nil && r.Age > relayAge {
		err = fmt.Errorf("copy of the peer is %v old", r.Age)
	}
	if err != nil {
		if ctx.Err() == nil {
			f.config.Log.Info("peer does not relay the store; calling it directly", zap.Error(err), zap.Int64("revision", from))
		}
		f.direct = now.Add(relayRest)
		return 0, 0, false
	}
	if len(r.Items) > 0 {
		f.config.Apply(Change{Items: r.Items})
	}
	f.log.add(r.Items, r.Next)
	// The age counts from the answer. How long that was on its way, or this
	// machine was suspended, is not known, only how long the peer waited.
	if at := sent.Add(r.Waited - r.Age).UnixNano(); at > f.confirmed.Load() {
		f.confirmed.Store(at)
	}
	f.log.confirm()
	return max(from, r.Next), len(r.Items), true
}

// Serve returns the changes after a revision for a peer as soon as there are
// some or the copy is confirmed anew; ok is false if some are missing or the
// store is lost.
func (f *Follower) Serve(ctx context.Context, after int64, wait time.Duration) (r Relayed, ok bool) {
	came := f.config.Now()
	items, next, ok := f.log.after(ctx, after, wait)
	now := f.config.Now()
	if !ok || f.Confirmed().IsZero() || f.Trouble().After(f.Confirmed()) {
		return Relayed{}, false
	}
	return Relayed{Items: items, Next: next, Age: now.Sub(f.Confirmed()), Waited: now.Sub(came)}, true
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
