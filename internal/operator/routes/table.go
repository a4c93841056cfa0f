package routes

import (
	"cmp"
	"slices"
	"strings"
)

// Table is one version of the routes; it is immutable once built by New.
type Table struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	byHost     map[string][]*Route // longest prefix first
	byName     map[string]*Service
	byKey      map[string]*Workspace
	workspaces map[string]*Workspace
}

// New returns t with its indexes built.
func New(t Table) *Table {
	t.byHost = make(map[string][]*Route)
	t.byName = make(map[string]*Service, len(t.Services))
	t.byKey = make(map[string]*Workspace)
	t.workspaces = make(map[string]*Workspace, len(t.Workspaces))
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.byName[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, k := range w.Keys {
			t.byKey[k] = w
		}
	}
	return &t
}

// Match returns the route of a host with the longest prefix of path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service of a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.byName[name]
	return s, ok
}

// WorkspaceByKey returns the workspace that holds a key.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Workspace returns the workspace of a name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Pick returns the service for a number drawn evenly from all uint64.
func (r *Route) Pick(random uint64) string {
	total := 0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	at := int(random % uint64(total))
	for _, s := range r.Split {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return ""
}
