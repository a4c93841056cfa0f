package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// ttl is the time to live of the holder's lease. A successor acts within it
	// after the holder has died.
	ttl = 4 * time.Second
	// renewEvery leaves time for two more tries before the lease ends.
	renewEvery = ttl / 4
	// margin is how long before the end of its lease the holder stops, so that
	// no call of it is on its way when a successor begins.
	margin = 1200 * time.Millisecond
	// lookEvery is how often an instance looks whether the lease ended without
	// its removal being seen. The watch tells of it, so that each call of this
	// kind is one of many by as many instances.
	lookEvery = time.Minute
	// spread is the time over which the instances try to succeed a holder.
	spread = 400 * time.Millisecond
)

// Config configures a Holder. All fields are required.
type Config struct {
	Store store.Store
	// Key names the duty in the store.
	Key string
	// Instance is the ID of this process; a restarted one has another.
	Instance string
	// Now reads the boot clock, which goes on while the machine is suspended.
	Now func() time.Time
	Log *zap.Logger
}

// Holder tries to hold a duty. Its methods are safe for concurrent use.
type Holder struct {
	config Config
	free   chan struct{}

	mu    sync.Mutex
	lease int64
	fence int64
	until time.Time
	// suspended is true while the lease may have ended.
	suspended bool
	current   string // the value of the key, as last seen
	seen      int64  // the revision of that
}

// New returns a holder; Run starts it.
func New(c Config) *Holder { return &Holder{config: c, free: make(chan struct{}, 1)} }

// Fence returns the fencing token of the duty if this instance holds it and
// may act now. It must be asked right before each call.
func (h *Holder) Fence() (fence int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.fence != 0 && h.config.Now().Before(h.until.Add(-margin))
}

// Current returns the instance that holds the duty as last seen, or "", and
// its fencing token.
func (h *Holder) Current() (holder string, fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.seen
}

// Seen tells the holder of the key's item.
func (h *Holder) Seen(item store.Item) {
	if !item.Removed {
		h.Learn(string(item.Value), item.Revision)
		return
	}
	h.mu.Lock()
	removed := item.Revision > h.seen
	if removed {
		h.current, h.seen = "", item.Revision
	}
	h.mu.Unlock()
	if !removed {
		return
	}
	select {
	case h.free <- struct{}{}:
	default:
	}
}

// Learn tells who holds the duty, from the store or from a peer that reaches
// it; an older fencing token changes nothing.
func (h *Holder) Learn(current string, fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence <= h.seen {
		return
	}
	h.current, h.seen = current, fence
	h.config.Log.Info("duty has a holder", zap.String("holder", current), zap.Int64("fence", fence))
}

// Run tries to hold the duty until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	defer h.resign()
	for ctx.Err() == nil {
		if h.held() {
			h.pause(ctx, renewEvery, nil)
			h.renew(ctx)
			continue
		}
		if current, _ := h.Current(); current == "" {
			h.pause(ctx, rand.N(spread), nil)
			if current, _ = h.Current(); ctx.Err() == nil && current == "" {
				h.acquire(ctx)
			}
			if h.held() {
				continue
			}
		}
		if h.pause(ctx, lookEvery+rand.N(spread), h.free) {
			h.look(ctx)
		}
	}
}

// pause waits and reports whether the time passed before wake.
func (h *Holder) pause(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return false
	case <-t.C:
		return true
	}
}

func (h *Holder) held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence != 0
}

// look reads the key, in case its removal was not seen.
func (h *Holder) look(ctx context.Context) {
	item, err := h.config.Store.Get(ctx, h.config.Key)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil && item.Revision > h.seen:
		h.current, h.seen = string(item.Value), item.Revision
	case errors.Is(err, store.ErrAbsent):
		h.current = ""
	}
}

// acquire tries to write the key under a new lease. The revision of the write
// is the fencing token: it grows from holder to holder.
func (h *Holder) acquire(ctx context.Context) {
	sent := h.config.Now()
	lease, granted, err := h.config.Store.Grant(ctx, ttl)
	if err != nil {
		h.config.Log.Debug("no lease for the duty", zap.Error(err))
		return
	}
	value := h.config.Instance + " " + strconv.FormatInt(lease, 10)
	revision, err := h.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: h.config.Key}},
		Puts:       []store.Put{{Key: h.config.Key, Value: []byte(value), Lease: lease}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// The write may have been made although its answer was lost.
		item, getErr := h.config.Store.Get(ctx, h.config.Key)
		if getErr == nil && string(item.Value) == value {
			revision, err = item.Revision, nil
		}
	}
	if err != nil {
		if endErr := h.config.Store.End(ctx, lease); endErr != nil {
			h.config.Log.Debug("lease runs out by itself", zap.Int64("lease", lease), zap.Error(endErr))
		}
		return
	}
	h.mu.Lock()
	h.lease, h.fence, h.until = lease, revision, sent.Add(min(ttl, granted))
	h.current, h.seen = value, revision
	h.mu.Unlock()
	h.config.Log.Info("duty taken", zap.Int64("fence", revision))
}

// renew extends the lease. After an error its end stays as it was. A lease that
// may have ended is still renewed: if the store knows it, because time stood
// still there while it was away, nobody else has held the duty.
func (h *Holder) renew(ctx context.Context) {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	sent := h.config.Now()
	err := h.config.Store.Renew(ctx, lease)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.until = sent.Add(ttl)
		if h.suspended {
			h.suspended = false
			h.config.Log.Info("duty regained", zap.Int64("fence", h.fence))
		}
	case errors.Is(err, store.ErrLeaseEnded):
		h.config.Log.Warn("duty lost", zap.Int64("fence", h.fence), zap.Error(err))
		h.fence, h.lease, h.suspended = 0, 0, false
	case !h.suspended && !h.config.Now().Before(h.until):
		h.suspended = true
		h.config.Log.Warn("duty suspended; its lease is not confirmed", zap.Int64("fence", h.fence), zap.Error(err))
	}
}

// resign stops acting and lets the lease run out. Ending it would let the duty
// go to a successor and, if that one stops too, back to this machine within
// the time in which two holders must not take turns.
func (h *Holder) resign() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == 0 {
		return
	}
	h.config.Log.Info("duty given up; its lease runs out", zap.Int64("fence", h.fence), zap.Duration("left", h.until.Sub(h.config.Now())))
	h.fence, h.lease = 0, 0
}
