package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minHubDomain is the number of members of a failure domain up to which all of
// them are hubs: exchanges between all of them then cost little.
const minHubDomain = 8

// watchKey is the key whose owners in a failure domain hold the store's watch.
var watchKey = xxhash.Sum64String("watch")

// hubsOf returns the hubs among the live members of a failure domain, in order of
// preference: those with the most processor time, and among these the owners of
// watchKey.
func (t *Table) hubsOf(ids []string) []string {
	if t.hubs == 0 || len(ids) <= minHubDomain {
		return slices.Clone(ids)
	}
	return t.byPreference(ids)[:min(t.hubs, len(ids))]
}

// candidate is a member that may be a hub or hold the store's watch.
type candidate struct {
	id       string
	leaving  bool
	capacity int64
	score    uint64
}

func (t *Table) candidates(ids []string) []candidate {
	cs := make([]candidate, 0, len(ids))
	for _, id := range ids {
		r := t.rows[id]
		cs = append(cs, candidate{id, r.Leaving || r.listedLeaving, r.Capacity, score(watchKey, id)})
	}
	return cs
}

// compareCandidates orders candidates by preference. Leaving members come last.
func compareCandidates(a, b candidate) int {
	if a.leaving != b.leaving {
		if a.leaving {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}

// byPreference returns ids in the order in which they are preferred as hubs.
func (t *Table) byPreference(ids []string) []string {
	cs := t.candidates(ids)
	slices.SortFunc(cs, compareCandidates)
	sorted := make([]string, len(cs))
	for i, c := range cs {
		sorted[i] = c.id
	}
	return sorted
}

// preferred returns the first of byPreference(ids), or "" if ids is empty.
func (t *Table) preferred(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return slices.MinFunc(t.candidates(ids), compareCandidates).id
}

// Upstream returns the member from which the instance should get the changes of the
// store, or "" if it should watch the store itself. The members of a failure domain
// follow one of them, and these follow one for the whole fleet, so that the calls
// to the store do not grow with the fleet. Members for which avoid is true are not
// chosen; if it is true for the instance itself, it follows another one.
func (t *Table) Upstream(now time.Time, avoid func(id string) bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byDomain := make(map[string][]string)
	for _, id := range t.live("", now) {
		if !avoid(id) {
			domain := t.rows[id].FailureDomain
			byDomain[domain] = append(byDomain[domain], id)
		}
	}
	if first := t.preferred(byDomain[t.self.FailureDomain]); first != "" && first != t.self.ID {
		return first
	}
	var firsts []string
	for _, ids := range byDomain {
		firsts = append(firsts, t.preferred(ids))
	}
	if first := t.preferred(firsts); first != t.self.ID {
		return first
	}
	return ""
}

// Strongest returns the n live members of a failure domain with the most capacity, among
// equals by hash, or all of them if there are fewer.
func (t *Table) Strongest(domain string, n int, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := t.byPreference(t.live(domain, now))
	return ids[:min(n, len(ids))]
}
