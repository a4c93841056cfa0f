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
	nodes   = 9
	domains = 4
	// reportLag is the time until a load report reaches the nodes, and
	// reportPeriod the time between two reports of a worker. All times are in
	// seconds.
	reportLag    = 0.5
	reportPeriod = 1.0
	// warmupTime is the time before which arriving requests aren't measured,
	// and simulatedTime the end of the simulation.
	warmupTime    = 60.0
	simulatedTime = 240.0
)

// domainPrices are the prices per worker and hour, by failure domain.
var domainPrices = [domains]float64{1, 0.8, 1.25, 1}

// Result is the performance of a policy in one simulation.
type Result struct {
	Requests int
	// FirstToken is the 95th percentile, in seconds, of the time to the first
	// token of interactive requests.
	FirstToken float64
	// BetweenTokens is the 95th percentile, in seconds, of the time between
	// tokens.
	BetweenTokens float64
	// Recomputed is the number of prefix tokens per request that were computed
	// although a worker had computed them before.
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
	workers []*worker
	// views and started are what each node knows: the last report of each
	// worker, and the start times of the node's own requests that the report
	// may not contain.
	views   [nodes][]route.Backend
	started [nodes][][]float64

	popularity       []float64
	prefixTokens     []float64
	computedPrefixes map[uint64]bool
	firstTokenTimes  []float64
	tokenIntervals   []float64
	requests         int
	recomputed       float64
}

// Simulate runs a mix at a rate in requests per second on a number of workers.
func Simulate(p route.Policy, m Mix, workers int, rate float64, seed uint64) Result {
	r := &run{
		mix: m, policy: p, random: rand.New(rand.NewPCG(seed, 2)),
		popularity: m.popularity(), prefixTokens: make([]float64, m.Prefixes), computedPrefixes: make(map[uint64]bool),
	}
	for i := range r.prefixTokens {
		r.prefixTokens[i] = drawLength(r.random, m.PrefixTokens)
	}
	for i := range workers {
		r.addWorker(i)
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

func (r *run) addWorker(i int) {
	w := &worker{cache: make(map[uint64]*list.Element), lru: list.New()}
	w.backend = route.Backend{
		ID: fmt.Sprintf("worker-%d", i), FailureDomain: fmt.Sprint(i % domains), Price: domainPrices[i%domains],
		Versions: []string{"v1"}, Capacity: slotsPerWorker, Reported: clock(0), Joined: clock(-3600),
	}
	r.workers = append(r.workers, w)
	for n := range r.views {
		r.views[n] = append(r.views[n], w.backend)
		r.started[n] = append(r.started[n], nil)
	}
	r.schedule(r.random.Float64()*reportPeriod, func() { r.report(i) })
}

// report samples a worker's load, which reaches the nodes after reportLag.
func (r *run) report(i int) {
	w := r.workers[i]
	running, queued, sampled := w.running, len(w.queue), r.now
	r.schedule(r.now+reportLag, func() {
		for n := range r.views {
			b := &r.views[n][i]
			started := slices.DeleteFunc(r.started[n][i], func(at float64) bool { return at <= sampled })
			r.started[n][i] = started
			b.Running, b.Queued, b.Reported = running+len(started), queued, clock(sampled)
		}
	})
	r.schedule(r.now+reportPeriod, func() { r.report(i) })
}

func (r *run) arrive(rate float64) {
	r.schedule(r.now+r.random.ExpFloat64()/rate, func() { r.arrive(rate) })
	j := &job{
		arrived: r.now, node: r.random.IntN(nodes), interactive: r.random.Float64() >= r.mix.BatchShare,
		prompt: drawLength(r.random, r.mix.PromptTokens), output: drawLength(r.random, r.mix.OutputTokens),
	}
	j.request = route.Request{Version: "v1", FailureDomain: fmt.Sprint(j.node % domains), Interactive: j.interactive}
	if r.random.Float64() >= r.mix.UnsharedShare {
		i := sort.SearchFloat64s(r.popularity, r.random.Float64())
		j.prefix = r.prefixTokens[i]
		j.request.Prefix, j.request.PrefixTokens = uint64(i+1)*0x9e3779b97f4a7c15, int(j.prefix)
	}
	view := r.views[j.node]
	i, ok := r.policy.Pick(view, j.request, r.clock(), r.random.Uint64())
	if !ok {
		return
	}
	view[i].Running++
	r.started[j.node][i] = append(r.started[j.node][i], r.now)
	r.workers[i].enqueue(j)
	r.startJobs(r.workers[i])
}

func (r *run) startJobs(w *worker) {
	for w.running < slotsPerWorker && len(w.queue) > 0 {
		j, first, between, computed := w.start(r.now)
		r.schedule(first+j.output*between, func() {
			w.running--
			r.startJobs(w)
		})
		r.record(j, first, between, computed)
	}
}

func (r *run) record(j *job, first, between, computed float64) {
	computedBefore := computed > 0 && r.computedPrefixes[j.request.Prefix]
	r.computedPrefixes[j.request.Prefix] = true
	if j.arrived < warmupTime {
		return
	}
	r.requests++
	if computedBefore {
		r.recomputed += computed
	}
	r.tokenIntervals = append(r.tokenIntervals, between)
	if j.interactive {
		r.firstTokenTimes = append(r.firstTokenTimes, first-j.arrived)
	}
}

func (r *run) result() Result {
	// Requests still queued at the end count with the time they have waited.
	for _, w := range r.workers {
		for _, j := range w.queue {
			if j.interactive && j.arrived >= warmupTime {
				r.firstTokenTimes = append(r.firstTokenTimes, r.now-j.arrived)
			}
		}
	}
	n := float64(max(r.requests, 1))
	res := Result{Requests: r.requests, Recomputed: r.recomputed / n}
	res.FirstToken, res.BetweenTokens = percentile95(r.firstTokenTimes), percentile95(r.tokenIntervals)
	return res
}

func percentile95(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)*95/100]
}

// Capacity returns the highest rate in requests per second at which a policy
// meets the objectives, and its result at that rate.
func Capacity(p func() route.Policy, m Mix, workers int, seed uint64) (rate float64, at Result) {
	low, high := 0.0, float64(workers)*20
	for range 9 {
		middle := (low + high) / 2
		if res := Simulate(p(), m, workers, middle, seed); res.FirstToken <= maxFirstToken && res.BetweenTokens <= maxBetweenTokens {
			low, at = middle, res
		} else {
			high = middle
		}
	}
	return low, at
}

// FleetPrice returns the price per hour of a number of workers.
func FleetPrice(workers int) (sum float64) {
	for i := range workers {
		sum += domainPrices[i%domains]
	}
	return sum
}
