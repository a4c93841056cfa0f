package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// OldVersionRetention is how long after the deadline of a move the old version
// is kept available and the new one is monitored.
const OldVersionRetention = 2 * time.Hour

// Bounds on the time between an apply and the deadline of its moves. A shorter
// time than the minimum leaves no room to shift traffic in steps and to monitor the
// new version after each step.
const (
	MinMoveTime = 10 * time.Second
	MaxMoveTime = 90 * 24 * time.Hour
)

// Bounds on the diff summary that the history keeps of one change.
const (
	maxSummaryLines = 8
	maxSummaryRunes = 160 // per line
)

// Vetoed reports whether the move with the given ID was rolled back by a veto.
type Vetoed func(id string) bool

// Plan returns the moves of next: the moves of previous for entries whose version
// is unchanged, and new moves for entries whose version changed. It assumes that
// no move was vetoed; callers that know the vetoes use Successor.
func Plan(previous, next *Catalogue, now time.Time) []Move {
	moves, _ := plan(previous, next, now, func(string) bool { return false })
	return moves
}

// plan is like Plan but takes vetoes into account. It also returns previous.Ended
// plus the moves of previous that are not kept.
func plan(previous, next *Catalogue, now time.Time, vetoed Vetoed) ([]Move, EndedMoves) {
	moves := []Move{}
	ended := previous.Ended
	previousSnapshot := NewSnapshot(0, previous)
	kept := make(map[string]bool)
	for i := range next.Entries {
		e := &next.Entries[i]
		old, ok := previousSnapshot.Entry(e.Name)
		if !ok {
			continue // a new entry has no version to move from
		}
		latest, hasMove := previousSnapshot.MoveOf(e.Name)
		if old.Version == e.Version {
			if hasMove {
				kept[latest.ID] = true
				moves = append(moves, applyMoveBy(*latest, e, now, vetoed))
			}
			continue
		}
		from := stableVersion(old, latest, now, vetoed)
		if from == e.Version {
			continue // traffic returns to the stable version, which needs no move
		}
		moves = append(moves, Move{
			ID:        moveID(e.Name, e.Version, next.Operation, now),
			Entry:     e.Name,
			From:      from,
			To:        e.Version,
			Start:     canonicalTime(now),
			Deadline:  e.MoveBy,
			KeepUntil: e.MoveBy.Add(OldVersionRetention),
		})
	}
	for _, m := range previous.Moves {
		if !kept[m.ID] {
			ended.count(m, now, vetoed)
		}
	}
	return moves, ended
}

// applyMoveBy returns m with its deadline set to the move-by time of e, if that
// differs. A finished move keeps its deadline.
func applyMoveBy(m Move, e *Entry, now time.Time, vetoed Vetoed) Move {
	if e.MoveBy.IsZero() || e.MoveBy.Equal(m.Deadline) || finished(&m, now, vetoed) {
		return m
	}
	m.Deadline = e.MoveBy
	m.KeepUntil = e.MoveBy.Add(OldVersionRetention)
	return m
}

// finished reports whether m was vetoed or has reached its deadline. The deadline of
// a finished move can no longer be changed.
func finished(m *Move, now time.Time, vetoed Vetoed) bool {
	return vetoed(m.ID) || !now.Before(m.Deadline)
}

// stableVersion returns the version that is known to be good, from which a new move
// starts. e is the entry in the previous catalogue and m its latest move, or nil if
// it has none. The result is m.From if m is before its deadline or was vetoed, and
// e.Version otherwise.
func stableVersion(e *Entry, m *Move, now time.Time, vetoed Vetoed) string {
	if m != nil && (now.Before(m.Deadline) || vetoed(m.ID)) {
		return m.From
	}
	return e.Version
}

// moveID returns an ID that is unique to the entry, target version and change. A
// second move to a version that was rolled back must not inherit the veto.
func moveID(entry, to, operation string, now time.Time) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%s\x00%d", entry, to, operation, now.UnixNano()))
	return strings.Join([]string{entry, to, hex.EncodeToString(sum[:6])}, "-")
}

func (d *EndedMoves) count(m Move, now time.Time, vetoed Vetoed) {
	switch {
	case vetoed(m.ID):
		d.RolledBack++
	case now.Before(m.Deadline):
		d.Replaced++
	default:
		d.Done++
	}
}

// CheckChange returns the problems of replacing previous by the file. An entry
// that needs a new move or a new deadline must have a move-by time between
// MinMoveTime and MaxMoveTime after now. A nil vetoed means that no move was vetoed.
func (f *File) CheckChange(previous *Catalogue, now time.Time, vetoed Vetoed) error {
	if vetoed == nil {
		vetoed = func(string) bool { return false }
	}
	previousSnapshot := NewSnapshot(0, previous)
	var ps Problems
	for i := range f.Catalogue.Entries {
		e := &f.Catalogue.Entries[i]
		old, ok := previousSnapshot.Entry(e.Name)
		if !ok {
			continue
		}
		latest, hasMove := previousSnapshot.MoveOf(e.Name)
		if old.Version == e.Version && (!hasMove || e.MoveBy.Equal(latest.Deadline) || e.MoveBy.IsZero() || finished(latest, now, vetoed)) {
			continue
		}
		if old.Version != e.Version && stableVersion(old, latest, now, vetoed) == e.Version {
			continue
		}
		if message, ok := checkMoveBy(e.MoveBy, now); !ok {
			path := f.entryPath(e.Name) + ".move-by"
			ps = append(ps, Problem{
				File: f.name, Line: lineOf(f.lines, path), Field: path, Message: message,
				Allowed: fmt.Sprintf("a time from %s to %s after the apply, for the move to version %s", MinMoveTime, MaxMoveTime, e.Version),
			})
		}
	}
	ps.sortByLine()
	return ps.asError()
}

func checkMoveBy(t, now time.Time) (message string, ok bool) {
	switch remaining := t.Sub(now); {
	case t.IsZero():
		return "missing", false
	case remaining < MinMoveTime || remaining > MaxMoveTime:
		return t.Format(time.RFC3339) + " is out of range", false
	}
	return "", true
}

// entryPath returns the path of an entry in the file. ParseFile sorts the entries
// of the catalogue, so their index there is not the index in the file.
func (f *File) entryPath(entry string) string {
	return fmt.Sprintf("entries[%d]", f.order[entry])
}

// Successor returns the catalogue that replaces previous, and its encoding. It has
// the workspaces and entries of next, the planned moves, the counts of ended moves
// and the history with change appended. The revision argument is the revision of
// previous. If the result exceeds the size limit of the store, the oldest history
// is dropped.
func Successor(previous *Catalogue, revision int64, next *Catalogue, change Change, vetoed Vetoed) (*Catalogue, []byte, error) {
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

// tooLarge reports whether c, which Encode rejected, is otherwise valid, so that
// its size is the cause.
func tooLarge(c *Catalogue) bool { return len(validate(c)) == 0 }

// summarise limits the number and length of the lines of a diff for the history.
func summarise(lines []string) []string {
	if len(lines) > maxSummaryLines {
		lines = append(slices.Clone(lines[:maxSummaryLines-1]), fmt.Sprintf("and %d more", len(lines)-maxSummaryLines+1))
	}
	summary := make([]string, len(lines))
	for i, l := range lines {
		summary[i] = l
		if r := []rune(l); len(r) > maxSummaryRunes {
			summary[i] = string(r[:maxSummaryRunes-1]) + "…"
		}
	}
	return summary
}
