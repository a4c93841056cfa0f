package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Verdict classifies a request by the crashes at which it was in flight.
type Verdict uint8

// Verdicts, in increasing order of suspicion.
const (
	// Clear requests were in flight at no known crash.
	Clear Verdict = iota
	// Suspect requests were in flight at the crash of one backend process.
	Suspect
	// Poison requests were in flight at the crashes of two backend processes
	// and are not run again.
	Poison
)

// String returns the verdict as shown in logs.
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

// Record states that one request was in flight at one crash.
type Record struct {
	Fingerprint uint64
	// Process identifies the backend process, as the backend server's ID, a
	// slash and its incarnation.
	Process string
	// Deadline is the time at which the record expires.
	Deadline time.Time
	// Cleared reports that a server has completed a response to the request since.
	Cleared bool
}

// maxRequests limits the memory that peers can make a set use to about 10 MB.
// Requests beyond it are not recorded, so they are not recognized as suspects.
const maxRequests = 1 << 16

// Set holds the requests that were in flight at crashes. The zero value is
// empty and ready to use; the methods are safe for concurrent use.
type Set struct {
	mu       sync.RWMutex
	version  uint64 // number of changes to requests
	requests map[uint64]request
}

// request holds the crashes of the two processes with the latest deadlines, the
// latest first. Two are enough for a verdict at any time, and merging records in
// any order leaves the same two.
type request struct {
	crashes    [2]crash
	lastChange uint64 // Set.version after the last change of crashes
}

type crash struct {
	process  string
	deadline time.Time
	cleared  bool
}

// Crash records that the requests with the given fingerprints were in flight
// when the process of a backend server crashed.
func (s *Set) Crash(backend, incarnation string, fingerprints []uint64, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fp := range fingerprints {
		s.addRecord(Record{Fingerprint: fp, Process: backend + "/" + incarnation, Deadline: deadline})
	}
}

// Verdict returns the verdict on a request at now.
func (s *Set) Verdict(fingerprint uint64, now time.Time) Verdict {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := Clear
	for _, c := range s.requests[fingerprint].crashes {
		if c.counts(now) {
			v++
		}
	}
	return v
}

// Completed records that a server completed a response to a request, which clears it
// of all crashes known so far. It reports whether that changed the set.
func (s *Set) Completed(fingerprint uint64) (changed bool) {
	if !s.hasCrash(fingerprint) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.requests[fingerprint].crashes {
		if c.process != "" && s.addRecord(Record{Fingerprint: fingerprint, Process: c.process, Deadline: c.deadline, Cleared: true}) {
			changed = true
		}
	}
	return changed
}

func (s *Set) hasCrash(fingerprint uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.requests[fingerprint]
	return ok
}

// Suspects returns the sorted fingerprints of the requests that are suspects at
// now and whose latest record expires after expiringAfter. Callers that use one
// retention time for all records thereby get the suspects of recent crashes.
func (s *Set) Suspects(now, expiringAfter time.Time) (fingerprints []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for fp, r := range s.requests {
		first, second := r.crashes[0], r.crashes[1]
		if first.counts(expiringAfter) && !second.counts(now) {
			fingerprints = append(fingerprints, fp)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// Merge adds the records of another set and returns the number of records that
// changed this one.
func (s *Set) Merge(rs []Record) (changed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rs {
		if s.addRecord(r) {
			changed++
		}
	}
	return changed
}

// Since returns the records of the fingerprints that changed after version, and
// the version to pass to the next call. It returns the records of at most limit
// fingerprints, the earliest changes first; a limit of 0 means no limit.
func (s *Set) Since(version uint64, limit int) (rs []Record, next uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version == s.version {
		return nil, version
	}
	var changed []uint64
	for fp, r := range s.requests {
		if r.lastChange > version {
			changed = append(changed, fp)
		}
	}
	slices.SortFunc(changed, func(a, b uint64) int { return cmp.Compare(s.requests[a].lastChange, s.requests[b].lastChange) })
	next = s.version
	if limit > 0 && len(changed) > limit {
		changed = changed[:limit]
		next = s.requests[changed[limit-1]].lastChange
	}
	for _, fp := range changed {
		for _, c := range s.requests[fp].crashes {
			if c.process != "" {
				rs = append(rs, Record{Fingerprint: fp, Process: c.process, Deadline: c.deadline, Cleared: c.cleared})
			}
		}
	}
	return rs, next
}

// Expire removes the requests whose records have all expired at now.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp, r := range s.requests {
		if !r.crashes[0].deadline.After(now) {
			delete(s.requests, fp)
		}
	}
}

func (s *Set) addRecord(rec Record) bool {
	if rec.Process == "" {
		return false
	}
	current, known := s.requests[rec.Fingerprint]
	if !known && len(s.requests) >= maxRequests {
		return false
	}
	crashes, changed := latestCrashes(current.crashes, crash{rec.Process, rec.Deadline, rec.Cleared})
	if !changed {
		return false
	}
	if s.requests == nil {
		s.requests = make(map[uint64]request)
	}
	s.version++
	s.requests[rec.Fingerprint] = request{crashes: crashes, lastChange: s.version}
	return true
}

// latestCrashes adds c to cs and returns the two latest crashes, at most one per
// process, and whether they differ from cs.
func latestCrashes(cs [2]crash, c crash) ([2]crash, bool) {
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

// after orders crashes by deadline, then by process, so that all instances
// keep the same two. Of one crash, the record that is cleared comes later.
func (c crash) after(d crash) bool {
	switch {
	case !c.deadline.Equal(d.deadline):
		return c.deadline.After(d.deadline)
	case c.process != d.process:
		return c.process > d.process
	default:
		return c.cleared && !d.cleared
	}
}

// counts reports whether the crash counts against the request at now.
func (c crash) counts(now time.Time) bool { return c.deadline.After(now) && !c.cleared }
