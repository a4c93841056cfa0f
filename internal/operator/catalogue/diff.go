package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fieldValue is one field of a workspace, entry or move, formatted as text.
type fieldValue struct{ name, value string }

// item is a workspace, entry or move in the form that Diff compares.
type item struct {
	title  string // kind and name or ID, such as "entry sack-assist"
	fields []fieldValue
}

// Diff returns the differences between the workspaces, entries and moves of two
// catalogues. A line starts with "+" for an added item, "-" for a removed one and
// "~" for a changed one. A removed item has a single line. Other items have a line
// for each field that differs, which ends with "field: value" for an added field,
// "field: old -> new" for a changed one and "field: old -> none" for a removed one.
func Diff(previous, next *Catalogue) []string {
	oldItems, newItems := items(previous), items(next)
	var lines []string
	for len(oldItems) > 0 || len(newItems) > 0 {
		switch {
		case len(newItems) == 0 || len(oldItems) > 0 && compare(oldItems[0], newItems[0]) < 0:
			lines = append(lines, "- "+oldItems[0].title)
			oldItems = oldItems[1:]
		case len(oldItems) == 0 || compare(oldItems[0], newItems[0]) > 0:
			lines = append(lines, fieldDiff(item{title: newItems[0].title}, newItems[0], "+ ")...)
			newItems = newItems[1:]
		default:
			lines = append(lines, fieldDiff(oldItems[0], newItems[0], "~ ")...)
			oldItems, newItems = oldItems[1:], newItems[1:]
		}
	}
	return lines
}

func compare(a, b item) int { return cmp.Compare(a.title, b.title) }

func fieldDiff(old, next item, mark string) (lines []string) {
	unmatched := make(map[string]string)
	for _, f := range old.fields {
		unmatched[f.name] = f.value
	}
	for _, f := range next.fields {
		before, ok := unmatched[f.name]
		delete(unmatched, f.name)
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s", mark, next.title, f.name, f.value))
		case before != f.value:
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s -> %s", mark, next.title, f.name, before, f.value))
		}
	}
	for _, f := range old.fields {
		if _, ok := unmatched[f.name]; ok {
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s -> none", mark, next.title, f.name, f.value))
		}
	}
	return lines
}

// items returns the workspaces, entries and moves of a catalogue, sorted by title.
func items(c *Catalogue) (result []item) {
	for _, w := range c.Workspaces {
		fields := []fieldValue{{"owner", w.Owner}}
		for _, h := range w.TokenHashes {
			fields = append(fields, fieldValue{"token-hashes[" + shortHash(h) + "]", "present"})
		}
		result = append(result, item{"workspace " + w.Name, fields})
	}
	for i := range c.Entries {
		result = append(result, item{"entry " + c.Entries[i].Name, entryFields(&c.Entries[i])})
	}
	for _, m := range c.Moves {
		result = append(result, item{"move " + m.ID, []fieldValue{
			{"versions", "from " + m.From + " to " + m.To},
			{"deadline", formatTime(m.Deadline) + ", old version kept until " + formatTime(m.KeepUntil)},
		}})
	}
	slices.SortFunc(result, compare)
	return result
}

func entryFields(e *Entry) []fieldValue {
	fields := []fieldValue{
		{"owner", e.Owner}, {"kind", e.Kind}, {"class", e.Class}, {"version", e.Version},
	}
	if !e.MoveBy.IsZero() {
		fields = append(fields, fieldValue{"move-by", formatTime(e.MoveBy)})
	}
	fields = append(fields, fieldValue{"objective.first-token", e.Objective.FirstToken.String()})
	if e.Objective.BetweenTokens != 0 {
		fields = append(fields, fieldValue{"objective.between-tokens", e.Objective.BetweenTokens.String()})
	}
	fields = append(fields, fieldValue{"objective.success", formatFloat(e.Objective.Success)})
	for _, l := range e.Limits {
		path := "limits[" + l.Workspace + "]."
		fields = append(fields,
			fieldValue{path + "requests-per-second", formatFloat(l.RequestsPerSecond)},
			fieldValue{path + "concurrent", strconv.Itoa(l.Concurrent)})
	}
	if len(e.Repeatable) > 0 {
		fields = append(fields, fieldValue{"repeatable", strings.Join(e.Repeatable, ", ")})
	}
	return append(fields, fieldValue{"checks-fence", strconv.FormatBool(e.ChecksFence)})
}

// shortHash returns the first eight digits of a hash, which are enough to
// distinguish the tokens of a workspace.
func shortHash(hash string) string { return hash[:min(8, len(hash))] }

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
