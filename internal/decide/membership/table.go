package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinHeartbeatPeriod and maxHeartbeatPeriod bound the interval between
	// heartbeats within a failure domain. Between these bounds each member adds
	// heartbeatPerMember to the interval, so that an instance makes 33 exchanges
	// a second in a failure domain of 33 to 100 members.
	MinHeartbeatPeriod = time.Second
	heartbeatPerMember = 30 * time.Millisecond
	maxHeartbeatPeriod = 3 * time.Second
	// missedBeats is the number of consecutive missing heartbeats after which a
	// member of the instance's own failure domain is a suspect, and SuspectAfter
	// the minimum time that this takes.
	missedBeats  = 3
	SuspectAfter = missedBeats * MinHeartbeatPeriod
	// RemoteSuspectAfter is the time without news after which a member of
	// another failure domain is a suspect. It is longer than SuspectAfter because
	// an instance exchanges with only PeersPerRemoteDomain members of each other
	// failure domain; it knows the rest from the instance list and from changes
	// that peers relay.
	RemoteSuspectAfter = 30 * time.Second
	// ForgetAfter is how long a silent member stays in the table and is probed.
	ForgetAfter = time.Hour
	// PeersPerRemoteDomain is the number of members of each other failure domain
	// to exchange with.
	PeersPerRemoteDomain = 2
	// domainHeardTimeout is how long a failure domain counts as heard from after an
	// exchange with one of its members: two exchange periods and the deadline of
	// a call.
	domainHeardTimeout = 5 * time.Second
	// maxMembers limits the size of the table in case peers report members that
	// do not exist. The target scale is 360 members.
	maxMembers = 4096
)

// Table holds the members that an instance knows, including itself. The methods
// are safe for concurrent use.
type Table struct {
	self Member

	mu            sync.Mutex
	version       uint64
	rows          map[string]*row
	localCount    int             // number of rows of the own failure domain
	listedDomains map[string]bool // failure domains in the last instance list
	heardUntil    map[string]time.Time
}

type row struct {
	Member
	changed       uint64 // table version of the last change
	listedLeaving bool
	avoidUntil    time.Time // the member is treated as a suspect until then; set after a failed exchange
}

// NewTable returns a table that contains only self, the instance itself.
func NewTable(self Member) *Table {
	t := &Table{
		self:          self,
		rows:          make(map[string]*row),
		listedDomains: make(map[string]bool),
		heardUntil:    make(map[string]time.Time),
	}
	t.version = 1
	t.rows[self.ID] = &row{Member: self, changed: 1}
	t.localCount = 1
	return t
}

// Self increments the instance's heartbeat counter and returns the instance's
// description.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[t.self.ID]
	r.Beat++
	return r.Member
}

// Leave marks the instance itself as leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[t.self.ID]; !r.Leaving {
		r.Leaving = true
		t.markChanged(r)
	}
}

// Heard records a successful exchange with m and reports whether m should be
// relayed to peers, because it is new, has restarted or is leaving.
func (t *Table) Heard(m Member, now time.Time) (changed bool) {
	if m.ID == t.self.ID || m.ID == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.merge(m, now)
	if r, ok := t.rows[m.ID]; ok && r.Incarnation == m.Incarnation {
		r.SuspectAt = later(r.SuspectAt, now.Add(t.suspectTimeout(r.FailureDomain)))
		r.avoidUntil = time.Time{}
		t.heardUntil[r.FailureDomain] = now.Add(domainHeardTimeout)
	}
	return changed
}

// Missed records a failed exchange with a member. A member of another failure
// domain is treated as a suspect for a while, so that ExchangePeers chooses
// another one instead.
func (t *Table) Missed(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[id]; ok && r.FailureDomain != t.self.FailureDomain {
		r.avoidUntil = now.Add(RemoteSuspectAfter / 2)
	}
}

// Merge merges descriptions of members that a peer reported, and reports whether
// the table changed.
func (t *Table) Merge(ms []Member, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		if m.ID == "" || m.ID == t.self.ID {
			continue
		}
		changed = t.merge(m, now) || changed
	}
	return changed
}

// MergeInstanceList merges the instance list and reports whether the table changed. The list
// may be outdated, so it neither removes a member nor changes a known incarnation.
// A member marked as leaving stays so until a later list no longer marks it.
func (t *Table) MergeInstanceList(ms []Member, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.listedDomains)
	for _, r := range t.rows {
		r.listedLeaving = false
	}
	for _, m := range ms {
		t.listedDomains[m.FailureDomain] = true
		if m.ID == "" || m.ID == t.self.ID {
			continue
		}
		leaving := m.Leaving
		m.Incarnation, m.Leaving, m.Beat = 0, false, 0
		changed = t.merge(m, now) || changed
		r, ok := t.rows[m.ID]
		if !ok {
			continue
		}
		r.listedLeaving = leaving
		r.ForgetAt = later(r.ForgetAt, now.Add(ForgetAfter))
		if r.FailureDomain != t.self.FailureDomain {
			r.SuspectAt = later(r.SuspectAt, now.Add(RemoteSuspectAfter))
		}
	}
	return changed
}

