package admission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the age at which a request counts half in the share of its class.
	shareHalfLife = 3 * time.Second
	// minShare is the least share of an urgency's requests that are served, relative to
	// that of the most urgent ones. A class counts as starved below a quarter;
	// the rest covers retries and the lag of the counts.
	minShare = 0.35
)

// share is the fraction of the recent requests of one urgency that were served.
type share struct {
	offered, served float64
	updated         time.Time
}

// add adds requests to the counts.
func (s *share) add(offered, served float64, now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(shareHalfLife))
		s.offered, s.served = s.offered*factor, s.served*factor
		s.updated = now
	}
	s.offered += offered
	s.served += served
}

// fraction returns the fraction that was served. One more request counts as served, so
// that the first request of an urgency is not taken for a starved one.
func (s *share) fraction() float64 { return (s.served + 1) / (s.offered + 1) }
