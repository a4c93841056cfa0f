package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExchangePeers returns the sorted IDs of the members to exchange with: all members of the
// instance's own failure domain, and PeersPerRemoteDomain members of each other
// failure domain. Those of other failure domains are chosen by rendezvous hashing,
// so that the instances of one failure domain spread over the members of another.
// Suspects are excluded. Leaving members are included until they become suspects.
func (t *Table) ExchangePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []string
	remote := make(map[string][]string)
	for id, r := range t.rows {
		switch {
		case id == t.self.ID || t.isSuspect(r, now):
		case r.FailureDomain == t.self.FailureDomain:
			peers = append(peers, id)
		default:
			remote[r.FailureDomain] = append(remote[r.FailureDomain], id)
		}
	}
	key := xxhash.Sum64String(t.self.ID)
	for _, ids := range remote {
		peers = append(peers, Owners(key, ids, PeersPerRemoteDomain)...)
	}
	slices.Sort(peers)
	return peers
}

// Probes returns the sorted IDs of one suspect per failure domain, a different one
// in each round. Without probes, instances that suspect each other during a
// partition would never exchange again after it.
func (t *Table) Probes(now time.Time, round uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := make(map[string][]string)
	for id, r := range t.rows {
		if t.isSuspect(r, now) {
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
		if d != t.self.FailureDomain && now.Before(t.heardUntil[d]) {
			heard++
		}
	}
	return 2*heard < len(known)
}
