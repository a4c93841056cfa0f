package retry

import (
	"testing"
	"time"
)

// Guards against instances that together send more retries in a window than the
// fleet's budget allows, or fewer than half of Ratio per request, for various
// numbers of instances.
func TestSharedStaysWithinFleetBudget(t *testing.T) {
	for _, n := range []int{1, 9, 40} {
		now := time.Unix(1000, 0)
		c := SharedConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Instances: func() int { return n }, Now: func() time.Time { return now }}
		budgets := make([]*SharedBudget, n)
		for i := range budgets {
			budgets[i] = NewSharedBudget(c)
		}
		now = now.Add(time.Minute)
		retries, requests := 0, 0
		for range 1000 { // one window in which every request wants three retries
			now = now.Add(10 * time.Millisecond)
			b := budgets[requests%n]
			b.Deposit()
			requests++
			for range 3 {
				if b.Withdraw() {
					retries++
				}
			}
		}
		if limit := int(c.Ratio*float64(requests) + c.Slack); retries > limit {
			t.Errorf("%d instances: %d retries for %d requests, want at most %d", n, retries, requests, limit)
		}
		if minimum := int(c.Ratio * float64(requests) / 2); retries < minimum {
			t.Errorf("%d instances: %d retries for %d requests, want at least %d", n, retries, requests, minimum)
		}
	}
}
