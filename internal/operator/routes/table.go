package routes

import (
	"cmp"
	"slices"
	"strings"
)

// Table is one version of the routing table. A table returned by New is immutable
// and safe for concurrent use.
type Table struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// KeysRequired reports whether requests on routes that are not public need the key
	// of a workspace. Without workspaces, no key is valid then.
	KeysRequired bool
	Limits       Limits

	prioritized      bool
	routesByHost     map[string][]*Route // longest prefix first
	servicesByName   map[string]*Service
	workspacesByKey  map[string]*Workspace
	workspacesByName map[string]*Workspace
}

// New returns a copy of t with its lookup indexes built.
func New(t Table) *Table {
	t.routesByHost = make(map[string][]*Route)
	t.servicesByName = make(map[string]*Service, len(t.Services))
	t.workspacesByKey = make(map[string]*Workspace)
	t.workspacesByName = make(map[string]*Workspace, len(t.Workspaces))
	for i := range t.Routes {
		r := &t.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, rs := range t.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.servicesByName[t.Services[i].Name] = &t.Services[i]
	}
	t.KeysRequired = t.KeysRequired || len(t.Workspaces) > 0
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		t.workspacesByName[w.Name] = w
		for _, k := range w.Keys {
			t.workspacesByKey[k] = w
		}
	}
	delete(t.workspacesByKey, "") // a request without a key has no workspace
	t.prioritized = t.urgenciesDiffer()
	return &t
}

// Match returns the route for host, which may include a port, whose prefix is the
// longest that matches path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// WorkspaceByKey returns the workspace that owns an access key.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.workspacesByKey[key]
	return w, ok
}

// Workspace returns the workspace with the given name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.workspacesByName[name]
	return w, ok
}

// Pick selects a service by weight. The random argument must be drawn uniformly
// from all uint64 values. Without positive weights Pick returns the first service,
// or "" if there is none.
func (r *Route) Pick(random uint64) string {
	total := 0
	for _, target := range r.Split {
		total += max(0, target.Weight)
	}
	if total == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	offset := int(random % uint64(total))
	for _, target := range r.Split {
		if offset -= max(0, target.Weight); offset < 0 {
			return target.Service
		}
	}
	return ""
}

// Includes reports whether requests on the route may go to service.
func (r *Route) Includes(service string) bool {
	return slices.ContainsFunc(r.Split, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// maxUrgency is the urgency of the least urgent requests.
const maxUrgency = 9

// Urgency returns the rank of a request on route r of workspace w, which is nil if the
// route needs no key: 0 is the most urgent, 9 the least.
func Urgency(r *Route, w *Workspace) int {
	if w != nil && w.HasPriority {
		return min(w.Priority, maxUrgency)
	}
	return min(r.Priority, maxUrgency)
}

// Prioritized reports whether the priorities of the routes and workspaces of t differ, so
// that some requests are more urgent than others.
func (t *Table) Prioritized() bool { return t.prioritized }

// urgenciesDiffer computes Prioritized.
func (t *Table) urgenciesDiffer() bool {
	first := -1
	differs := func(priority int) bool {
		urgency := min(priority, maxUrgency)
		if first < 0 {
			first = urgency
		}
		return urgency != first
	}
	return slices.ContainsFunc(t.Routes, func(r Route) bool { return differs(r.Priority) }) ||
		slices.ContainsFunc(t.Workspaces, func(w Workspace) bool { return w.HasPriority && differs(w.Priority) })
}
