package precheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Severity is the rank of a finding; the lowest is reported first.
type Severity uint8

// Severities of findings. Clients notice a breaking difference; other differences
// have the severity Change.
const (
	Error Severity = iota
	Warning
	Breaking
	Change
)

// String returns the name of the severity as printed.
func (s Severity) String() string {
	return [...]string{"error", "warning", "breaking", "change"}[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one result of a check. It contains no access keys, and no line breaks.
type Finding struct {
	Severity Severity `json:"severity"`
	// File is the checked file, and Line is 0 if it is not known. This package sets
	// neither.
	File string `json:"file"`
	Line int    `json:"line,omitempty"`
	// Path locates the field, such as routes[2].objective.
	Path    string `json:"path"`
	Message string `json:"message"`
	// Allowed describes the values that the field accepts, if that is known.
	Allowed string `json:"allowed,omitempty"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
		if f.Line > 0 {
			b.WriteString(strconv.Itoa(f.Line) + ":")
		}
		b.WriteString(" ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Severity.String() + ": " + f.Message)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Sort sorts findings by severity. It keeps the order of those of equal severity.
func Sort(fs []Finding) {
	slices.SortStableFunc(fs, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
}

// collector collects findings.
type collector struct{ findings []Finding }

func (c *collector) add(s Severity, path, allowed, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...), Allowed: allowed})
}
