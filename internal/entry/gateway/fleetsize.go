package gateway

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// fleetSizeKey is the store key that holds the number of instances, for those that start
	// while the entries of the others have lapsed. It is under no lease.
	fleetSizeKey = "wasabiworks/fleet-size"
	// fleetSizePeriod is the time between two checks of whether the stored number is right.
	fleetSizePeriod = time.Second
	// maxFleetSize bounds the number, which another writer may have written.
	maxFleetSize = 4096
)

// applyFleetSize applies the stored number of instances. An invalid one counts as missing.
func (f *Instance) applyFleetSize(item store.Item) {
	n, err := strconv.Atoi(string(item.Value))
	if item.Removed || err != nil || n < 1 || n > maxFleetSize {
		n = 0
	}
	f.fleetSize.Store(int64(n))
}

// storeFleetSize stores the number of instances while this instance holds the duty and the
// stored number is another one, until ctx ends. The number falls only when instances have
// been missing for allowanceCountHold.
func (f *Instance) storeFleetSize(ctx context.Context) {
	wait.Every(ctx, fleetSizePeriod, func() {
		n := f.allowanceCount.get(f.now())
		if _, ok := f.duty.Fence(); !ok || n == 0 || int64(n) == f.fleetSize.Load() {
			return
		}
		put := store.Put{Key: fleetSizeKey, Value: []byte(strconv.Itoa(n))}
		if _, err := f.config.Store.Commit(ctx, store.Commit{Puts: []store.Put{put}}); err != nil {
			f.config.Log.Debug("storing the number of instances failed", zap.Int("instances", n), zap.Error(err))
		}
	})
}

// isFresh reports whether no process of this instance ran shortly before this one: its entry
// would still be in the store.
func (f *Instance) isFresh() bool {
	return !f.follower.Confirmed().IsZero() && !f.restarted.Load()
}
