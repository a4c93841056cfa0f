package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// KeepTime is how long after the deadline of a move the old version is kept
// and the new one watched.
const KeepTime = 2 * time.Hour

// Bounds on the time between an apply and the deadline of its moves. Below
// the minimum a move could not be stepped and watched.
const (
	MinMoveTime = 10 * time.Second
	MaxMoveTime = 90 * 24 * time.Hour
)

// Bounds on what the history keeps of one change.
const (
	maxSummary     = 8
	maxSummaryLine = 160
)

// Vetoed tells whether a move has been rolled back by a veto.
type Vetoed func(move string) bool

// Plan returns the moves of next: those of previous that still stand and
// those that follow from its changed versions. It assumes that no move has
// been vetoed; Succeed is for callers that know the vetoes.
func Plan(previous, next *Catalogue, now time.Time) []Move {
	moves, _ := plan(previous, next, now, func(string) bool { return false })
	return moves
}

// plan also counts the moves of previous that end.
func plan(previous, next *Catalogue, now time.Time, vetoed Vetoed) ([]Move, Ended) {
	moves := []Move{}
	ended := previous.Ended
	had := NewSnapshot(0, previous)
	kept := make(map[string]bool)
	for i := range next.Entries {
		e := &next.Entries[i]
		old, ok := had.Entry(e.Name)
		if !ok {
			continue // a new entry has nothing to move from
		}
		current, moving := had.MoveOf(e.Name)
		if old.Version == e.Version {
			if moving {
				kept[current.ID] = true
				moves = append(moves, postponed(*current, e, now, vetoed))
			}
			continue
		}
		from := safeVersion(old, current, now, vetoed)
		if from == e.Version {
			continue // all traffic returns to the version that carries it
		}
		moves = append(moves, Move{
			ID:        moveID(e.Name, e.Version, next.Operation, now),
			Entry:     e.Name,
			From:      from,
			To:        e.Version,
			Start:     instant(now),
			Deadline:  e.MoveBy,
			KeepUntil: e.MoveBy.Add(KeepTime),
		})
	}
	for _, m := range previous.Moves {
		if !kept[m.ID] {
			ended.count(m, now, vetoed)
		}
	}
	return moves, ended
}

// postponed returns m with the deadline that its owner has set since. A move
// that is over keeps its deadline.
func postponed(m Move, e *Entry, now time.Time, vetoed Vetoed) Move {
	if e.MoveBy.IsZero() || e.MoveBy.Equal(m.Deadline) || over(&m, now, vetoed) {
		return m
	}
	m.Deadline = e.MoveBy
	m.KeepUntil = e.MoveBy.Add(KeepTime)
	return m
}

// over reports whether a deadline change can no longer affect m.
func over(m *Move, now time.Time, vetoed Vetoed) bool {
	return vetoed(m.ID) || !now.Before(m.Deadline)
}

// safeVersion returns the version that carries the entry's traffic: the old
// version until the deadline of a move and after a veto, the new one otherwise.
func safeVersion(e *Entry, m *Move, now time.Time, vetoed Vetoed) string {
	if m != nil && (now.Before(m.Deadline) || vetoed(m.ID)) {
		return m.From
	}
	return e.Version
}

// moveID is unique for entry, target and change: a version that was rolled
// back and is moved to again must not inherit the veto.
func moveID(entry, to, operation string, now time.Time) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%s\x00%d", entry, to, operation, now.UnixNano()))
	return strings.Join([]string{entry, to, hex.EncodeToString(sum[:6])}, "-")
}

func (d *Ended) count(m Move, now time.Time, vetoed Vetoed) {
	switch {
	case vetoed(m.ID):
		d.RolledBack++
	case now.Before(m.Deadline):
		d.Replaced++
	default:
		d.Done++
	}
}

// CheckChange returns the problems of replacing previous by the file: a
// changed version needs a move-by in the future.
func (f *File) CheckChange(previous *Catalogue, now time.Time, vetoed Vetoed) error {
	if vetoed == nil {
		vetoed = func(string) bool { return false }
	}
	had := NewSnapshot(0, previous)
	var ps Problems
	for i := range f.Catalogue.Entries {
		e := &f.Catalogue.Entries[i]
		old, ok := had.Entry(e.Name)
		if !ok {
			continue
		}
		current, moving := had.MoveOf(e.Name)
		if old.Version == e.Version && (!moving || e.MoveBy.Equal(current.Deadline) || e.MoveBy.IsZero() || over(current, now, vetoed)) {
			continue
		}
		if old.Version != e.Version && safeVersion(old, current, now, vetoed) == e.Version {
			continue
		}
		if message, ok := checkMoveBy(e.MoveBy, now); !ok {
			path := f.pathOf(e.Name) + ".move-by"
			ps = append(ps, Problem{
				File: f.name, Line: lineOf(f.lines, path), Field: path, Message: message,
				Allowed: fmt.Sprintf("a time from %s to %s after the apply, because version changes to %s", MinMoveTime, MaxMoveTime, e.Version),
			})
		}
	}
	ps.sortByLine()
	return ps.asError()
}

func checkMoveBy(t, now time.Time) (message string, ok bool) {
	switch left := t.Sub(now); {
	case t.IsZero():
		return "missing", false
	case left < MinMoveTime || left > MaxMoveTime:
		return t.Format(time.RFC3339) + " is out of range", false
	}
	return "", true
}

// pathOf returns the path of an entry in the file, whose order parsing does
// not keep.
func (f *File) pathOf(entry string) string {
	return fmt.Sprintf("entries[%d]", f.order[entry])
}

// Succeed returns the catalogue that replaces previous: the workspaces and
// entries of next with the moves, the counts of ended moves and the history.
// Revision is that of previous. The oldest history is dropped where the
// catalogue would not fit the store.
func Succeed(previous *Catalogue, revision int64, next *Catalogue, change Change, vetoed Vetoed) (*Catalogue, []byte, error) {
	var k checker
	k.change("", change)
	if len(k.problems) > 0 {
		return nil, nil, k.problems
	}
	c := clone(next)
	c.Operation, c.Author, c.Comment, c.Changed = change.Operation, change.Author, change.Comment, change.Changed
	c.Moves, c.Ended = plan(previous, c, change.Changed, vetoed)
	change.BasedOn = revision
	change.Summary = summarise(Diff(previous, c))
	c.History = append(slices.Clone(previous.History), change)
	c.History = c.History[max(0, len(c.History)-maxHistory):]
	for {
		data, err := Encode(c)
		if err == nil || len(c.History) == 1 || !tooLarge(c) {
			return c, data, err
		}
		c.History = c.History[(len(c.History)+1)/2:]
	}
}

// tooLarge tells a catalogue that is only too large from an invalid one.
func tooLarge(c *Catalogue) bool { return len(validate(c)) == 0 }

// summarise bounds the lines of a diff for the history.
func summarise(lines []string) []string {
	if len(lines) > maxSummary {
		lines = append(slices.Clone(lines[:maxSummary-1]), fmt.Sprintf("and %d more", len(lines)-maxSummary+1))
	}
	short := make([]string, len(lines))
	for i, l := range lines {
		short[i] = l
		if r := []rune(l); len(r) > maxSummaryLine {
			short[i] = string(r[:maxSummaryLine-1]) + "…"
		}
	}
	return short
}
