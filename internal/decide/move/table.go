package move

import "github.com/cespare/xxhash/v2"

const (
	// numLoads must equal the number of load levels in package evidence;
	// outcomes under other levels are ignored.
	numLoads = 3
	// numBuckets is the number of groups of routes that are tested separately.
	// It is fixed, so that the weights, which are the correction for multiple
	// tests, are known before the first route is seen; routes in the same bucket
	// are tested together.
	numBuckets = 16
	numStrata  = numBuckets * numLoads
)

// Kinds of bad outcomes.
const (
	failures = iota
	slowness
	numKinds
)

// stratum is a bucket of routes under one load.
type stratum uint8

func (s stratum) bucket() int { return int(s) / numLoads }
func (s stratum) load() int   { return int(s) % numLoads }

// cell holds the outcomes of both versions in one step and stratum. Its arrays
// are indexed by version: 0 is the old version, 1 the new one.
type cell struct {
	step     uint8
	stratum  stratum
	requests [2]float64
	bad      [numKinds][2]float64
}

// tabulate groups the evidence into cells, ordered from the last step to the
// first.
func tabulate(s *State) []cell {
	var index [(lastStep + 1) * numStrata]uint16
	cells := make([]cell, 0, min(len(s.Evidence), len(index)))
	for k, c := range s.Evidence {
		version, ok := s.Plan.versionIndex(k.Version)
		if !ok || k.Step > lastStep || k.Load >= numLoads {
			continue
		}
		st := stratum(xxhash.Sum64String(k.Route)%numBuckets*numLoads + uint64(k.Load))
		i := &index[(lastStep-int(k.Step))*numStrata+int(st)]
		if *i == 0 {
			cells = append(cells, cell{step: k.Step, stratum: st})
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

// newVersionFraction returns the fraction of the cell's requests that went to
// the new version, or the share of the cell's step if that is higher. The new
// version's servers may be busier than the others, so that under load it has
// more than its share of the requests; the failures of the additional requests
// must not count against it.
func (x *cell) newVersionFraction() float64 {
	return max(ShareOf(x.step), x.requests[1]/max(x.requests[0]+x.requests[1], 1))
}

// stepReached returns the highest step before probeStep in which the new version
// has had requests, and whether it has had requests during the observation.
func stepReached(cells []cell) (step uint8, observing bool) {
	for i := range cells {
		switch x := &cells[i]; {
		case x.requests[1] == 0:
		case x.step < probeStep:
			step = max(step, x.step)
		case x.step >= observationStep:
			observing = true
		}
	}
	return step, observing
}
