package speed

import (
	"math"
	"sync"
	"time"
)

// Kind is what a duration measures.
type Kind uint8

// Kinds of durations.
const (
	FirstEvent Kind = iota // from sending a request to the first event of a stream
	EventGap               // the mean time between the first events of a stream
	Response               // from sending a request to a response that is no stream
)

// weights are the weights of a sample by its kind. The time to the first event
// depends on the queue of the server and on what it has cached as well as on its
// speed.
var weights = [...]float64{FirstEvent: 0.25, EventGap: 1, Response: 0.5}

// Class groups the durations that servers of equal speed have in common.
type Class struct {
	Service, Route string
	Kind           Kind
	// Size is SizeClass of the prompt tokens that a FirstEvent depends on, and 0 for
	// other kinds.
	Size uint8
}

// sizeUnit is the number of tokens below which prompts don't differ in time.
const sizeUnit = 256

// SizeClass returns the class of a number of prompt tokens. Tokens of one class differ
// by a factor of at most about 1.4.
func SizeClass(tokens int64) uint8 {
	return uint8(math.Round(2 * math.Log2(1+float64(max(0, tokens))/sizeUnit)))
}

// Sample is one measured duration of a server.
type Sample struct {
	Class    Class
	Duration time.Duration
	// Minimum samples ended before what they measure: the true duration is longer.
	Minimum bool
}

const (
	// maxClasses bounds the classes that are known; beyond it all are learnt anew.
	maxClasses = 4096
	// minClassSamples is the number of samples of a class from which servers are
	// compared by it.
	minClassSamples = 8
	// maxClassSamples is the number of samples over which the typical duration of a
	// class is averaged.
	maxClassSamples = 32
	// maxDeviation bounds how far one sample can be from what was expected of the
	// server, as a natural logarithm.
	maxDeviation = 0.7
)

// Baselines holds the typical duration of each class, with which servers are compared.
// The zero value is ready to use; its methods are safe for concurrent use.
type Baselines struct {
	mu      sync.Mutex
	classes map[Class]*baseline
}

// baseline is the typical duration of one class at a server of mean speed.
type baseline struct {
	mean    float64 // of the natural logarithm of seconds
	samples float64 // at most maxClassSamples
}

// Add adds a sample to the estimate of a server and to the baseline of its class.
func (b *Baselines) Add(server *Server, s Sample, now time.Time) {
	if s.Duration <= 0 {
		return
	}
	logDuration := math.Log(s.Duration.Seconds())
	b.mu.Lock()
	defer b.mu.Unlock()
	class := b.classes[s.Class]
	if class == nil {
		if s.Minimum {
			return
		}
		if b.classes == nil || len(b.classes) >= maxClasses {
			b.classes = make(map[Class]*baseline)
		}
		class = &baseline{mean: logDuration}
		b.classes[s.Class] = class
	}
	// known reports whether the baseline is good enough to compare servers with.
	known := class.samples >= minClassSamples
	slowness := server.slowness(now)
	deviation := logDuration - class.mean - slowness
	if known {
		deviation = min(max(deviation, -maxDeviation), maxDeviation)
	}
	// A duration that ended early shows something only if it is long already.
	if s.Minimum && (!known || deviation <= 0) {
		return
	}
	if known {
		server.add(slowness+deviation, weights[s.Class.Kind], now)
	}
	if !s.Minimum {
		class.samples = min(class.samples+1, maxClassSamples)
		class.mean += deviation / class.samples
	}
}
