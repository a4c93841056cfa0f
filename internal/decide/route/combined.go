package route

import (
	"sync/atomic"
	"time"
)

// crowded is the load, and the load relative to the mean, above which a server
// misses its turn. Reports lag, so that a tighter bound makes the turns uneven
// without cause.
const crowded = 1.5

// spare is the load up to which a server has room at once. A request that
// queues behind others at a server of a long prefix waits for whole responses.
const spare = 0.9

// Combined is Affinity for requests with a long prefix and takes turns among
// the servers with room for the others: their cost is the unevenness of the
// load, and a node's own turns are even without any report. The zero value is
// ready; a Combined must not be copied.
type Combined struct{ turn atomic.Uint64 }

// Pick returns the backend server for r.
func (p *Combined) Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool) {
	if r.affine() {
		return Affinity{}.Pick(bs, r, now, random)
	}
	m := survey(bs, &r, now)
	limit := spare
	room := count(bs, &r, &m, now, limit)
	if room == 0 {
		limit = max(crowded, crowded*m.load)
		room = count(bs, &r, &m, now, limit)
	}
	if room == 0 {
		return Affinity{}.Pick(bs, r, now, random)
	}
	skip := int(p.turn.Add(1) % uint64(room))
	for i := range bs {
		if !eligible(&bs[i], &r) || bs[i].estimate(m.load, now) > limit {
			continue
		}
		if skip == 0 {
			return i, true
		}
		skip--
	}
	return 0, false
}

// count returns the number of eligible servers with at most a load.
func count(bs []Backend, r *Request, m *mean, now time.Time, limit float64) int {
	n := 0
	for i := range bs {
		if eligible(&bs[i], r) && bs[i].estimate(m.load, now) <= limit {
			n++
		}
	}
	return n
}
