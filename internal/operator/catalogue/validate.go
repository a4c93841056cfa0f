package catalogue

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds on a catalogue. A catalogue with every list at its bound would exceed
// the size limit of the store, so Encode also checks the total size.
const (
	maxWorkspaces  = 2000
	maxEntries     = 1000
	maxLimits      = maxWorkspaces
	maxTokenHashes = 16
	maxRepeatable  = 64
	maxObjective   = 10 * time.Minute
	maxRate        = 1e6
	maxConcurrent  = 1_000_000
	maxTextRunes   = 200
	// maxHistory bounds the history, which would otherwise grow with every
	// apply. It is kept short because every instance receives the history with
	// each change.
	maxHistory = 50
)

// Descriptions of the patterns below for error messages.
const (
	nameAllowed    = "1 to 63 characters from a-z, 0-9 and -, starting and ending with a letter or digit"
	versionAllowed = "1 to 64 characters from A-Z, a-z, 0-9, . _ and -"
	hashAllowed    = "64 lower-case hexadecimal digits, as printed by catalogue hash-token"
	callAllowed    = "METHOD /path-prefix, such as POST /quotes"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
	callPattern    = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /[!-~]{0,200}$`)
)

// checker validates a catalogue and collects the problems found.
type checker struct{ problems Problems }

// validate returns the problems of c, with File and Line unset.
func validate(c *Catalogue) Problems {
	var k checker
	if !k.withinLimit("workspaces", len(c.Workspaces), maxWorkspaces) || !k.withinLimit("entries", len(c.Entries), maxEntries) {
		return k.problems
	}
	workspaces := k.workspaces(c.Workspaces)
	entries := make(map[string]string)
	for i := range c.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		k.unique(entries, path+".name", c.Entries[i].Name)
		k.entry(path, &c.Entries[i], workspaces)
	}
	k.moves(c)
	k.history(c)
	return k.problems
}

func (k *checker) add(path, message, allowed string) {
	k.problems = append(k.problems, Problem{Field: path, Message: message, Allowed: allowed})
}

// withinLimit reports whether a list has at most limit items, and adds a problem if
// not. Callers skip the elements of a longer list.
func (k *checker) withinLimit(path string, got, limit int) bool {
	if got > limit {
		k.add(path, fmt.Sprintf("%d items", got), fmt.Sprintf("at most %d", limit))
	}
	return got <= limit
}

// pattern checks a required string against a regular expression.
func (k *checker) pattern(path, value string, pattern *regexp.Regexp, allowed string) {
	if value == "" {
		k.add(path, "missing", allowed)
	} else if !pattern.MatchString(value) {
		k.add(path, quoteTruncated(value)+" is not valid", allowed)
	}
}

// unique checks that no earlier path has the same value. It ignores empty values.
func (k *checker) unique(seen map[string]string, path, value string) {
	if first, ok := seen[value]; ok && value != "" {
		k.add(path, fmt.Sprintf("%s is a duplicate of %s", quoteTruncated(value), first), "each value once")
		return
	}
	seen[value] = path
}

// singleLine checks free-form text: a single line of printable characters, at most
// limit of them.
func (k *checker) singleLine(path, value string, required bool, limit int) {
	allowed := fmt.Sprintf("one line of at most %d characters", limit)
	switch {
	case value == "" && required:
		k.add(path, "missing", allowed)
	case !printable(value) || utf8.RuneCountInString(value) > limit:
		k.add(path, quoteTruncated(value)+" is not valid", allowed)
	}
}

func printable(s string) bool {
	return utf8.ValidString(s) && strings.IndexFunc(s, func(c rune) bool { return !unicode.IsPrint(c) }) < 0
}

func oneOf[T comparable](k *checker, path string, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		list := make([]string, len(allowed))
		for i, a := range allowed {
			list[i] = fmt.Sprint(a)
		}
		got := quoteTruncated(fmt.Sprint(value)) + " is not valid"
		var zero T
		if value == zero {
			got = "missing"
		}
		k.add(path, got, strings.Join(list, " or "))
	}
}

func (k *checker) workspaces(ws []Workspace) (names map[string]string) {
	names = make(map[string]string)
	hashes := make(map[string]string)
	for i, w := range ws {
		path := fmt.Sprintf("workspaces[%d]", i)
		k.pattern(path+".name", w.Name, namePattern, nameAllowed)
		k.unique(names, path+".name", w.Name)
		k.singleLine(path+".owner", w.Owner, true, maxTextRunes)
		if !k.withinLimit(path+".token-hashes", len(w.TokenHashes), maxTokenHashes) {
			continue
		}
		for j, h := range w.TokenHashes {
			elementPath := fmt.Sprintf("%s.token-hashes[%d]", path, j)
			k.pattern(elementPath, h, hashPattern, hashAllowed)
			k.unique(hashes, elementPath, h)
		}
	}
	return names
}

func (k *checker) entry(path string, e *Entry, workspaces map[string]string) {
	k.pattern(path+".name", e.Name, namePattern, nameAllowed)
	k.singleLine(path+".owner", e.Owner, true, maxTextRunes)
	oneOf(k, path+".kind", e.Kind, KindLanguage, KindService)
	oneOf(k, path+".class", e.Class, ClassInteractive, ClassBatch)
	k.pattern(path+".version", e.Version, versionPattern, versionAllowed)
	if !e.MoveBy.IsZero() {
		k.time(path+".move-by", e.MoveBy)
	}
	k.objective(path+".objective", e)
	k.limits(path+".limits", e.Limits, workspaces)
	k.repeatable(path+".repeatable", e)
}

// time checks that t is set and that its year has four digits in every time zone, as
// RFC 3339 requires.
func (k *checker) time(path string, t time.Time) {
	if y := t.UTC().Year(); y < 2000 || y > 9998 {
		k.add(path, fmt.Sprintf("year %d is out of range", y), "a year from 2000 to 9998")
	}
}

func (k *checker) objective(path string, e *Entry) {
	k.duration(path+".first-token", e.Objective.FirstToken)
	switch {
	case e.Kind == KindLanguage:
		k.duration(path+".between-tokens", e.Objective.BetweenTokens)
	case e.Kind == KindService && e.Objective.BetweenTokens != 0:
		k.add(path+".between-tokens", "not for an entry of kind service", "absent")
	}
	const allowed = "from 0.5 to 0.99999"
	switch s := e.Objective.Success; {
	case s == 0:
		k.add(path+".success", "missing", allowed)
	case !(s >= 0.5 && s <= 0.99999):
		k.add(path+".success", fmt.Sprintf("%v is out of range", s), allowed)
	}
}

func (k *checker) duration(path string, d time.Duration) {
	allowed := "more than 0 and at most " + maxObjective.String()
	switch {
	case d == 0:
		k.add(path, "missing", allowed)
	case d < 0 || d > maxObjective:
		k.add(path, fmt.Sprintf("%v is out of range", d), allowed)
	}
}

func (k *checker) limits(path string, ls []Limit, workspaces map[string]string) {
	if !k.withinLimit(path, len(ls), maxLimits) {
		return
	}
	seen := make(map[string]string)
	for i, l := range ls {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		k.unique(seen, elementPath+".workspace", l.Workspace)
		k.limit(elementPath, l, workspaces)
	}
}

func (k *checker) limit(path string, l Limit, workspaces map[string]string) {
	if _, ok := workspaces[l.Workspace]; !ok && l.Workspace != "" {
		k.add(path+".workspace", quoteTruncated(l.Workspace)+" is not a workspace", "a name under workspaces")
	} else if l.Workspace == "" {
		k.add(path+".workspace", "missing", "a name under workspaces")
	}
	allowed := fmt.Sprintf("more than 0 and at most %v", maxRate)
	switch v := l.RequestsPerSecond; {
	case v == 0:
		k.add(path+".requests-per-second", "missing or 0", allowed)
	case !(v > 0 && v <= maxRate):
		k.add(path+".requests-per-second", fmt.Sprintf("%v is out of range", v), allowed)
	}
	allowed = fmt.Sprintf("1 to %d", maxConcurrent)
	switch v := l.Concurrent; {
	case v == 0:
		k.add(path+".concurrent", "missing or 0", allowed)
	case v < 0 || v > maxConcurrent:
		k.add(path+".concurrent", fmt.Sprintf("%d is out of range", v), allowed)
	}
}

func (k *checker) repeatable(path string, e *Entry) {
	if !k.withinLimit(path, len(e.Repeatable), maxRepeatable) {
		return
	}
	if e.Kind == KindLanguage && len(e.Repeatable) > 0 {
		k.add(path, "not for an entry of kind language", "absent")
		return
	}
	seen := make(map[string]string)
	for i, s := range e.Repeatable {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		k.pattern(elementPath, s, callPattern, callAllowed)
		k.unique(seen, elementPath, s)
	}
}

func (k *checker) moves(c *Catalogue) {
	versions := make(map[string]string)
	for _, e := range c.Entries {
		versions[e.Name] = e.Version
	}
	if !k.withinLimit("moves", len(c.Moves), maxEntries) {
		return
	}
	ids, entries := make(map[string]string), make(map[string]string)
	for i, m := range c.Moves {
		path := fmt.Sprintf("moves[%d]", i)
		k.pattern(path+".id", m.ID, moveIDPattern, "1 to 160 characters from A-Z, a-z, 0-9, . _ and -")
		k.unique(ids, path+".id", m.ID)
		k.unique(entries, path+".entry", m.Entry)
		if v, ok := versions[m.Entry]; !ok || v != m.To {
			k.add(path+".to", "entry does not exist or its version is "+quoteTruncated(v), "the version of the entry")
		}
		k.pattern(path+".from", m.From, versionPattern, versionAllowed)
		if m.From == m.To {
			k.add(path+".from", "equal to the target version", "another version")
		}
		k.time(path+".start", m.Start)
		k.time(path+".deadline", m.Deadline)
		k.time(path+".keep-until", m.KeepUntil)
		if m.Start.After(m.Deadline) || m.Deadline.After(m.KeepUntil) {
			k.add(path+".deadline", "start, deadline and keep-until are out of order", "start, deadline and keep-until in this order")
		}
	}
}

// moveIDPattern matches valid move IDs. It is restrictive because store keys
// contain them.
var moveIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,160}$`)

func (k *checker) history(c *Catalogue) {
	if !k.withinLimit("history", len(c.History), maxHistory) {
		return
	}
	k.change("", Change{Operation: c.Operation, Author: c.Author, Comment: c.Comment, Changed: c.Changed})
	for i, h := range c.History {
		k.change(fmt.Sprintf("history[%d].", i), h)
	}
}

func (k *checker) change(path string, h Change) {
	k.singleLine(path+"operation", h.Operation, false, maxTextRunes)
	k.singleLine(path+"author", h.Author, false, maxTextRunes)
	k.singleLine(path+"comment", h.Comment, false, maxTextRunes)
	if !h.Changed.IsZero() {
		k.time(path+"changed", h.Changed)
	}
	if !k.withinLimit(path+"summary", len(h.Summary), maxSummaryLines) {
		return
	}
	for i, s := range h.Summary {
		k.singleLine(fmt.Sprintf("%ssummary[%d]", path, i), s, true, maxSummaryRunes)
	}
}
