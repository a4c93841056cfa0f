package retry

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against instances that together send more retries in a window than the
// fleet's budget allows, or fewer than half of Ratio per request, for various
// numbers of instances.
func TestSharedStaysWithinFleetBudget(t *testing.T) {
	for _, n := range []int{1, 9, 40, 100, 295, 1000} {
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(1, uint64(n)))
		c := SharedConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Instances: func() int { return n }, Now: func() time.Time { return now }, Random: random.Float64}
		budgets := make([]*SharedBudget, n)
		for i := range budgets {
			budgets[i] = NewSharedBudget(c)
		}
		now = now.Add(time.Minute)
		retries, requests := 0, 0
		for range 1000 { // one window in which every request wants three retries
			now = now.Add(10 * time.Millisecond)
			b := budgets[requests%n]
			b.Deposit()
			requests++
			for range 3 {
				if b.Withdraw() {
					retries++
				}
			}
		}
		if limit := int(c.Ratio*float64(requests) + c.Slack); retries > limit {
			t.Errorf("%d instances: %d retries for %d requests, want at most %d", n, retries, requests, limit)
		}
		if minimum := int(c.Ratio * float64(requests) / 2); retries < minimum {
			t.Errorf("%d instances: %d retries for %d requests, want at least %d", n, retries, requests, minimum)
		}
	}
}

// Guards against a large fleet that together exceeds a small budget in some window,
// whatever the time of its requests and failures, and against one that can hardly
// retry at all.
func TestLargeFleetStaysWithinSmallBudget(t *testing.T) {
	const window, slack, ratio = 10 * time.Second, 36.0, 0.1
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		n := 40 + random.IntN(300)
		now := time.Unix(1000, 0)
		c := SharedConfig{Ratio: ratio, Slack: slack, Window: window, Instances: func() int { return n }, Now: func() time.Time { return now }, Random: random.Float64}
		budgets := make([]*SharedBudget, n)
		for i := range budgets {
			budgets[i] = NewSharedBudget(c)
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		}
		var requests, retries []time.Time
		failing := false
		for range 6000 {
			now = now.Add(10 * time.Millisecond)
			if random.IntN(300) == 0 {
				failing = !failing
			}
			b := budgets[random.IntN(n)]
			b.Deposit()
			requests = append(requests, now)
			for failing && b.Withdraw() {
				retries = append(retries, now)
			}
		}
		in := func(times []time.Time, end time.Time) (count float64) {
			for _, at := range times {
				if at.After(end.Add(-window)) && !at.After(end) {
					count++
				}
			}
			return count
		}
		for _, end := range retries {
			limit := ratio*max(in(requests, end), in(requests, end.Add(-window)), in(requests, end.Add(-window/2))) + slack
			if got := in(retries, end); got > limit {
				t.Fatalf("seed %d, %d instances: %.0f retries in a window, want at most %.0f", seed, n, got, limit)
			}
		}
		if float64(len(retries)) < ratio*float64(len(requests))/5 {
			t.Errorf("seed %d, %d instances: %d retries for %d requests, want more", seed, n, len(retries), len(requests))
		}
	}
}

// Guards against a fleet that is killed after it used its budget and then uses it
// again in the same window.
func TestRestartedFleetStaysWithinBudget(t *testing.T) {
	for _, n := range []int{1, 9, 40, 295} {
		random := rand.New(rand.NewPCG(3, uint64(n)))
		now := time.Unix(1000, 0)
		c := SharedConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Instances: func() int { return n }, Now: func() time.Time { return now }, Random: random.Float64}
		retries := 0
		withdrawAll := func(budgets []*SharedBudget) {
			for _, b := range budgets {
				for b.Withdraw() {
					retries++
				}
			}
		}
		newBudgets := func() (budgets []*SharedBudget) {
			for range n {
				budgets = append(budgets, NewSharedBudget(c))
			}
			return budgets
		}
		budgets := newBudgets()
		now = now.Add(time.Minute)
		withdrawAll(budgets)
		now = now.Add(time.Second)
		withdrawAll(newBudgets())
		if retries > int(c.Slack) {
			t.Errorf("%d instances: %d retries without a request around a kill of all, want at most %.0f", n, retries, c.Slack)
		}
	}
}

// fleetModel is a model of instances that share a budget and are killed together.
type fleetModel struct {
	now       time.Time
	random    *rand.Rand
	config    SharedConfig
	instances int
	// counted is the number of instances that a process counts.
	counted           func(startedAt time.Time) int
	requests, retries []time.Time
}

