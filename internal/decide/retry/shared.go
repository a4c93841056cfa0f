package retry

import (
	"sync"
	"time"
)

const (
	// usableFraction is the fraction of the fleet's budget that instances use.
	// The rest covers instances that restart with a new budget and clocks that
	// differ.
	usableFraction = 0.8
	// initialFraction is the fraction of its capacity with which an instance
	// starts. An instance that was killed may have spent any part of its budget
	// before it restarts.
	initialFraction = 0.5
)

// SharedConfig describes the budget of all instances together for one service:
// in any window, Ratio retries for each request and Slack more. With more than
// Slack/2 instances they may exceed it, because each may send one retry at once
// and one more per window.
type SharedConfig struct {
	Ratio, Slack float64
	Window       time.Duration
	// Instances returns the number of instances that share the budget.
	Instances func() int
	Now       func() time.Time
}

// SharedBudget is one instance's part of the fleet's budget, kept as a token bucket:
// each of its own requests adds tokens, and the instance gets an equal share of
// the slack: half as capacity that it can spend in a burst, half refilled over
// the window. The methods are safe for concurrent use.
type SharedBudget struct {
	config SharedConfig

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// NewSharedBudget returns a budget that holds initialFraction of its capacity.
func NewSharedBudget(c SharedConfig) *SharedBudget {
	s := &SharedBudget{config: c, refilled: c.Now()}
	s.tokens = initialFraction * s.capacity()
	return s
}

// capacity returns the highest number of retries that can accumulate. It is at
// least 1, because an instance with less could never retry; for a large number
// of instances this is more than their share of the slack.
func (s *SharedBudget) capacity() float64 {
	return max(1, usableFraction*s.config.Slack/2/float64(max(1, s.config.Instances())))
}

// Deposit records a request.
func (s *SharedBudget) Deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.capacity(), s.tokens+usableFraction*s.config.Ratio)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (s *SharedBudget) Withdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, capacity := s.config.Now(), s.capacity()
	if elapsed := now.Sub(s.refilled); elapsed > 0 {
		s.tokens = min(capacity, s.tokens+capacity*elapsed.Seconds()/s.config.Window.Seconds())
		s.refilled = now
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
