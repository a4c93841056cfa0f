package routetest

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/decide/speed"
)

// FleetConfig describes a simulation of many instances, each of which knows only its own
// requests, in front of servers of unequal speed. Times are in seconds.
type FleetConfig struct {
	Instances int
	// Speeds are the speeds of the servers relative to the nominal one.
	Speeds []float64
	// RateFactor scales the rate of requests, and Length is the time simulated, of which
	// the first half is not measured.
	RateFactor, Length float64
	// Learn enables the speeds that instances learn; otherwise all servers count as equal.
	Learn bool
	Seed  uint64
}

// FleetResult is what a simulated fleet did.
type FleetResult struct {
	Requests int
	// ByServer is the number of requests by server, and TokensByServer that of the
	// prompt tokens that it processed.
	ByServer, TokensByServer []float64
	// Reread is the number of prompt tokens per request that a server processed
	// although another request with them had come before.
	Reread float64
	// OnTime is the fraction of the streams that started within their objective, by kind.
	OnTime []float64
	// Speeds are the speeds of the servers that the instances learnt, as means.
	Speeds []float64
}

// fleetKind is a kind of request.
type fleetKind struct {
	shared, own, events int
	rate, objective     float64
	prefixes            int
}

// fleetKinds are the streams of a deployment with 60 servers.
var fleetKinds = []fleetKind{
	{shared: 13_300, own: 3_720, events: 20, rate: 206, objective: 0.5, prefixes: 64},
	{shared: 6_300, own: 2_890, events: 9, rate: 155, objective: 0.8, prefixes: 64},
	{shared: 350, own: 1_110, events: 29, rate: 188, objective: 2, prefixes: 64},
}

const (
	fleetDomains    = 4
	fleetSlots      = 64
	fleetTokenRate  = 157_000.0 // prompt tokens per second of a server of nominal speed
	fleetEventGap   = 25e-3
	fleetLatency    = 3e-3
	fleetCacheSize  = 500_000 // prefix tokens of a server
	fleetPrefixTTL  = 30.0    // as long as instances remember a prefix
	fleetGapNoise   = 0.2     // standard deviation of the logarithm, by stream
	fleetSpeedNoise = 0.1     // the same, by prompt
)

// fleet is the state of a simulation.
type fleet struct {
	config    FleetConfig
	random    *rand.Rand
	now       float64
	events    events
	servers   []fleetServer
	instances []*fleetInstance
	result    FleetResult
	reread    float64
	onTime    []float64
	requests  []float64
	seen      map[uint64]bool
}

type fleetServer struct {
	speed, freeAt float64
	running       int
	cached        []uint64 // chains, the least recently used first
	cachedTokens  int
	tokens        map[uint64]int
}

type fleetInstance struct {
	candidates []route.Candidate
	speeds     []speed.Server
	baselines  speed.Baselines
	prefixes   []map[uint64]float64 // by server, the chains and when they were last used
}

// SimulateFleet runs a simulation.
func SimulateFleet(c FleetConfig) FleetResult {
	f := &fleet{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 3)), seen: make(map[uint64]bool),
		servers: make([]fleetServer, len(c.Speeds)), instances: make([]*fleetInstance, c.Instances),
		onTime: make([]float64, len(fleetKinds)), requests: make([]float64, len(fleetKinds)),
	}
	f.result.ByServer, f.result.TokensByServer = make([]float64, len(c.Speeds)), make([]float64, len(c.Speeds))
	for i, v := range c.Speeds {
		f.servers[i] = fleetServer{speed: v, tokens: make(map[uint64]int)}
	}
	for i := range f.instances {
		f.instances[i] = newFleetInstance(i%fleetDomains, len(c.Speeds))
	}
	for k := range fleetKinds {
		f.schedule(f.untilNext(k), func() { f.arrive(k) })
	}
	for len(f.events) > 0 && f.now < c.Length {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.action()
	}
	return f.finish()
}

func newFleetInstance(domain, servers int) *fleetInstance {
	i := &fleetInstance{candidates: make([]route.Candidate, servers), speeds: make([]speed.Server, servers), prefixes: make([]map[uint64]float64, servers)}
	for s := range servers {
		i.candidates[s] = route.Candidate{ID: fmt.Sprintf("server-%d", s), Slots: fleetSlots, Local: s%fleetDomains == domain}
		i.prefixes[s] = make(map[uint64]float64)
	}
	return i
}

func (f *fleet) schedule(after float64, action func()) {
	heap.Push(&f.events, event{f.now + after, action})
}

// untilNext returns the time to the next request of a kind.
func (f *fleet) untilNext(kind int) float64 {
	return f.random.ExpFloat64() / (fleetKinds[kind].rate * f.config.RateFactor)
}

func (f *fleet) measuring() bool { return f.now > f.config.Length/2 }

