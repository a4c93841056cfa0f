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
	// stays is the number of windows after which the kept sums of one are
	// removed.
	stays = 12
	// waitForAll is how long after a window's end the holder waits for counts of
	// instances that are cut off. It leaves time for a successor to report in
	// time.
	waitForAll = 6 * time.Second
	// waitAtStart is how long a new holder waits for the counts that its
	// predecessor had: the instances send them within a tick of learning of it.
	waitAtStart = 800 * time.Millisecond
	// reportUntil is how long after its end a window is still reported.
	reportUntil = 20 * time.Second
	// collectUntil is how far back a new holder looks.
	collectUntil = 12 * time.Second
	// maxNode bounds the length of a peer's name in bytes.
	maxNode = 256
)

// collector collects the counts of all instances while this one holds the
// duty, and reports the sums.
type collector struct {
	config  Config
	counter *counter

	mu       sync.Mutex
	fence    int64
	since    time.Time
	got      map[int64]map[string]*peerpb.UsageRequest // by window and node
	kept     map[int64]map[string]int64                // as written to the store
	reported map[int64]bool
}

// valid reports whether counts may still be reported.
func (c *collector) valid(r *peerpb.UsageRequest, now time.Time) bool {
	current := c.counter.at(now)
	return r.GetWindow() <= current && r.GetWindow() >= current-stays && len(r.GetNode()) <= maxNode
}

// take takes one instance's counts and reports whether this one is the holder.
func (c *collector) take(r *peerpb.UsageRequest, now time.Time) bool {
	if _, ok := c.config.Duty.Fence(); !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	if !c.valid(r, now) {
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

// unreported returns the counts of the windows that were not reported.
func (c *collector) unreported() (rs []*peerpb.UsageRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, byNode := range c.got {
		if c.reported[k] {
			continue
		}
		for _, r := range byNode {
			rs = append(rs, r)
		}
	}
	return rs
}

// reset forgets what was collected under another fence.
func (c *collector) reset() {
	fence, ok := c.config.Duty.Fence()
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
	read := int64(0) // the fence under which the kept sums were read
	wait.Every(ctx, tick, func() {
		fence, ok := c.config.Duty.Fence()
		if !ok {
			return
		}
		c.mu.Lock()
		c.reset()
		c.mu.Unlock()
		if read != fence {
			if err := c.readKept(ctx); err != nil {
				c.config.Log.Info("kept usage could not be read", zap.Error(err))
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
	items, _, err := c.config.Store.List(ctx, c.config.Prefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		k, err := strconv.ParseInt(strings.TrimPrefix(item.Key, c.config.Prefix), 10, 64)
		var counts map[string]int64
		if err != nil || json.Unmarshal(item.Value, &counts) != nil {
			c.config.Log.Warn("kept usage is not readable", zap.String("key", item.Key))
			continue
		}
		c.kept[k] = counts
	}
	return nil
}

// due returns the windows to report now, the earliest first.
func (c *collector) due(now time.Time) (ks []int64) {
	registered := c.config.Registered()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := c.counter.at(now.Add(-reportUntil)); now.After(c.counter.end(k)); k++ {
		if c.reported[k] {
			continue
		}
		if _, ok := c.kept[k]; ok {
			ks = append(ks, k)
			continue
		}
		late := now.Sub(c.counter.end(k))
		if late > collectUntil || now.Sub(c.since) < waitAtStart {
			continue
		}
		if late > waitForAll || c.complete(k, registered) {
			ks = append(ks, k)
		}
	}
	return ks
}

// complete reports whether all registered instances have sent their counts of
// a window.
func (c *collector) complete(k int64, registered []string) bool {
	have := make(map[string]bool, len(c.got[k]))
	for node := range c.got[k] {
		id, _, _ := strings.Cut(node, "/")
		have[id] = true
	}
	for _, id := range registered {
		if !have[id] {
			return false
		}
	}
	return len(have) > 0
}

// report writes the sums of a window to the store, unless they stand there,
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
			c.config.Log.Info("usage could not be kept", zap.Int64("window", k), zap.Error(err))
			return
		}
		c.mu.Lock()
		c.kept[k] = counts
		c.mu.Unlock()
	}
	fence, held := c.config.Duty.Fence()
	if !held {
		return
	}
	if err := c.config.Report(ctx, fence, k, counts); err != nil {
		c.config.Log.Info("usage was not reported; it is tried again", zap.Int64("window", k), zap.Error(err))
		return
	}
	c.config.Log.Info("usage reported", zap.Int64("window", k), zap.Int64("fence", fence), zap.Int("instances", nodes), zap.Any("counts", counts))
	c.mu.Lock()
	c.reported[k] = true
	delete(c.got, k-stays)
	delete(c.kept, k-stays)
	delete(c.reported, k-stays)
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

// keep writes the sums of a window and returns those that stand there.
func (c *collector) keep(ctx context.Context, k int64, counts map[string]int64) (map[string]int64, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, err
	}
	key := c.config.Prefix + strconv.FormatInt(k, 10)
	_, err = c.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}},
		Removes: []string{c.config.Prefix + strconv.FormatInt(k-stays, 10)},
	})
	if err == nil {
		return counts, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		// It may still be written, so nothing is reported before it is known
		// what stands there.
		return nil, err
	}
	item, err := c.config.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	there := make(map[string]int64)
	if err := json.Unmarshal(item.Value, &there); err != nil {
		return nil, fmt.Errorf("kept usage of window %d: %w", k, err)
	}
	return there, nil
}

// load returns the sum over all instances of what was asked of a service in a
// window.
func (c *collector) load(k int64, service string) (sum *peerpb.ServiceLoad, nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum = new(peerpb.ServiceLoad)
	for _, r := range c.got[k] {
		l := r.GetLoads()[service]
		sum.Prompts += l.GetPrompts()
		sum.Late += l.GetLate()
	}
	return sum, len(c.got[k])
}
