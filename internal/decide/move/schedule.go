package move

import "time"

// margin is the part of a move's time that is left between its completion and
// the deadline, for nodes that learn of the last step late.
const margin = 0.1

// progress returns the part of the time up to the margin before the deadline
// that has passed: below 0 before the start, at least 1 once the move must be
// complete.
func progress(p Plan, now time.Time) float64 {
	if now.Before(p.Start) {
		return -1
	}
	total := float64(p.Deadline.Sub(p.Start)) * (1 - margin)
	if total <= 0 {
		return 1
	}
	return float64(now.Sub(p.Start)) / total
}
