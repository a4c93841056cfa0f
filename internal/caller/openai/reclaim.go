package openai

import (
	"context"
	"time"
)

// leastTransfer is the shortest time in which moving a KV cache is tried.
const leastTransfer = 200 * time.Millisecond

// reclaimed decides, at each token, what becomes of an attempt on a server
// that is leaving. It goes on while its remaining time may fit: only at the
// margin before the deadline is it certain that it does not.
func (r *run) reclaimed(now time.Time) error {
	if r.moveAt.IsZero() {
		deadline := r.s.c.Fleet.Deadline(r.backend.ID)
		if deadline.IsZero() {
			return nil // a planned shutdown waits for the attempt
		}
		// A jitter of up to a quarter keeps the attempts of a server from
		// all moving at the same moment.
		spare := deadline.Sub(now) - r.s.c.MoveMargin
		if spare > 0 {
			spare -= time.Duration(r.s.c.Random() % uint64(spare/4+1))
		}
		r.moveAt = now.Add(spare)
	}
	if now.Before(r.moveAt) {
		return nil
	}
	r.moveCache(r.s.c.Fleet.Deadline(r.backend.ID).Sub(now) / 2)
	return errMoved
}

// moveCache copies the KV cache to the server that the next attempt will use.
// If that fails, the next attempt recomputes.
func (r *run) moveCache(within time.Duration) {
	if within < leastTransfer {
		return
	}
	exclude := append(r.exclude[:len(r.exclude):len(r.exclude)], r.backend.ID)
	view := r.s.c.Fleet.View(r.g.entry)
	i, ok := r.index(view, exclude)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(within, time.Second))
	defer cancel()
	if r.s.c.Engine.MoveCache(ctx, r.backend.Address, view[i].Address, r.id) == nil {
		r.imported, r.target = r.id, view[i].ID
	}
}
