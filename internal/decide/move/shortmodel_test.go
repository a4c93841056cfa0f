package move

import (
	"math/rand/v2"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

// shortMove describes the move of a service with a frequent and a rare route within
// seconds. Each server of the new version fails every failEvery-th of its own answers on
// the rare route, and begins with successes; it fails none if failEvery is 0.
type shortMove struct {
	within               time.Duration // time limit of the order
	rate                 int           // requests per second
	rareEvery, failEvery int
	instances, servers   int
	roundRobin           bool          // each instance uses its servers in turn, or else at random
	maxExchange          time.Duration // between two exchanges of an instance's evidence
	crashAt              time.Duration // of a server of the new version; zero means never
	crashed              int           // requests at work at the crash
	slow                 bool          // the answers are slow instead of failing
	failureRate          float64       // of both versions, besides
}

const (
	shortDecidePeriod = 200 * time.Millisecond
	// shortReport and shortSettle are the gateway's times between the report and the
	// time limit, and between the last request to the old version and the report.
	shortReport = 800 * time.Millisecond
	shortSettle = 3 * time.Second
	// shortAnswer is the time from a request to its outcome.
	shortAnswer = 30 * time.Millisecond
)

// reviewMove is the move of the review's case (review/5).
var reviewMove = shortMove{within: 12 * time.Second, rate: 60, rareEvery: 18, failEvery: 2, instances: 4, servers: 4, maxExchange: 500 * time.Millisecond}

// drawShortMove draws a move of another size.
func drawShortMove(r *rand.Rand) shortMove {
	return shortMove{
		within: time.Duration(10+r.IntN(30)) * time.Second, rate: 40 + r.IntN(60), rareEvery: 8 + r.IntN(13), failEvery: 2 + r.IntN(2),
		instances: 2 + r.IntN(8), servers: 2 + r.IntN(5), roundRobin: r.IntN(2) == 0, maxExchange: time.Duration(200+r.IntN(400)) * time.Millisecond,
	}
}

// shortInstance is an instance with the evidence that it knows.
type shortInstance struct {
	known, unsent        counts
	decision             Decision
	decideAt, exchangeAt time.Duration
	nextServer           int
}

// add adds an outcome that the instance has seen.
func (x *shortInstance) add(o *shortOutcome) {
	c := counts{o.key: o.count}
	x.known, x.unsent = accumulate(x.known, c), accumulate(x.unsent, c)
}

// shortOutcome is an outcome that its instance learns at a time.
type shortOutcome struct {
	at       time.Duration
	instance int
	key      evidence.Key
	count    evidence.Count
}

// shortResult is the result of a simulated short move.
type shortResult struct {
	// phase is the recorded phase at the time limit; inTime reports whether the report
	// that the move is done came by then.
	phase  Phase
	inTime bool
	// total and exposed count the requests until the time limit, and those to the new
	// version.
	total, exposed int
	reason         string
}

// shortRun is the state of a simulated short move. The first instance records the outcome
// as the gateway does.
type shortRun struct {
	shortMove
	random    *rand.Rand
	plan      Plan
	settle    time.Duration
	instances []shortInstance
	served    []int // answers of each server on the rare route
	pending   []shortOutcome
	crashDone bool
	result    shortResult
}

// run simulates the move. Instances decide and exchange their evidence at times of their
// own.
func (m shortMove) run(seed uint64) shortResult {
	r := &shortRun{shortMove: m, random: rand.New(rand.NewPCG(seed, 0)), settle: min(shortSettle, m.within*3/10), served: make([]int, m.servers)}
	finish := m.within - shortReport
	r.plan = Plan{ID: "m", From: "v1", To: "v2", Start: epoch, Deadline: epoch.Add(finish - r.settle), KeepUntil: epoch.Add(finish), Retained: true}
	r.instances = make([]shortInstance, m.instances)
	for i := range r.instances {
		r.instances[i].known = make(counts)
		r.instances[i].decideAt = r.drawTime(shortDecidePeriod)
		r.instances[i].exchangeAt = r.drawTime(m.maxExchange)
	}
	for at := time.Duration(0); at < m.within; at += time.Second / time.Duration(m.rate) {
		for len(r.pending) > 0 && r.pending[0].at <= at {
			r.instances[r.pending[0].instance].add(&r.pending[0])
			r.pending = r.pending[1:]
		}
		for i := range r.instances {
			r.exchange(i, at)
			if r.instances[i].decideAt <= at {
				r.instances[i].decideAt += shortDecidePeriod
				r.decide(i, epoch.Add(at))
			}
		}
		r.request(at)
	}
	r.result.inTime = r.result.phase == Done && !epoch.Add(m.within-shortDecidePeriod).Before(r.plan.KeepUntil)
	return r.result
}

// drawTime draws a time from 0 to below the given one.
func (r *shortRun) drawTime(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}

// exchange sends the new evidence of an instance to the others if it is time.
func (r *shortRun) exchange(i int, at time.Duration) {
	x := &r.instances[i]
	if at < x.exchangeAt {
		return
	}
	x.exchangeAt += r.maxExchange/2 + r.drawTime(r.maxExchange/2)
	for j := range r.instances {
		if j != i {
			r.instances[j].known = accumulate(r.instances[j].known, x.unsent)
		}
	}
	x.unsent = nil
}

// decide makes the decision of an instance, and records it if it is the first one.
func (r *shortRun) decide(i int, now time.Time) {
	x := &r.instances[i]
	state := State{Plan: r.plan, Evidence: x.known, Previous: x.decision}
	switch recorded := r.result.phase; {
	case recorded == RolledBack:
		x.decision = Decision{Phase: RolledBack, Veto: true, Reason: r.result.reason}
	case recorded == Done && now.After(r.plan.KeepUntil):
		x.decision = Decision{Share: 1, Phase: Done}
	case recorded == Done:
		x.decision = Sequential{}.Review(state, i == 0, now)
	default:
		x.decision = Sequential{}.Decide(state, now)
	}
	if i != 0 || r.result.phase == RolledBack {
		return
	}
	switch d := x.decision; {
	case d.Phase == RolledBack:
		r.result.phase, r.result.reason = RolledBack, d.Reason
	case r.result.phase == Running && d.Phase == Done && d.Share == 1 && !now.Before(r.plan.Deadline):
		r.result.phase, r.plan.KeepUntil = Done, now.Add(r.settle)
	}
}

// request plays a request, and the crash if it is time.
func (r *shortRun) request(at time.Duration) {
	r.result.total++
	i := r.random.IntN(r.shortMove.instances)
	x := &r.instances[i]
	k := evidence.Key{Move: "m", Version: "v1", Route: "frequent", Step: x.decision.Step}
	if r.result.total%r.rareEvery == 0 {
		k.Route = "rare"
	}
	c := evidence.Count{Answered: 1}
	if UsesNewVersion(x.decision.ShareOn(k.Route), r.random.Uint64()) {
		r.result.exposed++
		k.Version = "v2"
		if server := r.chooseServer(x); k.Route == "rare" {
			c = r.answer(server)
		}
	}
	if r.random.Float64() < r.failureRate {
		c = evidence.Count{Failed: 1}
	}
	if k.Step != 0 {
		r.pending = append(r.pending, shortOutcome{at + shortAnswer, i, k, c})
	}
	if r.crashAt > 0 && at >= r.crashAt && !r.crashDone {
		r.crashDone = true
		for range r.crashed {
			r.pending = append(r.pending, shortOutcome{at + shortAnswer, r.random.IntN(r.shortMove.instances), evidence.Key{Move: "m", Version: "v2", Route: "frequent", Step: x.decision.Step}, evidence.Count{Failed: 1}})
		}
	}
}

// chooseServer returns the server of the new version that an instance uses.
func (r *shortRun) chooseServer(x *shortInstance) int {
	server := r.random.IntN(r.servers)
	if r.roundRobin {
		server = x.nextServer % r.servers
		x.nextServer++
	}
	return server
}

// answer returns the outcome of the next answer of a server on the rare route.
func (r *shortRun) answer(server int) evidence.Count {
	r.served[server]++
	switch bad := r.failEvery > 0 && r.served[server]%r.failEvery == 0; {
	case bad && r.slow:
		return evidence.Count{Answered: 1, Slow: 1}
	case bad:
		return evidence.Count{Failed: 1}
	}
	return evidence.Count{Answered: 1}
}
