package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatPeriod is the least time between two heartbeats of a member of
	// the own failure domain, and heartbeatShare the time that each member adds
	// to it. Above 33 members the period grows, so that the exchanges of a node
	// stay at 33 a second.
	HeartbeatPeriod = time.Second
	heartbeatShare  = 30 * time.Millisecond
	maxPeriod       = 3 * time.Second
	// missedBeats is the number of heartbeats in a row whose absence makes a
	// member of the own failure domain a suspect, and SuspectAfter the least
	// time that this takes.
	missedBeats  = 3
	SuspectAfter = missedBeats * HeartbeatPeriod
	// RemoteSuspectAfter is the same for members of other failure domains.
	// Only two of them are exchanged with; the others are known from the
	// instance list and from changes that peers relay.
	RemoteSuspectAfter = 30 * time.Second
	// ForgetAfter is how long a suspect is kept and probed.
	ForgetAfter = time.Hour
	// RemoteLinks is the number of links to each other failure domain.
	RemoteLinks = 2
	// heardFor is how long one exchange counts as hearing from a failure
	// domain: two exchange periods and a call's deadline.
	heardFor = 5 * time.Second
	// maxMembers bounds the table against peers that invent members. The
	// target scale is 360 members.
	maxMembers = 4096
)

// Table holds the members that an instance knows, itself included. Its methods
// are safe for concurrent use.
type Table struct {
	self Member

	mu      sync.Mutex
	version uint64
	rows    map[string]*row
	local   int             // rows of the own failure domain
	listed  map[string]bool // failure domains on the last instance list
	heard   map[string]time.Time
}

type row struct {
	Member
	changed       uint64
	listedLeaving bool
	avoid         time.Time // the last exchange failed; not a link until then
}

// NewTable returns a table that knows only self.
func NewTable(self Member) *Table {
	t := &Table{
		self:   self,
		rows:   make(map[string]*row),
		listed: make(map[string]bool),
		heard:  make(map[string]time.Time),
	}
	t.version = 1
	t.rows[self.ID] = &row{Member: self, changed: 1}
	t.local = 1
	return t
}

// Self returns the instance's own description and advances its heartbeat.
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
		t.touch(r)
	}
}

// Heard records an exchange with m and reports whether peers should be told:
// the member is new, has restarted or is leaving.
func (t *Table) Heard(m Member, now time.Time) (changed bool) {
	if m.ID == t.self.ID || m.ID == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.merge(m, now)
	if r, ok := t.rows[m.ID]; ok && r.Incarnation == m.Incarnation {
		r.Suspect = later(r.Suspect, now.Add(t.patience(r.FailureDomain)))
		r.avoid = time.Time{}
		t.heard[r.FailureDomain] = now.Add(heardFor)
	}
	return changed
}

// Missed records a failed exchange with a member. A member of another failure
// domain is avoided for a while, so that another link takes its place.
func (t *Table) Missed(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[id]; ok && r.FailureDomain != t.self.FailureDomain {
		r.avoid = now.Add(RemoteSuspectAfter / 2)
	}
}

// Merge adds what a peer reported about other members and reports whether
// anything changed.
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

// List merges the instance list. The list lags, so it neither removes a member
// nor changes a known incarnation; its leaving mark is believed for as long as
// the list carries it.
func (t *Table) List(ms []Member, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.listed)
	for _, r := range t.rows {
		r.listedLeaving = false
	}
	for _, m := range ms {
		t.listed[m.FailureDomain] = true
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
		r.Forget = later(r.Forget, now.Add(ForgetAfter))
		if r.FailureDomain != t.self.FailureDomain {
			r.Suspect = later(r.Suspect, now.Add(RemoteSuspectAfter))
		}
	}
	return changed
}

// merge joins m into the table and reports a change that peers should learn.
func (t *Table) merge(m Member, now time.Time) bool {
	m.Suspect, m.Forget = time.Time{}, time.Time{}
	r, known := t.rows[m.ID]
	if !known {
		if len(t.rows) >= maxMembers {
			return false
		}
		m.Suspect = now.Add(t.patience(m.FailureDomain))
		m.Forget = now.Add(ForgetAfter)
		r = &row{Member: m}
		t.rows[m.ID] = r
		if m.FailureDomain == t.self.FailureDomain {
			t.local++
		}
		t.touch(r)
		return true
	}
	have := r.Member
	joined := Join(have, m)
	if joined.Incarnation > have.Incarnation || joined.Beat > have.Beat {
		joined.Suspect = later(joined.Suspect, now.Add(t.patience(joined.FailureDomain)))
		joined.Forget = later(joined.Forget, now.Add(ForgetAfter))
	}
	if joined.Incarnation > have.Incarnation {
		r.avoid = time.Time{}
	}
	r.Member = joined
	if joined.Incarnation == have.Incarnation && joined.Leaving == have.Leaving && describes(joined, have) == 0 {
		return false
	}
	t.touch(r)
	return true
}

func (t *Table) touch(r *row) {
	t.version++
	r.changed = t.version
}

func (t *Table) patience(domain string) time.Duration {
	if domain == t.self.FailureDomain {
		return missedBeats * t.period()
	}
	return RemoteSuspectAfter
}

// Period returns the time between two heartbeats of a member of the own failure
// domain.
func (t *Table) Period() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.period()
}

func (t *Table) period() time.Duration {
	return min(maxPeriod, max(HeartbeatPeriod, heartbeatShare*time.Duration(t.local)))
}

// Since returns at most limit members other than the instance itself that
// changed after version, oldest change first, and the version to ask from
// next. Heartbeats alone are not changes.
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

// Member returns the member called id.
func (t *Table) Member(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Members returns all members, suspects included, sorted by ID.
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

// Live returns the sorted IDs of the members, the instance itself included,
// that are neither suspects nor leaving; domain "" means all failure domains.
func (t *Table) Live(domain string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live(domain, now)
}

func (t *Table) live(domain string, now time.Time) []string {
	var ids []string
	for id, r := range t.rows {
		if domain != "" && r.FailureDomain != domain || r.Leaving || r.listedLeaving || t.suspect(r, now) {
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (t *Table) suspect(r *row, now time.Time) bool {
	return r.ID != t.self.ID && (!now.Before(r.Suspect) || now.Before(r.avoid))
}

// Holder returns the member of the own failure domain that holds the store's
// watch, or "" if none is left.
func (t *Table) Holder(now time.Time) string {
	return WatchOwner(t.Live(t.self.FailureDomain, now))
}

// WatchOwner returns which of the members of a failure domain holds the store's
// watch, or "" if there is none.
func WatchOwner(ids []string) string { return Owner(xxhash.Sum64String("watch"), ids) }

// Expire drops the members whose forget deadline has passed.
func (t *Table) Expire(now time.Time) (forgotten []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if id != t.self.ID && now.After(r.Forget) && t.suspect(r, now) {
			delete(t.rows, id)
			if r.FailureDomain == t.self.FailureDomain {
				t.local--
			}
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// HeardDomains returns the other failure domains that the instance has lately
// exchanged with a member of.
func (t *Table) HeardDomains(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := make(map[string]bool, len(t.heard))
	for domain, until := range t.heard {
		if now.Before(until) {
			heard[domain] = true
		}
	}
	return heard
}
