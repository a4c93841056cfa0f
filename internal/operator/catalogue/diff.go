package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// attribute is one field of a workspace, entry or move, formatted as text.
type attribute struct{ name, value string }

// item is a workspace, entry or move in the form that Diff compares.
type item struct {
	title  string // kind and name or ID, such as "entry sack-assist"
	fields []attribute
}

// Diff returns the differences between the workspaces, entries and moves of two
// catalogues, one line for each changed field. A line starts with "+" for an
// added item, "-" for a removed one and "~" for a changed one.
func Diff(previous, next *Catalogue) []string {
	old, current := items(previous), items(next)
	var lines []string
	for len(old) > 0 || len(current) > 0 {
		switch {
		case len(current) == 0 || len(old) > 0 && compare(old[0], current[0]) < 0:
			lines = append(lines, "- "+old[0].title)
			old = old[1:]
		case len(old) == 0 || compare(old[0], current[0]) > 0:
			lines = append(lines, fieldDiff(item{title: current[0].title}, current[0], "+ ")...)
			current = current[1:]
		default:
			lines = append(lines, fieldDiff(old[0], current[0], "~ ")...)
			old, current = old[1:], current[1:]
		}
	}
	return lines
}

func compare(a, b item) int { return cmp.Compare(a.title, b.title) }

func fieldDiff(old, current item, mark string) (lines []string) {
	unmatched := make(map[string]string)
	for _, f := range old.fields {
		unmatched[f.name] = f.value
	}
	for _, f := range current.fields {
		before, ok := unmatched[f.name]
		delete(unmatched, f.name)
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s", mark, current.title, f.name, f.value))
		case before != f.value:
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s -> %s", mark, current.title, f.name, before, f.value))
		}
	}
	for _, f := range old.fields {
		if _, ok := unmatched[f.name]; ok {
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s -> none", mark, current.title, f.name, f.value))
		}
	}
	return lines
}

// items returns the workspaces, entries and moves of a catalogue, sorted by title.
func items(c *Catalogue) (is []item) {
	for _, w := range c.Workspaces {
		fields := []attribute{{"owner", w.Owner}}
		for _, h := range w.TokenHashes {
			fields = append(fields, attribute{"token-hashes[" + shortHash(h) + "]", "present"})
		}
		is = append(is, item{"workspace " + w.Name, fields})
	}
	for i := range c.Entries {
		is = append(is, item{"entry " + c.Entries[i].Name, entryFields(&c.Entries[i])})
	}
	for _, m := range c.Moves {
		is = append(is, item{"move " + m.ID, []attribute{
			{"versions", "from " + m.From + " to " + m.To},
			{"deadline", formatTime(m.Deadline) + ", old version kept until " + formatTime(m.KeepUntil)},
		}})
	}
	slices.SortFunc(is, compare)
	return is
}

func entryFields(e *Entry) []attribute {
	fields := []attribute{
		{"owner", e.Owner}, {"kind", e.Kind}, {"class", e.Class}, {"version", e.Version},
	}
	if !e.MoveBy.IsZero() {
		fields = append(fields, attribute{"move-by", formatTime(e.MoveBy)})
	}
	fields = append(fields, attribute{"objective.first-token", e.Objective.FirstToken.String()})
	if e.Objective.BetweenTokens != 0 {
		fields = append(fields, attribute{"objective.between-tokens", e.Objective.BetweenTokens.String()})
	}
	fields = append(fields, attribute{"objective.success", formatFloat(e.Objective.Success)})
	for _, l := range e.Limits {
		path := "limits[" + l.Workspace + "]."
		fields = append(fields,
			attribute{path + "requests-per-second", formatFloat(l.RequestsPerSecond)},
			attribute{path + "concurrent", strconv.Itoa(l.Concurrent)})
	}
	if len(e.Repeatable) > 0 {
		fields = append(fields, attribute{"repeatable", strings.Join(e.Repeatable, ", ")})
	}
	return append(fields, attribute{"checks-fence", strconv.FormatBool(e.ChecksFence)})
}

// shortHash returns the first eight digits of a hash, which are enough to
// distinguish the tokens of a workspace.
func shortHash(hash string) string { return hash[:min(8, len(hash))] }

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
