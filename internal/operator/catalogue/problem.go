package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems bounds the error output for a file that is wrong throughout.
const maxProblems = 200

// Problem is one error in a catalogue.
type Problem struct {
	// File and Line locate the error; both are empty for decoded catalogues.
	File string
	Line int
	// Field is the path of the field, such as entries[0].version.
	Field   string
	Message string
	// Allowed states what the field may hold.
	Allowed string
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Problems are all errors of a catalogue.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for i, p := range ps {
		if i == maxProblems {
			lines = append(lines, fmt.Sprintf("%d more errors", len(ps)-i))
			break
		}
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// asError returns nil for no problems, so that the result compares with nil.
func (ps Problems) asError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps Problems) sortByLine() {
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}
