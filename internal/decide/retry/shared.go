package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// usableFraction is the fraction of the fleet's budget that instances use. The rest
// covers instances that restart with a new budget and clocks that differ.
const usableFraction = 0.75

// SharedConfig describes the budget of all instances together for one service:
// in any window, Ratio retries for each request and Slack more.
type SharedConfig struct {
	Ratio, Slack float64
	Window       time.Duration
	// Instances returns the number of instances that share the budget.
	Instances func() int
	// Started is when the process started, on the clock of Now; the default is the time of
	// NewSharedBudget.
	Started time.Time
	// Fresh reports whether no process ran on this machine in the window before Started;
	// nil means that this is not known.
	Fresh func() bool
	Now   func() time.Time
	// Random returns a number in [0, 1); the default is a random one.
	Random func() float64
}

const (
	// parts is the number of parts of a window in which requests and retries are
	// counted.
	parts = 10
	// drawWindows is the number of windows after which the rounding is drawn again.
	// In any window, a quarter of the instances then have two draws.
	drawWindows = 4
	// freshFraction is the fraction of its share of the slack that a fresh process uses in its
	// first window. A process that ended in a planned stop, or whose entry lapsed, may have
	// used its share.
	freshFraction = 1.0 / 3
	// minSlackFraction is the fraction of the slack that instances use at least.
	minSlackFraction = 0.25
)

// SharedBudget is one instance's part of the fleet's budget. In a window the
// instance may send Ratio retries for each of its own requests, and an equal share
// of the slack. In the first window of a process there is no slack, because the process that
// ran before on the same machine may have used it, or, if none ran, a part. Parts of a retry are rounded at random, so that many instances with
// less than one retry each use their parts together, and hardly more. The methods
// are safe for concurrent use.
type SharedBudget struct {
	config SharedConfig

	mu       sync.Mutex
	partEnd  time.Time // end of the current part
	earned   [parts]float64
	spent    [parts + 1]float64 // one part more, so that it covers a whole window
	drawEnd  time.Time          // when rounding is drawn again
	rounding float64            // in [0, 1)
}

// NewSharedBudget returns a budget that has recorded no request.
func NewSharedBudget(c SharedConfig) *SharedBudget {
	if c.Random == nil {
		c.Random = rand.Float64
	}
	now := c.Now()
	if c.Started.IsZero() {
		c.Started = now
	}
	return &SharedBudget{
		config: c, partEnd: now.Add(c.Window / parts), rounding: c.Random(),
		// Instances that start together draw at different times.
		drawEnd: now.Add(time.Duration(c.Random() * float64(drawWindows*c.Window))),
	}
}

// Deposit records a request.
func (s *SharedBudget) Deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.earned[0] += usableFraction * s.config.Ratio
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (s *SharedBudget) Withdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if sum(s.spent[:])+s.rounding >= sum(s.earned[:])+s.slackShare() {
		return false
	}
	s.spent[0]++
	return true
}

// slackShare returns this instance's part of the slack. Rounding deviates by about
// half the square root of the number of instances from the sum of their parts, and
// twice that is kept free.
func (s *SharedBudget) slackShare() float64 {
	n := float64(max(1, s.config.Instances()))
	share := max(usableFraction*s.config.Slack-math.Sqrt(n), minSlackFraction*s.config.Slack) / n
	switch {
	case s.config.Now().Sub(s.config.Started) >= s.config.Window:
		return share
	case s.config.Fresh != nil && s.config.Fresh():
		return share * freshFraction
	}
	return 0
}

// advance begins new parts, and draws the rounding again, if the current ones have
// ended.
func (s *SharedBudget) advance() {
	now := s.config.Now()
	part := s.config.Window / parts
	if late := now.Sub(s.partEnd); late >= 0 {
		ended := int(late/part) + 1
		s.partEnd = s.partEnd.Add(time.Duration(ended) * part)
		shift(s.earned[:], ended)
		shift(s.spent[:], ended)
	}
	if late := now.Sub(s.drawEnd); late >= 0 {
		period := drawWindows * s.config.Window
		s.drawEnd = s.drawEnd.Add(period * (late/period + 1))
		s.rounding = s.config.Random()
	}
}

// shift moves the counts of parts back by n and empties the first n.
func shift(counts []float64, n int) {
	n = min(n, len(counts))
	copy(counts[n:], counts[:len(counts)-n])
	clear(counts[:n])
}

func sum(counts []float64) (total float64) {
	for _, c := range counts {
		total += c
	}
	return total
}
