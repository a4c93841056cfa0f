package limit

import (
	"math"
	"sync/atomic"
	"time"
)

// burst is the time for which requests above the rate are admitted at once.
// Clients send in bursts; one second is below the period of the exchange
// between instances, so that a burst doesn't outlive the share it draws on.
const burst = time.Second

// Bucket limits the rate and the concurrency of one workspace on one entry.
// The zero value admits everything. The methods are safe for concurrent use.
type Bucket struct {
	interval   atomic.Int64 // nanoseconds between requests; 0 is no limit
	tolerance  atomic.Int64 // nanoseconds by which arrival may run ahead
	concurrent atomic.Int64 // 0 is no limit
	arrival    atomic.Int64 // theoretical arrival time in Unix nanoseconds
	running    atomic.Int64
}

// SetRate sets the limits, in requests per second and in requests at a time;
// zero or less is no limit. It may be called at any time.
func (b *Bucket) SetRate(perSecond float64, concurrent int) {
	interval := int64(0)
	if perSecond > 0 {
		interval = int64(min(float64(time.Second)/perSecond, float64(math.MaxInt64/4)))
	}
	b.tolerance.Store(max(int64(burst)-interval, 0))
	b.interval.Store(interval)
	b.concurrent.Store(int64(max(concurrent, 0)))
}

// Take admits a request at now. Each admitted request is followed by one call
// of Release.
func (b *Bucket) Take(now time.Time) bool {
	if limit := b.concurrent.Load(); b.running.Add(1) > limit && limit > 0 {
		b.running.Add(-1)
		return false
	}
	if !b.conform(now.UnixNano()) {
		b.running.Add(-1)
		return false
	}
	return true
}

// Release ends a request that Take admitted.
func (b *Bucket) Release() { b.running.Add(-1) }

// Running returns the number of requests that are admitted and not released.
func (b *Bucket) Running() int { return int(b.running.Load()) }

// conform applies the generic cell rate algorithm: one word holds the state of
// the token bucket, so that one compare-and-swap suffices.
func (b *Bucket) conform(now int64) bool {
	interval := b.interval.Load()
	if interval == 0 {
		return true
	}
	for {
		arrival := b.arrival.Load()
		start := max(arrival, now)
		if start-now > b.tolerance.Load() {
			return false
		}
		if b.arrival.CompareAndSwap(arrival, start+interval) {
			return true
		}
	}
}
