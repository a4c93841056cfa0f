package pacing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var modelSeeds = flag.Uint64("model-seeds", 2, "seeds of the model of limited servers")

// modelInstance is an instance of the model, with its own view of the limit and of the others.
type modelInstance struct {
	id       Instance
	limits   Limits
	downTill time.Time
	used     time.Time
	// toldAt is when it last passed on a response with the limit for the first time since its
	// start, or the zero time.
	toldAt time.Time
	// unknown are the instances that it does not take for live.
	unknown map[string]bool
	// allowed and pace are how it may send, by what it took for live when the number of
	// the model's views was one less than view.
	allowed bool
	pace    Pace
	view    int
}

// modelDemand is how many requests for the server each instance has a second.
const modelDemand = 5

// limitModel plays instances with more requests than one server allows.
type limitModel struct {
	random    *rand.Rand
	instances []*modelInstance
	rate      float64
	now       time.Time
	arrivals  []time.Time // of requests that were sent by instances that had been told
	all       int
	views     int // number of changes of what instances take for live
}

func newLimitModel(n int, seed uint64) *limitModel {
	m := &limitModel{random: rand.New(rand.NewPCG(seed, 42)), now: time.Unix(1_800_000_000, 0)}
	m.rate = []float64{0.3, 1, 1.3, 2.3, 4.1, 12}[m.random.IntN(6)]
	for i := range n {
		m.instances = append(m.instances, &modelInstance{id: Instance{fmt.Sprint("edge-", i), fmt.Sprint("domain-", i%4)}, unknown: map[string]bool{}})
	}
	return m
}

// send lets an instance send a request if it may, and get the response.
func (m *limitModel) send(i *modelInstance) {
	if rate, limited := i.limits.Rate("server"); limited {
		if i.view != m.views+1 {
			m.choose(i, rate)
		}
		if !i.allowed || m.now.Before(i.pace.Next(i.used)) {
			return
		}
		i.used = i.pace.Use(i.used, m.now)
	}
	if !i.toldAt.IsZero() && m.now.Sub(i.toldAt) >= 500*time.Millisecond {
		m.arrivals = append(m.arrivals, m.now)
	}
	m.all++
	if i.toldAt.IsZero() {
		i.toldAt = m.now
	}
	i.limits.Observe("server", m.rate, m.now, m.now.Add(10*time.Millisecond))
}

// choose decides how an instance may send by its view of the others.
func (m *limitModel) choose(i *modelInstance, rate float64) {
	var live []Instance
	for _, other := range m.instances {
		if !i.unknown[other.id.ID] {
			live = append(live, other.id)
		}
	}
	var senders []string
	senders, i.pace = Senders(Server{"server", "domain-0"}, rate, live)
	i.allowed, i.view = slices.Contains(senders, i.id.ID), m.views+1
}

// exchange lets an instance hear the limits of another one.
func (m *limitModel) exchange(i, other *modelInstance) {
	reports, _ := other.limits.Since(0, 100)
	i.limits.Merge(reports, m.now)
}

// modelTime is how long a model is played.
const modelTime = 30 * time.Second

// play plays for modelTime: requests at each instance, exchanges with random ones, restarts, and
// members that an instance takes for dead or for live for some seconds.
func (m *limitModel) play() {
	const step = 10 * time.Millisecond
	for end := m.now.Add(modelTime); m.now.Before(end); m.now = m.now.Add(step) {
		for _, i := range m.instances {
			if m.now.Before(i.downTill) {
				continue
			}
			if m.random.Float64() < modelDemand*step.Seconds() {
				m.send(i)
			}
			if other := m.instances[m.random.IntN(len(m.instances))]; m.random.IntN(30) == 0 && !m.now.Before(other.downTill) {
				m.exchange(i, other)
			}
			if m.random.IntN(20000) == 0 {
				*i = modelInstance{id: i.id, unknown: map[string]bool{}, downTill: m.now.Add(2 * time.Second)}
			}
		}
		if m.random.IntN(400) == 0 {
			m.changeView()
		}
	}
}

