package retry

import "sync/atomic"

const (
	// cost is the number of first attempts that pay for one retry: a failing
	// backend server receives at most a tenth extra.
	cost = 10
	// most bounds what quiet times save up, so that a failure after hours of
	// success doesn't set off a burst of retries.
	most = 10 * cost
)

// Budget allows one retry for each ten first attempts. The zero value is an
// empty budget; the methods are safe for concurrent use.
type Budget struct{ tenths atomic.Int64 }

// initial is the number of retries that Fill allows.
const initial = 5

// Fill gives a new budget the allowance of a few retries. Without it a node
// that has just started, or that has little traffic, could not replace an
// attempt whose server is lost.
func (b *Budget) Fill() { b.tenths.Store(initial * cost) }

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	for {
		have := b.tenths.Load()
		if have >= most || b.tenths.CompareAndSwap(have, have+1) {
			return
		}
	}
}

// Withdraw takes the allowance of one retry and reports whether there is one.
func (b *Budget) Withdraw() bool {
	for {
		have := b.tenths.Load()
		if have < cost {
			return false
		}
		if b.tenths.CompareAndSwap(have, have-cost) {
			return true
		}
	}
}
