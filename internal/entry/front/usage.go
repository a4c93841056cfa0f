package front

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// usageTick is how often windows are looked at.
	usageTick = 250 * time.Millisecond
	// countedAfter is how long after its end a window is sent to the holder of
	// the duty. Requests are counted when their first bytes come back.
	countedAfter = 300 * time.Millisecond
	// usageKept is how long counts are kept for a new holder.
	usageKept = 30 * time.Second
	// usageCall bounds a call to the holder.
	usageCall = time.Second
)

// counter counts the requests that servers began to run, by window of the wall
// clock. It implements forward.Usage.
type counter struct {
	window time.Duration

	mu      sync.Mutex
	windows map[int64]*counted
}

// counted is what this instance counted in one window.
type counted struct {
	requests map[string]int64
	loads    map[string]*peerpb.ServiceLoad
	sentTo   string // the holder that has the counts
}

func newCounter(window time.Duration) *counter {
	return &counter{window: window, windows: make(map[int64]*counted)}
}

// at returns the window of a time.
func (c *counter) at(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// end returns the end of a window.
func (c *counter) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.window)) }

func (c *counter) current() *counted {
	k := c.at(time.Now())
	w, ok := c.windows[k]
	if !ok {
		w = &counted{requests: make(map[string]int64), loads: make(map[string]*peerpb.ServiceLoad)}
		c.windows[k] = w
	}
	return w
}

// Began implements forward.Usage.
func (c *counter) Began(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current().requests[workspace]++
}

// First implements forward.Usage.
func (c *counter) First(service string, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.current().load(service)
	l.Prompts++
	if late {
		l.Late++
	}
}

func (w *counted) load(service string) *peerpb.ServiceLoad {
	l, ok := w.loads[service]
	if !ok {
		l = new(peerpb.ServiceLoad)
		w.loads[service] = l
	}
	return l
}

// due returns the requests that a holder lacks, and drops old windows.
func (c *counter) due(holder, node string, now time.Time) (rs []*peerpb.UsageRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.at(now.Add(-countedAfter)) - 1
	if _, ok := c.windows[last]; !ok {
		// A window without requests is sent too, so that the holder need not
		// wait for it.
		c.windows[last] = &counted{}
	}
	for k, w := range c.windows {
		switch {
		case now.Sub(c.end(k)) > usageKept:
			delete(c.windows, k)
		case k <= last && w.sentTo != holder:
			rs = append(rs, &peerpb.UsageRequest{Node: node, Window: k, Counts: maps.Clone(w.requests), Loads: maps.Clone(w.loads)})
		}
	}
	return rs
}

// sent records that a holder has a window.
func (c *counter) sent(window int64, holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.windows[window]; ok {
		w.sentTo = holder
	}
}

// sendUsage sends the counts of past windows to the holder until ctx ends.
func (f *Front) sendUsage(ctx context.Context) {
	every(ctx, usageTick, func() { f.flushUsage(ctx) })
}

// flushUsage sends what the holder lacks. An instance that the store rejects
// learns from its peers who holds the duty.
func (f *Front) flushUsage(ctx context.Context) {
	holder, _ := f.duty.Current()
	id, _, _ := strings.Cut(holder, " ")
	for _, r := range f.counter.due(holder, f.node, time.Now()) {
		held := false
		if id == f.config.Instance {
			held = f.collector.take(r)
		} else if id != "" {
			held = f.tellUsage(ctx, id, r)
		}
		if held {
			f.counter.sent(r.Window, holder)
			continue
		}
		if other := f.anyPeer(id); other != "" && f.tellUsage(ctx, other, r) {
			f.counter.sent(r.Window, holder)
			continue
		}
		return
	}
}

// tellUsage sends counts to a peer and reports whether it holds the duty.
func (f *Front) tellUsage(ctx context.Context, id string, r *peerpb.UsageRequest) (held bool) {
	ctx, cancel := context.WithTimeout(ctx, usageCall)
	defer cancel()
	reply, err := f.exchange.Usage(ctx, id, r)
	if err != nil {
		f.config.Log.Debug("usage was not taken", zap.String("peer", id), zap.Int64("window", r.Window), zap.Error(err))
		return false
	}
	if reply.GetHolder() != "" {
		f.duty.Learn(reply.GetHolder(), reply.GetFence())
	}
	return reply.GetHeld()
}

// anyPeer returns a random live instance but this one and another, or "".
func (f *Front) anyPeer(but string) string {
	ids := f.members.Live("", time.Now())
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == but || id == f.config.Instance })
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}
