package admission

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// estimateWeight is the weight of a new sample in an Estimate.
	estimateWeight = 0.05
	// maxSampleFactor bounds a sample as a multiple of the estimate, so that a few
	// responses of servers in trouble do not change it much.
	maxSampleFactor = 4
)

// Estimate is a running mean of times. The zero value has no samples; the methods are
// safe for concurrent use.
type Estimate struct{ mean atomic.Uint64 } // bits of a float64, in nanoseconds

// Observe adds a sample.
func (e *Estimate) Observe(d time.Duration) {
	for {
		bits := e.mean.Load()
		mean, sample := math.Float64frombits(bits), max(1, float64(d))
		if mean > 0 {
			sample = mean + estimateWeight*(min(sample, maxSampleFactor*mean)-mean)
		}
		if e.mean.CompareAndSwap(bits, math.Float64bits(sample)) {
			return
		}
	}
}

// Value returns the mean, or 0 if there are no samples.
func (e *Estimate) Value() time.Duration {
	return time.Duration(math.Float64frombits(e.mean.Load()))
}