// merge joins m into the table and reports whether m should be relayed to peers.
func (t *Table) merge(m Member, now time.Time) bool {
	m.SuspectAt, m.ForgetAt = time.Time{}, time.Time{}
	r, known := t.rows[m.ID]
	if !known {
		if len(t.rows) >= maxMembers {
			return false
		}
		m.SuspectAt = now.Add(t.suspectTimeout(m.FailureDomain))
		m.ForgetAt = now.Add(ForgetAfter)
		r = &row{Member: m}
		t.rows[m.ID] = r
		if m.FailureDomain == t.self.FailureDomain {
			t.localCount++
		}
		t.markChanged(r)
		return true
	}
	have := r.Member
	joined := Join(have, m)
	if joined.Incarnation > have.Incarnation || joined.Beat > have.Beat {
		joined.SuspectAt = later(joined.SuspectAt, now.Add(t.suspectTimeout(joined.FailureDomain)))
		joined.ForgetAt = later(joined.ForgetAt, now.Add(ForgetAfter))
	}
	if joined.Incarnation > have.Incarnation {
		r.avoidUntil = time.Time{}
	}
	r.Member = joined
	if joined.Incarnation == have.Incarnation && joined.Leaving == have.Leaving && compareDescriptions(joined, have) == 0 {
		return false
	}
	t.markChanged(r)
	return true
}

// markChanged records that r changed, so that Since returns it.
func (t *Table) markChanged(r *row) {
	t.version++
	r.changed = t.version
}

// suspectTimeout returns the time without news after which a member of domain is a
// suspect.
func (t *Table) suspectTimeout(domain string) time.Duration {
	if domain == t.self.FailureDomain {
		return missedBeats * t.period()
	}
	return RemoteSuspectAfter
}

// HeartbeatPeriod returns the interval between heartbeats within the instance's own failure
// domain.
func (t *Table) HeartbeatPeriod() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.period()
}

func (t *Table) period() time.Duration {
	return min(maxHeartbeatPeriod, max(MinHeartbeatPeriod, heartbeatPerMember*time.Duration(t.localCount)))
}

// Since returns at most limit members other than the instance itself that changed
// after version, oldest change first, and the version to pass to the next call. A
// new heartbeat alone is not a change. Members that are known only from the
// instance list are omitted.
func (t *Table) Since(version uint64, limit int) (ms []Member, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rs []*row
	for _, r := range t.rows {
		if r.changed > version && r.ID != t.self.ID && r.Incarnation != 0 {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *row) int { return int(int64(a.changed - b.changed)) })
	next = t.version
	if len(rs) > limit {
		rs = rs[:limit]
		next = rs[limit-1].changed
	}
	for _, r := range rs {
		ms = append(ms, r.Member)
	}
	return ms, next
}

// Member returns the member with the given ID.
func (t *Table) Member(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Members returns all members, including suspects, sorted by ID.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := make([]Member, 0, len(t.rows))
	for _, r := range t.rows {
		ms = append(ms, r.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return ms
}

// Live returns the sorted IDs of the members of a failure domain that are neither
// suspects nor leaving, including the instance itself. If domain is "", it returns
// those of all failure domains.
func (t *Table) Live(domain string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live(domain, now)
}

func (t *Table) live(domain string, now time.Time) []string {
	var ids []string
	for id, r := range t.rows {
		if domain != "" && r.FailureDomain != domain || r.Leaving || r.listedLeaving || t.isSuspect(r, now) {
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (t *Table) isSuspect(r *row, now time.Time) bool {
	return r.ID != t.self.ID && (!now.Before(r.SuspectAt) || now.Before(r.avoidUntil))
}

// WatchHolder returns the ID of the member of the instance's own failure domain that
// holds the store's watch, or "" if no member is live.
func (t *Table) WatchHolder(now time.Time) string {
	return WatchHolder(t.Live(t.self.FailureDomain, now))
}

// WatchHolder returns which of ids, the live members of a failure domain, holds the
// store's watch, or "" if ids is empty.
func WatchHolder(ids []string) string { return Owner(xxhash.Sum64String("watch"), ids) }

// Expire drops the suspects whose ForgetAt has passed and returns their IDs.
func (t *Table) Expire(now time.Time) (forgotten []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if id != t.self.ID && now.After(r.ForgetAt) && t.isSuspect(r, now) {
			delete(t.rows, id)
			if r.FailureDomain == t.self.FailureDomain {
				t.localCount--
			}
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// HeardDomains returns the other failure domains from which the instance has heard
// within domainHeardTimeout.
func (t *Table) HeardDomains(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := make(map[string]bool, len(t.heardUntil))
	for domain, until := range t.heardUntil {
		if now.Before(until) {
			heard[domain] = true
		}
	}
	return heard
}
