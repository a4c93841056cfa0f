package move

import "math"

// tolerance defines how much worse than the old version a new version may be.
type tolerance struct {
	// oddsRatio is the accepted ratio of the new version's odds of a bad
	// outcome to the old version's.
	oddsRatio float64
	// minRateDifference is the difference between the new version's rate of bad
	// outcomes and the accepted rate (the old version's rate times oddsRatio)
	// below which the new version is accepted.
	minRateDifference float64
	// minBadOutcomes is the number of bad outcomes below which the new version
	// is accepted: a single conversation that fails repeatedly is no evidence.
	minBadOutcomes float64
}

// Slowness has a wider tolerance: a new version starts with cold caches and on
// fewer servers.
var tolerances = [numKinds]tolerance{
	failures: {oddsRatio: 1.25, minRateDifference: 0.003, minBadOutcomes: 4},
	slowness: {oddsRatio: 1.5, minRateDifference: 0.02, minBadOutcomes: 4},
}

// alternativeRatios are the odds ratios of the alternative hypotheses, relative
// to the accepted ratio. The test averages over them with equal weights.
var alternativeRatios = [...]float64{1.6, 2.5, 5, 12, 60}

// The e-value is an average over kinds of outcomes, groups of cells, starting
// steps and alternatives. The weights sum to 1 and are fixed in advance; they
// are the correction for multiple tests, and no further one is needed. The
// groups are all cells, the cells of each load, those of each bucket of routes,
// and those of each stratum.
const (
	kindWeight    = 1.0 / numKinds
	overallWeight = 0.4
	loadWeight    = 0.2 / numLoads
	bucketWeight  = 0.2 / numBuckets
	stratumWeight = 0.2 / numStrata

	overallGroup = 0
	loadGroup    = 1
	bucketGroup  = loadGroup + numLoads
	stratumGroup = bucketGroup + numBuckets
	numGroups    = stratumGroup + numStrata
)

// groupsOf returns the groups that a stratum belongs to.
func groupsOf(s stratum) [4]int {
	return [...]int{overallGroup, loadGroup + s.load(), bucketGroup + s.bucket(), stratumGroup + int(s)}
}

func groupWeight(g int) float64 {
	switch {
	case g >= stratumGroup:
		return stratumWeight
	case g >= bucketGroup:
		return bucketWeight
	case g >= loadGroup:
		return loadWeight
	}
	return overallWeight
}

// startWeight returns the weight of the test that uses only the evidence from a
// step on. Tests that start late find a version that turns bad after a long
// good period. No test starts at firstStep, where it would nearly repeat the
// test from step 0, or at a step with share 1, where nothing is compared.
func startWeight(step uint8) float64 {
	switch {
	case step == 0:
		return 0.4
	case step == firstStep || step >= observationStep && !isRecheck(step):
		return 0
	case step < observationStep:
		return 0.3 / (probeStep - firstStep)
	}
	return 0.3 / numObservationSlots
}

// group sums the evidence on the new version over a group of cells.
type group struct {
	logRatios     [len(alternativeRatios)]float64 // log-likelihood ratios by alternative
	requests, bad float64
	expected      float64 // bad outcomes expected at the accepted rate
}

// score returns the logarithm of the e-value against the hypothesis that the
// new version is no worse than the old one, and the kind of outcome that
// contributes most to it.
func score(cells []cell) (logE float64, kind int) {
	var e [numKinds]float64
	for k := range numKinds {
		e[k] = kindWeight * scoreKind(cells, k)
	}
	if e[slowness] > e[failures] {
		kind = slowness
	}
	return math.Log(e[failures] + e[slowness]), kind
}

func scoreKind(cells []cell, kind int) (e float64) {
	var gs [numGroups]group
	var values [numGroups]float64
	sum := 0.0 // weighted sum of values
	for step := lastStep; step >= 0; step-- {
		var changed [numGroups]bool
		for ; len(cells) > 0 && int(cells[0].step) == step; cells = cells[1:] {
			cells[0].addTo(&gs, kind)
			for _, g := range groupsOf(cells[0].stratum) {
				changed[g] = true
			}
		}
		for g, isChanged := range changed {
			if isChanged {
				v := gs[g].eValue(tolerances[kind])
				sum += groupWeight(g) * (v - values[g])
				values[g] = v
			}
		}
		e += startWeight(uint8(step)) * max(sum, 0)
	}
	return e
}

// addTo adds the cell's counts and log-likelihood ratios to the groups it
// belongs to. Each ratio compares the odds that a bad outcome belongs to the new
// version under an alternative with the accepted odds.
func (x *cell) addTo(gs *[numGroups]group, kind int) {
	t, fraction := tolerances[kind], x.newVersionFraction()
	oldBad, newBad := x.bad[kind][0], x.bad[kind][1]
	var logRatios [len(alternativeRatios)]float64
	if fraction < 1 && oldBad+newBad > 0 {
		acceptedOdds := t.oddsRatio * fraction / (1 - fraction)
		for i, a := range alternativeRatios {
			logRatios[i] = newBad*math.Log(a) - (oldBad+newBad)*math.Log((1+a*acceptedOdds)/(1+acceptedOdds))
		}
	}
	expected := x.requests[1] * t.oddsRatio * oldBad / max(x.requests[0], 1)
	for _, g := range groupsOf(x.stratum) {
		gs[g].requests += x.requests[1]
		gs[g].bad += newBad
		gs[g].expected += expected
		for i, l := range logRatios {
			gs[g].logRatios[i] += l
		}
	}
}

// eValue returns the group's e-value, or 0 if the difference is too small to
// matter. Lowering an e-value to 0 keeps the test valid.
func (g *group) eValue(t tolerance) (e float64) {
	if g.bad < t.minBadOutcomes || g.bad-g.expected < t.minRateDifference*g.requests {
		return 0
	}
	for _, l := range g.logRatios {
		// The cap keeps sums finite; it is far above the veto threshold.
		e += math.Exp(min(l, 100)) / float64(len(alternativeRatios))
	}
	return e
}
