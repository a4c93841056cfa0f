package fleet

import (
	"maps"
	"time"
)

// Reasons for Fleet.RecordFailure. ReasonVersion and any other reason count as a
// failure of the server.
const (
	ReasonLeaving    = "leaving"
	ReasonOverloaded = "overloaded"
	ReasonVersion    = "version"
	ReasonPoison     = "poison"
)

// SetInstances replaces the instance list. The caller must not pass a list that
// is older than the last one, and must not call SetInstances while the platform
// provides no list; the last list then stays in effect. A server that is no
// longer listed has left, and its leaving mark is dropped.
func (f *Fleet) SetInstances(list []ListedServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	next := make(map[string]ListedServer, len(list))
	for _, listing := range list {
		next[listing.ID] = listing
	}
	for id, m := range f.marks {
		_, wasListed := f.listed[id]
		if _, isListed := next[id]; !isListed && (wasListed || !now.Before(m.expires)) {
			f.clearMark(id, m)
		}
	}
	for id, expires := range f.clearedMarks {
		if !now.Before(expires) {
			delete(f.clearedMarks, id)
		}
	}
	f.listed = next
	f.rebuild()
	marked := false
	for id, listing := range next {
		if listing.Leaving && !f.marks[id].active(now, listing.Address) {
			f.marks[id] = f.newMark(id, now.Add(f.config.MarkTTL), time.Time{})
			marked = true
		}
	}
	if marked {
		f.rebuild()
	}
}

// clearMark drops a mark and prevents peers from restoring it. The caller holds
// mu.
func (f *Fleet) clearMark(id string, m leavingMark) {
	delete(f.marks, id)
	f.clearedMarks[id] = m.expires
}

// RecordReclaimNotice records a reclaim notice: the server is reclaimed at deadline.
func (f *Fleet) RecordReclaimNotice(id string, deadline time.Time) { f.markLeaving(id, deadline) }

// RecordLeaving records that a server rejected work because it is leaving.
func (f *Fleet) RecordLeaving(id string) { f.markLeaving(id, time.Time{}) }

// RecordPeerMark records a peer's leaving mark, which is dropped at expires.
func (f *Fleet) RecordPeerMark(id string, expires time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if m, ok := f.marks[id]; ok && !expires.After(m.expires) || !expires.After(f.clearedMarks[id]) || !expires.After(now) {
		return
	}
	// A peer's clock may be ahead. Its mark must not outlast one that this
	// instance makes now.
	if latest := now.Add(f.config.MarkTTL); expires.After(latest) {
		expires = latest
	}
	f.setMark(id, f.newMark(id, expires, f.marks[id].deadline))
}

func (f *Fleet) markLeaving(id string, deadline time.Time) {
	f.mu.Lock()
	now := f.config.Now()
	m := f.newMark(id, now.Add(f.config.MarkTTL), deadline)
	current, known := f.marks[id]
	known = known && current.active(now, m.address)
	if known && (deadline.IsZero() || current.deadline.Equal(deadline)) {
		f.mu.Unlock()
		return
	}
	f.setMark(id, m)
	f.mu.Unlock()
	if f.config.OnLeaving != nil {
		f.config.OnLeaving(LeavingMark{id, m.expires})
	}
}

// setMark stores a mark and updates the views. The caller holds mu.
func (f *Fleet) setMark(id string, m leavingMark) {
	f.marks[id] = m
	f.rebuild()
}

// newMark returns a mark for the process that now runs under id. The caller holds
// mu.
func (f *Fleet) newMark(id string, expires, deadline time.Time) leavingMark {
	m := leavingMark{expires: expires, deadline: deadline}
	if s, ok := (*f.servers.Load())[id]; ok {
		s.mu.Lock()
		m.incarnation, m.address = s.report.Incarnation, s.loadListing().Address
		s.mu.Unlock()
	}
	return m
}

// Marks returns the active leaving marks, to be sent to the peers.
func (f *Fleet) Marks() []LeavingMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	var ms []LeavingMark
	for id, m := range f.marks {
		if now.Before(m.expires) {
			ms = append(ms, LeavingMark{id, m.expires})
		}
	}
	return ms
}

// Report records a load report, either from a poll of this instance or from a
// peer.
func (f *Fleet) Report(r Report) {
	s, ok := (*f.servers.Load())[r.Backend]
	if !ok {
		return
	}
	f.mu.Lock()
	m, marked := f.marks[r.Backend]
	if marked && m.replacedBy(&r) {
		f.clearMark(r.Backend, m)
		marked = false
		s = f.replaceServer(s)
	}
	s.setReport(r)
	f.mu.Unlock()
	if r.Leaving && !marked {
		f.markLeaving(r.Backend, time.Time{})
		return
	}
	s.markChanged()
}

// replacedBy reports whether r is from a new process under the same ID, to which
// the mark does not apply. A mark made before the first report identifies no
// process and is kept. A mark with a deadline is kept until a report that was made
// after the deadline, because the machine is reclaimed and not just the process.
func (m leavingMark) replacedBy(r *Report) bool {
	return !r.Leaving && m.incarnation != "" && r.Incarnation != "" && m.incarnation != r.Incarnation &&
		(m.deadline.IsZero() || r.At.After(m.deadline))
}

// replaceServer replaces the state of a server whose process was replaced. The
// caller holds mu.
func (f *Fleet) replaceServer(old *server) *server {
	s := newServer(*old.loadListing(), f.config.Now())
	s.inFlight = old.inFlight
	servers := maps.Clone(*f.servers.Load())
	servers[old.loadListing().ID] = s
	f.servers.Store(&servers)
	f.rebuild()
	return s
}

// RecordFailure records that an attempt was rejected by a server or failed on it.
func (f *Fleet) RecordFailure(id, reason string) {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return
	}
	switch reason {
	case ReasonLeaving:
		f.RecordLeaving(id)
		return
	case ReasonPoison:
		return
	case ReasonOverloaded:
		s.setFullUntil(f.config.Now().Add(f.config.Backoff))
	default:
		s.recordFailure(f.config.Now(), f.config.Backoff)
	}
	s.markChanged()
}

// RecordVersionRejection records that a server rejected an attempt because it does not
// serve the version.
func (f *Fleet) RecordVersionRejection(id, version string) {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return
	}
	s.mu.Lock()
	if len(s.rejectedVersions) < 16 {
		s.rejectedVersions = append(s.rejectedVersions, version)
	}
	s.mu.Unlock()
	s.markChanged()
}
