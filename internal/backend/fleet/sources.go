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

// SetInstances replaces the instance list. The caller passes no list that is
// older than the last one, and keeps the last one while the platform has none.
// A server that is no longer listed has left; its mark goes with it.
func (f *Fleet) SetInstances(list []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Now()
	next := make(map[string]Instance, len(list))
	for _, in := range list {
		next[in.ID] = in
	}
	for id, m := range f.marks {
		_, was := f.listed[id]
		if _, is := next[id]; !is && (was || !now.Before(m.until)) {
			f.clear(id, m)
		}
	}
	for id, until := range f.cleared {
		if !now.Before(until) {
			delete(f.cleared, id)
		}
	}
	f.listed = next
	f.rebuild()
	marked := false
	for id, in := range next {
		if in.Leaving && !f.marks[id].active(now, in.Address) {
			f.marks[id] = f.newMark(id, now.Add(f.c.Keep), time.Time{})
			marked = true
		}
	}
	if marked {
		f.rebuild()
	}
}

// clear drops a mark. The caller holds mu.
func (f *Fleet) clear(id string, m mark) {
	delete(f.marks, id)
	f.cleared[id] = m.until
}

// Notice records a reclaim notice.
func (f *Fleet) Notice(id string, deadline time.Time) { f.leave(id, deadline) }

// Leaving records that a server rejected work because it is leaving.
func (f *Fleet) Leaving(id string) { f.leave(id, time.Time{}) }

// PeerLeaving records a peer's leaving mark, which is dropped at until.
func (f *Fleet) PeerLeaving(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Now()
	if m, ok := f.marks[id]; ok && !until.After(m.until) || !until.After(f.cleared[id]) || !until.After(now) {
		return
	}
	// A peer's clock may be ahead, and its mark must not outlast one of ours.
	if latest := now.Add(f.c.Keep); until.After(latest) {
		until = latest
	}
	f.setMark(id, f.newMark(id, until, f.marks[id].deadline))
}

func (f *Fleet) leave(id string, deadline time.Time) {
	f.mu.Lock()
	now := f.c.Now()
	m := f.newMark(id, now.Add(f.c.Keep), deadline)
	have, known := f.marks[id]
	known = known && have.active(now, m.address)
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

// newMark marks the process that now runs under id. The caller holds mu.
func (f *Fleet) newMark(id string, until, deadline time.Time) mark {
	m := mark{until: until, deadline: deadline}
	if s, ok := (*f.servers.Load())[id]; ok {
		s.mu.Lock()
		m.incarnation, m.address = s.report.Incarnation, s.in().Address
		s.mu.Unlock()
	}
	return m
}

// Marks returns the active leaving marks, for the peers.
func (f *Fleet) Marks() []Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Now()
	var ms []Mark
	for id, m := range f.marks {
		if now.Before(m.until) {
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
	if marked && m.replacedBy(&r) {
		f.clear(r.Backend, m)
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

// replacedBy reports whether r is from a new process under the same ID, which
// is not the one that was leaving. A mark made before the first report names
// no process and stays. A reclaim takes the instance and not just the process.
func (m mark) replacedBy(r *Report) bool {
	return !r.Leaving && m.incarnation != "" && r.Incarnation != "" && m.incarnation != r.Incarnation &&
		(m.deadline.IsZero() || r.At.After(m.deadline))
}

// renew replaces a server whose process was replaced. The caller holds mu.
func (f *Fleet) renew(old *server) *server {
	s := newServer(*old.in(), f.c.Now())
	s.inFlight = old.inFlight
	servers := maps.Clone(*f.servers.Load())
	servers[old.in().ID] = s
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
		s.full(f.c.Now().Add(f.c.Backoff))
	default:
		s.fail(f.c.Now(), f.c.Backoff)
	}
	s.touch()
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
