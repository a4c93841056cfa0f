package usage

import (
	"maps"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// countedAfter is how long after its end a window is sent to the holder of
	// the duty. Requests are counted when their first bytes come back.
	countedAfter = 300 * time.Millisecond
	// kept is how long counts are kept for a new holder.
	kept = 30 * time.Second
	// maxAdopted bounds the counts that instances that stopped have left here.
	maxAdopted = 4096
)

// counter counts the requests that servers began to run, by window. It also
// holds what instances that stopped have left behind.
type counter struct {
	node   string
	window time.Duration

	mu      sync.Mutex
	windows map[int64]map[string]*counted // by node
	adopted int
}

// counted is what one instance counted in one window.
type counted struct {
	requests map[string]int64
	loads    map[string]*peerpb.ServiceLoad
	sentTo   string // the holder that has the counts
}

func newCounter(node string, window time.Duration) *counter {
	return &counter{node: node, window: window, windows: make(map[int64]map[string]*counted)}
}

// at returns the window of a time.
func (c *counter) at(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// end returns the end of a window.
func (c *counter) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.window)) }

// own returns the counts of this instance in a window.
func (c *counter) own(window int64) *counted {
	byNode, ok := c.windows[window]
	if !ok {
		byNode = make(map[string]*counted)
		c.windows[window] = byNode
	}
	w, ok := byNode[c.node]
	if !ok {
		w = &counted{requests: make(map[string]int64), loads: make(map[string]*peerpb.ServiceLoad)}
		byNode[c.node] = w
	}
	return w
}

func (c *counter) began(workspace string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own(c.at(now)).requests[workspace]++
}

func (c *counter) first(service string, late bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := c.own(c.at(now)).loads
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

// adopt keeps the counts of an instance that stopped.
func (c *counter) adopt(r *peerpb.UsageRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.GetNode() == c.node || c.adopted >= maxAdopted {
		return
	}
	c.own(r.GetWindow()) // the window exists
	if _, ok := c.windows[r.GetWindow()][r.GetNode()]; !ok {
		c.adopted++
	}
	c.windows[r.GetWindow()][r.GetNode()] = &counted{requests: r.GetCounts(), loads: r.GetLoads()}
}

// due returns the counts that a holder lacks, and drops old windows. A window
// counts when it is over, or at once if the instance stops.
func (c *counter) due(holder string, stopping bool, now time.Time) (rs []*peerpb.UsageRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.at(now.Add(-countedAfter)) - 1
	// A window without requests is sent too, so that the holder need not wait
	// for it.
	c.own(last)
	for k, byNode := range c.windows {
		if now.Sub(c.end(k)) > kept {
			c.adopted = max(0, c.adopted-len(byNode)+1)
			delete(c.windows, k)
			continue
		}
		if k > last && !stopping {
			continue
		}
		for node, w := range byNode {
			if w.sentTo != holder {
				rs = append(rs, &peerpb.UsageRequest{Node: node, Window: k, Counts: maps.Clone(w.requests), Loads: maps.Clone(w.loads), Adopt: stopping})
			}
		}
	}
	return rs
}

// sent records that a holder has counts.
func (c *counter) sent(r *peerpb.UsageRequest, holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.windows[r.GetWindow()][r.GetNode()]; ok {
		w.sentTo = holder
	}
}
