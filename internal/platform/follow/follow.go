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
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// retryFirst bounds the random pause after a failed call. Each further
	// failure in a row doubles it up to retryMost: calls that the store refuses
	// count towards its rate as well.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// gather is the pause after a change, so that changes that follow each other
	// share calls. It delays a change by a small part of the time in which it
	// must be in force everywhere.
	gather = 200 * time.Millisecond
	// relayWait is how long a peer may wait for a change. A peer that is gone
	// shows after it and relayMargin, well before a change must be in force.
	relayWait   = 500 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// relayAge is the age from which on a peer's copy is not good enough. The
	// peer's own watch confirms it every second.
	relayAge = 2500 * time.Millisecond
	// relayTries is the number of peers that are asked before the store is
	// called. The second one must answer at once.
	relayTries = 2
	// relayRest is how long the store is called directly after all of them
	// failed.
	relayRest = 3 * time.Second
)

// Change is what a listing or a watch brought.
type Change struct {
	Items []store.Item
	// Whole tells that the items are all that there are as of Revision; others
	// are gone.
	Whole    bool
	Revision int64
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
	// calls the store. After an error it is to ask another peer. It returns
	// ErrNoRelay if the instance is to call the store itself. Nil always does.
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
	failures := 0 // in a row
	for ctx.Err() == nil {
		sent := f.config.Now()
		if next, n, ok := f.relay(ctx, from, sent); ok {
			from = next
			if n > 0 {
				wait.For(ctx, gather)
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
			if failures == 0 {
				f.config.Log.Warn("store lost", zap.Error(err), zap.Int64("revision", from), zap.Duration("confirmed-before", now.Sub(f.Confirmed())))
			}
			most := min(retryMost, retryFirst<<min(failures, 10))
			wait.For(ctx, most/2+rand.N(most/2))
			failures++
			continue
		}
		if failures > 0 {
			failures = 0
			f.config.Log.Info("store regained", zap.Int64("revision", next), zap.Duration("confirmed-before", now.Sub(f.Confirmed())))
		}
		if next != 0 {
			f.confirmed.Store(sent.UnixNano())
			f.log.confirm()
		}
		from = next
		if n > 0 || now.Sub(sent) < gather {
			wait.For(ctx, gather)
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
		f.config.Apply(Change{Items: items, Whole: true, Revision: next})
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

// relay asks peers instead of the store, if there is one to ask.
func (f *Follower) relay(ctx context.Context, from int64, sent time.Time) (next int64, n int, ok bool) {
	if f.config.Relay == nil || from == 0 || sent.Before(f.direct) {
		return 0, 0, false
	}
	wait := relayWait
	for range relayTries {
		r, err := f.ask(ctx, from, wait)
		if err == nil {
			return f.take(r, from, sent), len(r.Items), true
		}
		if errors.Is(err, ErrNoRelay) || ctx.Err() != nil {
			return 0, 0, false
		}
		f.config.Log.Info("peer does not relay the store", zap.Error(err), zap.Int64("revision", from))
		sent, wait = f.config.Now(), 0
	}
	f.direct = f.config.Now().Add(relayRest)
	return 0, 0, false
}

// ask asks one peer.
func (f *Follower) ask(ctx context.Context, from int64, wait time.Duration) (Relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	r, err := f.config.Relay(ctx, from, wait)
	if err == nil && r.Age > relayAge {
		err = fmt.Errorf("copy of the peer is %v old", r.Age)
	}
	return r, err
}

// take applies what a peer that was asked at sent has answered.
func (f *Follower) take(r Relayed, from int64, sent time.Time) (next int64) {
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
	return max(from, r.Next)
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
