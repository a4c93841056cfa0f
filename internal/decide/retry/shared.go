package retry

import (
	"sync"
	"time"
)

const (
	// sharedPart is the part of the fleet's budget that is spent. The rest
	// covers instances that restart with a new budget and clocks that differ.
	sharedPart = 0.8
	// startPart is the part of its own budget that an instance starts with. One
	// that was killed has spent an unknown part.
	startPart = 0.5
)

// SharedConfig is the budget of all instances together for one service: in
// any window, Ratio retries for each request and Slack besides.
type SharedConfig struct {
	Ratio, Slack float64
	Window       time.Duration
	// Instances returns how many instances share the budget.
	Instances func() int
	Now       func() time.Time
}

// Shared is one instance's part of the fleet's budget: what its own requests
// earn, and an even part of the slack, half of it at once and half over the
// window. The methods are safe for concurrent use.
type Shared struct {
	config SharedConfig

	mu     sync.Mutex
	level  float64
	filled time.Time
}

// NewShared returns a budget.
func NewShared(c SharedConfig) *Shared {
	s := &Shared{config: c, filled: c.Now()}
	s.level = startPart * s.most()
	return s
}

// most is what quiet times save up.
func (s *Shared) most() float64 {
	return max(1, sharedPart*s.config.Slack/2/float64(max(1, s.config.Instances())))
}

// Deposit records a request.
func (s *Shared) Deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level = min(s.most(), s.level+sharedPart*s.config.Ratio)
}

// Withdraw takes one retry and reports whether there was one left.
func (s *Shared) Withdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, most := s.config.Now(), s.most()
	if passed := now.Sub(s.filled); passed > 0 {
		s.level = min(most, s.level+most*passed.Seconds()/s.config.Window.Seconds())
		s.filled = now
	}
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}
