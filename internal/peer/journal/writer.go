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
	// maxQueue bounds the operations that wait for a shard's next write.
	maxQueue = 1024
	// maxLater bounds the operations that are retried in the background.
	maxLater = 1024
	// laterFor is how long an operation is retried in the background.
	laterFor = 10 * time.Minute
	// maxFailures is the number of failed store calls in a row after which the
	// store counts as down. One alone can be a rejection above the rate limit.
	maxFailures = 3
	// maxRounds bounds the conflicts of one batch. Each conflict means that
	// another instance made progress.
	maxRounds = 8
	// staleAfter is the age from which a value is read again before it is
	// relied on without a write.
	staleAfter = time.Second
)

var (
	errClosed = errors.New("journal is closed")
	errBusy   = errors.New("journal queue is full")
	errDown   = errors.New("store is down")
	errFull   = errors.New("journal shard is full")

	errAttempt = errors.New("attempt has no ID or one that is too long")
)

type result struct {
	journal.Result
	err error
}

// pending is an operation that waits for its batch. An operation without a
// waiter has no done channel and is retried until its deadline.
type pending struct {
	op    journal.Op
	ctx   context.Context
	done  chan result
	until time.Time
}

func (p *pending) answer(r result) {
	if p.done != nil {
		p.done <- r
	}
}

// writer batches the operations on one shard. The fields below run are used by
// its goroutine only.
type writer struct {
	j     *Journal
	shard uint32
	wake  chan struct{} // a reservation waits
	nudge chan struct{} // something waits

	mu    sync.Mutex
	queue []*pending
	after []*pending // operations to retry in the background

	value    *journal.Shard // nil if it must be read
	revision int64
	contact  time.Time // when value was last known to be current
	batch    uint64
}

