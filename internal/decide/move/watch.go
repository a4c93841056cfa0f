package move

import "math"

const (
	// outOfLine is the ratio to the old version's rate from which a version
	// at share 1 looks bad. Without a concurrent comparison the rates may
	// differ for other reasons, so the consequence is only a comparison at a
	// lower share.
	outOfLine = 2
	// few is the number of requests below which a place's own rate isn't used.
	few = 30
)

// suspect reports whether the new version looks bad in the given part of the
// watch or an earlier one, and has not been found harmless since. It looks bad
// if it is worse than the old version was before the move was complete. It is
// harmless if the old version, compared again, suffers alike, or if the new one
// has recovered.
func suspect(cells []cell, slot uint8) bool {
	for i := range slot + 1 {
		e := 0.0
		for k := range kinds {
			e += kindWeight * suspectKind(cells, watchStep+2*i, k)
		}
		if e >= math.Exp(suspicion) {
			return true
		}
	}
	return false
}

func suspectKind(cells []cell, step uint8, kind int) (e float64) {
	rates := accepted(cells, step, kind)
	var watch, again [groups]group
	for i := range cells {
		x := &cells[i]
		switch {
		case x.step == step:
			x.addExpected(&watch, rates[x.place], kind)
		case x.step > step && isRecheck(x.step):
			x.addExpected(&again, rates[x.place], kind)
		}
	}
	for g := range watch {
		w := &watch[g]
		if again[g].n >= few && again[g].bad <= again[g].expected {
			continue
		}
		for i, a := range alternatives {
			w.likelihood[i] = w.bad*math.Log(a) - w.expected*(a-1)
		}
		e += groupWeight(g) * w.value(criteria[kind])
	}
	return e
}

func (x *cell) addExpected(gs *[groups]group, rate float64, kind int) {
	for _, g := range groupsOf(x.place) {
		gs[g].n += x.n[1]
		gs[g].bad += x.bad[kind][1]
		gs[g].expected += x.n[1] * rate
	}
}

// accepted returns the rate up to which the new version is accepted in a step
// of the watch, by place: a multiple of the old version's rate before or, if
// higher, since.
func accepted(cells []cell, step uint8, kind int) (rates [places]float64) {
	var before, since [places][2]float64 // requests, bad
	var all, again [2]float64
	for i := range cells {
		x := &cells[i]
		n := [2]float64{x.n[0], x.bad[kind][0]}
		switch {
		case x.step < watchStep:
			add(&before[x.place], n)
			add(&all, n)
		case x.step > step:
			add(&since[x.place], n)
			add(&again, n)
		}
	}
	for p := range rates {
		rate := max(rateOf(all, 1), rateOf(again, few), rateOf(before[p], few), rateOf(since[p], few))
		rates[p] = outOfLine*rate + criteria[kind].floor
	}
	return rates
}

func add(sum *[2]float64, n [2]float64) {
	sum[0] += n[0]
	sum[1] += n[1]
}

func rateOf(n [2]float64, least float64) float64 {
	if n[0] < least {
		return 0
	}
	return n[1] / n[0]
}
