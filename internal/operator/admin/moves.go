package admin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// MoveState is a version move with the combined reports of the instances.
type MoveState struct {
	catalogue.Move
	Phase  string
	Reason string
	// MinShare and MaxShare are the smallest and largest share of the requests on
	// the new version that an instance reports, from 0 to 1. They differ until
	// the instances have exchanged their measurements.
	MinShare, MaxShare float64
	// Reports is the number of instances that report the move.
	Reports int
}

// MoveStates combines the moves of the catalogue with the instances' reports. A
// move is rolled back if any instance reports it as rolled back, because a veto
// is permanent. It is done if every report says so.
func MoveStates(c *catalogue.Catalogue, answers []StatusResult) []MoveState {
	states := make([]MoveState, 0, len(c.Moves))
	for _, m := range c.Moves {
		s := MoveState{Move: m}
		for _, a := range answers {
			for _, r := range a.Status.Moves {
				if a.Err == nil && r.ID == m.ID {
					s.addReport(r)
				}
			}
		}
		states = append(states, s)
	}
	return states
}

// ReportedMoves returns a catalogue of the moves that the instances report, for
// use while the store is unavailable. Start and KeepUntil of the moves are zero
// because the instances do not report them.
func ReportedMoves(answers []StatusResult) *catalogue.Catalogue {
	byID := make(map[string]catalogue.Move)
	for _, a := range answers {
		for _, r := range a.Status.Moves {
			byID[r.ID] = catalogue.Move{ID: r.ID, Entry: r.Entry, From: r.From, To: r.To, Deadline: r.Deadline}
		}
	}
	c := new(catalogue.Catalogue)
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		c.Moves = append(c.Moves, byID[id])
	}
	return c
}

// addReport merges the report of one instance into s. Phase and Reason come from
// the report whose phase has the highest precedence, or from the first of several
// such reports.
func (s *MoveState) addReport(m Move) {
	precedence := map[string]int{PhaseDone: 1, PhaseRunning: 2, PhaseRolledBack: 3}
	if s.Reports == 0 || precedence[m.Phase] > precedence[s.Phase] {
		s.Phase, s.Reason = m.Phase, m.Reason
	}
	if s.Reports == 0 {
		s.MinShare, s.MaxShare = m.Share, m.Share
	}
	s.MinShare, s.MaxShare = min(s.MinShare, m.Share), max(s.MaxShare, m.Share)
	s.Reports++
}

// Sentence describes the state of the move at now in one sentence.
func (s *MoveState) Sentence(now time.Time) string {
	text := fmt.Sprintf("%s from %s to %s ", s.Entry, s.From, s.To)
	switch {
	case s.Reports == 0:
		text += "is recorded; no instance reports on it"
	case s.Phase == PhaseRolledBack:
		text += "was rolled back; all requests go to " + s.From
	case s.Phase == PhaseDone:
		text += fmt.Sprintf("is done; %s is kept until %s", s.From, s.KeepUntil.Format(time.RFC3339))
		if !now.Before(s.KeepUntil) {
			text = fmt.Sprintf("%s from %s to %s is done", s.Entry, s.From, s.To)
		}
	default:
		text += fmt.Sprintf("is moving; %s of the requests go to %s, all will by %s", s.shareRange(), s.To, s.Deadline.Format(time.RFC3339))
		if !now.Before(s.Deadline) {
			text = fmt.Sprintf("%s from %s to %s is late; %s of the requests go to %s, all should have by %s", s.Entry, s.From, s.To, s.shareRange(), s.To, s.Deadline.Format(time.RFC3339))
		}
	}
	if s.Reason != "" {
		text += ": " + s.Reason
	}
	return text
}

func (s *MoveState) shareRange() string {
	if s.MaxShare-s.MinShare < 0.005 {
		return fmt.Sprintf("%.0f%%", 100*s.MaxShare)
	}
	return fmt.Sprintf("%.0f%% to %.0f%%", 100*s.MinShare, 100*s.MaxShare)
}
