package movetest

import (
	"math"
	"math/rand/v2"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
)

// Result is the result of one simulated move.
type Result struct {
	// Done is true if at the deadline all domains sent all traffic to the new
	// version; RolledBack is true if the move was rolled back at any time until
	// KeepUntil.
	Done, RolledBack bool
	// Affected is the expected number of requests whose outcome the defect
	// makes bad.
	Affected float64
	// DetectionTime is the time from the onset of the defect to the veto.
	DetectionTime time.Duration
	// MaxLogE is the logarithm of the highest e-value in any domain.
	MaxLogE float64
	Reason  string
}

// domain is the state shared by the instances of a failure domain.
type domain struct {
	counts   map[evidence.Key]evidence.Count
	decision move.Decision
}

// delivery is an outcome in transit to another domain.
type delivery struct {
	to    int
	key   evidence.Key
	count evidence.Count
}

// run is the state of one simulated move.
type run struct {
	plan    move.Plan
	policy  move.Policy
	traffic *traffic
	domains [numDomains]domain
	pending [4][]delivery // ring buffer indexed by second
	// vetoedAt is the second of the first veto, or math.MaxInt if there is none.
	vetoedAt int
	result   Result
}

// Simulate runs one move under a policy. The domains receive each other's
// counters after 1 to 3 s, and a veto after 1 s.
func Simulate(p move.Policy, s Scenario, seed uint64) Result {
	r := &run{
		plan: move.Plan{
			ID: "m", From: "v1", To: "v2", Start: epoch,
			Deadline: epoch.Add(moveDuration), KeepUntil: epoch.Add(moveDuration + observationDuration),
		},
		policy: p, traffic: newTraffic(s, rand.New(rand.NewPCG(seed, 1))), vetoedAt: math.MaxInt,
	}
	for i := range r.domains {
		r.domains[i].counts = make(map[evidence.Key]evidence.Count)
	}
	r.result.MaxLogE = math.Inf(-1)
	for second := range int((moveDuration + observationDuration) / time.Second) {
		// Domains decide every two seconds, so by now all have applied the veto
		// and the defect affects no more requests.
		if second-2 > r.vetoedAt {
			break
		}
		r.advance(second)
	}
	return r.result
}

// advance simulates one second.
func (r *run) advance(second int) {
	arrived := r.pending[second%len(r.pending)]
	r.pending[second%len(r.pending)] = arrived[:0]
	for _, d := range arrived {
		r.domains[d.to].add(d.key, d.count)
	}
	for i := range r.domains {
		if (second+i)%2 == 0 {
			r.decide(i, second)
		}
		inWave := r.traffic.inWave(second, i)
		for range r.traffic.arrivals() {
			r.request(i, second, inWave)
		}
	}
	if second == int(moveDuration/time.Second) {
		r.result.Done = r.allComplete()
	}
}

func (r *run) decide(i, second int) {
	d := &r.domains[i]
	state := move.State{Plan: r.plan, Evidence: d.counts, Vetoed: second > r.vetoedAt, Previous: d.decision}
	d.decision = r.policy.Decide(state, epoch.Add(time.Duration(second)*time.Second))
	r.result.MaxLogE = max(r.result.MaxLogE, d.decision.LogE)
	if d.decision.Veto && r.vetoedAt == math.MaxInt {
		r.vetoedAt = second
		r.result.RolledBack, r.result.Reason = true, d.decision.Reason
		onset := r.traffic.scenario.Defect.Onset * moveDuration.Seconds()
		r.result.DetectionTime = time.Duration(float64(second)-onset) * time.Second
	}
}

func (r *run) request(domain, second int, inWave bool) {
	d := r.domains[domain].decision
	req := r.traffic.request(second, inWave)
	key := evidence.Key{Move: r.plan.ID, Version: r.plan.From, Route: routes[req.route], Step: d.Step}
	isNew := move.UsesNewVersion(d.ShareOn(key.Route), req.hash)
	if isNew {
		key.Version = r.plan.To
	}
	load, failed, slow, affectedProbability := r.traffic.outcome(req, isNew, second, inWave)
	key.Load = load
	r.result.Affected += affectedProbability
	count := evidence.Count{Answered: 1}
	switch {
	case failed:
		count = evidence.Count{Failed: 1}
	case slow:
		count.Slow = 1
	}
	r.domains[domain].add(key, count)
	for to := range r.domains {
		if to != domain {
			at := (second + 1 + r.traffic.random.IntN(3)) % len(r.pending)
			r.pending[at] = append(r.pending[at], delivery{to, key, count})
		}
	}
}

func (r *run) allComplete() bool {
	for _, d := range r.domains {
		if d.decision.Share < 1 {
			return false
		}
	}
	return true
}

func (d *domain) add(k evidence.Key, c evidence.Count) {
	sum := d.counts[k]
	d.counts[k] = evidence.Count{Answered: sum.Answered + c.Answered, Failed: sum.Failed + c.Failed, Slow: sum.Slow + c.Slow}
}
