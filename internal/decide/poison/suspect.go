package poison

import "time"

// suspect is a cause that was in flight at crashes and not cleared since.
type suspect struct {
	processes map[string]bool // used as a set
	settledAt time.Time       // the end of settleTime
	blockAt   time.Time       // when the cause is blocked; zero if it is not accused
	trialAt   time.Time       // when the next trial may take place
	onTrial   bool            // this set allowed a trial, and no server crashed since
	// trialDelay is the time between the block and the next trial, and firstTrialDelay
	// its first value.
	trialDelay, firstTrialDelay time.Duration
}

func (s *CauseSet) suspect(k cause, process string, at, now time.Time) {
	a := s.suspects[k]
	if a == nil {
		a = &suspect{processes: make(map[string]bool), settledAt: at.Add(settleTime)}
		s.suspects[k] = a
	}
	if settledAt := at.Add(settleTime); settledAt.Before(a.settledAt) {
		a.settledAt = settledAt
	}
	a.processes[process] = true
	switch {
	case !a.blockAt.IsZero():
		if a.onTrial || !now.Before(a.trialAt) { // a trial, here or on another instance
			a.postponeTrial(now)
		}
	case len(a.processes) >= k.accusingCrashes():
		a.block(k, now)
		s.accused[k] = a
	}
}

// block sets the times of the block and of the first trial.
func (a *suspect) block(k cause, now time.Time) {
	a.blockAt, a.firstTrialDelay = now, firstRequestTrialDelay
	if !k.isRequest {
		a.firstTrialDelay = firstPartTrialDelay
		if now.Before(a.settledAt) {
			a.blockAt = a.settledAt
		}
	}
	a.trialDelay = a.firstTrialDelay
	a.trialAt = a.blockAt.Add(a.trialDelay)
}

// postponeTrial sets the time of the trial after one in which a server crashed.
func (a *suspect) postponeTrial(now time.Time) {
	a.onTrial = false
	a.trialDelay *= trialDelayFactor
	a.trialAt = a.blockAt.Add(a.trialDelay)
	if earliest := now.Add(a.firstTrialDelay); a.trialAt.Before(earliest) {
		a.trialAt = earliest
	}
}

func (c cause) accusingCrashes() int {
	if c.isRequest {
		return accusingRequestCrashes
	}
	return accusingPartCrashes
}

func (s *CauseSet) unsuspect(k cause, process string) {
	a := s.suspects[k]
	if a == nil {
		return
	}
	delete(a.processes, process)
	if len(a.processes) < k.accusingCrashes() {
		a.blockAt = time.Time{}
		delete(s.accused, k)
	}
	if len(a.processes) == 0 {
		delete(s.suspects, k)
	}
}

func (s *CauseSet) clear(c *processCrash, process string, k cause) {
	c.causes[k] = true
	s.unsuspect(k, process)
}

// explains reports whether so many of the crashes under other were also crashes under
// a that a may have caused them all.
func (a *suspect) explains(other *suspect) bool {
	unexplained := len(other.processes)
	if len(a.processes) < unexplainedCrashes || unexplained-len(a.processes) >= unexplainedCrashes {
		return false
	}
	for process := range a.processes {
		if other.processes[process] {
			unexplained--
		}
	}
	return unexplained < unexplainedCrashes
}
