package routetest

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	numInstances = 9
	numDomains   = 4
	// reportLag is the time until a load report reaches the instances, and
	// reportPeriod the time between two reports of a server. All times are in
	// seconds.
	reportLag    = 0.5
	reportPeriod = 1.0
	// warmupTime is the time before which arriving requests aren't measured,
	// and simulatedTime the end of the simulation.
	warmupTime    = 60.0
	simulatedTime = 240.0
)

// domainPrices are the prices per server and hour, by failure domain.
var domainPrices = [numDomains]float64{1, 0.8, 1.25, 1}

// Result is the performance of a policy in one simulation.
type Result struct {
	Requests int
	// FirstTokenP95 is the 95th percentile, in seconds, of the time to the first
	// token of interactive requests.
	FirstTokenP95 float64
	// TokenIntervalP95 is the 95th percentile, in seconds, of the time between
	// tokens.
	TokenIntervalP95 float64
	// Recomputed is the number of prefix tokens per request that were computed
	// although a server had computed them before.
	Recomputed float64
}

// event is an action scheduled for a simulated time.
type event struct {
	at     float64
	action func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is the state of one simulation.
type run struct {
	mix     Mix
	policy  route.Policy
	random  *rand.Rand
	now     float64
	events  events
	servers []*server
	// views and dispatched are what each instance knows: the last report of each
	// server, and the dispatch times of the instance's own requests that the
	// report may not contain.
	views      [numInstances][]route.Backend
	dispatched [numInstances][][]float64

	cumulativePopularity []float64
	prefixTokens         []float64
	computedPrefixes     map[uint64]bool
	firstTokenTimes      []float64
	tokenIntervals       []float64
	requests             int
	recomputed           float64
}

// Simulate runs a mix at a rate in requests per second on a number of servers.
func Simulate(p route.Policy, m Mix, servers int, rate float64, seed uint64) Result {
	r := &run{
		mix: m, policy: p, random: rand.New(rand.NewPCG(seed, 2)),
		cumulativePopularity: m.cumulativePopularity(), prefixTokens: make([]float64, m.Prefixes), computedPrefixes: make(map[uint64]bool),
	}
	for i := range r.prefixTokens {
		r.prefixTokens[i] = drawLength(r.random, m.PrefixTokens)
	}
	for i := range servers {
		r.addServer(i)
	}
	r.schedule(0, func() { r.arrive(rate) })
	for len(r.events) > 0 && r.now < simulatedTime {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action()
	}
	return r.result()
}

func (r *run) schedule(t float64, action func()) { heap.Push(&r.events, event{t, action}) }

func (r *run) clock() time.Time { return clock(r.now) }

func clock(t float64) time.Time {
	return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(t * float64(time.Second)))
}

func (r *run) addServer(i int) {
	s := &server{cache: make(map[uint64]*list.Element), lru: list.New()}
	s.backend = route.Backend{
		ID: fmt.Sprintf("worker-%d", i), FailureDomain: fmt.Sprint(i % numDomains), Price: domainPrices[i%numDomains],
		Versions: []string{"v1"}, Capacity: slotsPerServer, Reported: clock(0), Joined: clock(-3600),
	}
	r.servers = append(r.servers, s)
	for n := range r.views {
		r.views[n] = append(r.views[n], s.backend)
		r.dispatched[n] = append(r.dispatched[n], nil)
	}
	r.schedule(r.random.Float64()*reportPeriod, func() { r.report(i) })
}

// report samples a server's load, which reaches the instances after reportLag.
func (r *run) report(i int) {
	s := r.servers[i]
	running, queued, sampled := s.running, len(s.queue), r.now
	r.schedule(r.now+reportLag, func() {
		for n := range r.views {
			b := &r.views[n][i]
			dispatched := slices.DeleteFunc(r.dispatched[n][i], func(at float64) bool { return at <= sampled })
			r.dispatched[n][i] = dispatched
			b.Running, b.Queued, b.Reported = running+len(dispatched), queued, clock(sampled)
		}
	})
	r.schedule(r.now+reportPeriod, func() { r.report(i) })
}

func (r *run) arrive(rate float64) {
	r.schedule(r.now+r.random.ExpFloat64()/rate, func() { r.arrive(rate) })
	j := &job{
		arrived: r.now, instance: r.random.IntN(numInstances), interactive: r.random.Float64() >= r.mix.BatchFraction,
		suffix: drawLength(r.random, r.mix.SuffixTokens), output: drawLength(r.random, r.mix.OutputTokens),
	}
	j.request = route.Request{Version: "v1", FailureDomain: fmt.Sprint(j.instance % numDomains), Interactive: j.interactive}
	if r.random.Float64() >= r.mix.NoPrefixFraction {
		i := sort.SearchFloat64s(r.cumulativePopularity, r.random.Float64())
		j.prefix = r.prefixTokens[i]
		j.request.Prefix, j.request.PrefixTokens = uint64(i+1)*0x9e3779b97f4a7c15, int(j.prefix)
	}
	view := r.views[j.instance]
	i, ok := r.policy.Pick(view, j.request, r.clock(), r.random.Uint64())
	if !ok {
		return
	}
	view[i].Running++
	r.dispatched[j.instance][i] = append(r.dispatched[j.instance][i], r.now)
	r.servers[i].enqueue(j)
	r.startJobs(r.servers[i])
}

func (r *run) startJobs(s *server) {
	for s.running < slotsPerServer && len(s.queue) > 0 {
		j, first, interval, computed := s.start(r.now)
		r.schedule(first+j.output*interval, func() {
			s.running--
			r.startJobs(s)
		})
		r.record(j, first, interval, computed)
	}
}

func (r *run) record(j *job, first, interval, computed float64) {
	isRecomputed := computed > 0 && r.computedPrefixes[j.request.Prefix]
	r.computedPrefixes[j.request.Prefix] = true
	if j.arrived < warmupTime {
		return
	}
	r.requests++
	if isRecomputed {
		r.recomputed += computed
	}
	r.tokenIntervals = append(r.tokenIntervals, interval)
	if j.interactive {
		r.firstTokenTimes = append(r.firstTokenTimes, first-j.arrived)
	}
}

func (r *run) result() Result {
	// Requests still queued at the end count with the time they have waited.
	for _, s := range r.servers {
		for _, j := range s.queue {
			if j.interactive && j.arrived >= warmupTime {
				r.firstTokenTimes = append(r.firstTokenTimes, r.now-j.arrived)
			}
		}
	}
	n := float64(max(r.requests, 1))
	res := Result{Requests: r.requests, Recomputed: r.recomputed / n}
	res.FirstTokenP95, res.TokenIntervalP95 = percentile95(r.firstTokenTimes), percentile95(r.tokenIntervals)
	return res
}

func percentile95(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)*95/100]
}

// MaxRate returns the highest rate in requests per second at which a policy
// meets the objectives, and its result at that rate.
func MaxRate(p func() route.Policy, m Mix, servers int, seed uint64) (rate float64, result Result) {
	low, high := 0.0, float64(servers)*20
	for range 9 {
		middle := (low + high) / 2
		if res := Simulate(p(), m, servers, middle, seed); res.FirstTokenP95 <= maxFirstTokenP95 && res.TokenIntervalP95 <= maxTokenIntervalP95 {
			low, result = middle, res
		} else {
			high = middle
		}
	}
	return low, result
}

// FleetPrice returns the price per hour of a number of servers.
func FleetPrice(servers int) (sum float64) {
	for i := range servers {
		sum += domainPrices[i%numDomains]
	}
	return sum
}
