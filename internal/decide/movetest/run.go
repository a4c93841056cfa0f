package movetest

import (
	"math"
	"math/rand/v2"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
)

// Result is what became of one move.
type Result struct {
	// Done is true if all domains sent all traffic to the new version at the
	// deadline; RolledBack if it was rolled back at any time until KeepUntil.
	Done, RolledBack bool
	// Hurt is the expected number of requests made bad by the defect.
	Hurt float64
	// Detected is the time from the defect's start to the veto.
	Detected time.Duration
	// LogE is the highest e-value that any domain saw.
	LogE   float64
	Reason string
}

// domain is the view of the nodes of a failure domain.
type domain struct {
	table    map[evidence.Key]evidence.Count
	decision move.Decision
}

// delivery is an outcome on its way to another domain.
type delivery struct {
	to    int
	key   evidence.Key
	count evidence.Count
}

// run is the state of one simulated move.
type run struct {
	plan     move.Plan
	policy   move.Policy
	traffic  *traffic
	domains  [domains]domain
	due      [4][]delivery // ring by second
	vetoedAt int
	result   Result
}

// Simulate runs one move under a policy. The domains' counters reach each
// other after 1 to 3 s, and a veto after 1 s.
func Simulate(p move.Policy, s Scenario, seed uint64) Result {
	r := &run{
		plan: move.Plan{
			ID: "m", From: "v1", To: "v2", Start: epoch,
			Deadline: epoch.Add(moveTime), KeepUntil: epoch.Add(moveTime + watchTime),
		},
		policy: p, traffic: newTraffic(s, rand.New(rand.NewPCG(seed, 1))), vetoedAt: math.MaxInt,
	}
	for i := range r.domains {
		r.domains[i].table = make(map[evidence.Key]evidence.Count)
	}
	r.result.LogE = math.Inf(-1)
	for second := range int((moveTime + watchTime) / time.Second) {
		if second-2 > r.vetoedAt {
			break
		}
		r.second(second)
	}
	return r.result
}

func (r *run) second(second int) {
	arrived := r.due[second%len(r.due)]
	r.due[second%len(r.due)] = arrived[:0]
	for _, d := range arrived {
		r.domains[d.to].add(d.key, d.count)
	}
	for i := range r.domains {
		if (second+i)%2 == 0 {
			r.decide(i, second)
		}
		wave := r.traffic.wave(second, i)
		for range r.traffic.arrivals() {
			r.request(i, second, wave)
		}
	}
	if second == int(moveTime/time.Second) {
		r.result.Done = r.complete()
	}
}

func (r *run) decide(i, second int) {
	d := &r.domains[i]
	state := move.State{Plan: r.plan, Evidence: d.table, Vetoed: second > r.vetoedAt, Last: d.decision}
	d.decision = r.policy.Decide(state, epoch.Add(time.Duration(second)*time.Second))
	r.result.LogE = max(r.result.LogE, d.decision.LogE)
	if d.decision.Veto && r.vetoedAt == math.MaxInt {
		r.vetoedAt = second
		r.result.RolledBack, r.result.Reason = true, d.decision.Reason
		from := r.traffic.scenario.Defect.From * moveTime.Seconds()
		r.result.Detected = time.Duration(float64(second)-from) * time.Second
	}
}

func (r *run) request(domain, second int, wave bool) {
	d := r.domains[domain].decision
	req := r.traffic.request(second, wave)
	key := evidence.Key{Move: r.plan.ID, Version: r.plan.From, Route: routes[req.route], Step: d.Step}
	isNew := move.Choose(d.Share, req.hash)
	if isNew {
		key.Version = r.plan.To
	}
	load, failed, slow, hurt := r.traffic.outcome(req, isNew, second, wave)
	key.Load = load
	r.result.Hurt += hurt
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
			at := (second + 1 + r.traffic.random.IntN(3)) % len(r.due)
			r.due[at] = append(r.due[at], delivery{to, key, count})
		}
	}
}

func (r *run) complete() bool {
	for _, d := range r.domains {
		if d.decision.Share < 1 {
			return false
		}
	}
	return true
}

func (d *domain) add(k evidence.Key, c evidence.Count) {
	have := d.table[k]
	d.table[k] = evidence.Count{Answered: have.Answered + c.Answered, Failed: have.Failed + c.Failed, Slow: have.Slow + c.Slow}
}
