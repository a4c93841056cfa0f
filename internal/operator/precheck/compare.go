package precheck

import (
	"cmp"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Compare returns the differences of the next table from the one in effect, and an
// error if instances would ignore the next one because of its version.
func Compare(inEffect, next *routes.Table) []Finding {
	c := comparer{old: inEffect, next: next}
	c.routes()
	c.services()
	c.workspaces()
	c.limits()
	allowed := fmt.Sprintf("above %d", inEffect.Version)
	switch {
	case next.Version < inEffect.Version:
		c.add(Error, "version", allowed, "goes back from %d to %d, so that instances ignore the configuration", inEffect.Version, next.Version)
	case next.Version == inEffect.Version && len(c.findings) > 0:
		c.add(Error, "version", allowed, "%d is in effect with other content, so that instances ignore the configuration", next.Version)
	}
	return c.findings
}

// comparer collects the differences between two tables.
type comparer struct {
	collector
	old, next *routes.Table
}

// change reports a value that differs.
func (c *comparer) change(breaking bool, path, subject, old, next string) {
	if old == next {
		return
	}
	severity := Change
	if breaking {
		severity = Breaking
	}
	c.add(severity, path, "", "%s: %s -> %s", subject, old, next)
}

// elements is a list of both tables, with what to do with an element that is only in the
// old one, only in the next one, or in both.
type elements[T any] struct {
	path           string
	old, next      []T
	name           func(*T) string
	removed, added func(path string, element *T)
	both           func(path string, old, next *T)
}

// compare matches the elements by name; the last of equal names counts, as in a table.
// It reports the removed elements first, because clients notice them first.
func (e elements[T]) compare() {
	next, inOld := make(map[string]int), make(map[string]bool)
	for i := range e.next {
		next[e.name(&e.next[i])] = i
	}
	for i := range e.old {
		name := e.name(&e.old[i])
		inOld[name] = true
		if _, ok := next[name]; !ok {
			e.removed(e.path, &e.old[i])
		}
	}
	for i := range e.old {
		if j, ok := next[e.name(&e.old[i])]; ok {
			e.both(fmt.Sprintf("%s[%d]", e.path, j), &e.old[i], &e.next[j])
		}
	}
	for i := range e.next {
		if !inOld[e.name(&e.next[i])] {
			e.added(fmt.Sprintf("%s[%d]", e.path, i), &e.next[i])
		}
	}
}

func (c *comparer) routes() {
	elements[routes.Route]{
		path: "routes", old: c.old.Routes, next: c.next.Routes,
		name: func(r *routes.Route) string { return r.Name },
		removed: func(path string, r *routes.Route) {
			fate := "get 404"
			if other, ok := c.next.Match(r.Host, r.Prefix); ok {
				fate = fmt.Sprintf("go to route %.60q", other.Name)
			}
			c.add(Breaking, path, "", "route %.60q is removed; requests for %.60q %s", r.Name, r.Host+r.Prefix, fate)
		},
		added: func(path string, r *routes.Route) {
			c.add(Change, path, "", "route %.60q is added for %.60q", r.Name, r.Host+r.Prefix)
		},
		both: c.route,
	}.compare()
}

func (c *comparer) route(path string, old, next *routes.Route) {
	subject := fmt.Sprintf("route %.60q: ", next.Name)
	change := func(breaking bool, field, what, old, next string) {
		c.change(breaking, path+"."+field, subject+what, old, next)
	}
	change(true, "host", "host", strconv.Quote(old.Host), strconv.Quote(next.Host))
	change(true, "prefix", "prefix", strconv.Quote(old.Prefix), strconv.Quote(next.Prefix))
	change(true, "kind", "kind", old.Kind.String(), next.Kind.String())
	change(old.Public, "public", "open without a key", show(old.Public), show(next.Public))
	change(old.Resumable, "resumable", "resumable", show(old.Resumable), show(next.Resumable))
	change(lowered(old.Timeout, next.Timeout), "timeout", "timeout", limit(old.Timeout), limit(next.Timeout))
	change(false, "objective", "objective", show(old.Objective), show(next.Objective))
	change(false, "event-gap", "gap between events", show(old.EventGap), show(next.EventGap))
	change(false, "attempts", "attempts", show(old.Attempts), show(next.Attempts))
	change(false, "priority", "priority", show(old.Priority), show(next.Priority))
	change(false, "split", "services", shares(old.Split), shares(next.Split))
}

func (c *comparer) services() {
	elements[routes.Service]{
		path: "services", old: c.old.Services, next: c.next.Services,
		name: func(s *routes.Service) string { return s.Name },
		removed: func(path string, s *routes.Service) {
			c.add(Change, path, "", "service %.60q is removed", s.Name)
		},
		added: func(path string, s *routes.Service) {
			c.add(Change, path, "", "service %.60q is added", s.Name)
		},
		both: c.service,
	}.compare()
}

func (c *comparer) service(path string, old, next *routes.Service) {
	subject := fmt.Sprintf("service %.60q: ", next.Name)
	c.change(false, path+".cold-rate", subject+"requests a second of a cold server", limit(old.ColdRate), limit(next.ColdRate))
	c.change(false, path+".cold-time", subject+"cold time", show(old.ColdTime), show(next.ColdTime))
	c.change(false, path+".scaling", subject+"scaled automatically", show(old.Scaling != nil), show(next.Scaling != nil))
	if old.Scaling == nil || next.Scaling == nil {
		return
	}
	a, b, path := old.Scaling, next.Scaling, path+".scaling"
	c.change(false, path+".min", subject+"minimum of servers", show(a.Min), show(b.Min))
	c.change(false, path+".max", subject+"maximum of servers", show(a.Max), show(b.Max))
	c.change(false, path+".reclaimable-price", subject+"price of reclaimable servers", show(a.ReclaimablePrice), show(b.ReclaimablePrice))
	if !maps.Equal(a.Prices, b.Prices) {
		c.add(Change, path+".prices", "", "%sprices by failure domain differ", subject)
	}
}

func (c *comparer) workspaces() {
	c.change(true, "workspaces", "keys are required", show(c.old.KeysRequired), show(c.next.KeysRequired))
	elements[routes.Workspace]{
		path: "workspaces", old: c.old.Workspaces, next: c.next.Workspaces,
		name: func(w *routes.Workspace) string { return w.Name },
		removed: func(path string, w *routes.Workspace) {
			c.add(Breaking, path, "", "workspace %.60q is removed", w.Name)
			c.removedKeys(path, w)
		},
		added: func(path string, w *routes.Workspace) {
			c.add(Change, path, "", "workspace %.60q is added, with %d keys", w.Name, len(w.Keys))
		},
		both: c.workspace,
	}.compare()
}

func (c *comparer) workspace(path string, old, next *routes.Workspace) {
	c.removedKeys(path+".keys", old)
	for i, key := range next.Keys {
		if holds(c.next, old.Name, key) && !holds(c.old, old.Name, key) {
			c.add(Change, fmt.Sprintf("%s.keys[%d]", path, i), "", "workspace %.60q: key %d is new", next.Name, i+1)
		}
	}
	subject, a, b := fmt.Sprintf("workspace %.60q: ", next.Name), old.Allowance, next.Allowance
	c.change(true, path+".unit", subject+"unit", unit(a), unit(b))
	c.change(lowered(a.Rate, b.Rate), path+".rate", subject+"units a second", limit(a.Rate), limit(b.Rate))
	c.change(b.Burst < a.Burst, path+".burst", subject+"burst", show(a.Burst), show(b.Burst))
	c.change(b.DefaultCost > a.DefaultCost, path+".default-cost", subject+"cost of a request without a count", show(a.DefaultCost), show(b.DefaultCost))
	c.change(false, path+".priority", subject+"priority", priority(old), priority(next))
}

// removedKeys reports the keys that a workspace loses, by their positions in the table
// in effect.
func (c *comparer) removedKeys(path string, old *routes.Workspace) {
	for i, key := range old.Keys {
		if !holds(c.old, old.Name, key) || holds(c.next, old.Name, key) {
			continue
		}
		if holder, ok := c.next.WorkspaceByKey(key); ok {
			c.add(Breaking, path, "", "key %d that workspace %.60q has in effect now belongs to workspace %.60q", i+1, old.Name, holder.Name)
		} else {
			c.add(Breaking, path, "", "key %d that workspace %.60q has in effect no longer works", i+1, old.Name)
		}
	}
}

// holds reports whether a key selects a workspace. If several workspaces have the key, it
// selects only one of them.
func holds(t *routes.Table, workspace, key string) bool {
	holder, ok := t.WorkspaceByKey(key)
	return ok && holder.Name == workspace
}

func (c *comparer) limits() {
	a, b := c.old.Limits, c.next.Limits
	compareLimit(c, "body-bytes", "bytes of a body", a.BodyBytes, b.BodyBytes)
	compareLimit(c, "header-bytes", "bytes of a header", a.HeaderBytes, b.HeaderBytes)
	compareLimit(c, "header-timeout", "time to send a header", a.HeaderTimeout, b.HeaderTimeout)
	compareLimit(c, "idle-timeout", "time that a connection may be idle", a.IdleTimeout, b.IdleTimeout)
}

// compareLimit reports a limit of requests that differs. The value 0 stands for a
// built-in default, so that a change from or to it may lower the limit.
func compareLimit[T int64 | time.Duration](c *comparer, field, what string, old, next T) {
	text := func(v T) string {
		if v == 0 {
			return "default"
		}
		return show(v)
	}
	c.change(old == 0 || next < old, "limits."+field, "limits: "+what, text(old), text(next))
}

// lowered reports whether a limit, for which 0 means none, is lowered.
func lowered[T cmp.Ordered](old, next T) bool {
	var none T
	return next != none && (old == none || next < old)
}

// limit formats a limit, for which 0 means none.
func limit[T cmp.Ordered](v T) string {
	var none T
	if v == none {
		return "none"
	}
	return show(v)
}

// show formats a value without an exponent.
func show(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}

// shares formats the services of a split with their shares of the requests.
func shares(split []routes.Target) string {
	total := 0.0
	for _, t := range split {
		total += float64(max(0, t.Weight))
	}
	texts := make([]string, 0, len(split))
	for _, t := range split {
		texts = append(texts, fmt.Sprintf("%.60q %.4g%%", t.Service, 100*float64(max(0, t.Weight))/max(1, total)))
	}
	return strings.Join(texts, ", ")
}

func priority(w *routes.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return show(w.Priority)
}

func unit(a routes.Allowance) string {
	if a.CountsTokens {
		return "tokens"
	}
	return "requests"
}
