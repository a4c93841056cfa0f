package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// retainedWindows is the number of windows for which sums are kept. The sums
	// of older windows are removed from the store, and counts for them are
	// ignored.
	retainedWindows = 12
	// collectTimeout is how long after the end of a window the holder waits for
	// the counts of unreachable instances. It leaves a successor enough time to
	// sum up the window before maxCollectAge.
	collectTimeout = 6 * time.Second
	// takeoverDelay is how long a new holder waits before it sums up windows.
	// Within one tickInterval of learning of a new holder, the instances send it
	// the counts that its predecessor had.
	takeoverDelay = 800 * time.Millisecond
	// maxReportAge is how long after its end a window can be reported.
	maxReportAge = 20 * time.Second
	// maxCollectAge is how long after its end a window can be summed up. It
	// limits how far back a new holder looks, because it may lack counts of
	// older windows. These are reported only if their sums are already in the
	// store.
	maxCollectAge = 12 * time.Second
	// maxNodeLength is the maximum length of a node name in bytes.
	maxNodeLength = 256
)

// collector collects the counts of all instances while this instance holds the
// duty, and reports the sums.
type collector struct {
	config  Config
	counter *counter

	mu        sync.Mutex
	fence     int64
	heldSince time.Time                                 // when this collector first saw the current fencing token
	received  map[int64]map[string]*peerpb.UsageRequest // by window and node
	stored    map[int64]map[string]int64                // sums as written to the store, by window
	reported  map[int64]bool
	// first is the first window that may be summed up under the current fencing token.
	first int64

	// loadedFence is the fencing token under which the stored sums and first were loaded, and
	// era what is known of the start of the store's era. Only run uses them.
	loadedFence int64
	era         eraStart
}

// valid reports whether the counts are of the current window or one of the last
// retainedWindows, and their node name is not too long.
func (c *collector) valid(r *peerpb.UsageRequest, now time.Time) bool {
	current := c.counter.windowAt(now)
	return r.GetWindow() <= current && r.GetWindow() >= current-retainedWindows && len(r.GetNode()) <= maxNodeLength
}

// receive keeps the counts sent by an instance if this instance holds the duty,
// and reports whether it does. Counts that are not valid are ignored.
func (c *collector) receive(r *peerpb.UsageRequest, now time.Time) bool {
	if _, ok := c.config.Duty.Fence(); !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetIfFenceChanged()
	if !c.valid(r, now) {
		return true // the counts cannot be reported, so the sender need not retry
	}
	byNode, ok := c.received[r.GetWindow()]
	if !ok {
		byNode = make(map[string]*peerpb.UsageRequest)
		c.received[r.GetWindow()] = byNode
	}
	byNode[r.GetNode()] = r
	return true
}

// unreported returns the received counts of windows that were not reported yet.
func (c *collector) unreported() (rs []*peerpb.UsageRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window, byNode := range c.received {
		if c.reported[window] {
			continue
		}
		for _, r := range byNode {
			rs = append(rs, r)
		}
	}
	return rs
}

// resetIfFenceChanged discards what was collected under another fencing token.
func (c *collector) resetIfFenceChanged() {
	fence, ok := c.config.Duty.Fence()
	if !ok || fence == c.fence {
		return
	}
	c.fence, c.heldSince = fence, time.Now()
	c.received = make(map[int64]map[string]*peerpb.UsageRequest)
	c.stored = make(map[int64]map[string]int64)
	c.reported = make(map[int64]bool)
}

// run reports windows while this instance holds the duty, until ctx ends.
func (c *collector) run(ctx context.Context) {
	wait.Every(ctx, tickInterval, func() {
		c.observeEra(time.Now())
		c.publishFirst(ctx)
		fence, ok := c.config.Duty.Fence()
		if !ok {
			return
		}
		c.mu.Lock()
		c.resetIfFenceChanged()
		c.mu.Unlock()
		if c.loadedFence != fence {
			if err := c.load(ctx, store.Era(fence)); err != nil {
				c.config.Log.Info("loading stored usage sums failed; it will be retried", zap.Error(err))
				return
			}
			c.loadedFence = fence
		}
		for _, window := range c.dueWindows(time.Now()) {
			c.report(ctx, window)
		}
	})
}

// load loads what a new holder needs from the store, which must be in the given era.
func (c *collector) load(ctx context.Context, era int64) error {
	first, err := c.agreeOnFirst(ctx, era)
	if err != nil {
		return err
	}
	if err := c.loadStored(ctx, era); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = first
	return nil
}

