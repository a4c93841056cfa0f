package allowance

import (
	"context"
	"math"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// CollectPeriod is how often Collect must be called.
	CollectPeriod = 100 * time.Millisecond
	// rotationPeriod is the minimum time between two collections from the same member
	// of the failure domain.
	rotationPeriod = 600 * time.Millisecond
	// collectBelow is the level, as a fraction of the burst, below which an owner
	// collects units of the members, and borrowBelow the one below which it borrows
	// units in advance.
	collectBelow = 0.8
	borrowBelow  = 0.3
	// borrowTimeout limits a call to the owner in another failure domain, which
	// responds within milliseconds. loanTimeout limits the calls of one loan. It is
	// shorter than askTimeout, so that peers do not take a borrowing owner for stopped.
	borrowTimeout = 30 * time.Millisecond
	loanTimeout   = 60 * time.Millisecond
	// borrowPause is the time between two loans, and refusedBorrowPause the same
	// after the other failure domains had too little. They bound the calls between
	// failure domains.
	borrowPause        = 20 * time.Millisecond
	refusedBorrowPause = 100 * time.Millisecond
	// borrowHorizon is the time for which an owner borrows the units that its failure
	// domain needs.
	borrowHorizon = 200 * time.Millisecond
	// ownerTimeout is the time since its last decision for which the owner collects
	// units. A deputy, another instance that was asked instead, collects them for
	// deputyTimeout, and for handoverTimeout if it reaches the owner. Afterwards it
	// returns what is left to the owner.
	ownerTimeout    = 10 * time.Second
	deputyTimeout   = 3 * time.Second
	handoverTimeout = 250 * time.Millisecond
)

// transfer adds the contribution of a request to the shared pool and removes what the
// sender borrows.
func (l *Limiter) transfer(w *routes.Workspace, r Request) (granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	if r.Contribution > 0 {
		s.shared.Add(r.Contribution, now)
	}
	if r.Borrow > 0 {
		granted = l.lend(s, r.Borrow, now)
		l.metrics.units.WithLabelValues("lent").Add(granted)
	}
	return granted
}

// contribution removes the instance's own units in order to send them to an owner. It
// returns 0 unless the last call to the owner succeeded: the units might be lost.
func (l *Limiter) contribution(w *routes.Workspace, owner string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.peers[owner].hasReplied {
		return 0
	}
	now := l.config.Now()
	s := l.state(w, now)
	units := s.own.Remove(s.own.Burst(), 0, now)
	if !l.isServing(s, now) {
		returned := s.shared.Remove(s.shared.Burst(), 0, now)
		l.metrics.units.WithLabelValues("returned").Add(returned)
		units += returned
	}
	l.metrics.units.WithLabelValues("contributed").Add(units)
	return units
}

// Collect collects and borrows units of the workspaces of which this instance is the
// owner.
func (l *Limiter) Collect(ctx context.Context) {
	table := l.config.Table()
	if table == nil {
		return
	}
	for i := range table.Workspaces {
		if w := &table.Workspaces[i]; w.Allowance.Rate > 0 && ctx.Err() == nil {
			l.collect(ctx, w)
		}
	}
}

// collect fills, as the owner, the shared pool of a workspace with requests from the
// pools of the members of the failure domain, and borrows units in advance.
func (l *Limiter) collect(ctx context.Context, w *routes.Workspace) {
	if owner, isDeputy := l.deputyOf(w); isDeputy {
		_, _ = l.ask(ctx, owner, askTimeout, Request{Workspace: w.Name, Contribution: l.contribution(w, owner)}) // the outcome is recorded
	}
	want, members := l.membersToCollect(w)
	for _, id := range members {
		if want <= 0 || ctx.Err() != nil {
			break
		}
		reply, err := l.ask(ctx, id, askTimeout, Request{Workspace: w.Name, Borrow: want})
		if err == nil {
			want -= reply.Granted
			l.addGranted(w, reply.Granted, "collected")
		}
	}
	if l.isLow(w) {
		l.borrow(ctx, w, 0)
	}
}

