package move

import (
	"slices"
	"time"
)

const (
	// SlowResponseRatio and SlowStreamRatio are the multiples of the old version's
	// median pace above which a response and a stream are slow. The pace of a stream
	// is a mean over several events and varies less than the time to a response.
	SlowResponseRatio = 3
	SlowStreamRatio   = 2
	// paceSamples is the number of recent answers from which the median is taken,
	// and minPaceSamples the number below which no answer is slow.
	paceSamples    = 32
	minPaceSamples = 8
)

// Pace is the recent pace of the version that a move starts from, on one route:
// the time to a response, or between two events of a stream. A route's objective
// is no measure of a version, because a version that is several times slower
// than the old one may still meet it. Whether an answer is slow depends only on
// earlier answers of the old version and applies to both versions alike, so the
// comparison of the versions remains valid. The zero value is ready to use.
type Pace struct {
	recent [paceSamples]time.Duration // a ring buffer
	count  int
	median time.Duration
}

// Add adds the pace of an answer of the old version.
func (p *Pace) Add(d time.Duration) {
	p.recent[p.count%paceSamples] = d
	p.count++
	sorted := p.recent
	known := sorted[:min(p.count, paceSamples)]
	slices.Sort(known)
	p.median = known[len(known)/2]
}

// IsSlow reports whether the pace of an answer is more than ratio times the old
// version's.
func (p *Pace) IsSlow(d time.Duration, ratio int) bool {
	return p.count >= minPaceSamples && d > time.Duration(ratio)*p.median
}
