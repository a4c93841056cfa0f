package movetest

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	domains = 4
	// minutes of a move and of the watch after its deadline.
	moveTime  = 20 * time.Minute
	watchTime = 10 * time.Minute
)

var (
	epoch  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	routes = [...]string{"chat", "report", "search", "export"}
	// parts are the routes' parts of the traffic.
	parts = [...]float64{0.55, 0.25, 0.15, 0.05}
)

// Rates of the old version by load: light, half, full.
var (
	baseFail = [3]float64{0.001, 0.002, 0.006}
	baseSlow = [3]float64{0.02, 0.04, 0.12}
)

// Defect is what is wrong with a version.
type Defect struct {
	Name string
	// Fail and Slow are the additional rates of failed and slow responses.
	Fail, Slow float64
	// From is the part of the time to the deadline after which it shows.
	From float64
	// Under is the lowest load under which it shows.
	Under uint8
	// Route is the index of the only route on which it shows, or -1.
	Route int
}

// shows reports whether the defect affects a request.
func (d *Defect) shows(part float64, route int, load uint8) bool {
	return part >= d.From && load >= d.Under && (d.Route < 0 || d.Route == route)
}

// Scenario is a kind of move to simulate.
type Scenario struct {
	Defect Defect
	// Rate is the number of requests per second.
	Rate float64
	// Waves is the highest number of reclaim waves.
	Waves int
	// Busier is the factor by which the new version's servers are more often
	// under full load.
	Busier float64
}

// wave is a reclaim wave: both versions fail and slow down more.
type wave struct {
	from, to int // seconds
	domain   int // or -1 for all
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
	hash uint64
	left int
	// frail conversations fail more often under either version.
	frail bool
}

type request struct {
	hash  uint64
	route int
	frail bool
	full  float64 // probabilities of load levels at this time
	half  float64
}

func newTraffic(s Scenario, r *rand.Rand) *traffic {
	t := &traffic{scenario: s, random: r, phase: r.Float64() * 2 * math.Pi}
	total := int((moveTime + watchTime) / time.Second)
	if s.Waves > 0 {
		for range r.IntN(s.Waves + 1) {
			from := r.IntN(total)
			t.waves = append(t.waves, wave{from, from + 30 + r.IntN(90), r.IntN(domains+1) - 1})
		}
	}
	return t
}

// arrivals returns the number of requests that a domain receives in a second.
func (t *traffic) arrivals() int { return poisson(t.random, t.scenario.Rate/domains) }

func (t *traffic) wave(second, domain int) bool {
	for _, w := range t.waves {
		if second >= w.from && second < w.to && (w.domain < 0 || w.domain == domain) {
			return true
		}
	}
	return false
}

// request draws a request. Conversations last ten requests on average.
func (t *traffic) request(second int, wave bool) request {
	c := &t.conversations[t.random.IntN(len(t.conversations))]
	if c.left == 0 {
		*c = conversation{hash: t.random.Uint64(), left: 1 + t.random.IntN(19), frail: t.random.Float64() < 0.005}
	}
	c.left--
	day := 0.5 + 0.5*math.Sin(t.phase+2*math.Pi*float64(second)/900)
	r := request{hash: c.hash, route: t.route(), frail: c.frail, full: 0.25 * day, half: 0.4}
	if wave {
		r.full = 0.8
		r.half = 0.15
	}
	return r
}

func (t *traffic) route() int {
	u := t.random.Float64()
	for i, p := range parts {
		if u -= p; u < 0 {
			return i
		}
	}
	return 0
}

// outcome draws the load under which r runs and its outcome. hurt is the
// probability with which the defect makes it bad.
func (t *traffic) outcome(r request, isNew bool, second int, wave bool) (load uint8, failed, slow bool, hurt float64) {
	full := r.full
	if isNew {
		full = min(full*t.scenario.Busier, 0.95)
	}
	switch u := t.random.Float64(); {
	case u < full:
		load = 2
	case u < full+r.half:
		load = 1
	}
	pFail, pSlow := baseFail[load], baseSlow[load]
	if r.frail {
		pFail += 0.1
	}
	if wave {
		pFail += 0.04
		pSlow += 0.25
	}
	d := &t.scenario.Defect
	if isNew && second < 20 {
		pSlow *= 1.5 // cold caches
	}
	part := float64(second) / moveTime.Seconds()
	if isNew && d.shows(part, r.route, load) {
		fail, late := min(d.Fail, 1-pFail), min(d.Slow, 1-pSlow)
		hurt = fail + (1-pFail-fail)*late
		pFail, pSlow = pFail+fail, pSlow+late
	}
	failed = t.random.Float64() < pFail
	slow = !failed && t.random.Float64() < pSlow
	return load, failed, slow, hurt
}

// poisson draws by multiplication; means are small.
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
