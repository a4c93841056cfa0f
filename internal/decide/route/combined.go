package route

import (
	"sync/atomic"
	"time"
)

// maxRoundRobinLoad limits the load of the servers in the round robin if none
// has free capacity: a server is skipped if its load is above both
// maxRoundRobinLoad and maxRoundRobinLoad times the mean load. Reports lag, so a
// tighter limit would make the round robin uneven without cause.
const maxRoundRobinLoad = 1.5

// freeLoad is the load up to which a server can run another request at once. A
// request that queues behind others at a server with long prefixes waits for
// whole responses.
const freeLoad = 0.9

// Combined uses Affinity for requests with a long prefix, and a round robin
// among the servers with free capacity for the others: for these, an uneven load
// costs more than a cache miss, and an instance's own round robin is even
// without any load report. The zero value is ready to use; a Combined must not
// be copied.
type Combined struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *Combined) Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool) {
	if r.usesAffinity() {
		return Affinity{}.Pick(bs, r, now, random)
	}
	avg := averagesOf(bs, &r, now)
	limit := freeLoad
	available := countWithin(bs, &r, &avg, now, limit)
	if available == 0 {
		limit = max(maxRoundRobinLoad, maxRoundRobinLoad*avg.load)
		available = countWithin(bs, &r, &avg, now, limit)
	}
	if available == 0 {
		return Affinity{}.Pick(bs, r, now, random)
	}
	skip := int(p.next.Add(1) % uint64(available))
	for i := range bs {
		if !eligible(&bs[i], &r) || bs[i].estimatedLoad(avg.load, now) > limit {
			continue
		}
		if skip == 0 {
			return i, true
		}
		skip--
	}
	return 0, false
}

// countWithin returns the number of eligible servers whose estimated load is at
// most limit.
func countWithin(bs []Backend, r *Request, avg *averages, now time.Time, limit float64) int {
	n := 0
	for i := range bs {
		if eligible(&bs[i], r) && bs[i].estimatedLoad(avg.load, now) <= limit {
			n++
		}
	}
	return n
}
