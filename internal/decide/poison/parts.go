package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// accusingCrashes is the number of processes that must have crashed under a part,
	// with no response to a prompt with it completed since, before it is accused.
	accusingCrashes = 4
	// unexplainedCrashes is the number of crashes under a part for which no other part
	// may be to blame. An innocent part is thereby not blocked because it comes together
	// with the guilty one.
	unexplainedCrashes = 2
	// settleTime is the minimum time between the first crash under a part and its
	// block. If several servers are reclaimed at once, frequent parts are cleared in it
	// by the responses of other servers.
	settleTime = time.Second
	// firstTrialDelay is the time between the block of a part and the first trial, in
	// which one request with it may run. The time between the block and each further
	// trial is trialDelayFactor times as long as that before the previous one. A part
	// that no longer crashes servers is thereby cleared.
	firstTrialDelay  = 15 * time.Second
	trialDelayFactor = 8
	// PartRetention is the time between a crash and the deadline of its report.
	PartRetention = time.Hour
	// maxPartCrashes and maxPartsPerCrash limit the memory that peers can make a set
	// use to about 50 MB.
	maxPartCrashes   = 512
	maxPartsPerCrash = 256
)

// PartCrash describes the crash of one backend process.
type PartCrash struct {
	// Process identifies the backend process, as in Record.
	Process string
	// Parts are the parts of the prompts to which the process had not yet responded,
	// or had just begun to. Cleared are the parts with which servers have completed
	// responses since an instance learned of the crash.
	Parts, Cleared []uint64
	// Deadline is the time at which the report expires.
	Deadline time.Time
}

// PartSet identifies parts of prompts that crash the backend processes that respond
// to them, whatever else the prompts hold. The zero value is empty and ready to use;
// the methods are safe for concurrent use. Sets that have merged the same reports
// accuse the same parts.
type PartSet struct {
	mu      sync.RWMutex
	version uint64 // number of changes to crashes
	crashes map[string]*partCrash
	// suspects are the parts that were in flight at a crash and not cleared since,
	// and accused those of them with accusingCrashes crashes.
	suspects map[uint64]*suspect
	accused  map[uint64]*suspect
}

type partCrash struct {
	parts      map[uint64]bool // whether the part was cleared
	deadline   time.Time
	lastChange uint64 // PartSet.version after the last change
}

// suspect is a part that was in flight at crashes and not cleared since.
type suspect struct {
	processes map[string]bool // used as a set
	settledAt time.Time       // the end of settleTime
	blockAt   time.Time       // when the part is blocked; zero if it is not accused
	trialAt   time.Time       // when the next trial may take place
}

// Crash records that a process crashed before it had responded to prompts with the
// given parts. It reports whether the record is new.
func (s *PartSet) Crash(process string, parts []uint64, deadline, now time.Time) (changed bool) {
	return s.Merge([]PartCrash{{Process: process, Parts: parts, Deadline: deadline}}, now) > 0
}

// Completed records that a server completed a response to a prompt with the given
// parts, which clears them of all crashes known so far. It reports whether that
// changed the set.
func (s *PartSet) Completed(parts []uint64) (changed bool) {
	if !s.anySuspect(parts) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		known, ok := s.suspects[part]
		if !ok {
			continue
		}
		for process := range maps.Clone(known.processes) {
			s.clear(s.crashes[process], process, part)
			s.touch(s.crashes[process])
		}
		changed = true
	}
	return changed
}

// Blocked reports whether a request whose prompt has the given parts must not run.
func (s *PartSet) Blocked(parts []uint64, now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.accused) == 0 {
		return false
	}
	return slices.ContainsFunc(parts, func(part uint64) bool { return s.blocked(part, parts, now) })
}

// Trial reports whether one request with a blocked part may run now, and if so,
// schedules the next trial.
func (s *PartSet) Trial(parts []uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*suspect
	for _, part := range parts {
		if !s.blocked(part, parts, now) {
			continue
		}
		if now.Before(s.accused[part].trialAt) {
			return false
		}
		due = append(due, s.accused[part])
	}
	for _, a := range due {
		a.postponeTrial()
	}
	return len(due) > 0
}

