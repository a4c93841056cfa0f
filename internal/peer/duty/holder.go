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
	// leaseTTL is the time to live of the holder's lease. If the holder dies, a
	// successor takes over within this time plus acquireJitter, or about pollPeriod
	// later if the removal of the key was not seen.
	leaseTTL = 4 * time.Second
	// renewPeriod leaves time for two more attempts before the lease ends.
	renewPeriod = leaseTTL / 4
	// expiryMargin is how long before the end of its lease the holder stops
	// acting, so that none of its calls is still in progress when a successor
	// starts.
	expiryMargin = 1200 * time.Millisecond
	// pollPeriod is how often an instance reads the key in case the lease ended and
	// the removal of the key was not seen. The watch normally reports the removal,
	// and every instance polls, so the period is long to limit calls to the store.
	pollPeriod = time.Minute
	// acquireJitter is the time over which instances of the same rank spread their
	// attempts to replace a holder, and rankDelay how much later those of the next
	// rank begin. By then the others have learned of a new holder.
	acquireJitter = 400 * time.Millisecond
	rankDelay     = 1200 * time.Millisecond
)

// Config configures a Holder. All fields but Rank are required.
type Config struct {
	Store store.Store
	// Key is the store key of the duty.
	Key string
	// Instance is the ID of this process; a restarted process has a different one.
	Instance string
	// Rank returns how many groups of instances are to acquire the duty before this
	// one. It keeps a large fleet from trying all at once: each attempt takes two
	// writes to the store. Nil means 0.
	Rank func() int
	// Now reads the boot clock, which continues while the machine is suspended.
	Now func() time.Time
	Log *zap.Logger
}

// Holder acquires and holds a duty. Its methods are safe for concurrent use.
type Holder struct {
	config     Config
	keyRemoved chan struct{}

	mu       sync.Mutex
	leaseID  int64
	fence    int64 // fencing token, or 0 if this instance does not hold the duty
	leaseEnd time.Time
	// suspended is true while the lease may have ended.
	suspended     bool
	currentHolder string // last seen value of the key
	seenRevision  int64  // last seen store revision of the key (the fencing token) or of its removal
	// era is the latest era of the store that was seen, and freeAt when the leases of the
	// earlier eras have ended, also those that the store does not know any more. Until
	// then this instance does not act.
	era    int64
	freeAt time.Time
	// heldFence is the fencing token under which this instance held the duty when era began.
	heldFence int64
}

// New returns a holder; the caller must call Run.
func New(c Config) *Holder { return &Holder{config: c, keyRemoved: make(chan struct{}, 1)} }

// Fence returns the fencing token of the duty and whether this instance holds
// the duty and may act now. It must be called immediately before each protected
// call.
func (h *Holder) Fence() (fence int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == 0 {
		return 0, false
	}
	now := h.config.Now()
	return h.fence, now.Before(h.leaseEnd.Add(-expiryMargin)) && !now.Before(h.freeAt)
}

// Current returns the last seen holder of the duty and its fencing token. The
// holder is an instance ID, a space and a lease ID, or "" if there is none; fence
// is then the last seen store revision of the key or of its removal, not a
// fencing token.
func (h *Holder) Current() (holder string, fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentHolder, h.seenRevision
}

// Era returns the latest era of the store that was seen, and the fencing token under which
// this instance was the last holder of the era before. heldFence is 0 if it was not, or if its
// lease had ended when it saw the new era, so that another instance may have been the last.
func (h *Holder) Era() (era, heldFence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era, h.heldFence
}

// Apply records a change of the key.
func (h *Holder) Apply(item store.Item) {
	if !item.Removed {
		h.Learn(string(item.Value), item.Revision)
		return
	}
	h.mu.Lock()
	h.observeEra(item.Revision)
	removed := item.Revision > h.seenRevision
	if removed {
		h.currentHolder, h.seenRevision = "", item.Revision
	}
	h.mu.Unlock()
	if !removed {
		return
	}
	select {
	case h.keyRemoved <- struct{}{}:
	default:
	}
}

// Learn records the holder of the duty, as reported by the store or by a peer
// with access to the store. A fencing token that is not newer than the last
// revision seen is ignored.
func (h *Holder) Learn(currentHolder string, fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeEra(fence)
	if fence <= h.seenRevision {
		return
	}
	h.currentHolder, h.seenRevision = currentHolder, fence
	h.config.Log.Info("duty holder changed", zap.String("holder", currentHolder), zap.Int64("fence", fence))
}

// observeEra records the era of a revision. A holder of an earlier era may not know yet that
// the store has lost its lease, and acts until the lease would have ended. The caller holds
// h.mu.
func (h *Holder) observeEra(revision int64) {
	era := store.Era(revision)
	if era <= h.era {
		return
	}
	now := h.config.Now()
	h.era, h.freeAt, h.heldFence = era, now.Add(leaseTTL), 0
	if h.fence != 0 {
		if now.Before(h.leaseEnd) {
			h.heldFence = h.fence
		}
		h.config.Log.Warn("store began a new era; duty lost", zap.Int64("fence", h.fence), zap.Int64("era", era))
		h.fence, h.leaseID, h.suspended = 0, 0, false
	}
}

