package move

import "time"

// The steps of a move. A step stands for one share in one part of the move's
// time, and evidence is counted per step, so that versions are compared only
// where both were offered a known part of the same traffic. Step 0 is left for
// evidence whose step is not known.
const (
	firstStep = 1
	// probeStep holds the first share while a version is under suspicion.
	probeStep = 9
	// strongStep is the last step before the deadline for a version under
	// strong suspicion.
	strongStep = 5
	// watchStep is the first of the steps at share 1, each followed by the
	// step that compares both versions again if that one looks bad.
	watchStep  = 10
	watchSlots = 8
	lastStep   = watchStep + 2*watchSlots - 1
)

const (
	// margin is the part of a move's time that is left between its completion
	// and the deadline, for nodes that learn of the last step late.
	margin = 0.1
	// early is the part of the time up to the margin in which a version with
	// plenty of evidence takes all steps. What remains is for finding faults
	// that appear late while the owner still expects the move to run.
	early = 0.7
	// later is the part of the time up to the margin after which a version
	// under suspicion must begin to take its steps.
	later = 0.7
	// recheckShare is the share while a version that looks bad at share 1 is
	// compared with the old one again.
	recheckShare = 0.25
)

// stepShares are the shares of the steps from firstStep to probeStep. At share s
// a failure of the new version weighs up to ln(1/s), so few clients are hurt
// before detection at small shares; evidence per unit of time, which goes with
// s ln(1/s), is highest between 0.2 and 0.5.
var stepShares = [...]float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.35, 0.5, 0.7}

// forcedAt are the parts of the time up to the margin at which a version without
// enough evidence takes the steps after the first one. Most of the time goes to
// the shares that yield evidence fastest and still spare most clients.
var forcedAt = [...]float64{0.05, 0.12, 0.2, 0.3, 0.55, 0.85, 0.93, 1}

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
	case step%2 == watchStep%2:
		return 1
	}
	return recheckShare
}

// isRecheck reports whether a step compares both versions again.
func isRecheck(step uint8) bool { return step > watchStep && ShareOf(step) < 1 }

// progress returns the part of the time up to the margin before the deadline
// that has passed: below 0 before the start, at least 1 once the move must be
// complete.
func progress(p Plan, now time.Time) float64 {
	if now.Before(p.Start) {
		return -1
	}
	total := float64(p.Deadline.Sub(p.Start)) * (1 - margin)
	if total <= 0 {
		return 1
	}
	return float64(now.Sub(p.Start)) / total
}

// stepBetween returns the step at a progress if the steps are taken evenly
// from one progress to another; watchStep stands for completion.
func stepBetween(progress, from, to float64) uint8 {
	n := float64(len(stepShares))
	i := (progress - from) / (to - from) * n
	switch {
	case i >= n:
		return watchStep
	case i > 0:
		return firstStep + uint8(i)
	}
	return firstStep
}

// forcedStep returns the step that is due without evidence.
func forcedStep(progress float64) uint8 {
	step := uint8(firstStep)
	for _, at := range forcedAt {
		if progress >= at {
			step++
		}
	}
	if step == probeStep {
		return watchStep
	}
	return step
}

// watchSlot returns the part of the time from the earliest completion to
// KeepUntil that now is in. Each part begins with a clean slate, so that a
// version that turns bad is not excused by the good hours before.
func watchSlot(p Plan, now time.Time) uint8 {
	from := p.Start.Add(time.Duration(float64(p.Deadline.Sub(p.Start)) * (1 - margin) * early))
	total := p.KeepUntil.Sub(from)
	if total <= 0 || !now.After(from) {
		return 0
	}
	return uint8(min(watchSlots-1, int(float64(watchSlots)*float64(now.Sub(from))/float64(total))))
}
