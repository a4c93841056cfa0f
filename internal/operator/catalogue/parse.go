package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Bounds on a YAML file, which keep a malicious file from exhausting memory. A
// catalogue at the target scale uses a fraction of them.
const (
	maxFileBytes = 1 << 20
	maxDepth     = 16
	maxNodes     = 200_000
)

// File is a catalogue read from a YAML file that an operator wrote.
type File struct {
	// BasedOn is the catalogue revision that the file was edited from, or 0 for
	// the first catalogue.
	BasedOn   int64
	Catalogue *Catalogue

	name  string
	lines map[string]int // line of each field by its path
	order map[string]int // index of each entry in the file, by entry name
}

// Parse reads a YAML catalogue. It rejects unknown fields and returns all errors
// together as Problems. The file name is used in messages only.
func Parse(file string, data []byte) (*Catalogue, error) {
	f, err := ParseFile(file, data)
	if err != nil {
		return nil, err
	}
	return f.Catalogue, nil
}

// ParseFile is like Parse but also returns the revision that the file was edited
// from. It keeps the line of each field so that CheckChange can report it.
func ParseFile(file string, data []byte) (*File, error) {
	r := &reader{file: file, lines: make(map[string]int), failed: make(map[string]bool)}
	root := r.document(data)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	f := &File{name: file, lines: r.lines, Catalogue: new(Catalogue)}
	r.catalogue(root, f)
	if r.nodes >= maxNodes {
		// The last problem is that the file has too many values. The others are
		// left out because they cover only the part of the file that was read.
		return nil, r.problems[len(r.problems)-1:]
	}
	for _, p := range validate(f.Catalogue) {
		if !r.failed[p.Field] {
			r.report(r.line(p.Field), p.Field, p.Message, p.Allowed)
		}
	}
	r.problems.sortByLine()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	f.order = make(map[string]int)
	for i, e := range f.Catalogue.Entries {
		f.order[e.Name] = i
	}
	normalise(f.Catalogue)
	return f, nil
}

// reader converts YAML nodes to values and collects the problems found.
type reader struct {
	file     string
	problems Problems
	// lines holds the line of each field by its path.
	lines map[string]int
	// failed holds the paths of values that could not be read. The validation
	// of the whole catalogue does not report them again.
	failed map[string]bool
	nodes  int
}

// yamlLine extracts the line number from an error message of the YAML library,
// whose errors have no field for it.
var yamlLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

func (r *reader) document(data []byte) *yaml.Node {
	if len(data) > maxFileBytes {
		r.report(1, "", fmt.Sprintf("file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxFileBytes))
		return nil
	}
	d := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := d.Decode(&doc); errors.Is(err, io.EOF) {
		r.report(1, "", "file is empty", "a mapping with workspaces and entries")
		return nil
	} else if err != nil {
		r.reportSyntax(err)
		return nil
	}
	var next yaml.Node
	if err := d.Decode(&next); err == nil {
		r.report(next.Line, "", "file has more than one YAML document", "one document")
		return nil
	} else if !errors.Is(err, io.EOF) {
		r.reportSyntax(err)
		return nil
	}
	if len(doc.Content) != 1 {
		r.report(1, "", "file is empty", "a mapping with workspaces and entries")
		return nil
	}
	if n := findTooDeep(doc.Content[0], maxDepth); n != nil {
		r.report(n.Line, "", "nesting is too deep", fmt.Sprintf("at most %d levels", maxDepth))
		return nil
	}
	return doc.Content[0]
}

// reportSyntax reports an error of the YAML library. The library's messages may span
// several lines; Problem.Error must return a single line.
func (r *reader) reportSyntax(err error) {
	message, line := err.Error(), 1
	if m := yamlLine.FindStringSubmatch(message); m != nil {
		message = message[len(m[0]):]
		if n, err := strconv.Atoi(m[1]); err == nil {
			line = n
		}
	}
	message = strings.Join(strings.Fields(message), " ")
	r.report(line, "", message, "well-formed YAML")
}

// findTooDeep returns a node that is depth levels below n, or nil if there is
// none. It does not follow aliases.
func findTooDeep(n *yaml.Node, depth int) *yaml.Node {
	if depth == 0 {
		return n
	}
	for _, c := range n.Content {
		if deep := findTooDeep(c, depth-1); deep != nil {
			return deep
		}
	}
	return nil
}

func (r *reader) report(line int, path, message, allowed string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: max(line, 1), Field: path, Message: message, Allowed: allowed})
}

