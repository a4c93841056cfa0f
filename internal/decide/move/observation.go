package move

import "math"

const (
	// suspectRateRatio is the ratio to the old version's rate of bad outcomes
	// from which a version at share 1 looks bad. Without a concurrent
	// comparison the rates may differ for other reasons, so the consequence is
	// only a comparison at a lower share.
	suspectRateRatio = 2
	// minRequestsForRate is the number of requests below which a stratum's own
	// rate isn't used.
	minRequestsForRate = 30
)

// isSuspect reports whether the new version looks bad in the given slot of the
// observation or an earlier one and has not been cleared since. It looks bad if
// it does worse than the old version did before the move was complete. It is
// cleared if a recheck shows the old version to do as badly, or the new version
// to have recovered.
func isSuspect(cells []cell, slot uint8) bool {
	for i := range slot + 1 {
		e := 0.0
		for k := range numKinds {
			e += kindWeight * suspicionScore(cells, observationStep+2*i, k)
		}
		if e >= math.Exp(suspicionThreshold) {
			return true
		}
	}
	return false
}

// suspicionScore returns the weighted e-value against the new version for one
// kind of outcome in a step of the observation, without the groups that a
// recheck has cleared.
func suspicionScore(cells []cell, step uint8, kind int) (e float64) {
	rates := acceptedRates(cells, step, kind)
	var observed, rechecked [numGroups]group
	for i := range cells {
		x := &cells[i]
		switch {
		case x.step == step:
			x.addExpected(&observed, rates[x.stratum], kind)
		case x.step > step && isRecheck(x.step):
			x.addExpected(&rechecked, rates[x.stratum], kind)
		}
	}
	for g := range observed {
		o := &observed[g]
		if rechecked[g].requests >= minRequestsForRate && rechecked[g].bad <= rechecked[g].expected {
			continue
		}
		for i, a := range alternativeRatios {
			o.logRatios[i] = o.bad*math.Log(a) - o.expected*(a-1)
		}
		e += groupWeight(g) * o.eValue(tolerances[kind])
	}
	return e
}

// addExpected adds the new version's counts in the cell to the groups it belongs
// to. Unlike addTo, it is given the accepted rate: at share 1 the cell has no
// requests to the old version from which the rate could be derived.
func (x *cell) addExpected(gs *[numGroups]group, rate float64, kind int) {
	for _, g := range groupsOf(x.stratum) {
		gs[g].requests += x.requests[1]
		gs[g].bad += x.bad[kind][1]
		gs[g].expected += x.requests[1] * rate
	}
}

// acceptedRates returns, by stratum, the rate of bad outcomes up to which the
// new version is accepted in a step of the observation: suspectRateRatio times
// the old version's rate, plus minRateDifference. The old version's rate is the
// highest of its rates before the observation and after the step, each in the
// stratum and overall.
func acceptedRates(cells []cell, step uint8, kind int) (rates [numStrata]float64) {
	var before, since [numStrata][2]float64 // requests, bad outcomes
	var all, recheck [2]float64
	for i := range cells {
		x := &cells[i]
		n := [2]float64{x.requests[0], x.bad[kind][0]}
		switch {
		case x.step < observationStep:
			addCounts(&before[x.stratum], n)
			addCounts(&all, n)
		case x.step > step:
			addCounts(&since[x.stratum], n)
			addCounts(&recheck, n)
		}
	}
	for s := range rates {
		rate := max(badRate(all, 1), badRate(recheck, minRequestsForRate), badRate(before[s], minRequestsForRate), badRate(since[s], minRequestsForRate))
		rates[s] = suspectRateRatio*rate + tolerances[kind].minRateDifference
	}
	return rates
}

func addCounts(sum *[2]float64, n [2]float64) {
	sum[0] += n[0]
	sum[1] += n[1]
}

func badRate(counts [2]float64, minRequests float64) float64 {
	if counts[0] < minRequests {
		return 0
	}
	return counts[1] / counts[0]
}