// loadStored loads the sums that previous holders wrote to the store. Sums that are missing
// in a later era may have been lost.
func (c *collector) loadStored(ctx context.Context, era int64) error {
	items, next, err := c.config.Store.List(ctx, c.config.Prefix)
	if err != nil {
		return err
	}
	if store.Era(next) != era {
		return fmt.Errorf("%w: the store began era %d", store.ErrUnavailable, store.Era(next))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		window, err := strconv.ParseInt(strings.TrimPrefix(item.Key, c.config.Prefix), 10, 64)
		var counts map[string]int64
		if err != nil || json.Unmarshal(item.Value, &counts) != nil {
			c.config.Log.Warn("decoding stored usage sums failed", zap.String("key", item.Key))
			continue
		}
		c.stored[window] = counts
	}
	return nil
}

// dueWindows returns the windows to report now, earliest first.
func (c *collector) dueWindows(now time.Time) (windows []int64) {
	registered := c.config.Registered()
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := c.counter.windowAt(now.Add(-maxReportAge)); now.After(c.counter.windowEnd(window)); window++ {
		if c.reported[window] {
			continue
		}
		if _, ok := c.stored[window]; ok {
			windows = append(windows, window)
			continue
		}
		late := now.Sub(c.counter.windowEnd(window))
		if window < c.first || late > maxCollectAge || now.Sub(c.heldSince) < takeoverDelay {
			continue
		}
		if late > collectTimeout || c.complete(window, registered) {
			windows = append(windows, window)
		}
	}
	return windows
}

// complete reports whether all registered instances have sent their counts of
// a window.
func (c *collector) complete(window int64, registered []string) bool {
	sent := make(map[string]bool, len(c.received[window]))
	for node := range c.received[window] {
		id, _, _ := strings.Cut(node, "/")
		sent[id] = true
	}
	for _, id := range registered {
		if !sent[id] {
			return false
		}
	}
	return len(sent) > 0
}

// report writes the sums of a window to the store, unless they are already there,
// and reports the sums that are in the store.
func (c *collector) report(ctx context.Context, window int64) {
	c.mu.Lock()
	counts, ok := c.stored[window]
	nodes := len(c.received[window])
	if !ok {
		counts = c.sum(window)
	}
	c.mu.Unlock()
	if !ok {
		var err error
		if counts, err = c.storeSums(ctx, window, counts); err != nil {
			c.config.Log.Info("storing usage sums failed; it will be retried", zap.Int64("window", window), zap.Error(err))
			return
		}
		c.mu.Lock()
		c.stored[window] = counts
		c.mu.Unlock()
	}
	fence, held := c.config.Duty.Fence()
	if !held {
		return
	}
	if err := c.config.Report(ctx, fence, window, counts); err != nil {
		c.config.Log.Info("reporting usage sums failed; it will be retried", zap.Int64("window", window), zap.Error(err))
		return
	}
	// The field instances is the number of nodes: an instance that restarted in
	// the window counts more than once.
	c.config.Log.Info("usage reported", zap.Int64("window", window), zap.Int64("fence", fence), zap.Int("instances", nodes), zap.Any("counts", counts))
	c.mu.Lock()
	c.reported[window] = true
	delete(c.received, window-retainedWindows)
	delete(c.stored, window-retainedWindows)
	delete(c.reported, window-retainedWindows)
	c.mu.Unlock()
}

// sum returns the sum of the counts received for a window, by workspace.
func (c *collector) sum(window int64) map[string]int64 {
	counts := make(map[string]int64)
	for _, r := range c.received[window] {
		for workspace, n := range r.GetCounts() {
			counts[workspace] += n
		}
	}
	return counts
}

// storeSums writes the sums of a window to the store unless it already has sums
// for the window, and returns the sums that are in the store.
func (c *collector) storeSums(ctx context.Context, window int64, counts map[string]int64) (map[string]int64, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, err
	}
	key := c.config.Prefix + strconv.FormatInt(window, 10)
	_, err = c.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}},
		Removes: []string{c.config.Prefix + strconv.FormatInt(window-retainedWindows, 10)},
	})
	if err == nil {
		return counts, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		// The write may have taken effect or may do so later, so nothing is
		// reported until the sums in the store are known.
		return nil, err
	}
	item, err := c.config.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	existing := make(map[string]int64)
	if err := json.Unmarshal(item.Value, &existing); err != nil {
		return nil, fmt.Errorf("decode stored usage sums of window %d: %w", window, err)
	}
	return existing, nil
}

// serviceLoad returns the load of a service in a window, summed over the nodes
// whose counts were received, and the number of these nodes.
func (c *collector) serviceLoad(window int64, service string) (sum *peerpb.ServiceLoad, nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum = new(peerpb.ServiceLoad)
	for _, r := range c.received[window] {
		l := r.GetLoads()[service]
		sum.Prompts += l.GetPrompts()
		sum.Late += l.GetLate()
	}
	return sum, len(c.received[window])
}
