package openai

import (
	"context"
	"time"
)

// minCopyTime is the minimum time available for copying a KV cache. With less
// time, the copy is not tried.
const minCopyTime = 200 * time.Millisecond

// checkReclaim decides at each token whether an attempt on a leaving server
// continues or migrates to another server, in which case it returns errMigrated.
// An attempt stays until about MigrationMargin before the deadline, because until
// then it may still finish in time.
func (d *driver) checkReclaim(now time.Time) error {
	if d.migrateAt.IsZero() {
		deadline := d.server.config.Fleet.Deadline(d.backend.ID)
		if deadline.IsZero() {
			return nil // a planned shutdown waits for attempts to finish
		}
		// A jitter of up to a quarter of the time left before MigrationMargin
		// prevents all attempts on a server from migrating at the same time.
		spare := deadline.Sub(now) - d.server.config.MigrationMargin
		if spare > 0 {
			spare -= time.Duration(d.server.config.Random() % uint64(spare/4+1))
		}
		d.migrateAt = now.Add(spare)
	}
	if now.Before(d.migrateAt) {
		return nil
	}
	d.copyCache(d.server.config.Fleet.Deadline(d.backend.ID).Sub(now) / 2)
	return errMigrated
}

// copyCache copies the KV cache to the server that the next attempt will use. The
// copy is limited to timeout, and to 1 s. If the copy fails, the next attempt
// recomputes the tokens.
func (d *driver) copyCache(timeout time.Duration) {
	if timeout < minCopyTime {
		return
	}
	exclude := append(d.exclude[:len(d.exclude):len(d.exclude)], d.backend.ID)
	view := d.server.config.Fleet.View(d.generation.entry)
	i, ok := d.pickIndex(view, exclude)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, time.Second))
	defer cancel()
	if d.server.config.Engine.CopyCache(ctx, d.backend.Address, view[i].Address, d.attemptID) == nil {
		d.cacheAttemptID, d.cacheServerID = d.attemptID, view[i].ID
	}
}
