package limit

import (
	"math"
	"sync"
	"time"
)

// Admission is the decision on one use of an allowance.
type Admission struct {
	Admitted bool
	// RetryAfter is when to come back if the use was not admitted.
	RetryAfter time.Duration
	// By is who decided, and Bound what was used up; both are for logs.
	By, Bound string
}

// Allowance limits what is used of a quantity, such as tokens. Uses differ in
// size: one that is larger than half of the burst is admitted when that is
// left and leaves a debt, so that it is not rejected for ever. The zero value admits
// everything; the methods are safe for concurrent use.
type Allowance struct {
	mu     sync.Mutex
	rate   float64 // units per second; 0 is no limit
	burst  float64
	level  float64
	filled time.Time
}

// Set sets the rate and the burst. The first call fills the allowance.
func (a *Allowance) Set(rate, burst float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.filled.IsZero() {
		a.level, a.filled = burst, now
	}
	a.fill(now)
	a.rate, a.burst = rate, burst
	a.level = min(a.level, burst)
}

// Wait returns the time until units may be used, or 0 if they may now. A use
// needs its units to be left, or half of the burst if it is larger, so that
// small uses go on while a large one has to wait.
func (a *Allowance) Wait(units float64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rate <= 0 {
		return 0
	}
	a.fill(now)
	need := max(0, min(units, a.burst/2))
	if a.level > 0 && a.level >= need {
		return 0
	}
	return time.Duration(math.Ceil((max(1, need) - a.level) / a.rate * float64(time.Second)))
}

// Keep leaves only a part of what is there.
func (a *Allowance) Keep(part float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now)
	a.level *= part
}

// Low reports whether less than half of the burst is left.
func (a *Allowance) Low(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now)
	return a.rate > 0 && a.level < a.burst/2
}

// Spend uses units, whether they are left or not.
func (a *Allowance) Spend(units float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now)
	a.level -= units
}

// Charge is Spend for units that were used elsewhere; it leaves no more than a
// debt of most.
func (a *Allowance) Charge(units, most float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now)
	a.level = max(min(a.level, -most), a.level-units)
}

func (a *Allowance) fill(now time.Time) {
	if passed := now.Sub(a.filled).Seconds(); passed > 0 {
		a.level = min(a.burst, a.level+passed*a.rate)
		a.filled = now
	}
}
