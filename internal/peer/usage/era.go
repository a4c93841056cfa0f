package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// A store that comes back from a copy may have lost the sums of windows that were reported.
// That it has no sums of a window therefore proves that the window was not reported only from
// the first window on that ended in the present era, or from an earlier one that the last
// holder of the era before has stored.

// eraRecord is the value of Config.EraKey.
type eraRecord struct {
	Era         int64 `json:"era"`
	FirstWindow int64 `json:"first-window"`
}

// eraStart is what an instance knows of the start of the store's era.
type eraStart struct {
	era int64
	// first is the first window of which the instance knows that no sums were lost.
	first int64
	// unpublished is set while the instance still has to store first, because it was the last
	// holder of the era before and knows of more windows than others do.
	unpublished bool
}

// observeEra notes the start of a new era of the store. A window that had not ended then
// cannot have been reported before. Nor can one that the last holder has not summed up.
func (c *collector) observeEra(now time.Time) {
	era, heldFence := c.config.Duty.Era()
	if era == c.era.era {
		return
	}
	c.era = eraStart{era: era, first: c.counter.windowAt(now)}
	if heldFence == 0 || heldFence != c.loadedFence {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if heldFence == c.fence {
		c.era.first, c.era.unpublished = min(c.era.first, c.firstUnsummed()), true
	}
}

// firstUnsummed returns the first window after those that this instance, or a holder before
// it, has summed up. The caller holds c.mu.
func (c *collector) firstUnsummed() int64 {
	first := c.first
	for window := range c.stored {
		first = max(first, window+1)
	}
	return first
}

// publishFirst stores the first window of the era if this instance was the last holder of the era
// before. It does so before a new holder may act.
func (c *collector) publishFirst(ctx context.Context) {
	if !c.era.unpublished {
		return
	}
	first, err := c.agreeOnFirst(ctx, c.era.era)
	if err != nil {
		c.config.Log.Info("storing the first usage window of the era failed; it will be retried", zap.Int64("era", c.era.era), zap.Error(err))
		return
	}
	c.era.unpublished = false
	c.config.Log.Info("first usage window of the store's era is known", zap.Int64("era", c.era.era), zap.Int64("window", first))
}

// agreeOnFirst returns the first window that may be summed up in an era of the store, on which
// all holders agree: the one in the store, which is what this instance knows if there was
// none. It fails if the store is in another era.
func (c *collector) agreeOnFirst(ctx context.Context, era int64) (int64, error) {
	if era == 0 {
		return 0, nil // a store that does not say its era loses nothing
	}
	if era != c.era.era {
		return 0, fmt.Errorf("%w: era %d is over", store.ErrUnavailable, era)
	}
	item, err := c.config.Store.Get(ctx, c.config.EraKey)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return 0, err
	}
	var stored eraRecord
	if err == nil && json.Unmarshal(item.Value, &stored) == nil && stored.Era == era {
		return stored.FirstWindow, nil
	}
	value, err := json.Marshal(eraRecord{era, c.era.first})
	if err != nil {
		return 0, err
	}
	revision, err := c.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: c.config.EraKey, Revision: item.Revision}}, Puts: []store.Put{{Key: c.config.EraKey, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	if store.Era(revision) != era {
		return 0, fmt.Errorf("%w: the store began era %d", store.ErrUnavailable, store.Era(revision))
	}
	return c.era.first, nil
}
