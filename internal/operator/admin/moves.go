package admin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// MoveState is a move as all instances together see it.
type MoveState struct {
	catalogue.Move
	Phase  string
	Reason string
	// Low and High are the smallest and largest share that an instance
	// reports; they differ while instances learn from each other.
	Low, High float64
	// Reports is the number of instances that report the move.
	Reports int
}

// MoveStates joins the moves of the catalogue with the instances' answers. A
// move that any instance has rolled back is rolled back, because vetoes are
// sticky; it is done once every instance that reports it says so.
func MoveStates(c *catalogue.Catalogue, answers []Answer) []MoveState {
	states := make([]MoveState, 0, len(c.Moves))
	for _, m := range c.Moves {
		s := MoveState{Move: m}
		for _, a := range answers {
			for _, r := range a.Status.Moves {
				if a.Err == nil && r.ID == m.ID {
					s.add(r)
				}
			}
		}
		states = append(states, s)
	}
	return states
}

// ReportedMoves returns the moves that the instances report, for use while the
// store does not answer. Their start and end of keeping are not known.
func ReportedMoves(answers []Answer) *catalogue.Catalogue {
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

func (s *MoveState) add(m Move) {
	rank := map[string]int{PhaseDone: 1, PhaseRunning: 2, PhaseRolledBack: 3}
	if s.Reports == 0 || rank[m.Phase] > rank[s.Phase] {
		s.Phase, s.Reason = m.Phase, m.Reason
	}
	if s.Reports == 0 {
		s.Low, s.High = m.Share, m.Share
	}
	s.Low, s.High = min(s.Low, m.Share), max(s.High, m.Share)
	s.Reports++
}

// Sentence describes the move in plain words.
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
		text += fmt.Sprintf("is moving; %s of the requests go to %s, all will by %s", s.share(), s.To, s.Deadline.Format(time.RFC3339))
		if !now.Before(s.Deadline) {
			text = fmt.Sprintf("%s from %s to %s is late; %s of the requests go to %s, all should have by %s", s.Entry, s.From, s.To, s.share(), s.To, s.Deadline.Format(time.RFC3339))
		}
	}
	if s.Reason != "" {
		text += ": " + s.Reason
	}
	return text
}

func (s *MoveState) share() string {
	if s.High-s.Low < 0.005 {
		return fmt.Sprintf("%.0f%%", 100*s.High)
	}
	return fmt.Sprintf("%.0f%% to %.0f%%", 100*s.Low, 100*s.High)
}
