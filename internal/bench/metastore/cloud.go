package metastore

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// CapacityRequest sets the desired number of servers of a service in a zone.
type CapacityRequest struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Cloud is a fake of the platform's cloud API. It records violations of the
// rules of leases and usage reports: a fencing token must not decrease or be
// used by two holders, and a window must not be reported with different counts.
// Its methods are safe for concurrent use.
type Cloud struct {
	mu               sync.Mutex
	fence            int64
	holder           string
	windows          map[int64]map[string]int64
	capacityRequests []CapacityRequest
	violations       []string
}

// NewCloud returns a Cloud that has received no calls.
func NewCloud() *Cloud { return &Cloud{windows: make(map[int64]map[string]int64)} }

// Windows returns the reported counts by the window ID of the usage report.
func (c *Cloud) Windows() map[int64]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.windows)
}

// Violations returns a description of each recorded violation.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// CapacityRequests returns the received capacity requests in order of arrival.
func (c *Cloud) CapacityRequests() []CapacityRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CapacityRequest(nil), c.capacityRequests...)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkFence(r)
	var body struct {
		CapacityRequest
		WindowID int64            `json:"window_id"`
		Counts   map[string]int64 `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/capacity":
		c.capacityRequests = append(c.capacityRequests, body.CapacityRequest)
	case "/meter":
		if have, ok := c.windows[body.WindowID]; ok && !maps.Equal(have, body.Counts) {
			c.violations = append(c.violations, fmt.Sprintf("window %d was reported with counts %v and then with %v", body.WindowID, have, body.Counts))
		}
		c.windows[body.WindowID] = body.Counts
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// checkFence records a violation if the fencing token is missing, lower than
// the previous one, or equal to it but used by another holder.
func (c *Cloud) checkFence(r *http.Request) {
	holder := r.Header.Get("X-Wasabiworks-Duty-Holder")
	fence, err := strconv.ParseInt(r.Header.Get("X-Wasabiworks-Fencing-Token"), 10, 64)
	if err != nil || fence < c.fence || fence == c.fence && holder != c.holder && c.holder != "" {
		c.violations = append(c.violations, fmt.Sprintf("call by holder %q with fencing token %d after a call by holder %q with token %d", holder, fence, c.holder, c.fence))
		return
	}
	c.fence, c.holder = fence, holder
}
