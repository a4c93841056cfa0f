package front

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
)

const (
	// usagePrefix is where the counts of a window are kept before they are
	// reported, so that a successor reports the same.
	usagePrefix = "wasabiworks/usage/"
	// usageStays is the number of windows after which a kept one is removed.
	usageStays = 12
	// waitForAll is how long after a window's end the holder waits for counts of
	// instances that are cut off. It leaves time for a successor to report in
	// time.
	waitForAll = 6 * time.Second
	// waitAtStart is how long a new holder waits for what its predecessor had.
	waitAtStart = 1500 * time.Millisecond
	// reportUntil is how long after its end a window is still reported.
	reportUntil = 20 * time.Second
	// collectUntil is how far back a new holder looks.
	collectUntil = 12 * time.Second
)

// collector collects the counts of all instances while this one holds the
// duty, and reports them.
type collector struct {
	front *Front

	mu       sync.Mutex
	fence    int64
	since    time.Time
	got      map[int64]map[string]*peerpb.UsageRequest // by window and node
	kept     map[int64]map[string]int64                // as written to the store
	reported map[int64]bool
}

// take takes one instance's counts and reports whether this one is the holder.
func (c *collector) take(r *peerpb.UsageRequest) bool {
	if _, ok := c.front.duty.Fence(); !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	now := c.front.counter.at(time.Now())
	if r.GetWindow() > now || r.GetWindow() < now-usageStays || len(r.GetNode()) > 256 {
		return true // nothing to wait for
	}
	byNode, ok := c.got[r.GetWindow()]
	if !ok {
		byNode = make(map[string]*peerpb.UsageRequest)
		c.got[r.GetWindow()] = byNode
	}
	byNode[r.GetNode()] = r
	return true
}

// serveUsage answers a peer's counts.
func (c *collector) serveUsage(_ context.Context, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	holder, fence := c.front.duty.Current()
	return &peerpb.UsageReply{Held: c.take(r), Holder: holder, Fence: fence}, nil
}

// reset forgets what was collected under another fence.
func (c *collector) reset() {
	fence, ok := c.front.duty.Fence()
	if !ok || fence == c.fence {
		return
	}
	c.fence, c.since = fence, time.Now()
	c.got = make(map[int64]map[string]*peerpb.UsageRequest)
	c.kept = make(map[int64]map[string]int64)
	c.reported = make(map[int64]bool)
}

// run reports windows while this instance holds the duty, until ctx ends.
func (c *collector) run(ctx context.Context) {
	read := int64(0) // the fence under which the kept windows were read
	every(ctx, usageTick, func() {
		fence, ok := c.front.duty.Fence()
		if !ok {
			return
		}
		c.mu.Lock()
		c.reset()
		c.mu.Unlock()
		if read != fence {
			if err := c.readKept(ctx); err != nil {
				c.front.config.Log.Info("kept usage could not be read", zap.Error(err))
				return
			}
			read = fence
		}
		for _, k := range c.due(time.Now()) {
			c.report(ctx, k)
		}
	})
}

// readKept reads what a predecessor has written.
func (c *collector) readKept(ctx context.Context) error {
	items, _, err := c.front.config.Store.List(ctx, usagePrefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		k, err := strconv.ParseInt(strings.TrimPrefix(item.Key, usagePrefix), 10, 64)
		var counts map[string]int64
		if err != nil || json.Unmarshal(item.Value, &counts) != nil {
			c.front.config.Log.Warn("kept usage is not readable", zap.String("key", item.Key))
			continue
		}
		c.kept[k] = counts
	}
	return nil
}

// due returns the windows to report now, the earliest first.
func (c *collector) due(now time.Time) (ks []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.front.counter
	for k := counter.at(now.Add(-reportUntil)); now.After(counter.end(k)); k++ {
		if c.reported[k] {
			continue
		}
		if _, ok := c.kept[k]; ok {
			ks = append(ks, k)
			continue
		}
		late := now.Sub(counter.end(k))
		if late > collectUntil || now.Sub(c.since) < waitAtStart {
			continue
		}
		if late > waitForAll || len(c.got[k]) >= c.front.registeredNow() {
			ks = append(ks, k)
		}
	}
	return ks
}

// report writes the counts of a window to the store, unless they stand there,
// and reports exactly what is written.
func (c *collector) report(ctx context.Context, k int64) {
	c.mu.Lock()
	counts, ok := c.kept[k]
	nodes := len(c.got[k])
	if !ok {
		counts = c.sum(k)
	}
	c.mu.Unlock()
	if !ok {
		var err error
		if counts, err = c.keep(ctx, k, counts); err != nil {
			c.front.config.Log.Info("usage could not be kept", zap.Int64("window", k), zap.Error(err))
			return
		}
		c.mu.Lock()
		c.kept[k] = counts
		c.mu.Unlock()
	}
	fence, held := c.front.duty.Fence()
	if !held {
		return
	}
	if err := c.front.config.Cloud.ReportUsage(ctx, fence, k, counts); err != nil {
		c.front.config.Log.Info("usage was not reported; it is tried again", zap.Int64("window", k), zap.Error(err))
		return
	}
	c.front.config.Log.Info("usage reported", zap.Int64("window", k), zap.Int64("fence", fence), zap.Int("instances", nodes), zap.Any("counts", counts))
	c.mu.Lock()
	c.reported[k] = true
	delete(c.got, k-usageStays)
	delete(c.kept, k-usageStays)
	delete(c.reported, k-usageStays)
	c.mu.Unlock()
}

// sum adds up the counts of a window.
func (c *collector) sum(k int64) map[string]int64 {
	counts := make(map[string]int64)
	for _, r := range c.got[k] {
		for workspace, n := range r.GetCounts() {
			counts[workspace] += n
		}
	}
	return counts
}

// keep writes the counts of a window and returns those that stand there.
func (c *collector) keep(ctx context.Context, k int64, counts map[string]int64) (map[string]int64, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, err
	}
	key := usagePrefix + strconv.FormatInt(k, 10)
	_, err = c.front.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}},
		Removes: []string{usagePrefix + strconv.FormatInt(k-usageStays, 10)},
	})
	if err == nil {
		return counts, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		// It may still be written, so nothing is reported before it is known
		// what stands there.
		return nil, err
	}
	item, err := c.front.config.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	kept := make(map[string]int64)
	if err := json.Unmarshal(item.Value, &kept); err != nil {
		return nil, fmt.Errorf("kept usage of window %d: %w", k, err)
	}
	return kept, nil
}

// loads returns the sums over all instances of a window's loads.
func (c *collector) loads(k int64) (loads map[string]*peerpb.ServiceLoad, nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads = make(map[string]*peerpb.ServiceLoad)
	for _, r := range c.got[k] {
		for service, l := range r.GetLoads() {
			sum, ok := loads[service]
			if !ok {
				sum = new(peerpb.ServiceLoad)
				loads[service] = sum
			}
			sum.Prompts += l.GetPrompts()
			sum.Late += l.GetLate()
		}
	}
	return loads, len(c.got[k])
}
