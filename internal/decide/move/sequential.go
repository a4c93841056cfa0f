package move

import (
	"math"
	"time"
)

const (
	// falseAlarms is the highest probability with which a version that is no
	// worse than the old one is rolled back.
	falseAlarms = 1e-3
	// firstNeed is the number of the new version's requests that the second
	// step needs before its time; each further step needs twice as many.
	firstNeed = 10
)

var (
	// vetoAt is the logarithm of the e-value at which a version is rolled back.
	vetoAt = math.Log(1 / falseAlarms)
	// suspicion is the logarithm of the e-value at which the share falls back
	// to the first one: few clients are hurt there, and each further failure
	// is strong evidence.
	suspicion = math.Log(20)
	// strong is the logarithm of the e-value at which the deadline no longer
	// raises the share: at most one good version in 100 gets there.
	strong = math.Log(100)
)

// Sequential raises the share with time and evidence, and rolls back when an
// anytime-valid test finds the new version worse than the old one. The zero
// value is ready.
type Sequential struct{}

// Decide returns the share of the new version. It depends on the evidence, the
// plan and the time only, so nodes with the same evidence agree.
func (Sequential) Decide(s State, now time.Time) Decision {
	if s.Vetoed || s.Last.Veto {
		return Decision{Phase: RolledBack, Veto: true, Reason: "vetoed"}
	}
	part := progress(s.Plan, now)
	if part < 0 {
		return Decision{Reason: "not started"}
	}
	cells := tabulate(&s)
	logE, kind := score(cells)
	if logE >= vetoAt && now.Before(keepUntil(s.Plan)) {
		return Decision{Phase: RolledBack, Veto: true, Reason: kindReasons[kind], LogE: logE}
	}
	d := advance(cells, s.Plan, part, logE, now)
	d.LogE = logE
	if s.Isolated {
		return hold(cells, d, s.Last)
	}
	return d
}

var kindReasons = [kinds]string{
	failures: "more failures than the old version",
	slowness: "more slow responses than the old version",
}

// advance chooses the step of a move that is not rolled back.
func advance(cells []cell, p Plan, part, logE float64, now time.Time) Decision {
	_, watched := reached(cells)
	switch {
	case !now.Before(keepUntil(p)):
		return decision(watchStep, "complete")
	case watched || part >= 1:
		slot := watchSlot(p, now)
		if logE >= strong || suspect(cells, slot) {
			return decision(watchStep+2*slot+1, "compared again")
		}
		return decision(watchStep+2*slot, "complete, watched")
	case logE >= suspicion:
		step := stepBetween(part, later, 1)
		if logE >= strong {
			step = min(step, strongStep)
		}
		if step == firstStep {
			return decision(probeStep, "under suspicion")
		}
		return decision(step, "under suspicion, deadline near")
	}
	by := min(stepBetween(part, 0, early), supported(covered(cells)))
	if forced := forcedStep(part); forced > by {
		return decision(forced, "deadline near")
	}
	return decision(by, "evidence")
}

// hold keeps the share of an isolated node where it is. Only suspicion lowers
// it; a node that hears from few others may know of little evidence for it.
func hold(cells []cell, d, last Decision) Decision {
	step, watched := reached(cells)
	switch {
	case last.Step != 0:
		step = last.Step
	case watched:
		step = watchStep
	}
	lowered := d.LogE >= suspicion || isRecheck(d.Step)
	if lowered && d.Share <= ShareOf(step) {
		return d
	}
	held := decision(step, "isolated, share held")
	held.LogE = d.LogE
	return held
}

// supported returns the highest step that n requests of the new version allow.
func supported(n float64) uint8 {
	step, need := uint8(firstStep), float64(firstNeed)
	for step < probeStep && n >= need {
		step++
		need *= 2
	}
	if step == probeStep {
		return watchStep
	}
	return step
}

func decision(step uint8, reason string) Decision {
	d := Decision{Share: ShareOf(step), Step: step, Reason: reason}
	if step >= watchStep {
		d.Phase = Done
	}
	return d
}

// keepUntil returns the time until which the old version can be compared.
func keepUntil(p Plan) time.Time {
	if p.KeepUntil.Before(p.Deadline) {
		return p.Deadline
	}
	return p.KeepUntil
}
