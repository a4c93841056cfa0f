package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// attribute is one field of a workspace, entry or move as text.
type attribute struct{ name, value string }

// item is a workspace, entry or move.
type item struct {
	title  string // kind and name
	fields []attribute
}

// Diff returns the differences between two catalogues, one line for each
// field. It covers workspaces, entries and moves.
func Diff(previous, next *Catalogue) []string {
	old, now := items(previous), items(next)
	var lines []string
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(old) > 0 && compare(old[0], now[0]) < 0:
			lines = append(lines, "- "+old[0].title)
			old = old[1:]
		case len(old) == 0 || compare(old[0], now[0]) > 0:
			lines = append(lines, fieldDiff(item{title: now[0].title}, now[0], "+ ")...)
			now = now[1:]
		default:
			lines = append(lines, fieldDiff(old[0], now[0], "~ ")...)
			old, now = old[1:], now[1:]
		}
	}
	return lines
}

func compare(a, b item) int { return cmp.Compare(a.title, b.title) }

func fieldDiff(old, now item, mark string) (lines []string) {
	have := make(map[string]string)
	for _, f := range old.fields {
		have[f.name] = f.value
	}
	for _, f := range now.fields {
		before, ok := have[f.name]
		delete(have, f.name)
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s", mark, now.title, f.name, f.value))
		case before != f.value:
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s -> %s", mark, now.title, f.name, before, f.value))
		}
	}
	for _, f := range old.fields {
		if _, ok := have[f.name]; ok {
			lines = append(lines, fmt.Sprintf("%s%s: %s: %s -> none", mark, now.title, f.name, f.value))
		}
	}
	return lines
}

// items returns what a catalogue declares in the order of the titles.
func items(c *Catalogue) (is []item) {
	for _, w := range c.Workspaces {
		fields := []attribute{{"owner", w.Owner}}
		for _, h := range w.TokenHashes {
			fields = append(fields, attribute{"token-hashes[" + prefix(h) + "]", "present"})
		}
		is = append(is, item{"workspace " + w.Name, fields})
	}
	for i := range c.Entries {
		is = append(is, item{"entry " + c.Entries[i].Name, entryFields(&c.Entries[i])})
	}
	for _, m := range c.Moves {
		is = append(is, item{"move " + m.ID, []attribute{
			{"versions", "from " + m.From + " to " + m.To},
			{"deadline", clock(m.Deadline) + ", old version kept until " + clock(m.KeepUntil)},
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
		fields = append(fields, attribute{"move-by", clock(e.MoveBy)})
	}
	fields = append(fields, attribute{"objective.first-token", e.Objective.FirstToken.String()})
	if e.Objective.BetweenTokens != 0 {
		fields = append(fields, attribute{"objective.between-tokens", e.Objective.BetweenTokens.String()})
	}
	fields = append(fields, attribute{"objective.success", decimal(e.Objective.Success)})
	for _, l := range e.Limits {
		at := "limits[" + l.Workspace + "]."
		fields = append(fields,
			attribute{at + "requests-per-second", decimal(l.RequestsPerSecond)},
			attribute{at + "concurrent", strconv.Itoa(l.Concurrent)})
	}
	if len(e.Repeatable) > 0 {
		fields = append(fields, attribute{"repeatable", strings.Join(e.Repeatable, ", ")})
	}
	return append(fields, attribute{"checks-fence", strconv.FormatBool(e.ChecksFence)})
}

// prefix shortens a hash; eight digits tell the tokens of a workspace apart.
func prefix(hash string) string { return hash[:min(8, len(hash))] }

func clock(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
