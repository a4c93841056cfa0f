package move

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

// Phase is the state of a move.
type Phase int

// Phases of a move.
const (
	Running Phase = iota
	Done
	RolledBack
)

// String returns the phase as shown to operators.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Done:
		return "done"
	case RolledBack:
		return "rolled back"
	}
	return "unknown"
}

// Plan is the move record: everything a node needs to advance the move while it
// can't reach the store.
type Plan struct {
	ID, From, To               string
	Start, Deadline, KeepUntil time.Time
}

// State is a node's view of a move.
type State struct {
	Plan     Plan
	Evidence map[evidence.Key]evidence.Count
	// Vetoed is true once a veto from any node has been received.
	Vetoed bool
	// Isolated is true if the node hears from fewer than half of the known
	// failure domains.
	Isolated bool
	// Last is the node's previous decision on the move, or the zero value. An
	// isolated node doesn't exceed the share of that decision; without one, its
	// limit is derived from the evidence.
	Last Decision
}

// Decision is the share of traffic for the new version and the reason for it.
type Decision struct {
	// Share is from 0 to 1.
	Share  float64
	Phase  Phase
	Veto   bool
	Reason string
	// Step is the current step of the move. It is part of the evidence key of
	// the requests whose version was chosen by this decision.
	Step uint8
	// LogE is the natural logarithm of the e-value against the hypothesis that
	// the new version is no worse than the old one; a veto needs ln 1000.
	LogE float64
}

// Policy decides on a move. Implementations are pure functions.
type Policy interface {
	Decide(s State, now time.Time) Decision
}
