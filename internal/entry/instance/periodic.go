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

// updateLiveCounts counts the live entry instances, in total and per failure
// domain.
func (i *Instance) updateLiveCounts() {
	ids := i.members.Live("", i.now())
	byDomain := make(map[string]int)
	for _, id := range ids {
		byDomain[i.domainOf(id)]++
	}
	i.liveCount.Store(int64(len(ids)))
	i.liveByDomain.Store(&byDomain)
}

// liveIn returns the number of live entry instances of a failure domain.
func (i *Instance) liveIn(domain string) int {
	if m := i.liveByDomain.Load(); m != nil {
		return (*m)[domain]
	}
	return 0
}

// assignPolling computes which backend servers this instance polls. Each server
// is polled by one live instance of its failure domain.
func (i *Instance) assignPolling() {
	live := i.members.Live(i.config.FailureDomain, i.now())
	polled := make(map[string]bool)
	i.platform.domainByServer.Range(func(id, domain any) bool {
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

// publishReport publishes the load report of a server that this instance polls
// if it differs for routing from the last published report (see sameLoad), or if
// reportRepeatInterval has passed since that report.
func (i *Instance) publishReport(r fleet.Report) {
	have, ok := i.loadReports.Get(r.Backend)
	if !ok || r.At.Sub(have.At) >= reportRepeatInterval || !sameLoad(have, r) {
		i.loadReports.Put(r)
	}
}

// sendsReport reports whether this instance sends a load report to a member. The
// instance that polls the server sends the report to the members of its own
// failure domain and, while crossDomainReports is set, also to the members of
// other failure domains. An instance that receives a report from another failure
// domain relays it to the members of its own failure domain, also only while
// crossDomainReports is set.
func (i *Instance) sendsReport(to membership.Member, r fleet.Report) bool {
	crossDomainReports := i.crossDomainReports.Load()
	if i.polls(r.Backend) {
		return crossDomainReports || to.FailureDomain == i.config.FailureDomain
	}
	domain, ok := i.platform.domainByServer.Load(r.Backend)
	return crossDomainReports && ok && domain != i.config.FailureDomain && to.FailureDomain == i.config.FailureDomain
}

// serverCount returns the number of backend servers that accept work.
func (i *Instance) serverCount() int {
	n := 0
	if s := i.moveController.Snapshot(); s != nil {
		for j := range s.Catalogue.Entries {
			n += len(i.fleet.View(s.Catalogue.Entries[j].Name))
		}
	}
	return n
}

// runPeriodicUpdates recomputes once per sharePeriod what depends on the live
// instances and on the load, samples the metrics and drops expired crash records,
// until ctx ends.
func (i *Instance) runPeriodicUpdates(ctx context.Context) error {
	t := time.NewTicker(sharePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			i.updateLiveCounts()
			i.crossDomainReports.Store(i.serverCount() <= crossDomainServerLimit)
			i.assignPolling()
			i.limiter.updateShares(i.moveController.Snapshot(), i.now())
			i.metrics.Sample()
			i.poison.Expire(i.now())
		}
	}
}
