package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against instances that together send more retries in a window than the
// fleet's budget allows, or fewer than half of Ratio per request, for various
// numbers of instances.
func TestSharedStaysWithinFleetBudget(t *testing.T) {
	for _, n := range []int{1, 9, 40, 100, 295, 1000} {
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(1, uint64(n)))
		c := SharedConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Instances: func() int { return n }, Now: func() time.Time { return now }, Random: random.Float64}
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

// Guards against a large fleet that together exceeds a small budget in some window,
// whatever the time of its requests and failures, and against one that can hardly
// retry at all.
func TestLargeFleetStaysWithinSmallBudget(t *testing.T) {
	const window, slack, ratio = 10 * time.Second, 36.0, 0.1
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		n := 40 + random.IntN(300)
		now := time.Unix(1000, 0)
		c := SharedConfig{Ratio: ratio, Slack: slack, Window: window, Instances: func() int { return n }, Now: func() time.Time { return now }, Random: random.Float64}
		budgets := make([]*SharedBudget, n)
		for i := range budgets {
			budgets[i] = NewSharedBudget(c)
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		}
		var requests, retries []time.Time
		failing := false
		for range 6000 {
			now = now.Add(10 * time.Millisecond)
			if random.IntN(300) == 0 {
				failing = !failing
			}
			b := budgets[random.IntN(n)]
			b.Deposit()
			requests = append(requests, now)
			for failing && b.Withdraw() {
				retries = append(retries, now)
			}
		}
		in := func(times []time.Time, end time.Time) (count float64) {
			for _, at := range times {
				if at.After(end.Add(-window)) && !at.After(end) {
					count++
				}
			}
			return count
		}
		for _, end := range retries {
			limit := ratio*max(in(requests, end), in(requests, end.Add(-window)), in(requests, end.Add(-window/2))) + slack
			if got := in(retries, end); got > limit {
				t.Fatalf("seed %d, %d instances: %.0f retries in a window, want at most %.0f", seed, n, got, limit)
			}
		}
		if float64(len(retries)) < ratio*float64(len(requests))/5 {
			t.Errorf("seed %d, %d instances: %d retries for %d requests, want more", seed, n, len(retries), len(requests))
		}
	}
}

// Guards against a fleet that is killed after it used its budget and then uses it
// again in the same window.
func TestRestartedFleetStaysWithinBudget(t *testing.T) {
	for _, n := range []int{1, 9, 40, 295} {
		random := rand.New(rand.NewPCG(3, uint64(n)))
		now := time.Unix(1000, 0)
		c := SharedConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Instances: func() int { return n }, Now: func() time.Time { return now }, Random: random.Float64}
		retries := 0
		withdrawAll := func(budgets []*SharedBudget) {
			for _, b := range budgets {
				for b.Withdraw() {
					retries++
				}
			}
		}
		newBudgets := func() (budgets []*SharedBudget) {
			for range n {
				budgets = append(budgets, NewSharedBudget(c))
			}
			return budgets
		}
		budgets := newBudgets()
		now = now.Add(time.Minute)
		withdrawAll(budgets)
		now = now.Add(time.Second)
		withdrawAll(newBudgets())
		if retries > int(c.Slack) {
			t.Errorf("%d instances: %d retries without a request around a kill of all, want at most %.0f", n, retries, c.Slack)
		}
	}
}