// BlockedParts returns the sorted parts that are blocked at now, including those
// whose crashes another part explains.
func (s *PartSet) BlockedParts(now time.Time) (parts []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for part, a := range s.accused {
		if !now.Before(a.blockAt) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// Merge adds reports of another set and returns the number of those that changed
// this one.
func (s *PartSet) Merge(reports []PartCrash, now time.Time) (changed int) {
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
// limit parts in all; a limit of 0 means no limit.
func (s *PartSet) Since(version uint64, limit int) (reports []PartCrash, next uint64) {
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
		if size += len(c.parts); limit > 0 && size >= limit {
			return reports, c.lastChange
		}
	}
	return reports, s.version
}

// Expire removes the reports that have expired at now.
func (s *PartSet) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for process, c := range s.crashes {
		if !c.deadline.After(now) {
			s.remove(process)
		}
	}
}

func (s *PartSet) anySuspect(parts []uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.ContainsFunc(parts, func(part uint64) bool { return s.suspects[part] != nil })
}

// blocked reports whether a part blocks a prompt with the given parts.
func (s *PartSet) blocked(part uint64, parts []uint64, now time.Time) bool {
	a := s.accused[part]
	if a == nil || now.Before(a.blockAt) {
		return false
	}
	for other, o := range s.suspects {
		if other != part && !slices.Contains(parts, other) && o.explains(a) {
			return false
		}
	}
	return true
}

// explains reports whether so many of the crashes under other were also crashes under
// a that a may have caused them all.
func (a *suspect) explains(other *suspect) bool {
	unexplained := len(other.processes)
	if unexplained-len(a.processes) >= unexplainedCrashes {
		return false
	}
	for process := range a.processes {
		if other.processes[process] {
			unexplained--
		}
	}
	return unexplained < unexplainedCrashes
}

func (s *PartSet) add(r PartCrash, now time.Time) (changed bool) {
	if r.Process == "" || len(r.Parts)+len(r.Cleared) == 0 || !r.Deadline.After(now) {
		return false
	}
	c := s.crashes[r.Process]
	if c == nil {
		c = s.newCrash(r.Process)
	}
	for _, part := range r.Parts {
		if _, known := c.parts[part]; !known && len(c.parts) < maxPartsPerCrash {
			c.parts[part] = false
			s.suspect(part, r.Process, crashedAt(r, now), now)
			changed = true
		}
	}
	for _, part := range r.Cleared {
		if cleared, known := c.parts[part]; !cleared && (known || len(c.parts) < maxPartsPerCrash) {
			s.clear(c, r.Process, part)
			changed = true
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

// newCrash adds a report without parts. If there are too many, it replaces the one
// that expires first.
func (s *PartSet) newCrash(process string) *partCrash {
	if s.crashes == nil {
		s.crashes, s.suspects, s.accused = make(map[string]*partCrash), make(map[uint64]*suspect), make(map[uint64]*suspect)
	}
	if len(s.crashes) >= maxPartCrashes {
		first := ""
		for p, c := range s.crashes {
			if first == "" || c.deadline.Before(s.crashes[first].deadline) {
				first = p
			}
		}
		s.remove(first)
	}
	c := &partCrash{parts: make(map[uint64]bool)}
	s.crashes[process] = c
	return c
}

func (s *PartSet) remove(process string) {
	for part, cleared := range s.crashes[process].parts {
		if !cleared {
			s.unsuspect(part, process)
		}
	}
	delete(s.crashes, process)
}

func (s *PartSet) touch(c *partCrash) {
	s.version++
	c.lastChange = s.version
}

// crashedAt returns the time of a crash, which is not later than now even if the clock
// of the instance that reported it is ahead.
func crashedAt(r PartCrash, now time.Time) time.Time {
	age := now.Sub(r.Deadline.Add(-PartRetention))
	// Add keeps the monotonic clock of now, so that a step of the wall clock does not
	// move the time.
	return now.Add(-max(0, age))
}

func (s *PartSet) suspect(part uint64, process string, at, now time.Time) {
	a := s.suspects[part]
	if a == nil {
		a = &suspect{processes: make(map[string]bool), settledAt: at.Add(settleTime)}
		s.suspects[part] = a
	}
	if settledAt := at.Add(settleTime); settledAt.Before(a.settledAt) {
		a.settledAt = settledAt
	}
	a.processes[process] = true
	switch {
	case !a.blockAt.IsZero():
		if !now.Before(a.trialAt) {
			a.postponeTrial() // another instance had a trial
		}
	case len(a.processes) >= accusingCrashes:
		a.blockAt = now
		if now.Before(a.settledAt) {
			a.blockAt = a.settledAt
		}
		a.trialAt = a.blockAt.Add(firstTrialDelay)
		s.accused[part] = a
	}
}

// postponeTrial sets the time of the trial after the one that takes place now.
func (a *suspect) postponeTrial() {
	a.trialAt = a.blockAt.Add(trialDelayFactor * a.trialAt.Sub(a.blockAt))
}

func (s *PartSet) unsuspect(part uint64, process string) {
	a := s.suspects[part]
	if a == nil {
		return
	}
	delete(a.processes, process)
	if len(a.processes) < accusingCrashes {
		a.blockAt = time.Time{}
		delete(s.accused, part)
	}
	if len(a.processes) == 0 {
		delete(s.suspects, part)
	}
}

func (s *PartSet) clear(c *partCrash, process string, part uint64) {
	c.parts[part] = true
	s.unsuspect(part, process)
}

func (c *partCrash) report(process string) PartCrash {
	r := PartCrash{Process: process, Deadline: c.deadline}
	for part, cleared := range c.parts {
		if cleared {
			r.Cleared = append(r.Cleared, part)
		} else {
			r.Parts = append(r.Parts, part)
		}
	}
	return r
}
