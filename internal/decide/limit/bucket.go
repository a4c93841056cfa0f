package limit

import (
	"math"
	"sync/atomic"
	"time"
)

// burstTime sets the size of a burst: requests up to this time ahead of the rate
// are admitted, because clients send in bursts. One second does not exceed the
// heartbeat period of package membership, in which instances exchange their
// demands, so a burst does not outlast the share of the limit on which it is based.
const burstTime = time.Second

// Bucket limits the rate and the concurrency of one workspace on one entry.
// The zero value admits everything. The methods are safe for concurrent use.
type Bucket struct {
	interval   atomic.Int64 // nanoseconds between requests; 0 means no limit
	tolerance  atomic.Int64 // nanoseconds by which arrival may be ahead of now
	concurrent atomic.Int64 // 0 means no limit
	arrival    atomic.Int64 // theoretical arrival time in Unix nanoseconds
	running    atomic.Int64
}

// SetRate sets the limits: requests per second and concurrent requests. Zero or
// less means no limit. It may be called at any time.
func (b *Bucket) SetRate(perSecond float64, concurrent int) {
	interval := int64(0)
	if perSecond > 0 {
		interval = int64(min(float64(time.Second)/perSecond, float64(math.MaxInt64/4)))
	}
	b.tolerance.Store(max(int64(burstTime)-interval, 0))
	b.interval.Store(interval)
	b.concurrent.Store(int64(max(concurrent, 0)))
}

// Admit reports whether a request at time now is admitted. Each admitted request
// must be followed by one call of Release.
func (b *Bucket) Admit(now time.Time) bool {
	if limit := b.concurrent.Load(); b.running.Add(1) > limit && limit > 0 {
		b.running.Add(-1)
		return false
	}
	if !b.conforms(now.UnixNano()) {
		b.running.Add(-1)
		return false
	}
	return true
}

// Release ends a request that Admit admitted.
func (b *Bucket) Release() { b.running.Add(-1) }

// Running returns the number of requests that were admitted and not yet released.
func (b *Bucket) Running() int { return int(b.running.Load()) }

// conforms reports whether a request at now, in Unix nanoseconds, is within the
// rate. It implements the generic cell rate algorithm, a token bucket whose state
// is a single word, so that one compare-and-swap suffices.
func (b *Bucket) conforms(now int64) bool {
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
