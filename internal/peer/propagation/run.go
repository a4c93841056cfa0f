package propagation

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Run keeps the catalogue current until ctx ends. Reads, watches and pulls run
// in separate goroutines, so that a slow one does not delay the others.
func (p *Propagator[T]) Run(ctx context.Context) error {
	ticks := p.config.Ticks
	if ticks == nil {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		ticks = t.C
	}
	var g errgroup.Group
	g.Go(func() error { return p.runPulls(ctx) })
	reads, watches := make(chan struct{}, 1), make(chan struct{}, 1)
	g.Go(func() error { return handleSignals(ctx, reads, p.refresh) })
	g.Go(func() error { return handleSignals(ctx, watches, p.watch) })
	for {
		now := p.config.Now()
		if p.isHolder() && now.UnixNano() >= p.watchRetryAt.Load() {
			signal(watches)
		}
		p.mu.Lock()
		due := p.state.ReadDue(now, p.isHolder(), p.config.Random())
		p.mu.Unlock()
		if due {
			signal(reads)
		}
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticks:
		}
	}
}

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handleSignals calls f for each signal received until ctx ends.
func handleSignals(ctx context.Context, signals <-chan struct{}, f func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			f(ctx)
		}
	}
}

// refresh reads the store directly. Before the instance is ready, it also pulls
// from some peers, and the highest revision received is used. The instance
// becomes ready once it has a catalogue after such a round.
func (p *Propagator[T]) refresh(ctx context.Context) {
	if p.ready.Load() {
		p.readStore(ctx)
		return
	}
	var g errgroup.Group
	g.Go(func() error { p.readStore(ctx); return nil })
	for _, id := range p.randomPeers(startupPeers) {
		g.Go(func() error { p.pullFrom(ctx, id); return nil })
	}
	_ = g.Wait() // the functions always return nil
	p.mu.Lock()
	becameReady := p.state.SourcesQueried()
	p.mu.Unlock()
	if becameReady {
		p.ready.Store(true)
		p.config.Logger.Info("catalogue loaded; instance is ready",
			zap.String("instance", p.config.Self), zap.String("failure-domain", p.config.FailureDomain),
			zap.Int64("revision", p.Revision()))
	}
}

// randomPeers returns up to n peers, chosen at random.
func (p *Propagator[T]) randomPeers(n int) []string {
	ids := slices.Clone(p.config.Peers())
	n = min(n, len(ids))
	for i := range n {
		j := i + int(p.config.Random()*float64(len(ids)-i))
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// runPulls pulls revisions as soon as peers offer them, until ctx ends.
func (p *Propagator[T]) runPulls(ctx context.Context) error {
	return handleSignals(ctx, p.pullSignal, func(ctx context.Context) {
		for ctx.Err() == nil {
			p.mu.Lock()
			id, ok := p.state.PullSource()
			p.mu.Unlock()
			if !ok || p.config.Pull == nil {
				return
			}
			p.pullFrom(ctx, id)
		}
	})
}

// watch watches the store for as long as the instance is the watch holder. It
// reads the store first, because a pending watch does not show whether the store
// is available.
func (p *Propagator[T]) watch(ctx context.Context) {
	ok := p.readStore(ctx)
	for ok && ctx.Err() == nil && p.isHolder() {
		ok = p.watchOnce(ctx)
	}
	if !ok {
		p.watchRetryAt.Store(p.config.Now().Add(watchRetryInterval).UnixNano())
	}
}

// watchOnce waits for one change and reports whether the watch succeeded. A
// watch that ends after watchTimeout without a change counts as successful. One
// that ends because ctx is cancelled counts as failed, in the metric too.
func (p *Propagator[T]) watchOnce(ctx context.Context) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	p.mu.Lock()
	after := p.state.WatchAfter()
	p.mu.Unlock()
	v, err := p.config.Store.Watch(ctx, p.config.Key, after)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return true
		}
		p.metrics.failed.WithLabelValues("watch").Inc()
		return false
	}
	p.recordStoreSuccess()
	if v.Revision > after {
		p.receive("watch", v.Revision, v.Data)
	}
	return true
}

// isHolder reports whether the instance should hold the store's watch.
func (p *Propagator[T]) isHolder() bool { return p.config.Holder() == p.config.Self }

// recordStoreSuccess records that the store answered. The store is then
// considered available for storeAvailableFor.
func (p *Propagator[T]) recordStoreSuccess() {
	p.storeAvailableUntil.Store(p.config.Now().Add(storeAvailableFor).UnixNano())
}