// line calls lineOf with the lines read so far.
func (r *reader) line(path string) int { return lineOf(r.lines, path) }

// lineOf returns the line of a field. For a missing field it returns the line of
// the nearest enclosing field.
func lineOf(lines map[string]int, path string) int {
	for path != "" {
		if n, ok := lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// field is a field that a mapping may contain and the function that reads it.
type field struct {
	name string
	read func(n *yaml.Node, path string)
}

func (r *reader) catalogue(n *yaml.Node, f *File) {
	c := f.Catalogue
	r.mapping(n, "", []field{
		{"based-on", func(n *yaml.Node, p string) { f.BasedOn = r.revision(n, p) }},
		{"workspaces", func(n *yaml.Node, p string) { c.Workspaces = list(r, n, p, r.workspace) }},
		{"entries", func(n *yaml.Node, p string) { c.Entries = list(r, n, p, r.entry) }},
	})
}

func (r *reader) workspace(n *yaml.Node, path string) (w Workspace) {
	r.mapping(n, path, []field{
		{"name", func(n *yaml.Node, p string) { w.Name = r.text(n, p) }},
		{"owner", func(n *yaml.Node, p string) { w.Owner = r.text(n, p) }},
		{"token-hashes", func(n *yaml.Node, p string) { w.TokenHashes = list(r, n, p, r.text) }},
	})
	return w
}

func (r *reader) entry(n *yaml.Node, path string) (e Entry) {
	r.mapping(n, path, []field{
		{"name", func(n *yaml.Node, p string) { e.Name = r.text(n, p) }},
		{"owner", func(n *yaml.Node, p string) { e.Owner = r.text(n, p) }},
		{"kind", func(n *yaml.Node, p string) { e.Kind = r.text(n, p) }},
		{"class", func(n *yaml.Node, p string) { e.Class = r.text(n, p) }},
		{"version", func(n *yaml.Node, p string) { e.Version = r.text(n, p) }},
		{"move-by", func(n *yaml.Node, p string) { e.MoveBy = r.time(n, p) }},
		{"objective", func(n *yaml.Node, p string) { e.Objective = r.objective(n, p) }},
		{"limits", func(n *yaml.Node, p string) { e.Limits = list(r, n, p, r.limit) }},
		{"repeatable", func(n *yaml.Node, p string) { e.Repeatable = list(r, n, p, r.text) }},
		{"checks-fence", func(n *yaml.Node, p string) { e.ChecksFence = r.boolean(n, p) }},
	})
	return e
}

func (r *reader) objective(n *yaml.Node, path string) (o Objective) {
	r.mapping(n, path, []field{
		{"first-token", func(n *yaml.Node, p string) { o.FirstToken = r.duration(n, p) }},
		{"between-tokens", func(n *yaml.Node, p string) { o.BetweenTokens = r.duration(n, p) }},
		{"success", func(n *yaml.Node, p string) { o.Success = r.number(n, p) }},
	})
	return o
}

func (r *reader) limit(n *yaml.Node, path string) (l Limit) {
	r.mapping(n, path, []field{
		{"workspace", func(n *yaml.Node, p string) { l.Workspace = r.text(n, p) }},
		{"requests-per-second", func(n *yaml.Node, p string) { l.RequestsPerSecond = r.number(n, p) }},
		{"concurrent", func(n *yaml.Node, p string) { l.Concurrent = r.integer(n, p) }},
	})
	return l
}
