package allowance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// All pools together may admit, in any 8 s, 8 s of the rate, the bursts and the debts.
// If the burst is one second of the rate and Config.Slack is 190,000, this is 9.9 times
// the rate and 171,000 units. The fleet may admit 9.9 times the rate and 190,000 units.
const (
	// rateFactor is the multiple of the rate at which units accrue. The excess makes
	// up for units that are lost with messages and killed instances.
	rateFactor = 1.07
	// ownBurstTime is the time for which an instance accrues its share. It exceeds
	// rotationPeriod, so that an owner can collect all units.
	ownBurstTime = 700 * time.Millisecond
	// startCredit is the time for which a started instance has accrued its share
	// already. A restart takes longer, and nobody used the share meanwhile.
	startCredit = 500 * time.Millisecond
	// startCreditPeriod is the time after its start in which an instance gives
	// startCredit to the allowances that it learns of.
	startCreditPeriod = 5 * time.Second
	// sharedBurstFraction is the fraction of the burst that owners may hold; the
	// members hold the rest.
	sharedBurstFraction = 0.55
	// burstSlackFraction is the fraction of Config.Slack that is added to the
	// burst, so that a steady load that arrives unevenly is not rejected.
	burstSlackFraction = 0.5
	// debtSlackFraction is the fraction of Config.Slack by which uses may exceed what
	// is left.
	debtSlackFraction = 0.4
	// lendHorizon is the time for which a lender keeps its own demand, and
	// maxKeepFraction limits what it keeps to a fraction of its burst.
	lendHorizon     = 250 * time.Millisecond
	maxKeepFraction = 0.5
	// ownerCandidates is the number of instances that are known as candidates for
	// the owner, in case calls to some of them fail.
	ownerCandidates = maxOwnersAsked + 2
)

// workspaceState is the state of one workspace's allowance.
type workspaceState struct {
	// own holds the units that this instance accrues, and shared those of the
	// failure domain while this instance is the owner.
	own, shared limit.Pool
	// owners are the candidates for the owner, most preferred first, and remotes
	// those in each other failure domain.
	owners  []string
	remotes [][]string
	// servedAt is when shared was last used as the owner's.
	servedAt time.Time
	// nextMember counts the members from which units were collected.
	nextMember int
	// borrowAt is the time before which no units are borrowed, and borrowed is closed
	// when the loan in progress ends; it is nil if there is none.
	borrowAt time.Time
	borrowed chan struct{}
	isAlone  bool
}

// state returns the state of a workspace's allowance and creates it if needed.
func (l *Limiter) state(w *routes.Workspace, now time.Time) *workspaceState {
	s, ok := l.states[w.Name]
	if !ok {
		s = new(workspaceState)
		l.states[w.Name] = s
		f := l.knownFleet()
		s.setOwners(w.Name, f)
		s.setLimits(&w.Allowance, f, l.config.Slack, now)
		if now.Sub(l.start) < startCreditPeriod {
			s.own.Add(startCredit.Seconds()*rateFactor*w.Allowance.Rate/float64(max(1, f.Instances)), now)
		}
	}
	return s
}

// setOwners selects the candidates for the owners of the workspace's allowance.
func (s *workspaceState) setOwners(workspace string, f *Fleet) {
	key := xxhash.Sum64String(workspace)
	s.owners = membership.Owners(key, f.Local, ownerCandidates)
	s.remotes = s.remotes[:0]
	for _, ids := range f.Remote {
		s.remotes = append(s.remotes, membership.Owners(key, ids, ownerCandidates))
	}
}

// setLimits sets the limits of the pools.
func (s *workspaceState) setLimits(a *routes.Allowance, f *Fleet, slack float64, now time.Time) {
	n := float64(max(1, f.Instances))
	rate, burst, debt := rateFactor*a.Rate, sharedBurstFraction*a.Burst+burstSlackFraction*slack, debtSlackFraction*slack
	ownBurst := ownBurstTime.Seconds() * rate
	if s.isAlone {
		// The owner has this part no longer.
		ownBurst += burst
	}
	s.own.Set(limit.PoolLimits{
		Rate: rate / n, Income: rate / n, Burst: max(1, ownBurst/n), MaxDebt: debt / n, DrawsLarge: f.Instances > 1,
	}, now)
	fraction := min(1, float64(max(1, len(f.Local)))/n)
	s.shared.Set(limit.PoolLimits{Income: rate * fraction, Burst: max(1, burst*fraction), MaxDebt: debt * fraction}, now)
}

// isServing reports whether the instance decides on the uses of other instances. A
// deputy stops soon once it reaches the owner.
func (l *Limiter) isServing(s *workspaceState, now time.Time) bool {
	timeout := ownerTimeout
	if owner := s.owner(); owner != l.config.Instance {
		timeout = deputyTimeout
		if l.peers[owner].hasReplied {
			timeout = handoverTimeout
		}
	}
	return !s.servedAt.IsZero() && now.Sub(s.servedAt) < timeout
}

// owner returns the owner of the workspace, or "" if no instance is live.
func (s *workspaceState) owner() string {
	if len(s.owners) == 0 {
		return ""
	}
	return s.owners[0]
}

// collect moves the instance's own units to the shared pool.
func (s *workspaceState) collect(now time.Time) {
	surplus := s.shared.Add(s.own.Remove(s.own.Burst(), 0, now), now)
	s.own.Add(surplus, now)
}

// lend removes up to units. An instance that decides on the uses of others keeps what
// the failure domain will soon need.
func (l *Limiter) lend(s *workspaceState, units float64, now time.Time) float64 {
	if !l.isServing(s, now) {
		granted := s.shared.Remove(units, 0, now)
		return granted + s.own.Remove(units-granted, 0, now)
	}
	s.collect(now)
	keep := min(maxKeepFraction*s.shared.Burst(), lendHorizon.Seconds()*s.shared.Demand(now))
	return s.shared.Remove(units, keep, now)
}
