package fleet

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
)

// Engines polls model engines.
type Engines struct{ Client *engine.Client }

// Load implements Poller.
func (e Engines) Load(ctx context.Context, address string) (Report, error) {
	l, err := e.Client.Load(ctx, address)
	if err != nil {
		return Report{}, err
	}
	if l.Incarnation == "" {
		l.Incarnation = strconv.Itoa(l.Crashes)
	}
	return Report{Incarnation: l.Incarnation, Running: l.Running, Queued: l.Queued, Capacity: l.Capacity, Versions: l.Versions,
		At: l.At, Leaving: l.State == "leaving"}, nil
}

// Run polls this node's share of the servers until ctx ends, and returns when
// its goroutines have ended.
func (f *Fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.c.Interval)
	defer ticker.Stop()
	for {
		f.Poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Poll polls this node's share once and lets servers back in whose time of
// avoidance has passed.
func (f *Fleet) Poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(f.c.Parallel)
	for id, s := range *f.servers.Load() {
		if f.c.Poller == nil || !s.in().Polled || !f.c.Share(id) {
			continue
		}
		g.Go(func() error {
			f.poll(ctx, id, s)
			return nil
		})
	}
	g.Wait()
	for _, e := range *f.entries.Load() {
		e.expired.Store(true)
		e.stale.Store(true)
	}
}

func (f *Fleet) poll(ctx context.Context, id string, s *server) {
	pollCtx, cancel := context.WithTimeout(ctx, f.c.PollTimeout)
	defer cancel()
	r, err := f.c.Poller.Load(pollCtx, s.in().Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.miss(f.c.Now(), f.c.Backoff)
		return
	}
	r.Backend = id
	f.Report(r)
	if f.c.OnReport != nil {
		f.c.OnReport(r)
	}
}
