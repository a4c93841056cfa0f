package membership

import (
	"slices"
	"strings"
	"sync"
	"time"
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
	// refutedFactor multiplies the time until a member is suspected again after
	// another member refuted the suspicion.
	refutedFactor = 2
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

// Config configures a Table.
type Config struct {
	// Self is the instance that uses the table.
	Self Member
	// Hubs is the number of members of a large failure domain with which the
	// others exchange, or 0 if all members of a failure domain exchange with each
	// other. With hubs, the instance list must hold the members' incarnations.
	Hubs int
}

// Table holds the members that an instance knows, including itself. The methods
// are safe for concurrent use.
type Table struct {
	self Member
	hubs int

	mu            sync.Mutex
	version       uint64
	rows          map[string]*row
	localCount    int             // number of rows of the own failure domain
	listedDomains map[string]bool // failure domains in the last instance list
	// heardUntil is the time, by failure domain, until which the domain counts as
	// heard from, and relayedUntil the same according to the hubs.
	heardUntil, relayedUntil map[string]time.Time
	isHub                    bool // as of the last call of ExchangePeers
}

type row struct {
	Member
	changed       uint64 // table version of the last change
	listedLeaving bool
	// listedIncarnation is the highest incarnation in the instance lists so far.
	listedIncarnation int64
	// linked is set while the instance exchanges with the member, and suspects it
	// if it is silent. Suspicions of other members come from the hubs.
	linked     bool
	avoidUntil time.Time // the member is treated as a suspect until then; set after a failed exchange
}

// NewTable returns a table that contains only the instance itself.
func NewTable(c Config) *Table {
	t := &Table{
		self:          c.Self,
		hubs:          c.Hubs,
		rows:          make(map[string]*row),
		listedDomains: make(map[string]bool),
		heardUntil:    make(map[string]time.Time),
		relayedUntil:  make(map[string]time.Time),
		isHub:         true,
	}
	t.version = 1
	t.rows[c.Self.ID] = &row{Member: c.Self, changed: 1}
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
	changed = t.merge(m, 0, now)
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
		r, known := t.rows[m.ID]
		suspected := t.hubs > 0 && known && r.Suspected && !now.Before(r.SuspectAt)
		changed = t.merge(m, 0, now) || changed
		if suspected && !r.Suspected {
			// Another member has heard from this one later, so that possibly only the
			// way to it is broken.
			r.SuspectAt = later(r.SuspectAt, now.Add(refutedFactor*t.suspectTimeout(r.FailureDomain)))
		}
	}
	return changed
}

// MergeInstanceList merges the instance list and reports whether the table changed. The list
// may be outdated, so it neither removes a member nor lowers a known incarnation.
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
		leaving, listed := m.Leaving, m.Incarnation
		if t.hubs == 0 {
			m.Incarnation = 0
		}
		m.Leaving, m.Beat, m.Suspected = false, 0, false
		changed = t.merge(m, listed, now) || changed
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
// listed is the incarnation if m comes from the instance list, and 0 otherwise.
func (t *Table) merge(m Member, listed int64, now time.Time) bool {
	m.SuspectAt, m.ForgetAt = time.Time{}, time.Time{}
	r, known := t.rows[m.ID]
	if !known {
		if len(t.rows) >= maxMembers {
			return false
		}
		m.SuspectAt = now.Add(t.suspectTimeout(m.FailureDomain))
		m.ForgetAt = now.Add(ForgetAfter)
		r = &row{Member: m, listedIncarnation: listed}
		t.rows[m.ID] = r
		if m.FailureDomain == t.self.FailureDomain {
			t.localCount++
		}
		return t.relays(r, m.Suspected)
	}
	r.listedIncarnation = max(r.listedIncarnation, listed)
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
	// A suspicion that a later heartbeat refutes is answered with that heartbeat.
	refuted := m.Suspected && !joined.Suspected && m.Incarnation == joined.Incarnation
	suspicionChanged := joined.Suspected != have.Suspected || refuted
	if !suspicionChanged && joined.Incarnation == have.Incarnation && joined.Leaving == have.Leaving && compareDescriptions(joined, have) == 0 {
		return false
	}
	return t.relays(r, suspicionChanged)
}

// relays marks r as changed, so that it is relayed to peers, and reports whether
// it did: with hubs, the peers know from the instance list what the list says.
func (t *Table) relays(r *row, suspicionChanged bool) bool {
	if t.hubs > 0 && r.Incarnation == r.listedIncarnation && !r.Leaving && !suspicionChanged {
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
	if version == t.version {
		return nil, version
	}
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
		if domain != "" && r.FailureDomain != domain || !t.isLive(r, now) {
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// IsLive reports whether a member is neither a suspect nor leaving.
func (t *Table) IsLive(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[id]
	return ok && t.isLive(r, now)
}

func (t *Table) isLive(r *row, now time.Time) bool {
	return !r.Leaving && !r.listedLeaving && !t.isSuspect(r, now)
}

func (t *Table) isSuspect(r *row, now time.Time) bool {
	switch {
	case r.ID == t.self.ID:
		return false
	case now.Before(r.avoidUntil) || r.Suspected:
		return true
	}
	return (t.hubs == 0 || r.linked) && !now.Before(r.SuspectAt)
}

// WatchHolder returns the ID of the member of the instance's own failure domain that
// holds the store's watch, or "" if no member is live.
func (t *Table) WatchHolder(now time.Time) string {
	return WatchHolder(t.Live(t.self.FailureDomain, now))
}

// WatchHolder returns which of ids, the live members of a failure domain, holds the
// store's watch, or "" if ids is empty.
func WatchHolder(ids []string) string { return Owner(watchKey, ids) }

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

// HeardDomains returns the other failure domains from which the instance, or a hub
// of its own failure domain, has heard within domainHeardTimeout.
func (t *Table) HeardDomains(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := make(map[string]bool, len(t.heardUntil))
	for _, domains := range []map[string]time.Time{t.heardUntil, t.relayedUntil} {
		for domain, until := range domains {
			if now.Before(until) {
				heard[domain] = true
			}
		}
	}
	return heard
}

func (t *Table) isHeard(domain string, now time.Time) bool {
	return now.Before(t.heardUntil[domain]) || now.Before(t.relayedUntil[domain])
}

// HeardFor returns, for each other failure domain from which the instance itself
// has heard, for how much longer it counts as heard from. It returns nil if no
// member relies on it.
func (t *Table) HeardFor(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hubs == 0 || !t.isHub {
		return nil
	}
	heard := make(map[string]time.Duration, len(t.heardUntil))
	for domain, until := range t.heardUntil {
		if rest := until.Sub(now); rest > 0 && domain != t.self.FailureDomain {
			heard[domain] = rest
		}
	}
	return heard
}

// MergeHeard merges what HeardFor returned at a member of the same failure domain.
func (t *Table) MergeHeard(heard map[string]time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for domain, rest := range heard {
		if _, ok := t.relayedUntil[domain]; !ok && len(t.relayedUntil) >= maxMembers {
			return
		}
		t.relayedUntil[domain] = later(t.relayedUntil[domain], now.Add(min(rest, domainHeardTimeout)))
	}
}