// changeView lets a quarter of the instances take one other for dead, or all for live.
func (m *limitModel) changeView() {
	other := m.instances[m.random.IntN(len(m.instances))].id.ID
	forget := m.random.IntN(2) == 0
	m.views++
	for _, i := range m.instances {
		switch {
		case forget:
			clear(i.unknown)
		case m.random.IntN(4) == 0 && i.id.ID != other:
			i.unknown[other] = true
		}
	}
}

// worstWindow returns the most counted requests in four seconds.
func (m *limitModel) worstWindow() (worst int) {
	for first := range m.arrivals {
		n := 0
		for n < len(m.arrivals)-first && m.arrivals[first+n].Sub(m.arrivals[first]) < 4*time.Second {
			n++
		}
		worst = max(worst, n)
	}
	return worst
}

// Guards against instances that together send a server more requests than it allows, or leave
// it idle, whatever they know of each other.
func TestInstancesKeepTheLimitOfAServer(t *testing.T) {
	for _, n := range []int{1, 9, 76, 300} {
		for seed := range *modelSeeds {
			m := newLimitModel(n, seed)
			m.play()
			if worst, allowed := m.worstWindow(), 1.5*4*m.rate+5; float64(worst) > allowed {
				t.Errorf("%d instances, seed %d, limit %v: %d requests in 4 s, allowed %v", n, seed, m.rate, worst, allowed)
			}
			if least := 0.4 * modelTime.Seconds() * min(m.rate, float64(n*modelDemand)); float64(m.all) < least {
				t.Errorf("%d instances, seed %d, limit %v: %d requests, want at least %.0f", n, seed, m.rate, m.all, least)
			}
		}
	}
}

// Guards against a limit that lasts after the server has stopped naming it, or that ends
// because of a response to a request from before.
func TestLimitEndsWithTheResponsesThatNameIt(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var l Limits
	if l.Observe("server", 0, now, now); l.Len() != 0 {
		t.Error("a response without a limit sets one")
	}
	if !l.Observe("server", 2.5, now, now.Add(time.Second)) {
		t.Error("a limit is not a change")
	}
	if l.Observe("server", 2.6, now, now.Add(time.Second)) || !l.Observe("server", 2, now, now.Add(time.Second)) || !l.Observe("server", 2.5, now, now.Add(time.Second)) {
		t.Error("a limit that varies a little is a change, or another limit is none")
	}
	l.Observe("server", 0, now, now.Add(2*time.Second))
	if rate, ok := l.Rate("server"); !ok || rate != 2.5 {
		t.Errorf("after a response to an earlier request: got limit %v, %v, want 2.5", rate, ok)
	}
	if !l.Observe("server", 0, now.Add(3*time.Second), now.Add(4*time.Second)) {
		t.Error("the end of the limit is not a change")
	}
	if _, ok := l.Rate("server"); ok {
		t.Error("the limit lasts")
	}
}

// Guards against an old report of a peer that sets a limit again, against a clock ahead that
// keeps one for ever, and against limits that last without any response.
func TestLatestReportOfALimitCounts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var l Limits
	l.Merge([]Limit{{"server", 2, now.Add(time.Hour)}}, now)
	if rate, _ := l.Rate("server"); rate != 2 {
		t.Fatalf("got limit %v, want 2", rate)
	}
	l.Merge([]Limit{{"server", 0, now.Add(time.Second)}}, now.Add(time.Second))
	l.Merge([]Limit{{"server", 3, now.Add(time.Second / 2)}}, now.Add(2*time.Second))
	if rate, ok := l.Rate("server"); ok {
		t.Errorf("got limit %v of an old report, want none", rate)
	}
	l.Merge([]Limit{{"server", 4, now.Add(3 * time.Second)}}, now.Add(3*time.Second))
	l.Expire(now.Add(3*time.Second + limitTTL))
	if rate, ok := l.Rate("server"); ok {
		t.Errorf("got limit %v after %v without a response, want none", rate, limitTTL)
	}
	for i := range 2 * maxLimits {
		l.Merge([]Limit{{fmt.Sprint("server-", i), 1, now}}, now)
	}
	if l.Len() > maxLimits {
		t.Errorf("got %d limits, want at most %d", l.Len(), maxLimits)
	}
}
