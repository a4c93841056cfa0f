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

const (
	// doubtMaxStep is the highest step that a version in doubt takes. All clients together
	// send it few enough requests there until the time limit, and it can still dispel the
	// doubt by then.
	doubtMaxStep = 3
	// unexplainedMaxStep is the highest step that a version with unexplained failures or
	// slow responses takes, and the one from which a move that was held back returns to
	// its plan: the step of evidenceShare.
	unexplainedMaxStep = 4
	// catchUpFraction is the time of each step with which a move that was held back
	// returns to its plan, as a fraction of the ramp.
	catchUpFraction = 0.025
	// heldShare and heldRequests limit the requests to a version that is held back: it is
	// kept at the share of firstStep while it has had more than that share of all requests
	// of the move and that number.
	heldShare    = 0.1
	heldRequests = 30
)

// Sequential raises the share with time, lowers it on suspicion or doubt, and rolls back
// when an anytime-valid test finds the new version worse than the old one, or when a
// suspicion or doubt remains at the end of the time. The zero value is ready to use.
type Sequential struct{}

// Decide returns the share of the new version. Unless a veto is known, the instance is
// isolated or the move was held back, the share depends only on the evidence, the plan
// and the time, so instances with the same evidence agree.
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
	d := advance(&s, cells, elapsed, logE, now)
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

// Review returns the decision on a move that is recorded as done but not reported yet.
// The old version is still there, but too little time is left for a comparison: the move
// is rolled back if mayRollBack is true, or keeps its share.
func (Sequential) Review(s State, mayRollBack bool, now time.Time) Decision {
	logE, kind := score(tabulate(&s))
	counts, all := countRoutes(&s)
	doubt := strongestDoubt(counts, &all)
	d := stepDecision(observationStep+2*observationSlot(s.Plan, now), "done, watched")
	switch {
	case !mayRollBack:
	case logE >= vetoThreshold:
		d = Decision{Phase: RolledBack, Veto: true, Reason: vetoReasons[kind]}
	case doubt.isDoubtful(true):
		d = Decision{Phase: RolledBack, Veto: true, Reason: "in doubt before the report"}
	}
	d.LogE, d.Doubt = logE, doubt
	return d
}

// advance returns the decision for a move that is not rolled back for its e-value. The
// deadline binds a version against which nothing speaks. One under suspicion or in doubt
// has the time until the old version is no longer retained to dispel it.
func advance(s *State, cells []cell, elapsed, logE float64, now time.Time) Decision {
	counts, all := countRoutes(s)
	e := evaluation{plan: s.Plan, previous: s.Previous, doubt: strongestDoubt(counts, &all), overBudget: all.exceeds(heldShare, heldRequests)}
	d := e.decide(cells, elapsed, logE, now)
	d.Doubt = e.doubt
	return d
}

// evaluation decides how far the share of a version that is not rolled back may rise.
type evaluation struct {
	plan     Plan
	previous Decision
	doubt    Doubt
	// overBudget is true if the new version has had the requests that a version that is
	// held back may have.
	overBudget bool
}

// decide returns the decision at a time at which the given part of the ramp has elapsed.
func (e *evaluation) decide(cells []cell, elapsed, logE float64, now time.Time) Decision {
	_, observing := stepReached(cells)
	slot, suspected, doubtful := observationSlot(e.plan, now), logE >= suspicionThreshold, e.doubt.isDoubtful(observing) || isUnproved(cells)
	unexplained := e.doubt.isUnexplained() && !observing
	switch {
	case e.plan.isRetained(now) && slot == numObservationSlots-1 && (suspected || doubtful || unexplained):
		return Decision{Phase: RolledBack, Veto: true, Reason: "still under suspicion at the end of the time"}
	case !now.Before(effectiveKeepUntil(e.plan)):
		return stepDecision(observationStep, "complete")
	case doubtful:
		return e.hold(min(stepAt(elapsed), doubtMaxStep), "in doubt", now)
	case observing && (logE >= strongSuspicionThreshold || isSuspect(cells, slot)):
		return suspectDecision(observationStep+2*slot+1, "compared again")
	case suspected && !observing:
		return e.hold(probeStep, "under suspicion", now)
	case unexplained:
		return e.hold(min(stepAt(elapsed), unexplainedMaxStep), "unexplained failures or slow responses", now)
	}
	planned := stepDecision(stepAt(elapsed), "as planned")
	if observing || planned.Step >= observationStep {
		planned = stepDecision(observationStep+2*slot, "complete, watched")
	}
	return e.rise(planned, now)
}

// hold returns the decision on a version that is held back at a step.
func (e *evaluation) hold(step uint8, reason string, now time.Time) Decision {
	if e.overBudget && step != probeStep {
		step = firstStep
	}
	d := suspectDecision(step, reason)
	d.NextStepAt = now.Add(e.plan.catchUpTime())
	return d
}

// rise returns the decision on a version against which nothing speaks. One that was held
// back takes the missed steps one by one, since each brings evidence that the next one
// needs.
func (e *evaluation) rise(planned Decision, now time.Time) Decision {
	last := e.previous
	if last.NextStepAt.IsZero() || last.Step >= planned.Step && last.Step != probeStep {
		return planned
	}
	next := Decision{NextStepAt: last.NextStepAt}
	step := min(planned.Step, unexplainedMaxStep)
	if last.Step != probeStep {
		step = max(last.Step, step)
	}
	if !now.Before(last.NextStepAt) {
		step++
		next.NextStepAt = now.Add(e.plan.catchUpTime())
	}
	if step >= min(planned.Step, probeStep) {
		return planned
	}
	next.Step, next.Share, next.Reason = step, ShareOf(step), "catching up"
	return next
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
	held.LogE, held.Doubt, held.NextStepAt = d.LogE, d.Doubt, last.NextStepAt
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
