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
	// minListPeriod is the minimum interval between two reads of the instance
	// list. In a large deployment the interval is listPeriodPerInstance times the
	// number of live entry instances, so that all instances together make at
	// most 33 reads per second.
	minListPeriod         = 2 * time.Second
	listPeriodPerInstance = 30 * time.Millisecond
	// registerPeriod is the interval between two registrations. Registration is
	// repeated because the first one may fail in an outage of the platform.
	registerPeriod = 10 * time.Second
	// noticePollPeriod is the retry interval after a failed poll for reclaim
	// notices, and the interval between two checks whether this instance is the
	// one that polls.
	noticePollPeriod = time.Second
	// reclaimMarkTTL is how long the leaving mark of a reclaimed backend server
	// is kept. It exceeds the lag of the instance list.
	reclaimMarkTTL = time.Hour
)

// platform passes the instance list and the reclaim notices of the platform to
// the fleet and the membership table, and registers this instance.
type platform struct {
	list    *instances.Client
	cloud   *cloud.Client
	self    func() instances.Instance
	members *membership.Table
	fleet   *fleet.Fleet
	// onReclaim is called for each reclaim notice whose deadline has not passed.
	onReclaim func(id string, deadline time.Time)
	// onPrice is called with the price per hour of each listed backend server.
	onPrice func(id string, price float64)
	now     func() time.Time
	log     *zap.Logger

	// domainByServer maps the ID of each backend server to its failure domain,
	// and entryByServer to its catalogue entry.
	domainByServer, entryByServer sync.Map
}

// syncList periodically reads the instance list and registers this instance, until
// ctx ends.
func (p *platform) syncList(ctx context.Context) error {
	listTimer := time.NewTimer(minListPeriod)
	defer listTimer.Stop()
	registerTicker := time.NewTicker(registerPeriod)
	defer registerTicker.Stop()
	available := true
	p.register(ctx)
	for {
		if err := p.readList(ctx); (err == nil) != available && ctx.Err() == nil {
			available = err == nil
			p.log.Info("instance list availability changed", zap.Bool("available", available), zap.Error(err))
		}
		listTimer.Reset(max(minListPeriod, listPeriodPerInstance*time.Duration(len(p.members.Live("", p.now())))))
		select {
		case <-ctx.Done():
			return nil
		case <-listTimer.C:
		case <-registerTicker.C:
			p.register(ctx)
		}
	}
}

func (p *platform) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	if err := p.list.Register(ctx, p.self()); err != nil {
		p.log.Warn("instance registration failed; will retry", zap.Error(err))
	}
}

// readList reads the instance list once and applies it. If the read fails, the
// previous list stays in effect.
func (p *platform) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	records, err := p.list.List(ctx)
	if err != nil {
		return err
	}
	var entryInstances []membership.Member
	var servers []fleet.Instance
	listedServers := make(map[any]bool)
	for _, in := range records {
		switch in.Role {
		case instances.RoleEntry:
			entryInstances = append(entryInstances, membership.Member{
				ID: in.ID, FailureDomain: in.FailureDomain, PeerAddress: in.PeerAddress,
				OperationsAddress: in.OperationsAddress, Leaving: in.State == instances.StateLeaving,
			})
		case instances.RoleBackend:
			servers = append(servers, fleet.Instance{
				ID: in.ID, Address: in.Address, Entry: in.Entry, FailureDomain: in.FailureDomain, Class: in.Class,
				Polled: in.Kind == instances.KindLanguage, Leaving: in.State == instances.StateLeaving, Price: in.Price,
			})
			listedServers[in.ID] = true
			p.onPrice(in.ID, in.Price)
			p.domainByServer.Store(in.ID, in.FailureDomain)
			p.entryByServer.Store(in.ID, in.Entry)
		}
	}
	p.domainByServer.Range(func(id, _ any) bool {
		if !listedServers[id] {
			p.domainByServer.Delete(id)
			p.entryByServer.Delete(id)
		}
		return true
	})
	p.members.List(entryInstances, p.now())
	p.fleet.SetInstances(servers)
	return nil
}

// entryOf returns the catalogue entry of a backend server, or "".
func (p *platform) entryOf(backend string) string {
	entry, ok := p.entryByServer.Load(backend)
	if !ok {
		return ""
	}
	return entry.(string)
}

// watchNotices polls for reclaim notices while this instance is the watch holder
// of its failure domain. The peers receive the notices through the exchange.
func (p *platform) watchNotices(ctx context.Context) error {
	ticker := time.NewTicker(noticePollPeriod)
	defer ticker.Stop()
	after := int64(0)
	for {
		if p.members.Holder(p.now()) == p.members.Self().ID {
			after = p.pollNotices(ctx, after)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollNotices waits for reclaim notices above the sequence number after and
// returns the number for the next call, which is after itself on failure.
func (p *platform) pollNotices(ctx context.Context, after int64) (next int64) {
	ns, next, err := p.cloud.Notices(ctx, after)
	if err != nil {
		return after
	}
	for _, n := range ns {
		if n.Deadline.After(p.now()) {
			p.onReclaim(n.Instance, n.Deadline)
		}
	}
	return next
}
