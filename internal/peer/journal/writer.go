package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

const (
	// maxQueued is the maximum number of operations that wait for a shard's next
	// batch.
	maxQueued = 1024
	// maxBackground is the maximum number of a shard's operations that are
	// retried in the background.
	maxBackground = 1024
	// backgroundTimeout is how long an operation is retried in the background.
	backgroundTimeout = 10 * time.Minute
	// maxStoreFailures is the number of consecutive failed store calls after
	// which the store is considered down. A single failure can be a rejection by
	// the store's rate limit.
	maxStoreFailures = 3
	// maxCommitAttempts is the maximum number of attempts to commit a batch. An
	// attempt is repeated after a write conflict, which means that another
	// instance made progress, after a write of unknown result that is not found
	// when the value is read back, and if the cached value was too old.
	maxCommitAttempts = 8
	// maxCacheAge is the maximum age of a cached shard value from which results
	// are returned without a write; an older value is read again first. An
	// instance that does not own the shard drops an older value before each
	// batch, because the owner has probably written a newer one.
	maxCacheAge = time.Second
)

var (
	errClosed    = errors.New("journal is closed")
	errQueueFull = errors.New("journal queue is full")
	errStoreDown = errors.New("store is down")
	errShardFull = errors.New("journal shard is full")

	errInvalidAttempt = errors.New("attempt ID is empty or too long")
)

type result struct {
	journal.Result
	err error
}

// pendingOp is an operation that is queued for a batch. A background operation,
// which no caller waits for, has only a deadline, until which it is retried. The
// others have only ctx and done.
type pendingOp struct {
	op       journal.Op
	ctx      context.Context
	done     chan result
	deadline time.Time
}

func (p *pendingOp) deliver(r result) {
	if p.done != nil {
		p.done <- r
	}
}

// writer batches the operations on one shard. The goroutine of run is the only
// one that uses cached and the fields after it.
type writer struct {
	parent     *Journal
	shard      uint32
	writeNow   chan struct{} // signals that a reservation is queued
	writeLater chan struct{} // signals that a completion or a removal is queued

	mu         sync.Mutex
	queue      []*pendingOp
	background []*pendingOp // operations that no caller waits for

	cached      *journal.Shard // shard value, nil if it must be read
	revision    int64          // revision of cached in the store
	confirmedAt time.Time      // when cached was last known to be current
	batchNumber uint64         // of the last batch; with writerID it identifies a write, see journal.ResolveWrite
}

