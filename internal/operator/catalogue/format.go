package catalogue

import (
	"bytes"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// document is the YAML representation of a catalogue.
type document struct {
	BasedOn    int64           `yaml:"based-on"`
	Workspaces []workspaceYAML `yaml:"workspaces"`
	Entries    []entryYAML     `yaml:"entries"`
}

type workspaceYAML struct {
	Name        string   `yaml:"name"`
	Owner       string   `yaml:"owner"`
	TokenHashes []string `yaml:"token-hashes"`
}

type entryYAML struct {
	Name        string        `yaml:"name"`
	Owner       string        `yaml:"owner"`
	Kind        string        `yaml:"kind"`
	Class       string        `yaml:"class"`
	Version     string        `yaml:"version"`
	MoveBy      string        `yaml:"move-by,omitempty"`
	Objective   objectiveYAML `yaml:"objective"`
	Limits      []limitYAML   `yaml:"limits,omitempty"`
	Repeatable  []string      `yaml:"repeatable,omitempty"`
	ChecksFence bool          `yaml:"checks-fence"`
}

type objectiveYAML struct {
	FirstToken    string  `yaml:"first-token"`
	BetweenTokens string  `yaml:"between-tokens,omitempty"`
	Success       float64 `yaml:"success"`
}

type limitYAML struct {
	Workspace         string  `yaml:"workspace"`
	RequestsPerSecond float64 `yaml:"requests-per-second"`
	Concurrent        int     `yaml:"concurrent"`
}

// Format returns s as YAML, from which Parse reads the same workspaces and
// entries. The based-on field holds the revision of s, so that an apply of the YAML
// replaces that revision.
func Format(s *Snapshot) ([]byte, error) {
	d := document{BasedOn: s.Revision, Workspaces: []workspaceYAML{}, Entries: []entryYAML{}}
	for _, w := range s.Catalogue.Workspaces {
		d.Workspaces = append(d.Workspaces, workspaceYAML(w))
	}
	for i := range s.Catalogue.Entries {
		d.Entries = append(d.Entries, formatEntry(&s.Catalogue.Entries[i]))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Catalogue at revision %d", s.Revision)
	if s.Catalogue.Operation != "" {
		fmt.Fprintf(&b, ", applied by %s at %s (operation %s): %s", s.Catalogue.Author, formatTime(s.Catalogue.Changed), s.Catalogue.Operation, s.Catalogue.Comment)
	}
	b.WriteString("\n")
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(d); err != nil {
		return nil, fmt.Errorf("format catalogue: %w", err)
	}
	if err := e.Close(); err != nil {
		return nil, fmt.Errorf("format catalogue: %w", err)
	}
	return b.Bytes(), nil
}

func formatEntry(e *Entry) entryYAML {
	y := entryYAML{
		Name: e.Name, Owner: e.Owner, Kind: e.Kind, Class: e.Class, Version: e.Version,
		Objective:  objectiveYAML{FirstToken: e.Objective.FirstToken.String(), Success: e.Objective.Success},
		Repeatable: e.Repeatable, ChecksFence: e.ChecksFence,
	}
	if !e.MoveBy.IsZero() {
		y.MoveBy = e.MoveBy.Format(time.RFC3339Nano)
	}
	if e.Objective.BetweenTokens != 0 {
		y.Objective.BetweenTokens = e.Objective.BetweenTokens.String()
	}
	for _, l := range e.Limits {
		y.Limits = append(y.Limits, limitYAML(l))
	}
	return y
}
