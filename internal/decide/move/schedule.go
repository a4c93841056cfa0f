package move

import "time"

// The steps of a move. A step is one share in one part of the move's time.
// Evidence is counted per step, so that versions are compared only where both
// were offered a known part of the same traffic; steps with equal shares keep
// the evidence of different times separate. Step 0 marks evidence whose step is
// unknown.
const (
	firstStep = 1
	// probeStep keeps a suspect version at the share of firstStep.
	probeStep = 9
	// observationStep is the first step of the observation, which follows the
	// completion of the move. The observation is divided into slots, each with a
	// step at share 1 and after it a recheck step, which compares both versions
	// again if the new one looks bad at share 1.
	observationStep     = 10
	numObservationSlots = 8
	lastStep            = observationStep + 2*numObservationSlots - 1
)

const (
	// deadlineMargin is the fraction of a move's time that is left between its
	// completion and the deadline, for instances that learn of the last step
	// late. The time from the start of the move to this margin is its ramp.
	deadlineMargin = 0.1
	// recheckShare is the share of a recheck step, in which a version that
	// looks bad at share 1 is compared with the old one again.
	recheckShare = 0.25
)

// stepShares are the shares of the steps from firstStep up to, but not
// including, probeStep. At share s a failure of the new version adds at most
// ln(1/s) to the log e-value, so at small shares few clients are affected before
// a fault is detected. Evidence per unit of time is proportional to s ln(1/s)
// and highest between 0.2 and 0.5.
var stepShares = [...]float64{0.02, 0.05, 0.1, evidenceShare, 0.25, 0.35, 0.5, 0.7}

// stepTimes are the fractions of the ramp at which a version takes the steps after
// the first one. Most of the time goes to a share that yields evidence nearly as
// fast as the higher ones, but at which a version that turns bad late has had less
// than a tenth of the requests of the whole move. Good evidence doesn't shorten
// it, because it says nothing about faults that appear late.
var stepTimes = [...]float64{0.04, 0.08, 0.2, lastStepsAt, 0.86, 0.92, 0.96, 1}

const (
	// evidenceShare is the share at which most of the evidence is collected, until
	// lastStepsAt, the fraction of the ramp at which the last steps begin.
	evidenceShare = 0.15
	lastStepsAt   = 0.8
)

// ShareOf returns the share of the new version in a step, and 0 for step 0 and
// steps that don't exist.
func ShareOf(step uint8) float64 {
	switch {
	case step < firstStep || step > lastStep:
		return 0
	case step < probeStep:
		return stepShares[step-firstStep]
	case step == probeStep:
		return stepShares[0]
	case step%2 == observationStep%2:
		return 1
	}
	return recheckShare
}

// isRecheck reports whether step is a recheck step of the observation.
func isRecheck(step uint8) bool { return step > observationStep && ShareOf(step) < 1 }

// progress returns the elapsed fraction of the ramp: negative before the start,
// at least 1 once the move must be complete.
func progress(p Plan, now time.Time) float64 {
	if now.Before(p.Start) {
		return -1
	}
	total := float64(p.Deadline.Sub(p.Start)) * (1 - deadlineMargin)
	if total <= 0 {
		return 1
	}
	return float64(now.Sub(p.Start)) / total
}

// stepAt returns the step that is due at progress.
func stepAt(progress float64) uint8 {
	step := uint8(firstStep)
	for _, at := range stepTimes {
		if progress >= at {
			step++
		}
	}
	if step == probeStep {
		return observationStep
	}
	return step
}

// observationSlot returns the slot of the observation that contains now. The
// slots divide the time from the completion to KeepUntil evenly. Each
// slot is evaluated by its own evidence, so that a version that turns bad isn't
// excused by earlier good results.
func observationSlot(p Plan, now time.Time) uint8 {
	from := p.Start.Add(time.Duration(float64(p.Deadline.Sub(p.Start)) * (1 - deadlineMargin)))
	total := effectiveKeepUntil(p).Sub(from)
	if total <= 0 || !now.After(from) {
		return 0
	}
	return uint8(min(numObservationSlots-1, int(float64(numObservationSlots)*float64(now.Sub(from))/float64(total))))
}
