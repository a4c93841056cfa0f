package retry

import "sync/atomic"

const (
	// attemptsPerRetry is the number of first attempts that pay for one retry:
	// a failing backend server receives at most a tenth more requests.
	attemptsPerRetry = 10
	// maxBalance is the highest balance, ten retries. It limits what accumulates
	// while there are no retries, so that a failure after hours of success
	// doesn't cause a burst of retries.
	maxBalance = 10 * attemptsPerRetry
)

// Budget allows one retry for every ten first attempts. The zero value is an
// empty budget; the methods are safe for concurrent use. The balance is counted
// in first attempts, of which attemptsPerRetry pay for one retry.
type Budget struct{ balance atomic.Int64 }

// initialRetries is the number of retries in a budget after Fill.
const initialRetries = 5

// Fill sets a new budget to a few retries. Without them an instance that has
// just started, or that has little traffic, could not replace an attempt whose
// server is lost.
func (b *Budget) Fill() { b.balance.Store(initialRetries * attemptsPerRetry) }

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	for {
		current := b.balance.Load()
		if current >= maxBalance || b.balance.CompareAndSwap(current, current+1) {
			return
		}
	}
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		current := b.balance.Load()
		if current < attemptsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(current, current-attemptsPerRetry) {
			return true
		}
	}
}