// deputyOf returns the owner if this instance was recently asked instead of it and the
// owner may be called.
func (l *Limiter) deputyOf(w *routes.Workspace) (owner string, isDeputy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	owner = s.owner()
	isDeputy = owner != "" && owner != l.config.Instance && !s.servedAt.IsZero() && now.Sub(s.servedAt) < deputyTimeout
	return owner, isDeputy && !now.Before(l.peers[owner].avoidUntil)
}

// membersToCollect returns the units to collect, and the members that are next. It
// returns none unless the instance decides as the owner.
func (l *Limiter) membersToCollect(w *routes.Workspace) (want float64, members []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	if !l.isServing(s, now) {
		return 0, nil
	}
	s.collect(now)
	if s.shared.Fill(now) >= collectBelow {
		return 0, nil
	}
	local := l.knownFleet().Local
	n := int(math.Ceil(float64(len(local)) * float64(CollectPeriod) / float64(rotationPeriod)))
	for range local {
		if len(members) == n {
			break
		}
		s.nextMember++
		id := local[s.nextMember%len(local)]
		if id != l.config.Instance && !now.Before(l.peers[id].avoidUntil) {
			members = append(members, id)
		}
	}
	return s.shared.Room(now), members
}

// isLow reports whether little is left of a workspace that sends requests.
func (l *Limiter) isLow(w *routes.Workspace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	return l.isServing(s, now) && s.shared.Fill(now) < borrowBelow
}

// borrow borrows units of other failure domains for a use and for the demand of the
// next borrowHorizon, and reports whether units may have been added. One loan per
// workspace is in progress at a time; other calls wait for it.
func (l *Limiter) borrow(ctx context.Context, w *routes.Workspace, units float64) bool {
	want, remotes, done, isInProgress := l.beginBorrow(w, units)
	if isInProgress {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if len(remotes) == 0 {
		return false
	}
	// Other requests wait for the loan, so that it goes on if this one is canceled.
	loanCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	defer cancel()
	granted := 0.0
	for _, owner := range remotes {
		if granted >= want || loanCtx.Err() != nil {
			break
		}
		reply, err := l.ask(loanCtx, owner, borrowTimeout, Request{Workspace: w.Name, Borrow: want - granted})
		if err == nil {
			granted += reply.Granted
			l.addGranted(w, reply.Granted, "borrowed")
		}
	}
	l.endBorrow(w, done, granted >= want/2)
	return granted > 0
}

// beginBorrow returns the units to borrow and the instances to ask, or none if units
// may not be borrowed now. If a loan is in progress, it returns the channel that is
// closed when it ends.
func (l *Limiter) beginBorrow(w *routes.Workspace, units float64) (want float64, remotes []string, done chan struct{}, isInProgress bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	if s.borrowed != nil {
		return 0, nil, s.borrowed, true
	}
	want = min(s.shared.Room(now), units+borrowHorizon.Seconds()*s.shared.Demand(now))
	if now.Before(s.borrowAt) || want <= 0 {
		return 0, nil, nil, false
	}
	for _, candidates := range s.remotes {
		if owners := l.reachable(candidates, 1, now); len(owners) > 0 {
			remotes = append(remotes, owners[0])
		}
	}
	if len(remotes) == 0 {
		return 0, nil, nil, false
	}
	// Each loan starts at another failure domain.
	first := int(l.config.Random()*float64(len(remotes))) % len(remotes)
	remotes = append(remotes[first:], remotes[:first]...)
	s.borrowed = make(chan struct{})
	return want, remotes, s.borrowed, false
}

// endBorrow ends a loan.
func (l *Limiter) endBorrow(w *routes.Workspace, done chan struct{}, sufficed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	s.borrowed = nil
	s.borrowAt = now.Add(borrowPause)
	if !sufficed {
		s.borrowAt = now.Add(refusedBorrowPause)
	}
	close(done)
}

// addGranted adds units of other instances to the shared pool.
func (l *Limiter) addGranted(w *routes.Workspace, units float64, transfer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.state(w, now).shared.Add(units, now)
	l.metrics.units.WithLabelValues(transfer).Add(units)
}
