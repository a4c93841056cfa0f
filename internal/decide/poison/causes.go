package poison

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// accusingPartCrashes is the number of processes that must have crashed under a part
	// of prompts, with no response to a prompt with it completed since, before it is
	// accused. accusingRequestCrashes is the same for a request that is sent again.
	accusingPartCrashes    = 4
	accusingRequestCrashes = 2
	// unexplainedCrashes is the number of crashes under a cause for which no other cause
	// may be to blame, and the least number of crashes under a cause that may be to blame
	// for those under another. An innocent cause is thereby not blocked because it comes
	// together with the guilty one.
	unexplainedCrashes = 2
	// settleTime is the minimum time between the first crash under a part and its
	// block. If several servers are reclaimed at once, frequent parts are cleared in it
	// by the responses of other servers. A request is blocked at once, since its client
	// may send it again at once.
	settleTime = time.Second
	// firstPartTrialDelay is the time between the block of a part and the first trial, in
	// which one request with it may run, and firstRequestTrialDelay is the same for a
	// request. The time between the block and the trial after one in which a server
	// crashed is trialDelayFactor times as long as that before. A cause that no longer
	// crashes servers is thereby cleared.
	firstPartTrialDelay    = 15 * time.Second
	firstRequestTrialDelay = 2 * time.Second
	trialDelayFactor       = 8
	// CrashRetention is the time between a crash and the deadline of its report.
	CrashRetention = time.Hour
	// maxCrashes and maxCausesPerCrash limit the memory that peers can make a set
	// use to about 100 MB. The latter limits requests and parts separately; one prompt
	// may have as many parts.
	maxCrashes        = 128
	maxCausesPerCrash = 1024
)

// Request is what may crash a server that runs a request.
type Request struct {
	// Fingerprint identifies the request by its content.
	Fingerprint uint64
	// Parts are the parts of its prompt that other prompts may share.
	Parts []uint64
}

// Block states why a request must not run.
type Block uint8

// Blocks.
const (
	NotBlocked Block = iota
	// BlockedRequest means that the request has crashed servers before.
	BlockedRequest
	// BlockedPart means that a part of its prompt crashes servers.
	BlockedPart
)

// String returns the block as shown in logs.
func (b Block) String() string {
	switch b {
	case NotBlocked:
		return "clear"
	case BlockedRequest:
		return "poison"
	case BlockedPart:
		return "poison-part"
	}
	return "unknown"
}

// CauseSet identifies requests that crash the backend processes that run them, and
// parts of prompts that crash the processes that respond to them, whatever else the
// prompts hold. The zero value is empty and ready to use; the methods are safe for
// concurrent use. Sets that have merged the same reports accuse the same causes.
type CauseSet struct {
	mu      sync.RWMutex
	version uint64 // number of changes to crashes
	crashes map[string]*processCrash
	// suspects are the causes that were in flight at a crash and not cleared since, and
	// accused those of them with so many crashes that they may be blocked.
	suspects map[cause]*suspect
	accused  map[cause]*suspect
}

// cause is a possible cause of crashes: a request or a part of prompts.
type cause struct {
	isRequest bool
	id        uint64
}

// causes returns the possible causes of a crash under r.
func (r Request) causes() []cause {
	cs := make([]cause, 0, len(r.Parts)+1)
	cs = append(cs, cause{true, r.Fingerprint})
	for _, part := range r.Parts {
		cs = append(cs, cause{false, part})
	}
	return cs
}

// Crash records that a process crashed while it ran r. If responding is set, it had
// responded for long enough to show that no part of the prompt is the cause. It reports
// whether the record is new.
func (s *CauseSet) Crash(process string, r Request, responding bool, deadline, now time.Time) (changed bool) {
	report := CrashReport{Process: process, Requests: []uint64{r.Fingerprint}, Deadline: deadline}
	if !responding {
		report.Parts = r.Parts
	}
	return s.Merge([]CrashReport{report}, now) > 0
}

// Completed records that a server completed a response to r, which clears the request
// and its parts of all crashes known so far. It reports whether that changed the set.
func (s *CauseSet) Completed(r Request) (changed bool) {
	if !s.hasSuspect(r) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range r.causes() {
		known, ok := s.suspects[c]
		if !ok {
			continue
		}
		for process := range maps.Clone(known.processes) {
			s.clear(s.crashes[process], process, c)
			s.touch(s.crashes[process])
		}
		changed = true
	}
	return changed
}

// Blocked returns whether r must not run, and why.
func (s *CauseSet) Blocked(r Request, now time.Time) Block {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.accused) == 0 {
		return NotBlocked
	}
	block, cs := NotBlocked, r.causes()
	for _, c := range cs {
		if !s.blocked(c, cs, now) {
			continue
		}
		if !c.isRequest {
			return BlockedPart
		}
		block = BlockedRequest
	}
	return block
}

// Trial reports whether one request may run now although it is blocked, and if so,
// schedules the next trial. It waits for patience times the usual delay longer, so
// that sets with different patience do not allow trials at the same time.
func (s *CauseSet) Trial(r Request, patience float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cs := r.causes()
	var due []*suspect
	for _, c := range cs {
		if !s.blocked(c, cs, now) {
			continue
		}
		a := s.accused[c]
		if now.Before(a.trialAt.Add(time.Duration(patience * float64(a.trialDelay)))) {
			return false
		}
		due = append(due, a)
	}
	for _, a := range due {
		a.onTrial = true
		a.trialAt = now.Add(a.firstTrialDelay) // again, if the request is not sent after all
	}
	return len(due) > 0
}

// BlockedParts returns the sorted parts of prompts that are blocked at now, including
// those whose crashes another part explains.
func (s *CauseSet) BlockedParts(now time.Time) (parts []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for c, a := range s.accused {
		if !c.isRequest && !now.Before(a.blockAt) {
			parts = append(parts, c.id)
		}
	}
	slices.Sort(parts)
	return parts
}

// hasSuspect reports whether r or a part of its prompt was in flight at a crash and not
// cleared since.
func (s *CauseSet) hasSuspect(r Request) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.suspects) == 0 {
		return false
	}
	return slices.ContainsFunc(r.causes(), func(c cause) bool { return s.suspects[c] != nil })
}

// blocked reports whether c, one of the causes cs of a request, blocks it. Another
// request may only be to blame for the crashes under a request: requests that come
// often are in flight at each crash under a guilty part.
func (s *CauseSet) blocked(c cause, cs []cause, now time.Time) bool {
	a := s.accused[c]
	if a == nil || now.Before(a.blockAt) {
		return false
	}
	for other, o := range s.suspects {
		if other.isRequest && !c.isRequest || slices.Contains(cs, other) {
			continue
		}
		if o.explains(a) {
			return false
		}
	}
	return true
}
