package fleet

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
)

// EnginePoller is a Poller for model engines.
type EnginePoller struct{ Client *engine.Client }

// Load implements Poller.
func (e EnginePoller) Load(ctx context.Context, address string) (Report, error) {
	l, err := e.Client.LoadReport(ctx, address)
	if err != nil {
		return Report{}, err
	}
	if l.Incarnation == "" {
		l.Incarnation = strconv.Itoa(l.Crashes)
	}
	return Report{Incarnation: l.Incarnation, Running: l.Running, Queued: l.Queued, Capacity: l.Capacity, Versions: l.Versions,
		At: l.At, Leaving: l.State == "leaving"}, nil
}

// Run polls this instance's share of the servers every Config.Interval until ctx
// is done. It returns when its goroutines have ended.
func (f *Fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.config.Interval)
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

// Poll polls this instance's share of the servers once, and makes the next View
// include servers whose backoff has ended.
func (f *Fleet) Poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(f.config.MaxConcurrentPolls)
	for id, s := range *f.servers.Load() {
		if f.config.Poller == nil || !s.loadListing().Polled || !f.config.ShouldPoll(id) {
			continue
		}
		g.Go(func() error {
			f.pollServer(ctx, id, s)
			return nil
		})
	}
	g.Wait()
	for _, e := range *f.entries.Load() {
		e.allStale.Store(true)
		e.stale.Store(true)
	}
}

func (f *Fleet) pollServer(ctx context.Context, id string, s *server) {
	pollCtx, cancel := context.WithTimeout(ctx, f.config.PollTimeout)
	defer cancel()
	r, err := f.config.Poller.Load(pollCtx, s.loadListing().Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.recordMissedPoll(f.config.Now(), f.config.Backoff)
		return
	}
	r.Backend = id
	f.Report(r)
	if f.config.OnReport != nil {
		f.config.OnReport(r)
	}
}
