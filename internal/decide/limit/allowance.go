package limit

import (
	"math"
	"sync"
	"time"
)

// Use is a use of an allowance.
type Use struct {
	Units float64
	// Urgency is the rank of the request: 0 is the most urgent, 9 the least.
	Urgency int
}

// Admission is the decision whether to admit one use of an allowance.
type Admission struct {
	Admitted bool
	// RetryAfter is the time after which to try again if the use was not
	// admitted.
	RetryAfter time.Duration
	// DecidedBy names the party that decided, and ExhaustedLimit the limit that
	// was exhausted; both are for logs.
	DecidedBy, ExhaustedLimit string
}

// Allowance is a token bucket that limits the use of a quantity, such as tokens
// of a language model. Uses differ in size, and a use larger than the burst could
// never be admitted if all of its units had to be left. A use larger than half of
// the burst is therefore admitted once half of the burst is left, and may leave a
// debt. Requiring half lets small uses continue while a large one waits. The zero
// value admits everything. The methods are safe for concurrent use.
type Allowance struct {
	mu         sync.Mutex
	rate       float64 // units per second; 0 means no limit
	burst      float64
	level      float64 // units left; negative if there is a debt
	refilledAt time.Time
}

// Set sets the rate in units per second and the burst in units. The first call
// fills the allowance; later calls keep its level, limited to the new burst.
func (a *Allowance) Set(rate, burst float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refilledAt.IsZero() {
		a.level, a.refilledAt = burst, now
	}
	a.refill(now)
	a.rate, a.burst = rate, burst
	a.level = min(a.level, burst)
}

// Wait returns the time until units may be used, or 0 if they may be used now. A
// use is admitted once its units are left, or half of the burst if that is less.
func (a *Allowance) Wait(units float64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rate <= 0 {
		return 0
	}
	a.refill(now)
	need := max(0, min(units, a.burst/2))
	if a.level > 0 && a.level >= need {
		return 0
	}
	return time.Duration(math.Ceil((max(1, need) - a.level) / a.rate * float64(time.Second)))
}

// Spend deducts units, even if fewer are left.
func (a *Allowance) Spend(units float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	a.level -= units
}

// Charge deducts units that were used elsewhere. It does not raise the debt above
// maxDebt.
func (a *Allowance) Charge(units, maxDebt float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	a.level = max(min(a.level, -maxDebt), a.level-units)
}

// refill adds the units that have accrued since the last call.
func (a *Allowance) refill(now time.Time) {
	if elapsed := now.Sub(a.refilledAt).Seconds(); elapsed > 0 {
		a.level = min(a.burst, a.level+elapsed*a.rate)
		a.refilledAt = now
	}
}
