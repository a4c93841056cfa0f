package allowance

import (
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// RefreshPeriod is how often Refresh must be called.
	RefreshPeriod = 200 * time.Millisecond
	// epochLength is the time for which one set of counters is used. If all
	// instances of a failure domain restart, its sums start again from zero. The
	// other failure domains keep the larger value of each counter, so the smaller
	// sums are hidden from them until the next epoch begins with new counters.
	epochLength = 5 * time.Second
	// epochRetention is how long the counters of an epoch are kept.
	epochRetention = 4 * epochLength
	// minNotifyPeriod and notifyPeriodPerInstance determine the minimum time
	// between two calls of Notify because less than half of a burst is left. It
	// grows with the number of instances, as the cost of an urgent exchange does.
	minNotifyPeriod         = 400 * time.Millisecond
	notifyPeriodPerInstance = 10 * time.Millisecond
)

// epochName returns the name of the counters used at time t.
func epochName(t time.Time) string {
	return "spent/" + strconv.FormatInt(t.UnixNano()/int64(epochLength), 10)
}

// Refresh publishes the spending of this instance and charges that of the
// others.
func (l *Limiter) Refresh() {
	table := l.config.Table()
	if table == nil {
		return
	}
	fleet := l.config.Fleet()
	l.fleet.Store(&fleet)
	now, wall := l.config.Now(), l.config.Wall()
	l.config.Counters.Forget(epochName(wall.Add(-epochRetention)))
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.avoidUntil {
		if !now.Before(until) {
			delete(l.avoidUntil, id)
		}
	}
	l.publish(now, wall, fleet.Instances)
	l.charge(table, now, wall)
	oldest := epochName(wall.Add(-epochRetention))
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		if w.Allowance.Rate <= 0 {
			continue
		}
		// The state is also kept for workspaces that this instance does not own, so
		// that it reflects the spending of the others when the instance takes over
		// as the owner.
		s := l.state(w, now)
		delete(s.counted, oldest)
		if s.isJoining && !l.isJoining(now) {
			s.isJoining = false
			s.capBursts(now)
		}
		s.setLimits(w, &fleet, l.config.Slack, now)
	}
}

// publish adds the unpublished spending of this instance to its counters.
func (l *Limiter) publish(now, wall time.Time, instances int) {
	current, low := epochName(wall), false
	for name, s := range l.states {
		if s.unpublished == 0 {
			continue
		}
		low = low || s.all.Low(now)
		l.config.Counters.Add(l.config.Node, evidence.Key{Move: current, Version: name}, evidence.Count{Answered: s.unpublished})
		s.counted[current] += s.unpublished // already charged on admission
		s.unpublished = 0
	}
	if period := max(minNotifyPeriod, notifyPeriodPerInstance*time.Duration(instances)); low && now.Sub(l.lastNotify) >= period {
		l.lastNotify = now
		l.config.Notify()
	}
}

// charge charges the spending that the counters report for other instances.
func (l *Limiter) charge(t *routes.Table, now, wall time.Time) {
	for age := -epochLength; age < epochRetention; age += epochLength { // starts at the next epoch: other clocks may be ahead
		epoch := epochName(wall.Add(-age))
		for key, count := range l.config.Counters.Totals(epoch) {
			s, ok := l.states[key.Version]
			w, known := t.Workspace(key.Version)
			if !ok || !known || count.Answered <= s.counted[epoch] {
				continue
			}
			if !l.isJoining(now) {
				s.all.Charge(float64(count.Answered-s.counted[epoch]), maxDebtSeconds*w.Allowance.Rate, now)
			}
			s.counted[epoch] = count.Answered
		}
	}
}
