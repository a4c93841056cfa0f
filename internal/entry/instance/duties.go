package instance

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
)

// polls reports whether this instance polls a backend server.
func (i *Instance) polls(id string) bool {
	polled := i.polled.Load()
	return polled != nil && (*polled)[id]
}

// countLive counts the live entry instances.
func (i *Instance) countLive() {
	ids := i.members.Live("", i.now())
	byDomain := make(map[string]int)
	for _, id := range ids {
		byDomain[i.domainOf(id)]++
	}
	i.live.Store(int64(len(ids)))
	i.liveByDomain.Store(&byDomain)
}

// liveIn returns the number of live entry instances of a failure domain.
func (i *Instance) liveIn(domain string) int {
	if m := i.liveByDomain.Load(); m != nil {
		return (*m)[domain]
	}
	return 0
}

// assign computes which backend servers this instance polls: each server is
// polled by one live instance of its failure domain.
func (i *Instance) assign() {
	live := i.members.Live(i.config.FailureDomain, i.now())
	polled := make(map[string]bool)
	i.platform.domains.Range(func(id, domain any) bool {
		if domain == i.config.FailureDomain && membership.Owner(xxhash.Sum64String(id.(string)), live) == i.config.ID {
			polled[id.(string)] = true
		}
		return true
	})
	i.polled.Store(&polled)
}

// domainOf returns the failure domain of an entry instance, or "".
func (i *Instance) domainOf(id string) string {
	m, _ := i.members.Member(id)
	return m.FailureDomain
}

// publishReport spreads a report of a server that this instance polls, if it
// says something new or the last one is getting old.
func (i *Instance) publishReport(r fleet.Report) {
	have, ok := i.reports.Get(r.Backend)
	if !ok || r.At.Sub(have.At) >= reportRepeat || !sameLoad(have, r) {
		i.reports.Put(r)
	}
}

// relaysReport reports whether a member is sent a load report. The members of
// the failure domain get it from the instance that polls the server. In a small
// fleet reports also go to other failure domains, and are passed on there.
func (i *Instance) relaysReport(to membership.Member, r fleet.Report) bool {
	small := i.small.Load()
	if i.polls(r.Backend) {
		return small || to.FailureDomain == i.config.FailureDomain
	}
	domain, ok := i.platform.domains.Load(r.Backend)
	return small && ok && domain != i.config.FailureDomain && to.FailureDomain == i.config.FailureDomain
}

// servers returns the number of backend servers that take work.
func (i *Instance) servers() int {
	n := 0
	if s := i.mover.Snapshot(); s != nil {
		for j := range s.Catalogue.Entries {
			n += len(i.fleet.View(s.Catalogue.Entries[j].Name))
		}
	}
	return n
}

// share computes once a second which servers to poll and the shares of the
// limits, samples the counters and drops what has expired, until ctx ends.
func (i *Instance) share(ctx context.Context) error {
	t := time.NewTicker(sharePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			i.countLive()
			i.small.Store(i.servers() <= relayLimit)
			i.assign()
			i.limiter.share(i.mover.Snapshot(), i.now())
			i.metrics.Sample()
			i.poison.Expire(i.now())
		}
	}
}
