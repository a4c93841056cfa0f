package config

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Run keeps the catalogue current until ctx ends. The store and the peers are
// asked in goroutines of their own, so that a slow one delays no other.
func (p *Propagator[T]) Run(ctx context.Context) error {
	ticks := p.config.Ticks
	if ticks == nil {
		t := time.NewTicker(tick)
		defer t.Stop()
		ticks = t.C
	}
	var g errgroup.Group
	g.Go(func() error { return p.pulls(ctx) })
	reads, watches := make(chan struct{}, 1), make(chan struct{}, 1)
	g.Go(func() error { return each(ctx, reads, p.reads) })
	g.Go(func() error { return each(ctx, watches, p.watch) })
	for {
		now := p.config.Now()
		if p.holds() && now.UnixNano() >= p.retryAt.Load() {
			offer(watches)
		}
		p.mu.Lock()
		due := p.state.ReadDue(now, p.holds(), p.config.Random())
		p.mu.Unlock()
		if due {
			offer(reads)
		}
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticks:
		}
	}
}

// offer signals a channel that holds at most one signal.
func offer(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// each calls f for each signal until ctx ends.
func each(ctx context.Context, signals <-chan struct{}, f func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			f(ctx)
		}
	}
}

// reads reads the store directly. Before the instance is ready, it also asks
// some peers, and the highest revision of all that answer is used.
func (p *Propagator[T]) reads(ctx context.Context) {
	if p.ready.Load() {
		p.read(ctx)
		return
	}
	var g errgroup.Group
	g.Go(func() error { p.read(ctx); return nil })
	for _, id := range p.sample(startPeers) {
		g.Go(func() error { p.pull(ctx, id); return nil })
	}
	_ = g.Wait() // the functions return no errors
	p.mu.Lock()
	became := p.state.Asked()
	p.mu.Unlock()
	if became {
		p.ready.Store(true)
		p.config.Logger.Info("catalogue loaded; instance is ready",
			zap.String("instance", p.config.Self), zap.String("failure-domain", p.config.FailureDomain),
			zap.Int64("revision", p.Revision()))
	}
}

// sample returns n of the peers, chosen at random.
func (p *Propagator[T]) sample(n int) []string {
	ids := slices.Clone(p.config.Peers())
	n = min(n, len(ids))
	for i := range n {
		j := i + int(p.config.Random()*float64(len(ids)-i))
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// pulls pulls offered revisions at once.
func (p *Propagator[T]) pulls(ctx context.Context) error {
	return each(ctx, p.offered, func(ctx context.Context) {
		for ctx.Err() == nil {
			p.mu.Lock()
			id, ok := p.state.Source()
			p.mu.Unlock()
			if !ok || p.config.Pull == nil {
				return
			}
			p.pull(ctx, id)
		}
	})
}

// watch holds the store's watch for as long as the instance is the holder. A
// read comes first, because a watch that is pending does not show whether the
// store answers.
func (p *Propagator[T]) watch(ctx context.Context) {
	ok := p.read(ctx)
	for ok && ctx.Err() == nil && p.holds() {
		ok = p.watchOnce(ctx)
	}
	if !ok {
		p.retryAt.Store(p.config.Now().Add(retryAfter).UnixNano())
	}
}

// watchOnce performs one watch and reports whether it succeeded. A watch that
// ends after watchTimeout without a change is one that did.
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
	p.answered()
	if v.Revision > after {
		p.receive("watch", v.Revision, v.Data)
	}
	return true
}

// holds reports whether the instance is to hold the watch.
func (p *Propagator[T]) holds() bool { return p.config.Holder() == p.config.Self }

// answered notes that the store answered.
func (p *Propagator[T]) answered() {
	p.fresh.Store(p.config.Now().Add(freshFor).UnixNano())
}
