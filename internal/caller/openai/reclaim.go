package openai

import (
	"context"
	"time"
)

// minCacheMove is the minimum time available for copying a KV cache. With less
// time, the copy is not tried.
const minCacheMove = 200 * time.Millisecond

// checkReclaim decides at each token whether an attempt on a leaving server
// continues or moves to another server, in which case it returns errMoved. An
// attempt moves only about MoveMargin before the deadline, because earlier it is
// not certain that the attempt cannot finish in time.
func (r *driver) checkReclaim(now time.Time) error {
	if r.moveAt.IsZero() {
		deadline := r.server.config.Fleet.Deadline(r.backend.ID)
		if deadline.IsZero() {
			return nil // a planned shutdown waits for attempts to finish
		}
		// A jitter of up to a quarter of the time left before MoveMargin
		// prevents all attempts on a server from moving at the same time.
		spare := deadline.Sub(now) - r.server.config.MoveMargin
		if spare > 0 {
			spare -= time.Duration(r.server.config.Random() % uint64(spare/4+1))
		}
		r.moveAt = now.Add(spare)
	}
	if now.Before(r.moveAt) {
		return nil
	}
	r.moveCache(r.server.config.Fleet.Deadline(r.backend.ID).Sub(now) / 2)
	return errMoved
}

// moveCache copies the KV cache to the server that the next attempt will use. If
// the copy fails, the next attempt recomputes the tokens.
func (r *driver) moveCache(within time.Duration) {
	if within < minCacheMove {
		return
	}
	exclude := append(r.exclude[:len(r.exclude):len(r.exclude)], r.backend.ID)
	view := r.server.config.Fleet.View(r.generation.entry)
	i, ok := r.pickIndex(view, exclude)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(within, time.Second))
	defer cancel()
	if r.server.config.Engine.MoveCache(ctx, r.backend.Address, view[i].Address, r.attemptID) == nil {
		r.importAttempt, r.importServer = r.attemptID, view[i].ID
	}
}
