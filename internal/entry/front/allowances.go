package front

import (
	"context"
	"strconv"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// sharePeriod is how often what others have spent is looked at.
	sharePeriod = 200 * time.Millisecond
	// spentEpoch is the time for which one set of counters is used. The sums of
	// a failure domain whose instances all restarted begin anew with the next
	// one.
	spentEpoch = 5 * time.Second
	// spentKept is how long the counters of an epoch are kept.
	spentKept = 4 * spentEpoch
	// reach is the multiple of an even part of an allowance that one instance
	// may use. It bounds what all admit before they know of each other, half a
	// second later if the allowance runs low.
	reach = 2
	// slackPart is the part of the tolerated excess that widens the bursts, so
	// that an even load that arrives unevenly is not rejected.
	slackPart = 0.4
	// tellGap and tellGapEach give the least time between two rounds in which an
	// instance tells its peers at once what it spent, because an allowance runs
	// low. The gap grows with the fleet, as a round does.
	tellGap     = 400 * time.Millisecond
	tellGapEach = 10 * time.Millisecond
	// joining is how long after the start an instance takes what it learns of
	// others for spending of earlier.
	joining = 4 * time.Second
	// maxDebt bounds what a workspace can owe, in seconds of its allowance.
	maxDebt = 6
)

// allowances admits what workspaces use: each instance holds a copy of the
// bucket of all instances together, which learns with a lag what the others
// admitted, and a bucket of its own that bounds the error of the lag.
type allowances struct {
	front *Front
	slack float64 // units beyond the allowance that all instances may admit
	start time.Time

	mu     sync.Mutex
	shares map[string]*share
	told   time.Time // the last round for an allowance that ran low
}

// share is the allowance of one workspace.
type share struct {
	all, own limit.Allowance
	// seen are the units that all instances are known to have spent by epoch.
	seen  map[string]uint64
	spent uint64 // by this instance, not yet in the counters
}

func newAllowances(f *Front, slack float64) *allowances {
	return &allowances{front: f, slack: slack, start: f.now(), shares: make(map[string]*share)}
}

// Take implements forward.Allowances.
func (a *allowances) Take(w *routes.Workspace, units float64) (bool, time.Duration) {
	if w.Allowance.Rate <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.front.now()
	s, ok := a.shares[w.Name]
	if !ok {
		s = &share{seen: make(map[string]uint64)}
		a.shares[w.Name] = s
		a.set(w, s, a.front.unheard(time.Now()), now)
	}
	if wait := max(s.all.Wait(units, now), s.own.Wait(units, now)); wait > 0 {
		return false, wait
	}
	s.all.Spend(units, now)
	s.own.Spend(units, now)
	s.spent += uint64(units)
	return true, 0
}

// set sets the limits of a workspace. An instance that has lost touch with
// others, or has not heard from them yet, keeps to an even part.
func (a *allowances) set(w *routes.Workspace, s *share, unheard int, now time.Time) {
	n := float64(a.front.instances())
	factor := float64(reach)
	if unheard > 0 || now.Sub(a.start) < joining {
		factor = 1
	}
	part := min(1, factor/n)
	slack := slackPart * a.slack
	s.all.Set(w.Allowance.Rate, w.Allowance.Burst+slack, now)
	s.own.Set(w.Allowance.Rate*part, max(1, (w.Allowance.Burst+slack)*part), now)
}

// epoch names the counters of a time.
func epoch(t time.Time) string {
	return "spent/" + strconv.FormatInt(t.UnixNano()/int64(spentEpoch), 10)
}

// compute publishes what this instance spent and charges what others did.
func (a *allowances) compute(t *routes.Table) {
	now, wall := a.front.now(), time.Now()
	unheard := a.front.unheard(wall)
	a.front.counters.Forget(epoch(wall.Add(-spentKept)))
	a.mu.Lock()
	defer a.mu.Unlock()
	current := epoch(wall)
	low := false
	for name, s := range a.shares {
		if s.spent > 0 {
			low = low || s.all.Low(now)
			a.front.counters.Add(a.front.node, evidence.Key{Move: current, Version: name}, evidence.Count{Answered: s.spent})
			s.seen[current] += s.spent // it was charged when it was admitted
			s.spent = 0
		}
	}
	if gap := max(tellGap, tellGapEach*time.Duration(a.front.instances())); low && now.Sub(a.told) >= gap {
		a.told = now
		a.front.exchange.Notify()
	}
	for back := -spentEpoch; back < spentKept; back += spentEpoch { // another clock may be ahead
		name := epoch(wall.Add(-back))
		for key, count := range a.front.counters.Totals(name) {
			s, ok := a.shares[key.Version]
			w, known := t.Workspace(key.Version)
			if !ok || !known || count.Answered <= s.seen[name] {
				continue
			}
			if now.Sub(a.start) >= joining {
				s.all.Charge(float64(count.Answered-s.seen[name]), maxDebt*w.Allowance.Rate, now)
			}
			s.seen[name] = count.Answered
		}
	}
	oldest := epoch(wall.Add(-spentKept))
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		if s, ok := a.shares[w.Name]; ok {
			delete(s.seen, oldest)
			a.set(w, s, unheard, now)
		}
	}
}

// unheard returns the number of registered instances that this one has lost
// touch with.
func (f *Front) unheard(now time.Time) (n int) {
	l := f.listed.Load()
	if l == nil {
		return 0
	}
	heard := f.members.HeardDomains(now)
	live := make(map[string]bool)
	for _, id := range f.members.Live(f.config.FailureDomain, now) {
		live[id] = true
	}
	for _, m := range *l {
		if m.ID == f.config.Instance {
			continue
		}
		if m.FailureDomain == f.config.FailureDomain && !live[m.ID] || m.FailureDomain != f.config.FailureDomain && !heard[m.FailureDomain] {
			n++
		}
	}
	return n
}

// share keeps the allowances up to date until ctx ends.
func (f *Front) share(ctx context.Context) {
	every(ctx, sharePeriod, func() {
		if table := f.table.Load(); table != nil {
			f.allowances.compute(table)
		}
		f.crashes.Set.Expire(time.Now())
	})
}