// start returns the budgets of processes that all start now.
func (m *fleetModel) start() []*SharedBudget {
	budgets, startedAt := make([]*SharedBudget, m.instances), m.now
	for i := range budgets {
		c := m.config
		c.Instances, c.Started = func() int { return m.counted(startedAt) }, startedAt
		budgets[i] = NewSharedBudget(c)
	}
	return budgets
}

// serve lets requests come for d, each of which wants retries until the budget refuses one.
func (m *fleetModel) serve(budgets []*SharedBudget, perSecond int, d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Second / time.Duration(perSecond)) {
		b := budgets[m.random.IntN(len(budgets))]
		b.Deposit()
		m.requests = append(m.requests, m.now)
		for range 3 {
			if b.Withdraw() {
				m.retries = append(m.retries, m.now)
			}
		}
	}
}

// worstExcess returns by how many retries the worst window exceeds the fleet's bound, in
// which the requests are those of the window, the one before it, or the one half a window
// before it, whichever has most.
func (m *fleetModel) worstExcess() (worst float64) {
	in := func(times []time.Time, from time.Time) float64 {
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(times, from.Add(m.config.Window), time.Time.Compare)
		return float64(last - first)
	}
	worst = math.Inf(-1)
	for _, from := range m.retries {
		requests := max(in(m.requests, from), in(m.requests, from.Add(-m.config.Window)), in(m.requests, from.Add(-m.config.Window/2)))
		worst = max(worst, in(m.retries, from)-m.config.Ratio*requests-m.config.Slack)
	}
	return worst
}

func newFleetModel(seed uint64, instances int, slack float64) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 41)), instances: instances}
	m.counted = func(time.Time) int { return instances }
	m.config = SharedConfig{Ratio: 0.2, Slack: slack, Window: 10 * time.Second, Now: func() time.Time { return m.now }, Random: m.random.Float64}
	return m
}

// eachFleet calls play with fleets of several sizes and seeds, and reports those that exceed the
// bound.
func eachFleet(t *testing.T, play func(m *fleetModel, perSecond int)) {
	for _, size := range fleetSizes {
		for seed := range uint64(20) {
			m := newFleetModel(seed, size.instances, size.slack)
			perSecond := size.instances * (1 + m.random.IntN(10))
			play(m, perSecond)
			if excess := m.worstExcess(); excess > 0 {
				t.Errorf("%d instances, seed %d, %d requests a second: %.0f retries beyond the bound", size.instances, seed, perSecond, excess)
			}
		}
	}
}

// fleetSizes are numbers of instances with the slack that they share.
var fleetSizes = []struct {
	instances int
	slack     float64
}{{9, 58}, {76, 192}, {295, 630}}

// Guards against processes that use the slack of the fleet again after each of several kills
// within one window.
func TestSlackIsNotUsedAgainAfterKills(t *testing.T) {
	eachFleet(t, func(m *fleetModel, perSecond int) {
		m.serve(m.start(), perSecond, 15*time.Second)
		for range 5 {
			m.serve(m.start(), perSecond, time.Duration(500+m.random.IntN(1500))*time.Millisecond)
		}
		m.serve(m.start(), perSecond, 15*time.Second)
	})
}

// Guards against processes that start while most entries of instances have lapsed, and take
// large parts of the slack because they count few instances.
func TestSlackIsKeptWhileProcessesCountFewInstances(t *testing.T) {
	eachFleet(t, func(m *fleetModel, perSecond int) {
		m.serve(m.start(), perSecond, 15*time.Second)
		// The entries are written again within six seconds.
		m.counted = func(startedAt time.Time) int {
			written := float64(m.now.Sub(startedAt)) / float64(6*time.Second)
			return max(1, int(min(1, written)*float64(m.instances)))
		}
		m.serve(m.start(), perSecond, 25*time.Second)
	})
}

// Guards against a fresh fleet that cannot retry, and against fresh processes that together
// exceed the bound after those before them have used their slack.
func TestFreshProcessesUseAPartOfTheSlack(t *testing.T) {
	for _, size := range fleetSizes {
		m := newFleetModel(1, size.instances, size.slack)
		m.config.Fresh = func() bool { return true }
		perSecond := size.instances
		m.serve(m.start(), perSecond, 9*time.Second)
		if n := float64(len(m.retries)) - m.config.Ratio*float64(len(m.requests)); n < 0 {
			t.Errorf("%d instances: %d retries for %d requests, want the slack used too", size.instances, len(m.retries), len(m.requests))
		}
		m.serve(m.start(), perSecond, 20*time.Second)
		m.serve(m.start(), perSecond, 15*time.Second)
		if excess := m.worstExcess(); excess > 0 {
			t.Errorf("%d instances: %.0f retries beyond the bound", size.instances, excess)
		}
	}
}
