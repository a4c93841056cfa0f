package follow

import (
	"context"
	"errors"
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
)

// Change is what a listing or a watch brought.
type Change struct {
	Items []store.Item
	// Whole tells that the items are all that there are; others are gone.
	Whole bool
}

// Config configures a Follower. All fields but Log are required.
type Config struct {
	Store  store.Store
	Prefix string
	// Wait is how long a watch without changes waits; each answer confirms the
	// copy.
	Wait time.Duration
	// Apply takes a change. It is called from Run only.
	Apply func(Change)
	// Now reads the boot clock.
	Now func() time.Time
	Log *zap.Logger
}

// Follower follows the keys below a prefix.
type Follower struct {
	config    Config
	confirmed atomic.Int64
	trouble   atomic.Int64
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
	return next, len(items), nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
