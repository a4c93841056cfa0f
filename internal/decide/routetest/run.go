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
	// lag is the time that a load report takes, and period the time between
	// two reports of a worker.
	lag    = 0.5
	period = 1.0
	warmup = 60.0
	length = 240.0
)

// prices are per hour, by failure domain.
var prices = [domains]float64{1, 0.8, 1.25, 1}

// Result is what a policy achieved.
type Result struct {
	Requests int
	// FirstToken is the 95th percentile of the time to the first token of
	// interactive requests in seconds.
	FirstToken float64
	// BetweenTokens is the 95th percentile of the time between tokens.
	BetweenTokens float64
	// Recomputed is the number of prefix tokens per request that were computed
	// although some worker had computed them before.
	Recomputed float64
}

// event is something that happens at a time.
type event struct {
	at float64
	do func()
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
	// views are what each node knows: the last report, and its own requests
	// that the report may not contain.
	views [nodes][]route.Backend
	begun [nodes][][]float64

	popularity []float64
	lengths    []float64
	known      map[uint64]bool
	first      []float64
	between    []float64
	requests   int
	recomputed float64
}

// Simulate runs a mix at a rate in requests per second on a number of workers.
func Simulate(p route.Policy, m Mix, workers int, rate float64, seed uint64) Result {
	r := &run{
		mix: m, policy: p, random: rand.New(rand.NewPCG(seed, 2)),
		popularity: m.popularity(), lengths: make([]float64, m.Prefixes), known: make(map[uint64]bool),
	}
	for i := range r.lengths {
		r.lengths[i] = around(r.random, m.PrefixTokens)
	}
	for i := range workers {
		r.addWorker(i)
	}
	r.at(0, func() { r.arrive(rate) })
	for len(r.events) > 0 && r.now < length {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result()
}

func (r *run) at(t float64, do func()) { heap.Push(&r.events, event{t, do}) }

func (r *run) clock() time.Time { return clock(r.now) }

func clock(t float64) time.Time {
	return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(t * float64(time.Second)))
}

func (r *run) addWorker(i int) {
	w := &worker{cache: make(map[uint64]*list.Element), recent: list.New()}
	w.backend = route.Backend{
		ID: fmt.Sprintf("worker-%d", i), FailureDomain: fmt.Sprint(i % domains), Price: prices[i%domains],
		Versions: []string{"v1"}, Capacity: slots, Reported: clock(0), Joined: clock(-3600),
	}
	r.workers = append(r.workers, w)
	for n := range r.views {
		r.views[n] = append(r.views[n], w.backend)
		r.begun[n] = append(r.begun[n], nil)
	}
	r.at(r.random.Float64()*period, func() { r.report(i) })
}

// report takes a worker's load; the nodes know it after the lag.
func (r *run) report(i int) {
	w := r.workers[i]
	running, queued, taken := w.running, len(w.queue), r.now
	r.at(r.now+lag, func() {
		for n := range r.views {
			b := &r.views[n][i]
			begun := slices.DeleteFunc(r.begun[n][i], func(at float64) bool { return at <= taken })
			r.begun[n][i] = begun
			b.Running, b.Queued, b.Reported = running+len(begun), queued, clock(taken)
		}
	})
	r.at(r.now+period, func() { r.report(i) })
}

func (r *run) arrive(rate float64) {
	r.at(r.now+r.random.ExpFloat64()/rate, func() { r.arrive(rate) })
	j := &job{
		arrived: r.now, node: r.random.IntN(nodes), interactive: r.random.Float64() >= r.mix.Batch,
		prompt: around(r.random, r.mix.PromptTokens), output: around(r.random, r.mix.OutputTokens),
	}
	j.request = route.Request{Version: "v1", FailureDomain: fmt.Sprint(j.node % domains), Interactive: j.interactive}
	if r.random.Float64() >= r.mix.Alone {
		i := sort.SearchFloat64s(r.popularity, r.random.Float64())
		j.prefix = r.lengths[i]
		j.request.Prefix, j.request.PrefixTokens = uint64(i+1)*0x9e3779b97f4a7c15, int(j.prefix)
	}
	view := r.views[j.node]
	i, ok := r.policy.Pick(view, j.request, r.clock(), r.random.Uint64())
	if !ok {
		return
	}
	view[i].Running++
	r.begun[j.node][i] = append(r.begun[j.node][i], r.now)
	r.workers[i].enqueue(j)
	r.next(r.workers[i])
}

func (r *run) next(w *worker) {
	for w.running < slots && len(w.queue) > 0 {
		j, first, between, computed := w.start(r.now)
		r.at(first+j.output*between, func() {
			w.running--
			r.next(w)
		})
		r.record(j, first, between, computed)
	}
}

func (r *run) record(j *job, first, between, computed float64) {
	again := computed > 0 && r.known[j.request.Prefix]
	r.known[j.request.Prefix] = true
	if j.arrived < warmup {
		return
	}
	r.requests++
	if again {
		r.recomputed += computed
	}
	r.between = append(r.between, between)
	if j.interactive {
		r.first = append(r.first, first-j.arrived)
	}
}

func (r *run) result() Result {
	// Requests that wait at the end count with the time they have waited.
	for _, w := range r.workers {
		for _, j := range w.queue {
			if j.interactive && j.arrived >= warmup {
				r.first = append(r.first, r.now-j.arrived)
			}
		}
	}
	n := float64(max(r.requests, 1))
	res := Result{Requests: r.requests, Recomputed: r.recomputed / n}
	res.FirstToken, res.BetweenTokens = percentile95(r.first), percentile95(r.between)
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
// meets the objectives, and what it achieves there.
func Capacity(p func() route.Policy, m Mix, workers int, seed uint64) (rate float64, at Result) {
	low, high := 0.0, float64(workers)*20
	for range 9 {
		middle := (low + high) / 2
		if res := Simulate(p(), m, workers, middle, seed); res.FirstToken <= firstToken && res.BetweenTokens <= betweenTokens {
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
		sum += prices[i%domains]
	}
	return sum
}
