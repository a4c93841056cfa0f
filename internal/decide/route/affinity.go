package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rampUpTime is the time in which a backend server that has joined grows to
	// its full share: its caches are empty and its first load report lags.
	rampUpTime = 10 * time.Second
	// reportHalfWeightAge is the age at which a load report has half the weight
	// of a new one.
	reportHalfWeightAge = 2 * time.Second
	// loadFactor is the load, relative to the mean, above which a backend
	// server is skipped (rendezvous hashing with bounded loads).
	loadFactor = 1.25
	// minAffinityTokens is the number of tokens from which a prefix is worth
	// affinity: recomputing a shorter prefix costs less than the queues that an
	// uneven load causes.
	minAffinityTokens = 1000
	// maxLoad caps the load limit unless the mean load is near or above it, so
	// that requests don't queue at one server while others have free capacity.
	maxLoad = 0.85
	// slack is added to the load limit, so that no server is skipped when all
	// are idle.
	slack = 0.1
	// remoteWeight scales the weight of backend servers in other failure
	// domains: a request to one takes 1.5 ms longer each way and is lost when
	// the domain is partitioned.
	remoteWeight = 0.8
)

// Affinity sends requests with the same prefix to the same backend server, so
// that its prompt-prefix cache is used, unless that server is loaded more than
// the others. It prefers cheap servers and the failure domain of the request.
// The zero value is ready to use.
type Affinity struct{}

// Pick implements Policy.
func (Affinity) Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool) {
	avg := averagesOf(bs, &r, now)
	if avg.eligible == 0 {
		return 0, false
	}
	key, useAffinity := r.Prefix, r.usesAffinity()
	if !useAffinity {
		key = random
	}
	limit := avg.limit()
	var best, second rankedServer
	leastLoaded := rankedServer{load: math.Inf(1)}
	for i := range bs {
		b := &bs[i]
		if !eligible(b, &r) {
			continue
		}
		c := rankedServer{index: i, ok: true, load: b.estimatedLoad(avg.load, now)}
		if c.load < leastLoaded.load {
			leastLoaded = c
		}
		if c.load > limit || r.Interactive && (b.Queued > 0 || c.load >= 1) {
			continue
		}
		c.score = b.score(key, &avg, r.FailureDomain, now)
		switch {
		case !best.ok || c.score > best.score:
			best, second = c, best
		case !second.ok || c.score > second.score:
			second = c
		}
	}
	switch {
	case !best.ok:
		return leastLoaded.index, true
	case !useAffinity && second.ok && second.load < best.load:
		return second.index, true
	}
	return best.index, true
}

// rankedServer is an eligible backend server with its load and score.
type rankedServer struct {
	index       int
	ok          bool
	load, score float64
}

// usesAffinity reports whether the cached prefix is worth an uneven load.
func (r *Request) usesAffinity() bool {
	return r.Prefix != 0 && (r.PrefixTokens == 0 || r.PrefixTokens >= minAffinityTokens)
}

// averages holds the number of eligible backend servers, and their mean load
// and price.
type averages struct {
	eligible    int
	load, price float64
}

// averagesOf returns the averages over the servers in bs that are eligible for
// r.
func averagesOf(bs []Backend, r *Request, now time.Time) (avg averages) {
	used, capacity := 0.0, 0.0
	for i := range bs {
		b := &bs[i]
		if !eligible(b, r) {
			continue
		}
		avg.eligible++
		avg.price += b.Price
		used += float64(b.Running + b.Queued)
		capacity += float64(max(b.Capacity, 1)) * b.rampUpFraction(now)
	}
	if avg.eligible > 0 {
		avg.price /= float64(avg.eligible)
		avg.load = used / capacity
	}
	return avg
}

// limit returns the load above which a server is skipped. Its cap is at least a
// tenth above the mean load, so that servers near the mean aren't skipped when
// all are loaded.
func (a *averages) limit() float64 { return min(loadFactor*a.load+slack, max(maxLoad, 1.1*a.load)) }

// rampUpFraction returns the fraction of its capacity that b may use, from 0.1
// to 1.
func (b *Backend) rampUpFraction(now time.Time) float64 {
	age := now.Sub(b.Joined)
	if age >= rampUpTime {
		return 1
	}
	return max(0.1, float64(age)/float64(rampUpTime))
}

// estimatedLoad returns the load of b according to its last report. The older
// the report, the closer the estimate is to the mean.
func (b *Backend) estimatedLoad(mean float64, now time.Time) float64 {
	age := max(now.Sub(b.Reported), 0)
	weight := float64(reportHalfWeightAge) / float64(reportHalfWeightAge+age)
	return weight*b.load()/b.rampUpFraction(now) + (1-weight)*mean
}

// score returns the weighted rendezvous hash of b for key. The server with the
// highest score wins, and each server wins a fraction of the keys proportional
// to its weight.
func (b *Backend) score(key uint64, avg *averages, domain string, now time.Time) float64 {
	weight := float64(max(b.Capacity, 1)) * b.rampUpFraction(now)
	preference := 1.0
	if avg.price > 0 {
		preference = avg.price / max(b.Price, avg.price/4)
	}
	if domain != "" && b.FailureDomain != domain {
		preference *= remoteWeight
	}
	// The weight of the preference decreases as the mean load grows: under load
	// all servers are needed, and preferring some would only fill them first.
	if preference != 1 {
		weight *= math.Pow(preference, max(0, 1-avg.load))
	}
	u := (float64(splitMix64(key^xxhash.Sum64String(b.ID))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
