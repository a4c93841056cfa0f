package move

import "github.com/cespare/xxhash/v2"

const (
	loads = 3
	// buckets is the number of groups of routes that are tested apart. It is
	// fixed, so that the correction for their number is known before the
	// first route is seen; routes that share a bucket are tested together.
	buckets = 16
	places  = buckets * loads
)

// The kinds of badness.
const (
	failures = iota
	slowness
	kinds
)

// place is a bucket of routes under one load.
type place uint8

func (p place) bucket() int { return int(p) / loads }
func (p place) load() int   { return int(p) % loads }

// cell holds the outcomes of both versions in one step and place. Index 0 is
// the old version, 1 the new one.
type cell struct {
	step  uint8
	place place
	n     [2]float64
	bad   [kinds][2]float64
}

// tabulate sorts the evidence into cells, the last step first.
func tabulate(s *State) []cell {
	var index [(lastStep + 1) * places]uint16
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
		p := place(xxhash.Sum64String(k.Route)%buckets*loads + uint64(k.Load))
		i := &index[(lastStep-int(k.Step))*places+int(p)]
		if *i == 0 {
			cells = append(cells, cell{step: k.Step, place: p})
			*i = uint16(len(cells))
		}
		x := &cells[*i-1]
		x.n[version] += float64(c.Answered + c.Failed)
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

// fraction returns the part of the cell's requests that went to the new
// version, or that its step offers it if that is more. Servers of the new
// version may be busier than the others, so that it has more than its share of
// the requests under load; its failures among those are then no evidence.
func (x *cell) fraction() float64 {
	return max(ShareOf(x.step), x.n[1]/max(x.n[0]+x.n[1], 1))
}

// covered returns the number of requests by which the new version is known:
// the smallest, over the places that make up a notable part of the traffic, of
// its requests there divided by that part.
func covered(cells []cell) float64 {
	const notable = 0.05
	var at [places][2]float64
	total := 0.0
	for i := range cells {
		x := &cells[i]
		at[x.place][0] += x.n[0] + x.n[1]
		at[x.place][1] += x.n[1]
		total += x.n[0] + x.n[1]
	}
	least, found := 0.0, false
	for _, n := range at {
		part := n[0] / max(total, 1)
		if part < notable {
			continue
		}
		if known := n[1] / part; !found || known < least {
			least, found = known, true
		}
	}
	return least
}

// reached returns the highest step below the watch in which the new version
// has responded, and whether it has in the watch.
func reached(cells []cell) (step uint8, watched bool) {
	for i := range cells {
		switch x := &cells[i]; {
		case x.n[1] == 0:
		case x.step < probeStep:
			step = max(step, x.step)
		case x.step >= watchStep:
			watched = true
		}
	}
	return step, watched
}
