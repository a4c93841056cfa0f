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
	// strongSuspicionThreshold is the logarithm of the e-value at which the
	// approaching deadline no longer raises the share above that of
	// strongSuspicionMaxStep: at most one good version in 100 reaches it.
	strongSuspicionThreshold = math.Log(100)
)

// Sequential raises the share with time, lowers it on suspicion, and rolls back when an
// anytime-valid test finds the new version worse than the old one. The zero
// value is ready to use.
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
	if logE >= vetoThreshold && now.Before(effectiveKeepUntil(s.Plan)) {
		return Decision{Phase: RolledBack, Veto: true, Reason: vetoReasons[kind], LogE: logE}
	}
	d := advance(cells, s.Plan, elapsed, logE, now)
	d.LogE = logE
	if s.Isolated {
		return holdShare(cells, d, s.Previous)
	}
	return d
}

var vetoReasons = [numKinds]string{
	failures: "more failures than the old version",
	slowness: "more slow responses than the old version",
}

// advance returns the decision for a move that is not rolled back.
func advance(cells []cell, p Plan, elapsed, logE float64, now time.Time) Decision {
	_, observing := stepReached(cells)
	switch {
	case !now.Before(effectiveKeepUntil(p)):
		return stepDecision(observationStep, "complete")
	case observing || elapsed >= 1:
		slot := observationSlot(p, now)
		if logE >= strongSuspicionThreshold || isSuspect(cells, slot) {
			return stepDecision(observationStep+2*slot+1, "compared again")
		}
		return stepDecision(observationStep+2*slot, "complete, watched")
	case logE >= suspicionThreshold:
		step := stepBetween(elapsed, suspectRampStart, 1)
		if logE >= strongSuspicionThreshold {
			step = min(step, strongSuspicionMaxStep)
		}
		if step == firstStep {
			return stepDecision(probeStep, "under suspicion")
		}
		return stepDecision(step, "under suspicion, deadline near")
	}
	return stepDecision(stepAt(elapsed), "as planned")
}

// holdShare keeps the share of an isolated instance unchanged. Only suspicion
// lowers the share; a lack of evidence doesn't, because an instance that hears
// from few others may not have the evidence for its share.
func holdShare(cells []cell, d, last Decision) Decision {
	step, observing := stepReached(cells)
	switch {
	case last.Step != 0:
		step = last.Step
	case observing:
		step = observationStep
	}
	lowered := d.LogE >= suspicionThreshold || isRecheck(d.Step)
	if lowered && d.Share <= ShareOf(step) {
		return d
	}
	held := stepDecision(step, "isolated, share held")
	held.LogE = d.LogE
	return held
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
