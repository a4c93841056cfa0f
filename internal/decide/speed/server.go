package speed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Min and Max bound the speed of a server.
	Min, Max = 0.3, 3.0
	// halfLife is the time in which the weight of a sample halves.
	halfLife = time.Minute
	// priorWeight is the weight of the assumption that a server has the mean speed. It
	// is enough that no single sample changes a speed.
	priorWeight = 3
	// minWeight is the weight of samples below which a server counts as unknown.
	minWeight = 0.05
	// refreshPeriod is the time for which a speed is used without accounting for the
	// age of its samples.
	refreshPeriod = time.Second
	// stepsPerOctave is the number of steps in which a speed doubles. Speeds change in
	// steps, so that equal servers have equal speeds whatever the noise, and so that
	// the preferred servers of prefixes rarely change.
	stepsPerOctave = 3
	// minStepChange is how far the estimate must be from the current step, in steps,
	// for the speed to change.
	minStepChange = 0.75
)

// Server is the estimated speed of one server. The zero value is that of a server of
// which nothing is known; its methods are safe for concurrent use.
type Server struct {
	mu sync.Mutex
	// sum is the weighted sum, and weight the sum of the weights, of the natural
	// logarithms by which durations exceeded those of a server of mean speed; both
	// as of updated.
	sum, weight float64
	updated     time.Time
	step        atomic.Int32
	// refreshAt is when the step must be computed again, on the clock of the samples
	// in nanoseconds, or 0 if no samples are left.
	refreshAt atomic.Int64
}

// At returns the speed of the server relative to the mean of its service: one of a
// few steps from Min to Max, and 1 if nothing is known.
func (s *Server) At(now time.Time) float64 {
	if at := s.refreshAt.Load(); at != 0 && now.UnixNano() >= at {
		s.mu.Lock()
		s.refresh(now)
		s.mu.Unlock()
	}
	return stepSpeeds[s.step.Load()-minStep]
}

// slowness returns the natural logarithm by which durations of the server are expected
// to exceed those of a server of mean speed.
func (s *Server) slowness(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.estimate()
}

// add adds a sample of the slowness.
func (s *Server) add(slowness, weight float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.sum += weight * slowness
	s.weight += weight
	s.refresh(now)
}

func (s *Server) estimate() float64 { return s.sum / (s.weight + priorWeight) }

// decay reduces the weight of the samples according to their age.
func (s *Server) decay(now time.Time) {
	if age := now.Sub(s.updated); age > 0 {
		factor := math.Exp2(-float64(age) / float64(halfLife))
		s.sum, s.weight, s.updated = factor*s.sum, factor*s.weight, now
	}
}

// refresh computes the step of the speed.
func (s *Server) refresh(now time.Time) {
	s.decay(now)
	if s.weight < minWeight {
		s.sum, s.weight = 0, 0
		s.step.Store(0)
		s.refreshAt.Store(0)
		return
	}
	steps := -s.estimate() / math.Ln2 * stepsPerOctave
	if math.Abs(steps-float64(s.step.Load())) > minStepChange {
		s.step.Store(min(max(int32(math.Round(steps)), minStep), maxStep))
	}
	s.refreshAt.Store(now.Add(refreshPeriod).UnixNano())
}

// minStep and maxStep are the steps of the lowest and the highest speed, the first and
// the last within Min and Max.
const (
	minStep = -5
	maxStep = 4
)

// stepSpeeds are the speeds by step, from minStep on.
var stepSpeeds = func() (speeds [maxStep - minStep + 1]float64) {
	for i := range speeds {
		speeds[i] = math.Exp2(float64(i+minStep) / stepsPerOctave)
	}
	return speeds
}()
