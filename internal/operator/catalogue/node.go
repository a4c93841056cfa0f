package catalogue

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// visit records the line of path, counts the node and returns it with any alias
// resolved. It returns nil once the file has expanded to maxNodes nodes.
func (r *reader) visit(n *yaml.Node, path string) *yaml.Node {
	if path != "" {
		r.lines[path] = n.Line
	}
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if r.nodes >= maxNodes || n == nil {
		return nil
	}
	r.nodes++
	if r.nodes == maxNodes {
		r.report(n.Line, path, "file expands to too many values", fmt.Sprintf("at most %d", maxNodes))
		return nil
	}
	return n
}

// reportType reports a node whose kind or tag does not match the field.
func (r *reader) reportType(n *yaml.Node, path, allowed string) {
	r.failed[path] = true
	got := map[yaml.Kind]string{yaml.MappingNode: "got a mapping", yaml.SequenceNode: "got a list"}[n.Kind]
	if got == "" {
		got = quoteTruncated(n.Value) + " is not valid"
		if n.Value == "" {
			got = "value is empty"
		}
	}
	r.report(r.line(path), path, got, allowed)
}

// quoteTruncated quotes a value for an error message and truncates long ones.
func quoteTruncated(s string) string {
	const maxBytes = 60
	if len(s) > maxBytes {
		s = strings.ToValidUTF8(s[:maxBytes], "") + "…"
	}
	return strconv.Quote(s)
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// mapping reads the fields of a mapping and reports unknown and duplicate ones.
// It treats null as an empty mapping.
func (r *reader) mapping(n *yaml.Node, path string, fields []field) {
	n = r.visit(n, path)
	if n == nil || isNull(n) {
		return
	}
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	if n.Kind != yaml.MappingNode {
		r.reportType(n, path, "a mapping with "+strings.Join(names, ", "))
		return
	}
	seen := make(map[string]int)
	for i := 0; r.nodes < maxNodes && i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := join(path, keyName(key))
		index := slices.Index(names, key.Value)
		switch {
		case key.Kind != yaml.ScalarNode || index < 0:
			r.report(key.Line, fieldPath, "unknown field", strings.Join(names, ", "))
		case seen[key.Value] > 0:
			r.report(key.Line, fieldPath, fmt.Sprintf("duplicate field, first on line %d", seen[key.Value]), "each field once")
		default:
			seen[key.Value] = key.Line
			fields[index].read(value, fieldPath)
		}
	}
}

func keyName(key *yaml.Node) string {
	if key.Kind != yaml.ScalarNode {
		return "?"
	}
	if strings.IndexFunc(key.Value, func(c rune) bool { return c < ' ' || c == 0x7f }) >= 0 || len(key.Value) > 60 {
		return quoteTruncated(key.Value)
	}
	return key.Value
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// list reads a sequence and calls read for each element. It treats null as an
// empty sequence.
func list[T any](r *reader, n *yaml.Node, path string, read func(*yaml.Node, string) T) []T {
	n = r.visit(n, path)
	if n == nil || isNull(n) {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		r.reportType(n, path, "a list")
		return nil
	}
	var values []T
	for i, c := range n.Content {
		if r.nodes >= maxNodes {
			return nil
		}
		values = append(values, read(c, fmt.Sprintf("%s[%d]", path, i)))
	}
	return values
}

// scalar returns the text of a scalar whose tag is one of tags, and reports any
// other node.
func (r *reader) scalar(n *yaml.Node, path, allowed string, tags ...string) (string, bool) {
	n = r.visit(n, path)
	if n == nil {
		return "", false
	}
	if n.Kind != yaml.ScalarNode || !slices.Contains(tags, n.ShortTag()) {
		r.reportType(n, path, allowed)
		return "", false
	}
	return n.Value, true
}

// text reads a string. It also accepts unquoted numbers and dates, because a
// version may be written as 1.10 or 2026-11-30.
func (r *reader) text(n *yaml.Node, path string) string {
	s, _ := r.scalar(n, path, "text", "!!str", "!!int", "!!float", "!!timestamp")
	return s
}

func (r *reader) boolean(n *yaml.Node, path string) bool {
	s, _ := r.scalar(n, path, "true or false", "!!bool")
	return strings.EqualFold(s, "true")
}

func (r *reader) integer(n *yaml.Node, path string) int {
	return int(r.boundedInteger(n, path, "a whole number", math.MinInt32, math.MaxInt32))
}

func (r *reader) revision(n *yaml.Node, path string) int64 {
	return r.boundedInteger(n, path, "a revision as printed by catalogue show, or 0", 0, math.MaxInt64)
}

func (r *reader) boundedInteger(n *yaml.Node, path, allowed string, low, high int64) int64 {
	s, ok := r.scalar(n, path, allowed, "!!int")
	if !ok {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < low || v > high {
		r.reportInvalid(path, s, allowed)
		return 0
	}
	return v
}

func (r *reader) number(n *yaml.Node, path string) float64 {
	const allowed = "a number"
	s, ok := r.scalar(n, path, allowed, "!!int", "!!float")
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsInf(v, 0) || math.IsNaN(v) {
		r.reportInvalid(path, s, allowed)
		return 0
	}
	return v
}

func (r *reader) duration(n *yaml.Node, path string) time.Duration {
	const allowed = "a duration with its unit, such as 1.2s or 41ms"
	s, ok := r.scalar(n, path, allowed, "!!str")
	if !ok {
		return 0
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		r.reportInvalid(path, s, allowed)
		return 0
	}
	return v
}

func (r *reader) time(n *yaml.Node, path string) time.Time {
	const allowed = "a time with its zone, such as 2026-12-04T09:30:00Z"
	s, ok := r.scalar(n, path, allowed, "!!str", "!!timestamp")
	if !ok {
		return time.Time{}
	}
	v, err := time.Parse(time.RFC3339, s)
	if err != nil {
		r.reportInvalid(path, s, allowed)
		return time.Time{}
	}
	return v.UTC()
}

// reportInvalid reports a scalar that cannot be parsed or is out of range.
func (r *reader) reportInvalid(path, value, allowed string) {
	r.failed[path] = true
	r.report(r.line(path), path, quoteTruncated(value)+" is not valid", allowed)
}
