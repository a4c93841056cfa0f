package route

import (
	"slices"
	"sync/atomic"
	"time"
)

// RoundRobin picks the eligible backend servers in turn. It is a baseline that
// other policies are compared with.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(bs []Backend, r Request, _ time.Time, _ uint64) (index int, ok bool) {
	if len(bs) == 0 {
		return 0, false
	}
	start := int(p.next.Add(1) % uint64(len(bs)))
	for i := range bs {
		j := (start + i) % len(bs)
		if eligible(&bs[j], &r) {
			return j, true
		}
	}
	return 0, false
}

// LeastLoaded picks the eligible backend server with the lowest reported load
// and breaks ties at random. It is a baseline that other policies are compared
// with.
type LeastLoaded struct{}

// Pick implements Policy.
func (LeastLoaded) Pick(bs []Backend, r Request, _ time.Time, random uint64) (index int, ok bool) {
	best, ties := 0.0, uint64(0)
	for i := range bs {
		if !eligible(&bs[i], &r) {
			continue
		}
		load := bs[i].load()
		switch {
		case !ok || load < best:
			index, ok, best, ties = i, true, load, 1
		case load == best:
			ties++
			if splitMix64(random+ties)%ties == 0 {
				index = i
			}
		}
	}
	return index, ok
}

func eligible(b *Backend, r *Request) bool {
	return b.Serves(r.Version) && !slices.Contains(r.Exclude, b.ID)
}

// load returns the number of running and queued requests per unit of capacity.
func (b *Backend) load() float64 {
	return float64(b.Running+b.Queued) / float64(max(b.Capacity, 1))
}

// splitMix64 hashes x with one step of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
