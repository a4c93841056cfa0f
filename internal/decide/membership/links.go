package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExchangePeers returns the sorted IDs of the members to exchange with. Hubs
// exchange with all members of their failure domain and with PeersPerRemoteDomain
// hubs of each other one; the other members exchange with the hubs of their
// failure domain. Without hubs, each member exchanges as a hub does, with any
// members of the other failure domains. Members of other failure domains are
// chosen by rendezvous hashing, so that those of one failure domain spread over
// those of another. Suspects are excluded. Leaving members are included until they
// become suspects.
func (t *Table) ExchangePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspectSilent(now)
	byDomain := make(map[string][]string)
	for id, r := range t.rows {
		if !t.isSuspect(r, now) {
			byDomain[r.FailureDomain] = append(byDomain[r.FailureDomain], id)
		}
	}
	own := t.self.FailureDomain
	hubs := t.hubsOf(byDomain[own])
	t.isHub = slices.Contains(hubs, t.self.ID)
	var peers []string
	if t.isHub {
		peers = byDomain[own]
		key := xxhash.Sum64String(t.self.ID)
		for domain, ids := range byDomain {
			if domain != own {
				peers = append(peers, Owners(key, t.hubsOf(ids), PeersPerRemoteDomain)...)
			}
		}
	} else {
		peers = hubs
	}
	peers = slices.DeleteFunc(peers, func(id string) bool { return id == t.self.ID })
	slices.Sort(peers)
	t.link(peers, now)
	return peers
}

// suspectSilent marks the members of the instance's own failure domain that it
// exchanges with and that are silent, so that the other members learn of it.
func (t *Table) suspectSilent(now time.Time) {
	if t.hubs == 0 {
		return
	}
	for _, r := range t.rows {
		if r.linked && r.FailureDomain == t.self.FailureDomain && !r.Suspected && !now.Before(r.SuspectAt) {
			r.Suspected = true
			t.markChanged(r)
		}
	}
}

// link records that the instance exchanges with peers and with no other members.
func (t *Table) link(peers []string, now time.Time) {
	for id, r := range t.rows {
		_, linked := slices.BinarySearch(peers, id)
		if linked && !r.linked {
			r.SuspectAt = later(r.SuspectAt, now.Add(t.suspectTimeout(r.FailureDomain)))
		}
		r.linked = linked
	}
}

// IsHub reports whether other members of the instance's failure domain may rely on
// it to relay what it learns.
func (t *Table) IsHub() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isHub
}

// Probes returns the sorted IDs of one suspect per failure domain, a different one
// in each round; only hubs probe other failure domains. Without probes, instances
// that suspect each other during a partition would never exchange again after it.
func (t *Table) Probes(now time.Time, round uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := make(map[string][]string)
	for id, r := range t.rows {
		if t.isSuspect(r, now) && (t.isHub || r.FailureDomain == t.self.FailureDomain) {
			suspects[r.FailureDomain] = append(suspects[r.FailureDomain], id)
		}
	}
	var probes []string
	for _, ids := range suspects {
		slices.Sort(ids)
		probes = append(probes, ids[round%uint64(len(ids))])
	}
	slices.Sort(probes)
	return probes
}

// Isolated reports whether the instance has recently heard from fewer than half
// of the known failure domains. Its own failure domain counts as heard from.
func (t *Table) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]bool{t.self.FailureDomain: true}
	for d := range t.listedDomains {
		known[d] = true
	}
	for _, r := range t.rows {
		known[r.FailureDomain] = true
	}
	heard := 1
	for d := range known {
		if d != t.self.FailureDomain && t.isHeard(d, now) {
			heard++
		}
	}
	return 2*heard < len(known)
}
