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
	// minListPeriod is the minimum interval between two timed reads of the
	// instance list. In a large deployment the interval is listPeriodPerInstance
	// times the number of live entry instances, so that all instances together
	// make at most 33 timed reads per second. Each registration is also followed
	// by a read and restarts the interval, so that with more than 333 instances
	// the interval is registerPeriod.
	minListPeriod         = 2 * time.Second
	listPeriodPerInstance = 30 * time.Millisecond
	// registerPeriod is the interval between two registrations. Registration is
	// repeated because the first one may fail in an outage of the platform.
	registerPeriod = 10 * time.Second
	// noticePollPeriod is the retry interval after a failed poll for reclaim
	// notices, and the interval between checks for whether this instance is the
	// watch holder.
	noticePollPeriod = time.Second
	// reclaimMarkTTL is how long the leaving mark of a reclaimed backend server
	// is kept. It exceeds the lag of the instance list.
	reclaimMarkTTL = time.Hour
)

// platformSync passes the instance list and the reclaim notices of the platform to
// the fleet and the membership table, and registers this instance.
type platformSync struct {
	listClient *instances.Client
	cloud      *cloud.Client
	self       func() instances.Instance
	members    *membership.Table
	fleet      *fleet.Fleet
	// onReclaim is called for each reclaim notice whose deadline has not passed.
	onReclaim func(id string, deadline time.Time)
	// onPrice is called with the price per hour of each listed backend server.
	onPrice func(id string, price float64)
	now     func() time.Time
	log     *zap.Logger

	// domainByServer maps the ID of each listed backend server to its failure
	// domain, and entryByServer to the name of its catalogue entry.
	domainByServer, entryByServer sync.Map
}

// syncList periodically reads the instance list and registers this instance, until
// ctx ends.
func (p *platformSync) syncList(ctx context.Context) error {
	listTimer := time.NewTimer(minListPeriod)
	defer listTimer.Stop()
	registerTicker := time.NewTicker(registerPeriod)
	defer registerTicker.Stop()
	available := true
	p.register(ctx)
	for {
		if err := p.readList(ctx); (err == nil) != available && ctx.Err() == nil {
			available = err == nil
			p.log.Info("instance list reads started or stopped failing; the last list read stays in effect while reads fail", zap.Bool("available", available), zap.Error(err))
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

func (p *platformSync) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	if err := p.listClient.Register(ctx, p.self()); err != nil {
		p.log.Warn("instance registration failed; will retry", zap.Error(err))
	}
}

// readList reads the instance list once and applies it. If the read fails, the
// previous list stays in effect.
func (p *platformSync) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	records, err := p.listClient.List(ctx)
	if err != nil {
		return err
	}
	var entryInstances []membership.Member
	var servers []fleet.ListedServer
	listedServers := make(map[any]bool)
	for _, in := range records {
		switch in.Role {
		case instances.RoleEntry:
			entryInstances = append(entryInstances, membership.Member{
				ID: in.ID, FailureDomain: in.FailureDomain, PeerAddress: in.PeerAddress,
				OperationsAddress: in.OperationsAddress, Leaving: in.State == instances.StateLeaving,
			})
		case instances.RoleBackend:
			servers = append(servers, fleet.ListedServer{
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
	p.members.MergeInstanceList(entryInstances, p.now())
	p.fleet.SetInstances(servers)
	return nil
}

// entryOf returns the name of a backend server's catalogue entry, or "" if the
// server is not listed.
func (p *platformSync) entryOf(backend string) string {
	entry, ok := p.entryByServer.Load(backend)
	if !ok {
		return ""
	}
	return entry.(string)
}

// watchNotices polls for reclaim notices until ctx ends, while this instance is
// the watch holder of its failure domain (see moveController.isHolder). The peers
// receive the notices through the exchange.
func (p *platformSync) watchNotices(ctx context.Context) error {
	ticker := time.NewTicker(noticePollPeriod)
	defer ticker.Stop()
	lastSeen := int64(0)
	for {
		if p.members.WatchHolder(p.now()) == p.members.Self().ID {
			lastSeen = p.pollNotices(ctx, lastSeen)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollNotices polls once for reclaim notices with a sequence number greater than
// lastSeen. It returns the value of lastSeen for the next call; on failure that is
// the old value.
func (p *platformSync) pollNotices(ctx context.Context, lastSeen int64) (next int64) {
	ns, next, err := p.cloud.Notices(ctx, lastSeen)
	if err != nil {
		return lastSeen
	}
	for _, n := range ns {
		if n.Deadline.After(p.now()) {
			p.onReclaim(n.Instance, n.Deadline)
		}
	}
	return next
}
