package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxPrintedProblems is the maximum number of problems that Problems.Error prints,
// which bounds the output for a file with errors throughout.
const maxPrintedProblems = 200

// Problem is one validation or syntax error in a catalogue.
type Problem struct {
	// File and Line locate the error. Both are zero for a catalogue that was
	// not read from a file.
	File string
	Line int
	// Field is the path of the invalid field, such as entries[0].version.
	Field   string
	Message string
	// Allowed describes the values that the field accepts.
	Allowed string
}

// Error formats the problem as one line.
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

// Problems lists all errors found in a catalogue.
type Problems []Problem

// Error formats the problems one per line. After maxPrintedProblems of them it adds
// a line with the number of those left out.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for i, p := range ps {
		if i == maxPrintedProblems {
			lines = append(lines, fmt.Sprintf("%d more errors", len(ps)-i))
			break
		}
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// asError returns ps as an error, or an untyped nil if ps is empty so that the
// result compares equal to nil.
func (ps Problems) asError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps Problems) sortByLine() {
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}
