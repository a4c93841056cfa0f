package allowance

import (
	"slices"
	"time"
)

// RefreshPeriod is how often Refresh must be called.
const RefreshPeriod = 200 * time.Millisecond

// Refresh applies changes of the fleet and of the allowances.
func (l *Limiter) Refresh() {
	table := l.config.Table()
	if table == nil {
		return
	}
	fleet := l.config.Fleet()
	previous := l.fleet.Swap(&fleet)
	haveInstancesChanged := previous == nil || !slices.Equal(previous.Local, fleet.Local) || !slices.EqualFunc(previous.Remote, fleet.Remote, slices.Equal)
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, o := range l.peers {
		if !now.Before(o.forgetAt) {
			delete(l.peers, id)
		}
	}
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		if w.Allowance.Rate <= 0 {
			continue
		}
		s := l.state(w, now)
		if haveInstancesChanged {
			s.setOwners(w.Name, &fleet)
		}
		s.setLimits(&w.Allowance, &fleet, l.config.Slack, now)
	}
}
