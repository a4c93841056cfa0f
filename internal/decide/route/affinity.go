package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ramp is the time over which a backend server that has joined grows to
	// its full share: its caches are empty and its first load report lags.
	ramp = 10 * time.Second
	// trust is the age at which a load report counts half.
	trust = 2 * time.Second
	// bound is the load, relative to the mean, above which a backend server
	// is passed over (rendezvous hashing with bounded load).
	bound = 1.25
	// longPrefix is the number of tokens from which a prefix is worth affinity:
	// recomputing fewer costs less than the queues of an uneven load.
	longPrefix = 1000
	// full caps the bound, so that a server doesn't queue while others have
	// room.
	full = 0.85
	// slack keeps the bound from passing over servers when all are idle.
	slack = 0.1
	// remote weighs backend servers of other failure domains: a crossing
	// costs 1.5 ms each way and is lost when the domain is partitioned.
	remote = 0.8
)

// Affinity sends requests with the same prefix to the same backend server, so
// that its prompt-prefix cache is used, unless the server is loaded above the
// others. It prefers cheap servers and the request's failure domain. The zero
// value is ready.
type Affinity struct{}

// Pick returns the backend server for r.
func (Affinity) Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool) {
	m := survey(bs, &r, now)
	if m.eligible == 0 {
		return 0, false
	}
	key, affine := r.Prefix, r.affine()
	if !affine {
		key = random
	}
	limit := m.limit()
	var best, second choice
	spare := choice{load: math.Inf(1)}
	for i := range bs {
		b := &bs[i]
		if !eligible(b, &r) {
			continue
		}
		c := choice{index: i, ok: true, load: b.estimate(m.load, now)}
		if c.load < spare.load {
			spare = c
		}
		if c.load > limit || r.Interactive && (b.Queued > 0 || c.load >= 1) {
			continue
		}
		c.score = b.score(key, &m, r.FailureDomain, now)
		switch {
		case !best.ok || c.score > best.score:
			best, second = c, best
		case !second.ok || c.score > second.score:
			second = c
		}
	}
	switch {
	case !best.ok:
		return spare.index, true
	case !affine && second.ok && second.load < best.load:
		return second.index, true
	}
	return best.index, true
}

// choice is a backend server that may be picked.
type choice struct {
	index       int
	ok          bool
	load, score float64
}

// affine reports whether the cached prefix is worth an uneven load.
func (r *Request) affine() bool {
	return r.Prefix != 0 && (r.PrefixTokens == 0 || r.PrefixTokens >= longPrefix)
}

// mean holds the averages over the eligible backend servers.
type mean struct {
	eligible    int
	load, price float64
}

func survey(bs []Backend, r *Request, now time.Time) (m mean) {
	used, capacity := 0.0, 0.0
	for i := range bs {
		b := &bs[i]
		if !eligible(b, r) {
			continue
		}
		m.eligible++
		m.price += b.Price
		used += float64(b.Running + b.Queued)
		capacity += float64(max(b.Capacity, 1)) * b.ramped(now)
	}
	if m.eligible > 0 {
		m.price /= float64(m.eligible)
		m.load = used / capacity
	}
	return m
}

// limit returns the load above which a server is passed over.
func (m *mean) limit() float64 { return min(bound*m.load+slack, max(full, 1.1*m.load)) }

// ramped returns the part of its capacity that b may use, from a tenth to 1.
func (b *Backend) ramped(now time.Time) float64 {
	age := now.Sub(b.Joined)
	if age >= ramp {
		return 1
	}
	return max(0.1, float64(age)/float64(ramp))
}

// estimate returns the load of b. An old report says little, so it is drawn
// towards the mean.
func (b *Backend) estimate(mean float64, now time.Time) float64 {
	age := max(now.Sub(b.Reported), 0)
	w := float64(trust) / float64(trust+age)
	return w*b.load()/b.ramped(now) + (1-w)*mean
}

// score is that of weighted rendezvous hashing: the highest wins, and each
// server wins a part of the keys proportional to its weight.
func (b *Backend) score(key uint64, m *mean, domain string, now time.Time) float64 {
	weight := float64(max(b.Capacity, 1)) * b.ramped(now)
	preference := 1.0
	if m.price > 0 {
		preference = m.price / max(b.Price, m.price/4)
	}
	if domain != "" && b.FailureDomain != domain {
		preference *= remote
	}
	// Under load all servers are needed, and preferring some only fills them
	// first.
	if preference != 1 {
		weight *= math.Pow(preference, max(0, 1-m.load))
	}
	u := (float64(mix(key^xxhash.Sum64String(b.ID))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
