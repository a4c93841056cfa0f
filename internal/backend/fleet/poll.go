package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

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
		if f.c.Poller == nil || !s.instance.Polled || !f.c.Share(id) {
			continue
		}
		g.Go(func() error {
			f.poll(ctx, id, s)
			return nil
		})
	}
	g.Wait()
	f.mu.Lock()
	f.rebuild()
	f.mu.Unlock()
}

func (f *Fleet) poll(ctx context.Context, id string, s *server) {
	pollCtx, cancel := context.WithTimeout(ctx, f.c.PollTimeout)
	defer cancel()
	r, err := f.c.Poller.Load(pollCtx, s.instance.Address)
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
