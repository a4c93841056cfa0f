package metastore

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Order is an order of servers.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Cloud is the platform's cloud API. It notes what breaks the rules of its
// duties; its methods are safe for concurrent use.
type Cloud struct {
	mu      sync.Mutex
	fence   int64
	holder  string
	windows map[int64]map[string]int64
	orders  []Order
	broken  []string
}

// NewCloud returns a cloud that has seen no call.
func NewCloud() *Cloud { return &Cloud{windows: make(map[int64]map[string]int64)} }

// Windows returns the counts that were reported, by window.
func (c *Cloud) Windows() map[int64]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.windows)
}

// Broken returns what broke a rule.
func (c *Cloud) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// Orders returns the orders in the order in which they came.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(r)
	var q struct {
		Order
		WindowID int64            `json:"window_id"`
		Counts   map[string]int64 `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/capacity":
		c.orders = append(c.orders, q.Order)
	case "/meter":
		if have, ok := c.windows[q.WindowID]; ok && !maps.Equal(have, q.Counts) {
			c.broken = append(c.broken, fmt.Sprintf("window %d was reported as %v and as %v", q.WindowID, have, q.Counts))
		}
		c.windows[q.WindowID] = q.Counts
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// check notes a fencing token that goes back or that two holders use.
func (c *Cloud) check(r *http.Request) {
	holder := r.Header.Get("X-Wasabiworks-Duty-Holder")
	fence, err := strconv.ParseInt(r.Header.Get("X-Wasabiworks-Fencing-Token"), 10, 64)
	if err != nil || fence < c.fence || fence == c.fence && holder != c.holder && c.holder != "" {
		c.broken = append(c.broken, fmt.Sprintf("call of %q with token %d after %q with %d", holder, fence, c.holder, c.fence))
		return
	}
	c.fence, c.holder = fence, holder
}
