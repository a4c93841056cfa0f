package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// restoreDelay is the time after which the instances of the next rank write the lost
	// sums of usage again, if they are still missing. All of them do so before a new holder of
	// the duty acts, which might report other sums for the same window.
	restoreDelay = 700 * time.Millisecond
	// maxRestoreRank is the highest rank of the instances that write lost sums again, as of
	// dutyRank.
	maxRestoreRank = 1
	// restoreAttempts is the number of attempts to write a lost item again.
	restoreAttempts = 3
)

// restoreUsage writes the sums of usage windows again that the store has lost.
func (f *Instance) restoreUsage(c follow.Change) {
	var lost []store.Item
	for _, item := range c.Lost {
		if strings.HasPrefix(item.Key, usagePrefix) {
			lost = append(lost, item)
		}
	}
	if len(lost) == 0 {
		return
	}
	rank := f.dutyRank()
	if rank > maxRestoreRank {
		return
	}
	f.restores.Go(func() {
		wait.For(f.ending, time.Duration(rank)*restoreDelay)
		written := 0
		for _, item := range lost {
			if f.ending.Err() == nil && !f.follower.Knows(item.Key) && f.restoreItem(item) {
				written++
			}
		}
		f.config.Log.Info("sums of usage windows written again", zap.Int("lost", len(lost)), zap.Int("written", written))
	})
}

// restoreItem writes an item that the store has lost, unless there is one again, and reports
// whether it did.
func (f *Instance) restoreItem(item store.Item) bool {
	for range restoreAttempts {
		_, err := f.config.Store.Commit(f.ending, store.Commit{
			Conditions: []store.Condition{{Key: item.Key}}, Puts: []store.Put{{Key: item.Key, Value: item.Value}},
		})
		if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, context.Canceled) {
			return err == nil
		}
		wait.For(f.ending, restoreDelay)
	}
	return false
}
