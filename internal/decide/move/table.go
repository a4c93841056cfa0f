package move

import "github.com/cespare/xxhash/v2"

const (
	loads = 3
	// buckets is the number of groups of routes that are tested separately. It
	// is fixed, so that the correction for multiple tests is known before the
	// first route is seen; routes in the same bucket are tested together.
	buckets = 16
	strata  = buckets * loads
)

// Kinds of bad outcomes.
const (
	failures = iota
	slowness
	outcomeKinds
)

// stratum is a bucket of routes under one load.
type stratum uint8

func (s stratum) bucket() int { return int(s) / loads }
func (s stratum) load() int   { return int(s) % loads }

// cell holds the outcomes of both versions in one step and stratum. Its arrays
// are indexed by version: 0 is the old version, 1 the new one.
type cell struct {
	step     uint8
	stratum  stratum
	requests [2]float64
	bad      [outcomeKinds][2]float64
}

// tabulate groups the evidence into cells, ordered from the last step to the
// first.
func tabulate(s *State) []cell {
	var index [(lastStep + 1) * strata]uint16
	cells := make([]cell, 0, min(len(s.Evidence), len(index)))
	for k, c := range s.Evidence {
		version := 0
		switch k.Version {
		case s.Plan.From:
		case s.Plan.To:
			version = 1
		default:
			continue
		}
		if k.Step > lastStep || k.Load >= loads {
			continue
		}
		p := stratum(xxhash.Sum64String(k.Route)%buckets*loads + uint64(k.Load))
		i := &index[(lastStep-int(k.Step))*strata+int(p)]
		if *i == 0 {
			cells = append(cells, cell{step: k.Step, stratum: p})
			*i = uint16(len(cells))
		}
		x := &cells[*i-1]
		x.requests[version] += float64(c.Answered + c.Failed)
		x.bad[failures][version] += float64(c.Failed)
		x.bad[slowness][version] += float64(c.Slow)
	}
	sorted := make([]cell, 0, len(cells))
	for _, i := range index {
		if i != 0 {
			sorted = append(sorted, cells[i-1])
		}
	}
	return sorted
}

// newFraction returns the fraction of the cell's requests that went to the new
// version, or the share of the cell's step if that is higher. The new version's
// servers may be busier than the others, so that under load it has more than
// its share of the requests; its failures among those are then no evidence
// against it.
func (x *cell) newFraction() float64 {
	return max(ShareOf(x.step), x.requests[1]/max(x.requests[0]+x.requests[1], 1))
}

// effectiveRequests returns the number of requests that the evidence on the new
// version is equivalent to. In each stratum with at least minTrafficShare of
// the traffic, this is the new version's requests divided by the stratum's
// share of the traffic; the result is the smallest of these.
func effectiveRequests(cells []cell) float64 {
	const minTrafficShare = 0.05
	var counts [strata][2]float64
	total := 0.0
	for i := range cells {
		x := &cells[i]
		counts[x.stratum][0] += x.requests[0] + x.requests[1]
		counts[x.stratum][1] += x.requests[1]
		total += x.requests[0] + x.requests[1]
	}
	least, found := 0.0, false
	for _, n := range counts {
		trafficShare := n[0] / max(total, 1)
		if trafficShare < minTrafficShare {
			continue
		}
		if effective := n[1] / trafficShare; !found || effective < least {
			least, found = effective, true
		}
	}
	return least
}

// stepsReached returns the highest step before the watch in which the new
// version has responded, and whether it has responded in the watch.
func stepsReached(cells []cell) (step uint8, watched bool) {
	for i := range cells {
		switch x := &cells[i]; {
		case x.requests[1] == 0:
		case x.step < probeStep:
			step = max(step, x.step)
		case x.step >= watchStep:
			watched = true
		}
	}
	return step, watched
}
