package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Verdict is what is known about a request.
type Verdict uint8

// Verdicts, in the order of suspicion.
const (
	// Clear requests were in flight at no crash.
	Clear Verdict = iota
	// Suspect requests were in flight at the crash of one backend process.
	Suspect
	// Poison requests were in flight at the crashes of two backend processes
	// and are not run again.
	Poison
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Poison:
		return "poison"
	}
	return "unknown"
}

// Record is one request that was in flight at one crash.
type Record struct {
	Fingerprint uint64
	// Process is the backend server's ID, a slash and its incarnation.
	Process string
	// Deadline is the time at which the record lapses.
	Deadline time.Time
}

// maxRows bounds the memory that peers can make a set use, to about 10 MB. A
// request beyond it is not known to be a suspect.
const maxRows = 1 << 16

// Set holds the requests that were in flight at crashes. The zero value is
// empty; the methods are safe for concurrent use.
type Set struct {
	mu      sync.RWMutex
	version uint64
	rows    map[uint64]row
}

// row holds the two processes with the latest deadlines, the latest first. Two
// suffice for a verdict at any time, and the two latest of a union don't
// depend on the order in which it was formed.
type row struct {
	crashes [2]crash
	changed uint64
}

type crash struct {
	process  string
	deadline time.Time
}

// Crash records that the requests with the given fingerprints were in flight
// when the process of a backend server crashed.
func (s *Set) Crash(backend, incarnation string, fingerprints []uint64, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fp := range fingerprints {
		s.add(Record{Fingerprint: fp, Process: backend + "/" + incarnation, Deadline: deadline})
	}
}

// Verdict returns what is known about a request at now.
func (s *Set) Verdict(fingerprint uint64, now time.Time) Verdict {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := Clear
	for _, c := range s.rows[fingerprint].crashes {
		if c.deadline.After(now) {
			v++
		}
	}
	return v
}

// Suspects returns the sorted fingerprints of the suspects whose record lapses
// after a time, which are those of recent crashes.
func (s *Set) Suspects(now, after time.Time) (fingerprints []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for fp, r := range s.rows {
		if r.crashes[0].deadline.After(after) && !r.crashes[1].deadline.After(now) {
			fingerprints = append(fingerprints, fp)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// Merge adds the records of another set and returns the number that changed
// this one.
func (s *Set) Merge(rs []Record) (changed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rs {
		if s.add(r) {
			changed++
		}
	}
	return changed
}

// Since returns the records of the fingerprints that changed after version and
// the version to ask from next. It returns those of at most limit fingerprints,
// the earliest changes first; 0 is no limit.
func (s *Set) Since(version uint64, limit int) (rs []Record, next uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version == s.version {
		return nil, version
	}
	var changed []uint64
	for fp, r := range s.rows {
		if r.changed > version {
			changed = append(changed, fp)
		}
	}
	slices.SortFunc(changed, func(a, b uint64) int { return cmp.Compare(s.rows[a].changed, s.rows[b].changed) })
	next = s.version
	if limit > 0 && len(changed) > limit {
		changed = changed[:limit]
		next = s.rows[changed[limit-1]].changed
	}
	for _, fp := range changed {
		for _, c := range s.rows[fp].crashes {
			if c.process != "" {
				rs = append(rs, Record{Fingerprint: fp, Process: c.process, Deadline: c.deadline})
			}
		}
	}
	return rs, next
}

// Expire drops the requests all of whose records lapsed before now.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp, r := range s.rows {
		if !r.crashes[0].deadline.After(now) {
			delete(s.rows, fp)
		}
	}
}

func (s *Set) add(rec Record) bool {
	if rec.Process == "" {
		return false
	}
	have, known := s.rows[rec.Fingerprint]
	if !known && len(s.rows) >= maxRows {
		return false
	}
	crashes, changed := latest(have.crashes, crash{rec.Process, rec.Deadline})
	if !changed {
		return false
	}
	if s.rows == nil {
		s.rows = make(map[uint64]row)
	}
	s.version++
	s.rows[rec.Fingerprint] = row{crashes: crashes, changed: s.version}
	return true
}

// latest returns the two latest of cs and c, of different processes.
func latest(cs [2]crash, c crash) ([2]crash, bool) {
	a, b := cs[0], cs[1]
	switch {
	case c.process == a.process:
		if !c.after(a) {
			return cs, false
		}
		return [2]crash{c, b}, true
	case c.process == b.process && !c.after(b):
		return cs, false
	case c.after(a):
		return [2]crash{c, a}, true
	case c.after(b):
		return [2]crash{a, c}, true
	}
	return cs, false
}

// after orders crashes by deadline, then by process, so that all nodes keep
// the same two.
func (c crash) after(d crash) bool {
	if !c.deadline.Equal(d.deadline) {
		return c.deadline.After(d.deadline)
	}
	return c.process > d.process
}