// add queues p for the next batch.
func (w *writer) add(p *pending) error {
	if w.j.config.Now().UnixNano() < w.j.down.Load() {
		return errDown
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueue {
		return errBusy
	}
	w.queue = append(w.queue, p)
	if p.op.Kind == journal.Reserve {
		signal(w.wake)
	} else {
		signal(w.nudge)
	}
	return nil
}

// later queues an operation that nobody waits for.
func (w *writer) later(op journal.Op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.after) >= maxLater {
		w.j.metrics.dropped.Inc()
		return
	}
	w.after = append(w.after, &pending{op: op, until: w.j.config.Now().Add(laterFor)})
	signal(w.nudge)
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run writes a batch as soon as a reservation waits. Completions and removals
// join it, or are written after CompleteGap.
func (w *writer) run() {
	var lazy, retry <-chan time.Time
	for {
		select {
		case <-w.j.ctx.Done():
			return
		case <-w.nudge:
			if lazy == nil {
				lazy = w.j.config.After(w.j.config.CompleteGap)
			}
			continue
		case <-w.wake:
		case <-lazy:
		case <-retry:
		}
		lazy = nil
		gap := w.j.config.After(w.j.config.Gap)
		left := w.write(w.take())
		retry = nil
		if left > 0 {
			retry = w.j.config.After(w.j.config.RetryAfter)
		}
		select {
		case <-gap:
		case <-w.j.ctx.Done():
			return
		}
	}
}

// take empties the queues. Operations whose caller has given up are dropped:
// the caller was told that the attempt may not run.
func (w *writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.j.config.Now()
	var ps []*pending
	for _, p := range w.after { // the older ones
		if now.Before(p.until) {
			ps = append(ps, p)
		}
	}
	for _, p := range w.queue {
		if p.ctx.Err() == nil {
			ps = append(ps, p)
		}
	}
	w.queue, w.after = nil, nil
	return ps
}

// write performs a batch, answers its operations and returns the number of
// operations that remain to be retried.
func (w *writer) write(ps []*pending) (left int) {
	if len(ps) == 0 {
		return 0
	}
	ops := make([]journal.Op, len(ps))
	for i, p := range ps {
		ops[i] = p.op
	}
	results, err := w.commit(ops)
	if err == nil {
		w.j.metrics.batch.Observe(float64(len(ps)))
		for i, p := range ps {
			p.answer(result{Result: results[i]})
		}
		return 0
	}
	w.value = nil
	w.j.metrics.failed.Inc()
	for _, p := range ps {
		if p.done != nil {
			p.answer(result{err: err})
			continue
		}
		w.mu.Lock()
		if len(w.after) < maxLater {
			w.after = append(w.after, p)
			left++
		}
		w.mu.Unlock()
	}
	return left
}

// commit makes ops durable and returns their results.
func (w *writer) commit(ops []journal.Op) ([]journal.Result, error) {
	if w.value != nil && w.age() > staleAfter && w.j.owner(w.shard) != w.j.config.Self {
		w.value = nil // the owner has probably written since
	}
	for range maxRounds {
		if err := w.read(); err != nil {
			return nil, err
		}
		w.batch++
		next, results, changed := journal.Apply(w.value, ops, w.j.writer, w.batch, w.j.config.Now())
		if !changed {
			if w.age() <= staleAfter {
				return results, nil
			}
			w.value = nil
			continue
		}
		landed, err := w.put(next)
		if err != nil {
			return nil, err
		}
		if landed {
			return results, nil
		}
	}
	return nil, fmt.Errorf("gave up after %d conflicts", maxRounds)
}

// put writes next. If the write conflicts or its answer is lost, put reads the
// value back and settles whether the write took effect.
func (w *writer) put(next *journal.Shard) (landed bool, err error) {
	data, err := Encode(next)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(w.j.ctx, w.j.config.StoreTimeout)
	defer cancel()
	w.j.metrics.writes.Inc()
	revision, err := w.j.config.Store.Put(ctx, w.key(), data, w.revision)
	switch {
	case err == nil:
		w.value, w.revision = next, revision
		w.storeAnswered()
		return true, nil
	case errors.Is(err, kv.ErrUnavailable):
		w.storeFailed(err)
		return false, errorx.Decorate(err, "write")
	case errors.Is(err, kv.ErrTooLarge):
		return false, errorx.Decorate(err, "write")
	case errors.Is(err, kv.ErrConflict):
		w.j.metrics.conflicts.Inc()
	default:
		w.j.metrics.unknown.Inc()
	}
	w.value = nil
	if err := w.read(); err != nil {
		return false, err
	}
	return journal.Settle(w.value, next.Writer, next.Batch) == journal.Landed, nil
}

// read loads the value unless it is cached.
func (w *writer) read() error {
	if w.value != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(w.j.ctx, w.j.config.StoreTimeout)
	defer cancel()
	w.j.metrics.reads.Inc()
	v, err := w.j.config.Store.Get(ctx, w.key())
	switch {
	case errors.Is(err, kv.ErrAbsent):
		w.value, w.revision = new(journal.Shard), 0
	case err != nil:
		w.storeFailed(err)
		return errorx.Decorate(err, "read")
	default:
		s, err := Decode(v.Data)
		if err != nil {
			return err
		}
		w.value, w.revision = s, v.Revision
	}
	w.storeAnswered()
	return nil
}

// storeFailed counts a failed call. Once the store counts as down, calls fail
// at once until the next trial.
func (w *writer) storeFailed(err error) {
	n := w.j.failures.Add(1)
	if n < maxFailures {
		return
	}
	w.j.down.Store(w.j.config.Now().Add(w.j.config.RetryAfter).UnixNano())
	if n == maxFailures {
		w.j.config.Logger.Warn("store is down; non-idempotent calls are rejected as not run",
			zap.String("instance", w.j.config.Self), zap.Uint32("shard", w.shard), zap.Error(err))
	}
}

// storeAnswered ends a series of failed calls.
func (w *writer) storeAnswered() {
	w.contact = w.j.config.Now()
	if w.j.failures.Swap(0) >= maxFailures {
		w.j.config.Logger.Info("store answers again",
			zap.String("instance", w.j.config.Self), zap.Uint32("shard", w.shard))
	}
}

func (w *writer) age() time.Duration { return w.j.config.Now().Sub(w.contact) }

func (w *writer) key() string { return fmt.Sprintf("journal/%d", w.shard) }
