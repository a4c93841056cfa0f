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

// Bounds on a YAML file. A catalogue at the target scale uses a fraction of
// them; they keep a hostile file from exhausting memory.
const (
	maxFile  = 1 << 20
	maxDepth = 16
	maxNodes = 200_000
)

// File is a catalogue as an operator wrote it.
type File struct {
	// BasedOn is the revision that the file was made from; 0 for the first.
	BasedOn   int64
	Catalogue *Catalogue

	name  string
	lines map[string]int
	order map[string]int // index of each entry in the file
}

// Parse reads a YAML catalogue strictly and reports all errors together.
func Parse(file string, data []byte) (*Catalogue, error) {
	f, err := ParseFile(file, data)
	if err != nil {
		return nil, err
	}
	return f.Catalogue, nil
}

// ParseFile is Parse for callers that also need the revision that the file
// was made from.
func ParseFile(file string, data []byte) (*File, error) {
	r := &reader{file: file, lines: make(map[string]int), failed: make(map[string]bool)}
	root := r.document(data)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	f := &File{name: file, lines: r.lines, Catalogue: new(Catalogue)}
	r.catalogue(root, f)
	if r.nodes >= maxNodes {
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

// reader turns YAML nodes into values and collects the problems.
type reader struct {
	file     string
	problems Problems
	// lines holds the line of each field by its path.
	lines map[string]int
	// failed holds the paths of values that could not be read, so that the
	// checks of the whole catalogue do not report them again.
	failed map[string]bool
	nodes  int
}

// yamlLine extracts the line from an error of the YAML library, which has no
// structured form.
var yamlLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

func (r *reader) document(data []byte) *yaml.Node {
	if len(data) > maxFile {
		r.report(1, "", fmt.Sprintf("file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxFile))
		return nil
	}
	d := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := d.Decode(&doc); errors.Is(err, io.EOF) {
		r.report(1, "", "file is empty", "a mapping with workspaces and entries")
		return nil
	} else if err != nil {
		r.syntax(err)
		return nil
	}
	var next yaml.Node
	if err := d.Decode(&next); err == nil {
		r.report(next.Line, "", "second document", "one document")
		return nil
	} else if !errors.Is(err, io.EOF) {
		r.syntax(err)
		return nil
	}
	if len(doc.Content) != 1 {
		r.report(1, "", "file is empty", "a mapping with workspaces and entries")
		return nil
	}
	if n := tooDeep(doc.Content[0], maxDepth); n != nil {
		r.report(n.Line, "", "nesting is too deep", fmt.Sprintf("at most %d levels", maxDepth))
		return nil
	}
	return doc.Content[0]
}

func (r *reader) syntax(err error) {
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

// tooDeep returns a node that is more than depth levels down; aliases are not
// followed.
func tooDeep(n *yaml.Node, depth int) *yaml.Node {
	if depth == 0 {
		return n
	}
	for _, c := range n.Content {
		if deep := tooDeep(c, depth-1); deep != nil {
			return deep
		}
	}
	return nil
}

func (r *reader) report(line int, path, message, allowed string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: max(line, 1), Field: path, Message: message, Allowed: allowed})
}

// line returns the line of a field, or of the nearest enclosing one for a
// field that is missing.
func (r *reader) line(path string) int { return lineOf(r.lines, path) }

func lineOf(lines map[string]int, path string) int {
	for path != "" {
		if n, ok := lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// field is one field of a mapping.
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
