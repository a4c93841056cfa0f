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

// Plan is the move record: everything an instance needs to advance the move
// while it can't reach the store.
type Plan struct {
	// ID identifies the move; From is the old version and To the new one.
	ID, From, To string
	// Start is the time of the first step. By Deadline all traffic goes to To,
	// unless the move is rolled back. From is retained until KeepUntil, so that
	// the versions can be compared again and the move can be rolled back.
	Start, Deadline, KeepUntil time.Time
	// Retained is true if From is retained after KeepUntil too, until the move is
	// recorded as done.
	Retained bool
}

// versionIndex returns the index of a version in counts by version, 0 for From and 1 for
// To, or false if it is neither.
func (p Plan) versionIndex(version string) (int, bool) {
	switch version {
	case p.From:
		return 0, true
	case p.To:
		return 1, true
	}
	return 0, false
}

// catchUpTime returns the time of each step of a move that was held back.
func (p Plan) catchUpTime() time.Duration {
	return time.Duration(catchUpFraction * (1 - deadlineMargin) * float64(p.Deadline.Sub(p.Start)))
}

// isRetained reports whether the move can be rolled back at now.
func (p Plan) isRetained(now time.Time) bool { return p.Retained || now.Before(effectiveKeepUntil(p)) }

// State is an instance's view of a move.
type State struct {
	Plan     Plan
	Evidence map[evidence.Key]evidence.Count
	// Vetoed is true once a veto from any instance has been received.
	Vetoed bool
	// NewAbsent is true if no server of the new version is there. OldAbsent is true if
	// all servers have the new version and there is no other to move from.
	NewAbsent, OldAbsent bool
	// Isolated is true if the instance hears from fewer than half of the known
	// failure domains.
	Isolated bool
	// Previous is the instance's previous decision on the move, or the zero value.
	// An isolated instance doesn't exceed the share of that decision; without
	// one, its limit is derived from the evidence.
	Previous Decision
}

// Decision is the share of traffic for the new version and the reason for it.
type Decision struct {
	// Share is from 0 to 1.
	Share float64
	// RouteShares are the shares on the routes on which they differ from Share.
	RouteShares map[string]float64
	Phase       Phase
	// Veto is true if the decision rolls the move back.
	Veto bool
	// Suspect is true if evidence against the new version holds the share down.
	Suspect bool
	// Reason is shown to operators and, with a veto, sent to peers.
	Reason string
	// Step is the current step of the move. It is part of the evidence key of
	// the requests whose version was chosen by this decision.
	Step uint8
	// NextStepAt is the earliest time of the next step of a move that was held back, or
	// zero if the move follows its plan.
	NextStepAt time.Time
	// Doubt is the evidence of failures that the decision considers.
	Doubt Doubt
	// LogE is the natural logarithm of the e-value against the hypothesis that
	// the new version is no worse than the old one; a veto needs ln 1000. The
	// e-value is the evidence ratio of an anytime-valid test: at most one in x
	// good versions ever reaches an e-value of x.
	LogE float64
}

// ShareOn returns the share of the new version on a route.
func (d Decision) ShareOn(route string) float64 {
	if s, ok := d.RouteShares[route]; ok {
		return s
	}
	return d.Share
}

// Policy decides on a move. Implementations are pure functions.
type Policy interface {
	Decide(s State, now time.Time) Decision
}