// enqueue queues p for the next batch. It fails if the store is down or the
// queue is full.
func (w *writer) enqueue(p *pendingOp) error {
	if w.parent.config.Now().UnixNano() < w.parent.storeRetryAt.Load() {
		return errStoreDown
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueued {
		return errQueueFull
	}
	w.queue = append(w.queue, p)
	if p.op.Kind == journal.Reserve {
		signal(w.writeNow)
	} else {
		signal(w.writeLater)
	}
	return nil
}

// enqueueBackground queues an operation that no caller waits for, or drops it if
// too many are queued.
func (w *writer) enqueueBackground(op journal.Op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.background) >= maxBackground {
		w.parent.metrics.dropped.Inc()
		return
	}
	w.background = append(w.background, &pendingOp{op: op, deadline: w.parent.config.Now().Add(backgroundTimeout)})
	signal(w.writeLater)
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run writes a batch as soon as a reservation is queued, at most once per
// WriteInterval. Completions and removals are added to that batch, or written
// after CompletionDelay.
func (w *writer) run() {
	var delayed, retry <-chan time.Time
	for {
		select {
		case <-w.parent.ctx.Done():
			return
		case <-w.writeLater:
			if delayed == nil {
				delayed = w.parent.config.After(w.parent.config.CompletionDelay)
			}
			continue
		case <-w.writeNow:
		case <-delayed:
		case <-retry:
		}
		delayed = nil
		interval := w.parent.config.After(w.parent.config.WriteInterval)
		remaining := w.writeBatch(w.dequeueAll())
		retry = nil
		if remaining > 0 {
			retry = w.parent.config.After(w.parent.config.RetryInterval)
		}
		select {
		case <-interval:
		case <-w.parent.ctx.Done():
			return
		}
	}
}

// dequeueAll empties the queues and returns the operations to perform. It drops
// background operations past their deadline and operations whose context has
// ended: the callers of the latter have received an error, which for a
// reservation means that the attempt must not run.
func (w *writer) dequeueAll() []*pendingOp {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.parent.config.Now()
	var ps []*pendingOp
	for _, p := range w.background { // these are older than those in queue
		if now.Before(p.deadline) {
			ps = append(ps, p)
		}
	}
	for _, p := range w.queue {
		if p.ctx.Err() == nil {
			ps = append(ps, p)
		}
	}
	w.queue, w.background = nil, nil
	return ps
}

// writeBatch commits a batch, delivers the results and returns the number of
// operations to retry in the background.
func (w *writer) writeBatch(ps []*pendingOp) (remaining int) {
	if len(ps) == 0 {
		return 0
	}
	ops := make([]journal.Op, len(ps))
	for i, p := range ps {
		ops[i] = p.op
	}
	results, err := w.commit(ops)
	if err == nil {
		w.parent.metrics.batchSize.Observe(float64(len(ps)))
		for i, p := range ps {
			p.deliver(result{Result: results[i]})
		}
		return 0
	}
	w.cached = nil
	w.parent.metrics.failedBatches.Inc()
	for _, p := range ps {
		if p.done != nil {
			p.deliver(result{err: err})
			continue
		}
		w.mu.Lock()
		if len(w.background) < maxBackground {
			w.background = append(w.background, p)
			remaining++
		}
		w.mu.Unlock()
	}
	return remaining
}

// commit writes ops to the store and returns their results.
func (w *writer) commit(ops []journal.Op) ([]journal.Result, error) {
	if w.cached != nil && w.cacheAge() > maxCacheAge && w.parent.owner(w.shard) != w.parent.config.Self {
		w.cached = nil // the shard's owner has probably written a newer value
	}
	for range maxCommitAttempts {
		if err := w.read(); err != nil {
			return nil, err
		}
		w.batchNumber++
		next, results, changed := journal.Apply(w.cached, ops, w.parent.writerID, w.batchNumber, w.parent.config.Now())
		if !changed {
			if w.cacheAge() <= maxCacheAge {
				return results, nil
			}
			w.cached = nil
			continue
		}
		committed, err := w.put(next)
		if err != nil {
			return nil, err
		}
		if committed {
			return results, nil
		}
	}
	return nil, fmt.Errorf("batch not committed after %d attempts", maxCommitAttempts)
}

// put writes next to the store. If the write conflicts or its result is unknown,
// put reads the value back to determine whether the write took effect.
func (w *writer) put(next *journal.Shard) (committed bool, err error) {
	data, err := Encode(next)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(w.parent.ctx, w.parent.config.StoreTimeout)
	defer cancel()
	w.parent.metrics.writes.Inc()
	revision, err := w.parent.config.Store.Put(ctx, w.storeKey(), data, w.revision)
	switch {
	case err == nil:
		w.cached, w.revision = next, revision
		w.recordStoreSuccess()
		return true, nil
	case errors.Is(err, kv.ErrUnavailable):
		w.recordStoreFailure(err)
		return false, errorx.Decorate(err, "write journal shard")
	case errors.Is(err, kv.ErrTooLarge):
		return false, errorx.Decorate(err, "write journal shard")
	case errors.Is(err, kv.ErrConflict):
		w.parent.metrics.conflicts.Inc()
	default:
		w.parent.metrics.unknownWrites.Inc()
	}
	w.cached = nil
	if err := w.read(); err != nil {
		return false, err
	}
	return journal.ResolveWrite(w.cached, next.Writer, next.Batch) == journal.TookEffect, nil
}

// read loads the shard value from the store unless it is cached.
func (w *writer) read() error {
	if w.cached != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(w.parent.ctx, w.parent.config.StoreTimeout)
	defer cancel()
	w.parent.metrics.reads.Inc()
	v, err := w.parent.config.Store.Get(ctx, w.storeKey())
	switch {
	case errors.Is(err, kv.ErrAbsent):
		w.cached, w.revision = new(journal.Shard), 0
	case err != nil:
		w.recordStoreFailure(err)
		return errorx.Decorate(err, "read journal shard")
	default:
		s, err := Decode(v.Data)
		if err != nil {
			return err
		}
		w.cached, w.revision = s, v.Revision
	}
	w.recordStoreSuccess()
	return nil
}

// recordStoreFailure counts a failed store call. Once the store is considered
// down, new operations fail immediately until RetryInterval has passed.
func (w *writer) recordStoreFailure(err error) {
	n := w.parent.storeFailures.Add(1)
	if n < maxStoreFailures {
		return
	}
	w.parent.storeRetryAt.Store(w.parent.config.Now().Add(w.parent.config.RetryInterval).UnixNano())
	if n == maxStoreFailures {
		w.parent.config.Logger.Warn("store is down; non-idempotent calls are rejected as not run",
			zap.String("instance", w.parent.config.Self), zap.Uint32("shard", w.shard), zap.Error(err))
	}
}

// recordStoreSuccess records that cached is current and resets the count of
// consecutive failed store calls.
func (w *writer) recordStoreSuccess() {
	w.confirmedAt = w.parent.config.Now()
	if w.parent.storeFailures.Swap(0) >= maxStoreFailures {
		w.parent.config.Logger.Info("store is available again",
			zap.String("instance", w.parent.config.Self), zap.Uint32("shard", w.shard))
	}
}

// cacheAge returns the time since cached was last known to be current.
func (w *writer) cacheAge() time.Duration { return w.parent.config.Now().Sub(w.confirmedAt) }

func (w *writer) storeKey() string { return fmt.Sprintf("journal/%d", w.shard) }