// arrive sends a request of a kind to the server that an instance chooses.
func (f *fleet) arrive(kind int) {
	f.schedule(f.untilNext(kind), func() { f.arrive(kind) })
	k := &fleetKinds[kind]
	// The popularity of prefixes decreases evenly.
	prefix := int(float64(k.prefixes) * (1 - math.Sqrt(f.random.Float64())))
	chain := uint64(kind*1_000+prefix) * 0x9e3779b97f4a7c15
	p := route.Prompt{Tokens: k.shared + k.own, Parts: []route.Part{{Chain: chain, Tokens: k.shared}, {Chain: f.random.Uint64(), Tokens: k.own}}}
	instance := f.instances[f.random.IntN(len(f.instances))]
	f.fill(instance, chain, k.shared)
	placement := route.ChoosePrompt(instance.candidates, p)
	if placement.Index < 0 {
		return
	}
	f.run(instance, placement, kind, chain)
}

// fill updates what an instance knows about each server before a choice.
func (f *fleet) fill(instance *fleetInstance, chain uint64, shared int) {
	for s := range instance.candidates {
		c := &instance.candidates[s]
		c.CachedTokens = 0
		if used, ok := instance.prefixes[s][chain]; ok && f.now-used < fleetPrefixTTL {
			c.CachedTokens = shared
		}
		if f.config.Learn {
			c.Speed = instance.speeds[s].At(clock(f.now))
		}
	}
}

// run simulates a request at the chosen server.
func (f *fleet) run(instance *fleetInstance, placement route.Placement, kind int, chain uint64) {
	k, index := &fleetKinds[kind], placement.Index
	s, c := &f.servers[index], &instance.candidates[index]
	toProcess := k.own
	if !s.use(chain, k.shared) {
		toProcess += k.shared
		if f.seen[chain] && f.measuring() {
			f.reread += float64(k.shared)
		}
		f.seen[chain] = true
	}
	expected := float64(max(0, k.shared+k.own-placement.CachedTokens-placement.TokensToFetch))
	c.Running++
	c.PendingTokens += expected
	s.running++
	work := float64(toProcess) / (fleetTokenRate * s.speed) * f.vary(fleetSpeedNoise)
	s.freeAt = max(s.freeAt, f.now) + work
	first := s.freeAt - f.now + fleetLatency
	gap := fleetEventGap * (1 + float64(s.running)/32) / s.speed * f.vary(fleetGapNoise)
	if f.measuring() {
		f.record(kind, index, toProcess, first)
	}
	f.schedule(first, func() {
		c.PendingTokens -= expected
		instance.prefixes[index][chain] = f.now
		if placement.Source < 0 {
			f.learn(instance, index, speed.Class{Route: fmt.Sprint(kind), Size: speed.SizeClass(int64(expected))}, first)
		}
	})
	f.schedule(first+gap*float64(k.events-1), func() {
		c.Running--
		s.running--
		f.learn(instance, index, speed.Class{Route: fmt.Sprint(kind), Kind: speed.EventGap}, gap)
	})
}

func (f *fleet) vary(sigma float64) float64 { return math.Exp(sigma * f.random.NormFloat64()) }

func (f *fleet) learn(instance *fleetInstance, server int, class speed.Class, seconds float64) {
	d := time.Duration(seconds * float64(time.Second))
	instance.baselines.Add(&instance.speeds[server], speed.Sample{Class: class, Duration: d}, clock(f.now))
}

func (f *fleet) record(kind, server, tokens int, first float64) {
	f.requests[kind]++
	f.result.Requests++
	f.result.ByServer[server]++
	f.result.TokensByServer[server] += float64(tokens)
	if first <= fleetKinds[kind].objective {
		f.onTime[kind]++
	}
}

func (f *fleet) finish() FleetResult {
	r := f.result
	r.Reread = f.reread / float64(r.Requests)
	for k := range fleetKinds {
		r.OnTime = append(r.OnTime, f.onTime[k]/f.requests[k])
	}
	for s := range f.servers {
		sum := 0.0
		for i := range f.instances {
			sum += f.instances[i].speeds[s].At(clock(f.now))
		}
		r.Speeds = append(r.Speeds, sum/float64(len(f.instances)))
	}
	return r
}

// use records the use of a prefix, and reports whether it was cached.
func (s *fleetServer) use(chain uint64, tokens int) bool {
	i := slices.Index(s.cached, chain)
	if i >= 0 {
		s.cached = append(slices.Delete(s.cached, i, i+1), chain)
		return true
	}
	s.cached, s.tokens[chain] = append(s.cached, chain), tokens
	for s.cachedTokens += tokens; s.cachedTokens > fleetCacheSize; s.cached = s.cached[1:] {
		s.cachedTokens -= s.tokens[s.cached[0]]
	}
	return false
}
