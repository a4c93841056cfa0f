package poison

import (
	"cmp"
	"slices"
	"time"
)

// CrashReport describes the crash of one backend process.
type CrashReport struct {
	// Process identifies the backend process, as in Record.
	Process string
	// Requests are the fingerprints of the requests that were in flight. Parts are the
	// parts of the prompts to which the process had not yet responded, or had just begun
	// to. The cleared ones are those with which servers have completed responses since an
	// instance learned of the crash.
	Requests, ClearedRequests []uint64
	Parts, ClearedParts       []uint64
	// Deadline is the time at which the report expires.
	Deadline time.Time
}

// processCrash is what is known of the crash of one process.
type processCrash struct {
	causes          map[cause]bool // whether the cause was cleared
	requests, parts int            // number of each kind in causes
	deadline        time.Time
	lastChange      uint64 // CauseSet.version after the last change
}

// Merge adds reports of another set and returns the number of those that changed
// this one.
func (s *CauseSet) Merge(reports []CrashReport, now time.Time) (changed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		if s.add(r, now) {
			changed++
		}
	}
	return changed
}

// Since returns the reports that changed after version, and the version to pass to
// the next call. It returns the earliest changes first, and none after those with
// limit causes in all; a limit of 0 means no limit.
func (s *CauseSet) Since(version uint64, limit int) (reports []CrashReport, next uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version == s.version {
		return nil, version
	}
	var changed []string
	for process, c := range s.crashes {
		if c.lastChange > version {
			changed = append(changed, process)
		}
	}
	slices.SortFunc(changed, func(a, b string) int { return cmp.Compare(s.crashes[a].lastChange, s.crashes[b].lastChange) })
	size := 0
	for _, process := range changed {
		c := s.crashes[process]
		reports = append(reports, c.report(process))
		if size += len(c.causes); limit > 0 && size >= limit {
			return reports, c.lastChange
		}
	}
	return reports, s.version
}

// Expire removes the reports that have expired at now.
func (s *CauseSet) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for process, c := range s.crashes {
		if !c.deadline.After(now) {
			s.remove(process)
		}
	}
}

func (s *CauseSet) add(r CrashReport, now time.Time) (changed bool) {
	if r.Process == "" || r.size() == 0 || !r.Deadline.After(now) {
		return false
	}
	c := s.crashes[r.Process]
	if c == nil {
		c = s.newCrash(r.Process)
	}
	at := crashedAt(r, now)
	for _, ids := range []struct {
		isRequest         bool
		suspects, cleared []uint64
	}{{true, r.Requests, r.ClearedRequests}, {false, r.Parts, r.ClearedParts}} {
		for _, id := range ids.suspects {
			if k := (cause{ids.isRequest, id}); c.put(k) {
				s.suspect(k, r.Process, at, now)
				changed = true
			}
		}
		for _, id := range ids.cleared {
			k := cause{ids.isRequest, id}
			if cleared, known := c.causes[k]; !cleared && (known || c.put(k)) {
				s.clear(c, r.Process, k)
				changed = true
			}
		}
	}
	if r.Deadline.After(c.deadline) {
		c.deadline = r.Deadline
		changed = true
	}
	if changed {
		s.touch(c)
	}
	return changed
}

func (r CrashReport) size() int {
	return len(r.Requests) + len(r.ClearedRequests) + len(r.Parts) + len(r.ClearedParts)
}

// put adds a cause that is not cleared. It reports false if it is known or there are
// too many.
func (c *processCrash) put(k cause) bool {
	if _, known := c.causes[k]; known {
		return false
	}
	count := &c.parts
	if k.isRequest {
		count = &c.requests
	}
	if *count >= maxCausesPerCrash {
		return false
	}
	*count++
	c.causes[k] = false
	return true
}

// newCrash adds a report without causes. If there are too many, it replaces the one
// that expires first.
func (s *CauseSet) newCrash(process string) *processCrash {
	if s.crashes == nil {
		s.crashes, s.suspects, s.accused = make(map[string]*processCrash), make(map[cause]*suspect), make(map[cause]*suspect)
	}
	if len(s.crashes) >= maxCrashes {
		first := ""
		for p, c := range s.crashes {
			if first == "" || c.deadline.Before(s.crashes[first].deadline) {
				first = p
			}
		}
		s.remove(first)
	}
	c := &processCrash{causes: make(map[cause]bool)}
	s.crashes[process] = c
	return c
}

func (s *CauseSet) remove(process string) {
	for k, cleared := range s.crashes[process].causes {
		if !cleared {
			s.unsuspect(k, process)
		}
	}
	delete(s.crashes, process)
}

func (s *CauseSet) touch(c *processCrash) {
	s.version++
	c.lastChange = s.version
}

// crashedAt returns the time of a crash, which is not later than now even if the clock
// of the instance that reported it is ahead.
func crashedAt(r CrashReport, now time.Time) time.Time {
	age := now.Sub(r.Deadline.Add(-CrashRetention))
	// Add keeps the monotonic clock of now, so that a step of the wall clock does not
	// move the time.
	return now.Add(-max(0, age))
}

func (c *processCrash) report(process string) CrashReport {
	r := CrashReport{Process: process, Deadline: c.deadline}
	for k, cleared := range c.causes {
		ids := &r.Parts
		switch {
		case k.isRequest && cleared:
			ids = &r.ClearedRequests
		case k.isRequest:
			ids = &r.Requests
		case cleared:
			ids = &r.ClearedParts
		}
		*ids = append(*ids, k.id)
	}
	return r
}
