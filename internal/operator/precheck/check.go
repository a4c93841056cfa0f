package precheck

import (
	"fmt"
	"slices"
	"strings"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Check returns what is wrong with a table by itself.
func Check(t *routes.Table) []Finding {
	c := checker{table: t}
	c.routes()
	c.services()
	c.workspaces()
	return c.findings
}

// checker collects what is wrong with a table.
type checker struct {
	collector
	table *routes.Table
}

// unique reports a name that occurred before.
func (c *checker) unique(seen map[string]bool, path, name string) {
	if seen[name] && name != "" {
		c.add(Error, path+".name", "each name once", "%.60q is a duplicate", name)
	}
	seen[name] = true
}

// matchKey is what a route is selected by.
type matchKey struct{ host, prefix string }

// routes reports routes that share a name or a match, and what is wrong with each.
func (c *checker) routes() {
	names, first := make(map[string]bool), make(map[matchKey]string)
	for i := range c.table.Routes {
		r, path := &c.table.Routes[i], fmt.Sprintf("routes[%d]", i)
		c.unique(names, path, r.Name)
		key := matchKey{r.Host, r.Prefix}
		if other, ok := first[key]; ok {
			c.add(Warning, path+".prefix", "each host and prefix once", "never matches: hidden by route %.60q with the same host and prefix", other)
		} else {
			first[key] = r.Name
		}
		c.address(path, r)
		c.times(path, r)
		c.split(path, r.Split)
		c.retries(path, r)
	}
}

// address reports a host or prefix that requests cannot match.
func (c *checker) address(path string, r *routes.Route) {
	if r.Prefix != "" && (r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/') {
		c.add(Error, path+".prefix", "a path that begins and ends with a slash", "%.60q is not valid", r.Prefix)
	}
	if strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]") {
		c.add(Warning, path+".host", "a host without a port", "never matches: the port of a request is removed first")
	}
}

// times reports durations that exceed the timeout of the route.
func (c *checker) times(path string, r *routes.Route) {
	allowed := fmt.Sprintf("at most the timeout of %v", r.Timeout)
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Warning, path+".objective", allowed, "objective of %v is above the timeout", r.Objective)
	}
	if r.Timeout > 0 && r.EventGap > r.Timeout {
		c.add(Warning, path+".event-gap", allowed, "gap of %v between events is above the timeout", r.EventGap)
	}
}

// split reports services that are unknown or get no requests. A table does not tell a
// split with one service from a route with one service, which is the usual form.
func (c *checker) split(path string, split []routes.Target) {
	hasWeight := slices.ContainsFunc(split, func(t routes.Target) bool { return t.Weight > 0 })
	if !hasWeight {
		c.add(Warning, path+".split", "a weight above 0", "no service has a weight above 0; all requests go to the first")
	}
	for i, t := range split {
		if _, ok := c.table.Service(t.Service); !ok && t.Service != "" {
			servicePath := fmt.Sprintf("%s.split[%d].service", path, i)
			if len(split) == 1 {
				servicePath = path + ".service"
			}
			c.add(Error, servicePath, "the name of a service", "unknown service %.60q", t.Service)
		}
		if hasWeight && t.Weight <= 0 {
			c.add(Warning, fmt.Sprintf("%s.split[%d].weight", path, i), "a weight above 0", "service %.60q gets no requests", t.Service)
		}
	}
}

// retries reports settings of repeated requests that have no effect on the kind of route.
func (c *checker) retries(path string, r *routes.Route) {
	if r.Attempts > 1 && !r.Repeatable() {
		c.add(Warning, path+".attempts", "1", "%d attempts, but the route is %s: a request that may have run is not repeated", r.Attempts, r.Kind)
	}
	if r.Resumable && r.Kind != routes.Streaming {
		c.add(Warning, path+".resumable", "false", "no effect on a route that is %s", r.Kind)
	}
}

// services reports services that share a name, and contradictory limits of scaling.
func (c *checker) services() {
	names := make(map[string]bool)
	for i, s := range c.table.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.unique(names, path, s.Name)
		if s.Scaling != nil && s.Scaling.Min > s.Scaling.Max {
			c.add(Warning, path+".scaling.min", "at most the maximum", "at least %d servers are reserved, but at most %d permitted", s.Scaling.Min, s.Scaling.Max)
		}
	}
}

// workspaces reports workspaces and keys that are duplicate, missing or never match.
func (c *checker) workspaces() {
	if c.table.KeysRequired && len(c.table.Workspaces) == 0 {
		c.add(Warning, "workspaces", "at least one workspace, or no list", "the list is empty: requests to routes that are not public are refused")
	}
	names, holders := make(map[string]bool), make(map[string]string)
	for i, w := range c.table.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.unique(names, path, w.Name)
		c.allowance(path, w.Allowance)
		if len(w.Keys) == 0 {
			c.add(Warning, path+".keys", "at least one key", "never matches: workspace %.60q has no keys", w.Name)
		}
		for j, key := range w.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			if holder, ok := holders[key]; ok && key != "" {
				c.add(Warning, keyPath, "each key once", "same key as %s; the last workspace with it counts", holder)
			}
			if key == "" {
				c.add(Warning, keyPath, "a key that is not empty", "never matches: the key is empty")
			}
			holders[key] = fmt.Sprintf("key %d of workspace %.60q", j+1, w.Name)
		}
	}
}

// allowance reports a burst that is smaller than the cost of a request.
func (c *checker) allowance(path string, a routes.Allowance) {
	cost := 1.0
	if a.CountsTokens {
		cost = max(cost, a.DefaultCost)
	}
	if a.Rate > 0 && a.Burst < cost {
		c.add(Warning, path+".burst", "at least "+show(cost), "burst of %s is below one request of %s %s", show(a.Burst), show(cost), unit(a))
	}
}
