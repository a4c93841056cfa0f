package allowance

import (
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// RefreshPeriod is how often Refresh is to be called.
	RefreshPeriod = 200 * time.Millisecond
	// spentEpoch is the time for which one set of counters is used. The sums of
	// a failure domain whose instances all restarted begin anew with the next
	// one.
	spentEpoch = 5 * time.Second
	// spentKept is how long the counters of an epoch are kept.
	spentKept = 4 * spentEpoch
	// tellGap and tellGapEach give the least time between two rounds in which an
	// instance tells its peers at once what it spent, because an allowance runs
	// low. The gap grows with the fleet, as a round does.
	tellGap     = 400 * time.Millisecond
	tellGapEach = 10 * time.Millisecond
)

// epoch names the counters of a time.
func epoch(t time.Time) string {
	return "spent/" + strconv.FormatInt(t.UnixNano()/int64(spentEpoch), 10)
}

// Refresh publishes what this instance spent and charges what others did.
func (l *Limiter) Refresh() {
	table := l.config.Table()
	if table == nil {
		return
	}
	fleet := l.config.Fleet()
	l.fleet.Store(&fleet)
	now, wall := l.config.Now(), l.config.Wall()
	l.config.Counters.Forget(epoch(wall.Add(-spentKept)))
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.avoid {
		if !now.Before(until) {
			delete(l.avoid, id)
		}
	}
	l.publish(now, wall, fleet.Instances)
	l.charge(table, now, wall)
	oldest := epoch(wall.Add(-spentKept))
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		if w.Allowance.Rate <= 0 {
			continue
		}
		// The share of a workspace that this instance does not own follows what
		// the others spend, so that the instance can take over.
		s := l.share(w, now)
		delete(s.seen, oldest)
		s.set(w, &fleet, l.config.Slack, now.Sub(l.start) < joining, now)
	}
}

// publish adds what this instance spent to its counters.
func (l *Limiter) publish(now, wall time.Time, instances int) {
	current, low := epoch(wall), false
	for name, s := range l.shares {
		if s.spent == 0 {
			continue
		}
		low = low || s.all.Low(now)
		l.config.Counters.Add(l.config.Node, evidence.Key{Move: current, Version: name}, evidence.Count{Answered: s.spent})
		s.seen[current] += s.spent // it was charged when it was admitted
		s.spent = 0
	}
	if gap := max(tellGap, tellGapEach*time.Duration(instances)); low && now.Sub(l.told) >= gap {
		l.told = now
		l.config.Notify()
	}
}

// charge charges what the counters say of others.
func (l *Limiter) charge(t *routes.Table, now, wall time.Time) {
	for back := -spentEpoch; back < spentKept; back += spentEpoch { // another clock may be ahead
		name := epoch(wall.Add(-back))
		for key, count := range l.config.Counters.Totals(name) {
			s, ok := l.shares[key.Version]
			w, known := t.Workspace(key.Version)
			if !ok || !known || count.Answered <= s.seen[name] {
				continue
			}
			if now.Sub(l.start) >= joining {
				s.all.Charge(float64(count.Answered-s.seen[name]), maxDebt*w.Allowance.Rate, now)
			}
			s.seen[name] = count.Answered
		}
	}
}