// Run tries to acquire and hold the duty until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	defer h.resign()
	for ctx.Err() == nil {
		if h.holdsDuty() {
			h.wait(ctx, renewPeriod, nil)
			h.renew(ctx)
			continue
		}
		if current, _ := h.Current(); current == "" {
			if h.waitForTurn(ctx) {
				h.acquire(ctx)
			}
			if h.holdsDuty() {
				continue
			}
		}
		if h.wait(ctx, pollPeriod+rand.N(acquireJitter), h.keyRemoved) {
			h.readKey(ctx)
		}
	}
}

// waitForTurn waits until this instance is to acquire the duty, and reports whether
// nobody else has acquired it until then. The rank may change meanwhile, for example
// when a starting instance learns of the others.
func (h *Holder) waitForTurn(ctx context.Context) bool {
	const checkPeriod = 100 * time.Millisecond
	start, jitter := h.config.Now(), rand.N(acquireJitter)
	for ctx.Err() == nil {
		delay := jitter
		if h.config.Rank != nil {
			delay += time.Duration(h.config.Rank()) * rankDelay
		}
		rest := delay - h.config.Now().Sub(start)
		if rest <= 0 {
			return true
		}
		h.wait(ctx, min(rest, checkPeriod), nil)
		if current, _ := h.Current(); current != "" {
			return false
		}
	}
	return false
}

// wait waits for d and reports whether d passed before wake or the end of ctx.
func (h *Holder) wait(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
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

func (h *Holder) holdsDuty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence != 0
}

// readKey reads the key in case its removal was not seen.
func (h *Holder) readKey(ctx context.Context) {
	item, err := h.config.Store.Get(ctx, h.config.Key)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil && item.Revision > h.seenRevision:
		h.currentHolder, h.seenRevision = string(item.Value), item.Revision
	case errors.Is(err, store.ErrAbsent):
		h.currentHolder = ""
	}
}

// acquire tries to write the key under a new lease. The revision of the write
// is the fencing token: it increases from holder to holder.
func (h *Holder) acquire(ctx context.Context) {
	sentAt := h.config.Now()
	leaseID, granted, err := h.config.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		h.config.Log.Debug("duty lease grant failed", zap.Error(err))
		return
	}
	value := h.config.Instance + " " + strconv.FormatInt(leaseID, 10)
	revision, err := h.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: h.config.Key}},
		Puts:       []store.Put{{Key: h.config.Key, Value: []byte(value), Lease: leaseID}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// The write may have succeeded although its response was lost.
		item, getErr := h.config.Store.Get(ctx, h.config.Key)
		if getErr == nil && string(item.Value) == value {
			revision, err = item.Revision, nil
		}
	}
	if err != nil {
		if endErr := h.config.Store.EndLease(ctx, leaseID); endErr != nil {
			h.config.Log.Debug("ending unused duty lease failed; lease will expire", zap.Int64("lease", leaseID), zap.Error(endErr))
		}
		return
	}
	h.mu.Lock()
	h.observeEra(revision)
	h.leaseID, h.fence, h.leaseEnd = leaseID, revision, sentAt.Add(min(leaseTTL, granted))
	h.currentHolder, h.seenRevision = value, revision
	h.mu.Unlock()
	h.config.Log.Info("duty acquired", zap.Int64("fence", revision))
}

// renew extends the lease. After an error, the known end of the lease does not
// change. A lease that may have ended is renewed as well: the lease does not age
// while the store is down, and if the store still has it, no other instance has
// held the duty.
func (h *Holder) renew(ctx context.Context) {
	h.mu.Lock()
	leaseID := h.leaseID
	h.mu.Unlock()
	sentAt := h.config.Now()
	err := h.config.Store.RenewLease(ctx, leaseID)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.leaseEnd = sentAt.Add(leaseTTL)
		if h.suspended {
			h.suspended = false
			h.config.Log.Info("duty lease renewed; duty resumed", zap.Int64("fence", h.fence))
		}
	case errors.Is(err, store.ErrLeaseEnded):
		h.config.Log.Warn("duty lease ended; duty lost", zap.Int64("fence", h.fence), zap.Error(err))
		h.fence, h.leaseID, h.suspended = 0, 0, false
	case !h.suspended && !h.config.Now().Before(h.leaseEnd):
		h.suspended = true
		h.config.Log.Warn("duty lease not renewed before its end; duty suspended", zap.Int64("fence", h.fence), zap.Error(err))
	}
}

// resign stops acting and lets the lease expire. Two holders must not alternate
// within 3 s. If the lease were ended at once, the duty could move to a successor
// and, if the successor stopped too, return to this machine sooner than that.
func (h *Holder) resign() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == 0 {
		return
	}
	h.config.Log.Info("holder resigned the duty; lease will expire", zap.Int64("fence", h.fence), zap.Duration("left", h.leaseEnd.Sub(h.config.Now())))
	h.fence, h.leaseID = 0, 0
}
