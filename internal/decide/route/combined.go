package route

import (
	"sync/atomic"
	"time"
)

// maxTurnLoad is the load, and the load relative to the mean, above which a
// server is skipped in the turns. Reports lag, so a tighter limit would make
// the turns uneven without cause.
const maxTurnLoad = 1.5

// freeLoad is the load up to which a server can run another request at once. A
// request that queues behind others at a server with long prefixes waits for
// whole responses.
const freeLoad = 0.9

// Combined uses Affinity for requests with a long prefix and takes turns among
// the servers with free capacity for the others: what costs those is an uneven
// load, and a node's own turns are even without any load report. The zero value
// is ready to use; a Combined must not be copied.
type Combined struct{ turn atomic.Uint64 }

// Pick implements Policy.
func (p *Combined) Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool) {
	if r.prefersAffinity() {
		return Affinity{}.Pick(bs, r, now, random)
	}
	m := averagesOf(bs, &r, now)
	limit := freeLoad
	available := countWithin(bs, &r, &m, now, limit)
	if available == 0 {
		limit = max(maxTurnLoad, maxTurnLoad*m.load)
		available = countWithin(bs, &r, &m, now, limit)
	}
	if available == 0 {
		return Affinity{}.Pick(bs, r, now, random)
	}
	skip := int(p.turn.Add(1) % uint64(available))
	for i := range bs {
		if !eligible(&bs[i], &r) || bs[i].estimatedLoad(m.load, now) > limit {
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
func countWithin(bs []Backend, r *Request, m *averages, now time.Time, limit float64) int {
	n := 0
	for i := range bs {
		if eligible(&bs[i], r) && bs[i].estimatedLoad(m.load, now) <= limit {
			n++
		}
	}
	return n
}
