package instance

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const (
	// listPeriod is the least time between two reads of the instance list, and
	// listShare the time that each entry instance adds to it, so that all
	// together make at most 33 reads a second.
	listPeriod = 2 * time.Second
	listShare  = 30 * time.Millisecond
	// registerPeriod is the time between two registrations; the first one may
	// meet an outage.
	registerPeriod = 10 * time.Second
	// noticeRetry is the pause after a failed wait for notices, and the time
	// between two checks whether this instance is the one that waits.
	noticeRetry = time.Second
	// markKept is how long a leaving mark is kept. It is longer than the
	// instance list lags.
	markKept = time.Hour
)

// platform feeds what the platform says to the fleet and to the membership.
type platform struct {
	list    *instances.Client
	cloud   *cloud.Client
	self    func() instances.Instance
	members *membership.Table
	fleet   *fleet.Fleet
	// reclaimed is told of each notice that is still ahead.
	reclaimed func(id string, deadline time.Time)
	// prices is told the price per hour of each backend server.
	prices func(id string, price float64)
	now    func() time.Time
	log    *zap.Logger

	// domains maps each backend server's ID to its failure domain, and entries
	// to its catalogue entry.
	domains, entries sync.Map
}

// listen reads the instance list and registers the instance until ctx ends.
func (p *platform) listen(ctx context.Context) error {
	list := time.NewTimer(listPeriod)
	defer list.Stop()
	register := time.NewTicker(registerPeriod)
	defer register.Stop()
	available := true
	p.register(ctx)
	for {
		if err := p.read(ctx); (err == nil) != available && ctx.Err() == nil {
			available = err == nil
			p.log.Info("instance list changed its availability", zap.Bool("available", available), zap.Error(err))
		}
		list.Reset(max(listPeriod, listShare*time.Duration(len(p.members.Live("", p.now())))))
		select {
		case <-ctx.Done():
			return nil
		case <-list.C:
		case <-register.C:
			p.register(ctx)
		}
	}
}

func (p *platform) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	if err := p.list.Register(ctx, p.self()); err != nil {
		p.log.Warn("registration failed; it is repeated", zap.Error(err))
	}
}

// read takes one reading of the instance list. The last list is kept if it
// fails.
func (p *platform) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	all, err := p.list.List(ctx)
	if err != nil {
		return err
	}
	var entries []membership.Member
	var servers []fleet.Instance
	listed := make(map[any]bool)
	for _, in := range all {
		switch in.Role {
		case instances.RoleEntry:
			entries = append(entries, membership.Member{
				ID: in.ID, FailureDomain: in.FailureDomain, PeerAddress: in.PeerAddress,
				OperationsAddress: in.OperationsAddress, Leaving: in.State == instances.StateLeaving,
			})
		case instances.RoleBackend:
			servers = append(servers, fleet.Instance{
				ID: in.ID, Address: in.Address, Entry: in.Entry, FailureDomain: in.FailureDomain, Class: in.Class,
				Polled: in.Kind == instances.KindLanguage, Leaving: in.State == instances.StateLeaving, Price: in.Price,
			})
			listed[in.ID] = true
			p.prices(in.ID, in.Price)
			p.domains.Store(in.ID, in.FailureDomain)
			p.entries.Store(in.ID, in.Entry)
		}
	}
	p.domains.Range(func(id, _ any) bool {
		if !listed[id] {
			p.domains.Delete(id)
			p.entries.Delete(id)
		}
		return true
	})
	p.members.List(entries, p.now())
	p.fleet.SetInstances(servers)
	return nil
}

// entryOf returns the catalogue entry of a backend server, or "".
func (p *platform) entryOf(backend string) string {
	entry, ok := p.entries.Load(backend)
	if !ok {
		return ""
	}
	return entry.(string)
}

// notices waits for reclaim notices while this instance is the one of its
// failure domain that does so; the peers learn them by exchange.
func (p *platform) notices(ctx context.Context) error {
	pause := time.NewTicker(noticeRetry)
	defer pause.Stop()
	after := int64(0)
	for {
		if p.members.Holder(p.now()) == p.members.Self().ID {
			after = p.await(ctx, after)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
	}
}

func (p *platform) await(ctx context.Context, after int64) (next int64) {
	ns, next, err := p.cloud.Notices(ctx, after)
	if err != nil {
		return after
	}
	for _, n := range ns {
		if n.Deadline.After(p.now()) {
			p.reclaimed(n.Instance, n.Deadline)
		}
	}
	return next
}
