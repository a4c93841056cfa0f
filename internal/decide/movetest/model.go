package movetest

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	numDomains = 4
	// moveDuration is the time from the start of a move to its deadline, and
	// observationDuration the time from the deadline to KeepUntil.
	moveDuration        = 20 * time.Minute
	observationDuration = 10 * time.Minute
)

var (
	epoch  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	routes = [...]string{"chat", "report", "search", "export"}
	// routeShares are the routes' shares of the traffic.
	routeShares = [...]float64{0.55, 0.25, 0.15, 0.05}
)

// Rates of failed and slow responses of a version without a defect, by load:
// light, half, full.
var (
	baseFailureRates = [3]float64{0.001, 0.002, 0.006}
	baseSlowRates    = [3]float64{0.02, 0.04, 0.12}
)

// Defect describes the fault of a version.
type Defect struct {
	Name string
	// FailureRate and SlowRate are the rates of failed and slow responses that
	// the defect adds.
	FailureRate, SlowRate float64
	// Onset is the time at which the defect appears, as a fraction of the time
	// from the start to the deadline.
	Onset float64
	// MinLoad is the lowest load under which the defect appears.
	MinLoad uint8
	// Route is the index of the only route on which the defect appears, or -1
	// for all routes.
	Route int
}

// affects reports whether the defect affects a request.
func (d *Defect) affects(elapsed float64, route int, load uint8) bool {
	return elapsed >= d.Onset && load >= d.MinLoad && (d.Route < 0 || d.Route == route)
}

// Scenario describes the moves to simulate.
type Scenario struct {
	Defect Defect
	// Rate is the number of requests per second.
	Rate float64
	// MaxWaves is the highest number of reclaim waves in a move.
	MaxWaves int
	// FullLoadFactor is the ratio of the new version's probability of full load
	// to the old version's.
	FullLoadFactor float64
}

// wave is a reclaim wave, during which both versions fail more often and
// respond more slowly.
type wave struct {
	from, to int // seconds
	domain   int // or -1 for all domains
}

// traffic generates the requests of one move.
type traffic struct {
	scenario      Scenario
	random        *rand.Rand
	waves         []wave
	phase         float64
	conversations [400]conversation
}

type conversation struct {
	hash      uint64
	remaining int
	// failureProne conversations fail more often under either version.
	failureProne bool
}

type request struct {
	hash         uint64
	route        int
	failureProne bool
	fullLoad     float64 // probability of full load at this time
	halfLoad     float64 // probability of half load at this time
}

func newTraffic(s Scenario, r *rand.Rand) *traffic {
	t := &traffic{scenario: s, random: r, phase: r.Float64() * 2 * math.Pi}
	total := int((moveDuration + observationDuration) / time.Second)
	if s.MaxWaves > 0 {
		for range r.IntN(s.MaxWaves + 1) {
			from := r.IntN(total)
			t.waves = append(t.waves, wave{from, from + 30 + r.IntN(90), r.IntN(numDomains+1) - 1})
		}
	}
	return t
}

// arrivals returns the number of requests that a domain receives in a second.
func (t *traffic) arrivals() int { return poisson(t.random, t.scenario.Rate/numDomains) }

func (t *traffic) inWave(second, domain int) bool {
	for _, w := range t.waves {
		if second >= w.from && second < w.to && (w.domain < 0 || w.domain == domain) {
			return true
		}
	}
	return false
}

// request draws a request. Conversations last ten requests on average.
func (t *traffic) request(second int, inWave bool) request {
	c := &t.conversations[t.random.IntN(len(t.conversations))]
	if c.remaining == 0 {
		*c = conversation{hash: t.random.Uint64(), remaining: 1 + t.random.IntN(19), failureProne: t.random.Float64() < 0.005}
	}
	c.remaining--
	// The load rises and falls with a period of 15 minutes, to model a daily
	// cycle within a short move.
	cycle := 0.5 + 0.5*math.Sin(t.phase+2*math.Pi*float64(second)/900)
	r := request{hash: c.hash, route: t.route(), failureProne: c.failureProne, fullLoad: 0.25 * cycle, halfLoad: 0.4}
	if inWave {
		r.fullLoad = 0.8
		r.halfLoad = 0.15
	}
	return r
}

func (t *traffic) route() int {
	u := t.random.Float64()
	for i, share := range routeShares {
		if u -= share; u < 0 {
			return i
		}
	}
	return 0
}

// outcome draws the load under which r runs and its outcome.
// affectedProbability is the probability that the defect makes the outcome bad.
func (t *traffic) outcome(r request, isNew bool, second int, inWave bool) (load uint8, failed, slow bool, affectedProbability float64) {
	fullLoad := r.fullLoad
	if isNew {
		fullLoad = min(fullLoad*t.scenario.FullLoadFactor, 0.95)
	}
	switch u := t.random.Float64(); {
	case u < fullLoad:
		load = 2
	case u < fullLoad+r.halfLoad:
		load = 1
	}
	pFail, pSlow := baseFailureRates[load], baseSlowRates[load]
	if r.failureProne {
		pFail += 0.1
	}
	if inWave {
		pFail += 0.04
		pSlow += 0.25
	}
	d := &t.scenario.Defect
	if isNew && second < 20 {
		pSlow *= 1.5 // cold caches
	}
	elapsed := float64(second) / moveDuration.Seconds()
	if isNew && d.affects(elapsed, r.route, load) {
		addedFailureRate, addedSlowRate := min(d.FailureRate, 1-pFail), min(d.SlowRate, 1-pSlow)
		affectedProbability = addedFailureRate + (1-pFail-addedFailureRate)*addedSlowRate
		pFail, pSlow = pFail+addedFailureRate, pSlow+addedSlowRate
	}
	failed = t.random.Float64() < pFail
	slow = !failed && t.random.Float64() < pSlow
	return load, failed, slow, affectedProbability
}

// poisson draws a Poisson variate by Knuth's multiplication method, which is
// fast enough because means are small.
func poisson(r *rand.Rand, mean float64) (n int) {
	limit, p := math.Exp(-mean), 1.0
	for {
		p *= r.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}
