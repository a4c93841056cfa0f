package move

import (
	"math"
	"time"
)

const (
	// maxFalseAlarmRate is the highest probability with which a version that is
	// no worse than the old one is rolled back.
	maxFalseAlarmRate = 1e-3
)

var (
	// vetoThreshold is the logarithm of the e-value at which a version is
	// rolled back.
	vetoThreshold = math.Log(1 / maxFalseAlarmRate)
	// suspicionThreshold is the logarithm of the e-value at which a version
	// becomes suspect and the share returns to the first one: few clients are
	// affected there, and each further failure is strong evidence.
	suspicionThreshold = math.Log(20)
	// strongSuspicionThreshold is the logarithm of the e-value at which a completed
	// version is compared again: at most one good version in 100 reaches it.
	strongSuspicionThreshold = math.Log(100)
)

// doubtMaxStep is the highest step that a version in doubt takes. All clients together
// send it few enough requests there until the time limit, and it can still dispel the
// doubt by then.
const doubtMaxStep = 3

// Sequential raises the share with time, lowers it on suspicion or doubt, and rolls back
// when an anytime-valid test finds the new version worse than the old one, or when a
// suspicion or doubt remains at the end of the time. The zero value is ready to use.
type Sequential struct{}

// Decide returns the share of the new version. Unless a veto is known or the
// instance is isolated, the share depends only on the evidence, the plan and the
// time, so instances with the same evidence agree.
func (Sequential) Decide(s State, now time.Time) Decision {
	if s.Vetoed || s.Previous.Veto {
		return Decision{Phase: RolledBack, Veto: true, Reason: "vetoed"}
	}
	elapsed := progress(s.Plan, now)
	if elapsed < 0 {
		return Decision{Reason: "not started"}
	}
	cells := tabulate(&s)
	logE, kind := score(cells)
	if logE >= vetoThreshold && s.Plan.isRetained(now) {
		return Decision{Phase: RolledBack, Veto: true, Reason: vetoReasons[kind], LogE: logE}
	}
	switch {
	case s.NewAbsent:
		return decideAbsent(&s, now)
	case s.OldAbsent:
		return stepDecision(observationStep, "no other version")
	}
	d := advance(cells, s.Plan, elapsed, logE, now)
	d.LogE = logE
	if s.Isolated {
		d = holdShare(cells, d, s.Previous)
	}
	d.RouteShares = routeShares(&s, d.Share, now)
	return d
}

var vetoReasons = [numKinds]string{
	failures: "more failures than the old version",
	slowness: "more slow responses than the old version",
}

// decideAbsent returns the decision while no server of the new version is there. The move
// waits for one until the end of the time: the old version serves, and must not be
// given up for a version that does not.
func decideAbsent(s *State, now time.Time) Decision {
	switch {
	case !s.Plan.isRetained(now):
		return stepDecision(observationStep, "complete")
	case observationSlot(s.Plan, now) == numObservationSlots-1:
		return Decision{Phase: RolledBack, Veto: true, Reason: "no server of the new version at the end of the time"}
	}
	return Decision{Reason: "no server of the new version", Suspect: true}
}

// advance returns the decision for a move that is not rolled back for its e-value. The
// deadline binds a version against which nothing speaks. One under suspicion or in doubt
// has the time until the old version is no longer retained to dispel it.
func advance(cells []cell, p Plan, elapsed, logE float64, now time.Time) Decision {
	_, observing := stepReached(cells)
	slot, suspected, doubtful := observationSlot(p, now), logE >= suspicionThreshold, isDoubtful(cells) || isUnproved(cells)
	switch {
	case p.isRetained(now) && slot == numObservationSlots-1 && (suspected || doubtful):
		return Decision{Phase: RolledBack, Veto: true, Reason: "still under suspicion at the end of the time"}
	case !now.Before(effectiveKeepUntil(p)):
		return stepDecision(observationStep, "complete")
	case observing && (logE >= strongSuspicionThreshold || isSuspect(cells, slot)):
		return suspectDecision(observationStep+2*slot+1, "compared again")
	case observing:
		return stepDecision(observationStep+2*slot, "complete, watched")
	case suspected:
		return suspectDecision(probeStep, "under suspicion")
	case doubtful:
		return suspectDecision(min(stepAt(elapsed), doubtMaxStep), "in doubt")
	case elapsed >= 1:
		return stepDecision(observationStep+2*slot, "complete, watched")
	}
	return stepDecision(stepAt(elapsed), "as planned")
}

// holdShare keeps the share of an isolated instance unchanged. Only suspicion
// lowers the share; a lack of evidence doesn't, because an instance that hears
// from few others may not have the evidence for its share.
func holdShare(cells []cell, d, last Decision) Decision {
	step, observing := stepReached(cells)
	switch {
	case d.Veto:
		return d
	case last.Step != 0:
		step = last.Step
	case observing:
		step = observationStep
	}
	if d.Suspect && d.Share <= ShareOf(step) {
		return d
	}
	held := stepDecision(step, "isolated, share held")
	held.LogE = d.LogE
	return held
}

// suspectDecision returns the decision on a version under suspicion.
func suspectDecision(step uint8, reason string) Decision {
	d := stepDecision(step, reason)
	d.Suspect = true
	return d
}

func stepDecision(step uint8, reason string) Decision {
	d := Decision{Share: ShareOf(step), Step: step, Reason: reason}
	if step >= observationStep {
		d.Phase = Done
	}
	return d
}

// effectiveKeepUntil returns the time until which the old version is available
// for comparison: KeepUntil, or the deadline if it is later. A plan whose
// KeepUntil is before its deadline would otherwise complete the move at
// KeepUntil, regardless of the evidence.
func effectiveKeepUntil(p Plan) time.Time {
	if p.KeepUntil.Before(p.Deadline) {
		return p.Deadline
	}
	return p.KeepUntil
}
