package move

import "math"

// criterion says by how much a version must be worse to be bad.
type criterion struct {
	// ratio is the ratio of the odds of a bad outcome up to which the new
	// version is accepted.
	ratio float64
	// floor is the difference of the rates below which it is accepted.
	floor float64
	// least is the number of bad outcomes below which it is accepted: a single
	// conversation that fails again and again is no evidence.
	least float64
}

// Slowness has the wider margin: a new version starts with cold caches and on
// fewer servers.
var criteria = [kinds]criterion{
	failures: {ratio: 1.25, floor: 0.003, least: 4},
	slowness: {ratio: 1.5, floor: 0.02, least: 4},
}

// alternatives are the ratios of odds, relative to the accepted one, over which
// the test averages, each with the same weight.
var alternatives = [...]float64{1.6, 2.5, 5, 12, 60}

// The e-value is an average over kinds, groups of cells, starting steps and
// alternatives, with weights that sum to 1 and are fixed beforehand, so no
// further correction for the number of tests is due. The groups are all cells,
// those of each load, of each bucket of routes, and of each bucket under each
// load.
const (
	kindWeight   = 1.0 / kinds
	allWeight    = 0.4
	loadWeight   = 0.2 / loads
	bucketWeight = 0.2 / buckets
	placeWeight  = 0.2 / places

	allGroup    = 0
	loadGroup   = 1
	bucketGroup = loadGroup + loads
	placeGroup  = bucketGroup + buckets
	groups      = placeGroup + places
)

// groupsOf returns the groups to which a place belongs.
func groupsOf(p place) [4]int {
	return [...]int{allGroup, loadGroup + p.load(), bucketGroup + p.bucket(), placeGroup + int(p)}
}

func groupWeight(g int) float64 {
	switch {
	case g >= placeGroup:
		return placeWeight
	case g >= bucketGroup:
		return bucketWeight
	case g >= loadGroup:
		return loadWeight
	}
	return allWeight
}

// startWeight is the weight of the test that uses only the evidence from a step
// on. Those that start late find a version that turns bad after a long good
// time. Steps at share 1 compare nothing, so no test starts there.
func startWeight(step uint8) float64 {
	switch {
	case step == 0:
		return 0.4
	case step == firstStep || step >= watchStep && !isRecheck(step):
		return 0
	case step < watchStep:
		return 0.3 / (probeStep - firstStep)
	}
	return 0.3 / watchSlots
}

// group sums the evidence of the new version over cells.
type group struct {
	likelihood [len(alternatives)]float64 // logarithms of likelihood ratios
	n, bad     float64
	expected   float64 // bad outcomes at the accepted rate
}

// score returns the logarithm of the e-value against the hypothesis that the
// new version is no worse than the old one, and the kind that contributes most.
func score(cells []cell) (logE float64, kind int) {
	var e [kinds]float64
	for k := range kinds {
		e[k] = kindWeight * scoreKind(cells, k)
	}
	if e[slowness] > e[failures] {
		kind = slowness
	}
	return math.Log(e[failures] + e[slowness]), kind
}

func scoreKind(cells []cell, kind int) (e float64) {
	var gs [groups]group
	var values [groups]float64
	sum := 0.0 // of values, weighted
	for step := lastStep; step >= 0; step-- {
		var touched [groups]bool
		for ; len(cells) > 0 && int(cells[0].step) == step; cells = cells[1:] {
			cells[0].addTo(&gs, kind)
			for _, g := range groupsOf(cells[0].place) {
				touched[g] = true
			}
		}
		for g, yes := range touched {
			if yes {
				v := gs[g].value(criteria[kind])
				sum += groupWeight(g) * (v - values[g])
				values[g] = v
			}
		}
		e += startWeight(uint8(step)) * max(sum, 0)
	}
	return e
}

// addTo adds the cell's likelihood ratios to the groups it belongs to. Given
// that an outcome is bad, it is the new version's with probability q; the ratio
// compares q under each alternative with q under the accepted ratio.
func (x *cell) addTo(gs *[groups]group, kind int) {
	c, s := criteria[kind], x.fraction()
	old, new := x.bad[kind][0], x.bad[kind][1]
	var likelihood [len(alternatives)]float64
	if s < 1 && old+new > 0 {
		base := c.ratio * s / (1 - s)
		for i, a := range alternatives {
			likelihood[i] = new*math.Log(a) - (old+new)*math.Log((1+a*base)/(1+base))
		}
	}
	expected := x.n[1] * c.ratio * old / max(x.n[0], 1)
	for _, g := range groupsOf(x.place) {
		gs[g].n += x.n[1]
		gs[g].bad += new
		gs[g].expected += expected
		for i, l := range likelihood {
			gs[g].likelihood[i] += l
		}
	}
}

// value returns the group's e-value, or 0 if the difference is too small to
// matter. Setting it to 0 only lowers it, so the test stays valid.
func (g *group) value(c criterion) (e float64) {
	if g.bad < c.least || g.bad-g.expected < c.floor*g.n {
		return 0
	}
	for _, l := range g.likelihood {
		// The cap keeps sums finite; it is far above the threshold.
		e += math.Exp(min(l, 100)) / float64(len(alternatives))
	}
	return e
}
