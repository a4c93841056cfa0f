package usage

import (
	"maps"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// sendDelay is the time between the end of a window and sending its counts
	// to the duty's holder. A request is counted in the window in which the first
	// bytes of its response arrive, not in the one in which it was received, so
	// that no counts are added to a window long after its end.
	sendDelay = 300 * time.Millisecond
	// retention is how long counts are kept after the end of their window, so
	// that they can be sent to a new holder.
	retention = 30 * time.Second
	// maxAdopted is the maximum number of windowCounts adopted from instances
	// that stopped.
	maxAdopted = 4096
)

// counter counts, by window, the requests that backend servers began to run and
// the first events of streams. It also holds the counts adopted from instances
// that stopped.
type counter struct {
	node   string
	window time.Duration

	mu      sync.Mutex
	windows map[int64]map[string]*windowCounts // by window and node
	adopted int                                // number of adopted windowCounts
}

// windowCounts holds the counts of one instance in one window.
type windowCounts struct {
	requests map[string]int64
	loads    map[string]*peerpb.ServiceLoad
	sentTo   string // the holder to which the counts need not be sent again
}

func newCounter(node string, window time.Duration) *counter {
	return &counter{node: node, window: window, windows: make(map[int64]map[string]*windowCounts)}
}

// windowAt returns the number of the window that contains t. Windows are numbered
// from the Unix epoch.
func (c *counter) windowAt(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

func (c *counter) windowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.window)) }

// ownCounts returns the counts of this instance in a window, and creates them if
// needed.
func (c *counter) ownCounts(window int64) *windowCounts {
	byNode, ok := c.windows[window]
	if !ok {
		byNode = make(map[string]*windowCounts)
		c.windows[window] = byNode
	}
	w, ok := byNode[c.node]
	if !ok {
		w = &windowCounts{requests: make(map[string]int64), loads: make(map[string]*peerpb.ServiceLoad)}
		byNode[c.node] = w
	}
	return w
}

// addRequest counts a request that a backend server began to run.
func (c *counter) addRequest(workspace string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownCounts(c.windowAt(now)).requests[workspace]++
}

// addFirst counts a stream's first event. The event is late if the time to it
// exceeded the objective of the request's route.
func (c *counter) addFirst(service string, late bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := c.ownCounts(c.windowAt(now)).loads
	l, ok := loads[service]
	if !ok {
		l = new(peerpb.ServiceLoad)
		loads[service] = l
	}
	l.Prompts++
	if late {
		l.Late++
	}
}

// adopt keeps the counts of an instance that is stopping, to be sent on to the
// duty's holder, and reports whether it did: at most maxAdopted are kept.
func (c *counter) adopt(r *peerpb.UsageRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.GetNode() == c.node || c.adopted >= maxAdopted {
		return false
	}
	c.ownCounts(r.GetWindow()) // creates the window if needed
	if _, ok := c.windows[r.GetWindow()][r.GetNode()]; !ok {
		c.adopted++
	}
	c.windows[r.GetWindow()][r.GetNode()] = &windowCounts{requests: r.GetCounts(), loads: r.GetLoads()}
	return true
}

// unsent returns the counts, adopted ones included, that were not sent to holder
// yet, and drops windows that are older than retention. The counts of a window
// are returned once sendDelay has passed since its end, or at once if the
// instance is stopping.
func (c *counter) unsent(holder string, stopping bool, now time.Time) (rs []*peerpb.UsageRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.windowAt(now.Add(-sendDelay)) - 1
	// The counts of a window without requests are sent too, so that the holder
	// does not wait for them.
	c.ownCounts(last)
	for window, byNode := range c.windows {
		if now.Sub(c.windowEnd(window)) > retention {
			c.adopted = max(0, c.adopted-len(byNode)+1)
			delete(c.windows, window)
			continue
		}
		if window > last && !stopping {
			continue
		}
		for node, w := range byNode {
			if w.sentTo != holder {
				rs = append(rs, &peerpb.UsageRequest{Node: node, Window: window, Counts: maps.Clone(w.requests), Loads: maps.Clone(w.loads), Adopt: stopping})
			}
		}
	}
	return rs
}

// markSent records that the counts need not be sent again while holder holds the
// duty: holder has received them, or another instance has adopted them.
func (c *counter) markSent(r *peerpb.UsageRequest, holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.windows[r.GetWindow()][r.GetNode()]; ok {
		w.sentTo = holder
	}
}
