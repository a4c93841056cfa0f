package fleet

import (
	"maps"
	"time"
)

// Reasons for Refused. Any other reason counts as a failure of the server.
const (
	ReasonLeaving    = "leaving"
	ReasonOverloaded = "overloaded"
	ReasonVersion    = "version"
	ReasonPoison     = "poison"
)

// SetInstances replaces the instance list. The caller keeps the last list
// while the platform has none.
func (f *Fleet) SetInstances(list []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Now()
	next := make(map[string]Instance, len(list))
	for _, in := range list {
		next[in.ID] = in
	}
	f.listed = next
	for id, m := range f.marks {
		if _, ok := next[id]; !ok && !m.active(now) {
			delete(f.marks, id)
		}
	}
	f.rebuild()
}

// Notice records a reclaim notice.
func (f *Fleet) Notice(id string, deadline time.Time) { f.leave(id, deadline) }

// Leaving records that a server rejected work because it is leaving.
func (f *Fleet) Leaving(id string) { f.leave(id, time.Time{}) }

// PeerLeaving records a peer's leaving mark, which is dropped at until.
func (f *Fleet) PeerLeaving(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.marks[id]; ok && !until.After(m.until) {
		return
	}
	f.setMark(id, mark{incarnation: f.incarnation(id), until: until, deadline: f.marks[id].deadline})
}

func (f *Fleet) leave(id string, deadline time.Time) {
	f.mu.Lock()
	now := f.c.Now()
	m := mark{incarnation: f.incarnation(id), until: now.Add(f.c.Keep), deadline: deadline}
	have, known := f.marks[id]
	known = known && have.active(now)
	if known && (deadline.IsZero() || have.deadline.Equal(deadline)) {
		f.mu.Unlock()
		return
	}
	f.setMark(id, m)
	f.mu.Unlock()
	if f.c.OnLeaving != nil {
		f.c.OnLeaving(Mark{id, m.until})
	}
}

// setMark stores a mark and publishes. The caller holds mu.
func (f *Fleet) setMark(id string, m mark) {
	f.marks[id] = m
	f.rebuild()
}

func (f *Fleet) incarnation(id string) string {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Incarnation
}

// Marks returns the active leaving marks, for the peers.
func (f *Fleet) Marks() []Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Now()
	var ms []Mark
	for id, m := range f.marks {
		if m.active(now) {
			ms = append(ms, Mark{id, m.until})
		}
	}
	return ms
}

// Report records a load report, from this node's poll or from a peer.
func (f *Fleet) Report(r Report) {
	s, ok := (*f.servers.Load())[r.Backend]
	if !ok {
		return
	}
	f.mu.Lock()
	m, marked := f.marks[r.Backend]
	// A new process under the same ID is not the one that was leaving. Marks
	// made before the first report name no process and stay.
	if marked && !r.Leaving && m.incarnation != "" && r.Incarnation != "" && m.incarnation != r.Incarnation && m.deadline.IsZero() {
		delete(f.marks, r.Backend)
		marked = false
		s = f.renew(s)
	}
	s.take(r)
	f.mu.Unlock()
	if r.Leaving && !marked {
		f.leave(r.Backend, time.Time{})
		return
	}
	s.touch()
}

// renew replaces a server whose process was replaced. The caller holds mu.
func (f *Fleet) renew(old *server) *server {
	s := newServer(old.instance, f.c.Now())
	s.inFlight = old.inFlight
	servers := maps.Clone(*f.servers.Load())
	servers[old.instance.ID] = s
	f.servers.Store(&servers)
	f.rebuild()
	return s
}

// Refused records that a server rejected an attempt or failed it.
func (f *Fleet) Refused(id, reason string) {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return
	}
	switch reason {
	case ReasonLeaving:
		f.Leaving(id)
		return
	case ReasonPoison:
		return
	case ReasonOverloaded:
		s.full()
	default:
		s.fail(f.c.Now(), f.c.Backoff)
	}
	f.mu.Lock()
	f.rebuild()
	f.mu.Unlock()
}

// RefusedVersion records that a server does not have a version.
func (f *Fleet) RefusedVersion(id, version string) {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return
	}
	s.mu.Lock()
	if len(s.without) < 16 {
		s.without = append(s.without, version)
	}
	s.mu.Unlock()
	s.touch()
}

// full makes the server look full until its next report.
func (s *server) full() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Queued = max(s.report.Queued, s.report.Capacity, 1)
}
