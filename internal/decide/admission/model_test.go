package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// kind is a kind of requests in the model.
type kind struct {
	name             string
	urgency          int
	rate             float64 // requests per second
	first, total     time.Duration
	objective, limit time.Duration
	onTime, late     float64 // value of a response
	work             float64
}

// kinds resemble the streams of deployment A of docs/hard-load.md, one large kind
// included. At a factor of 1 they use 70% of modelSlots.
var kinds = []kind{
	{name: "summary", urgency: 0, rate: 20.6, first: 110 * time.Millisecond, total: 700 * time.Millisecond, objective: 500 * time.Millisecond, limit: 8 * time.Second, onTime: 4.6, late: 0.18, work: 3720},
	{name: "reconcile", urgency: 1, rate: 15.5, first: 60 * time.Millisecond, total: 400 * time.Millisecond, objective: 800 * time.Millisecond, limit: 5 * time.Second, onTime: 0.86, late: 0.086, work: 2890},
	{name: "note", urgency: 2, rate: 18.8, first: 30 * time.Millisecond, total: 350 * time.Millisecond, objective: 2 * time.Second, limit: 10 * time.Second, onTime: 0.13, late: 0.02, work: 1110},
	{name: "large note", urgency: 2, rate: 2, first: 300 * time.Millisecond, total: 900 * time.Millisecond, objective: 2 * time.Second, limit: 10 * time.Second, onTime: 0.13, late: 0.02, work: 17000},
}

const (
	modelSlots      = 42
	modelTime       = 60 * time.Second
	modelWorkspaces = 8
)

// scenario is a load of the model. Load and slots change between 20 s and 40 s.
type scenario struct {
	name            string
	load            float64 // factor of the rates
	workspaceFactor float64 // of the rates of workspace 0
	slots           int     // that are usable
	slowSlots       int     // take three times as long
}

// call is a request of the model.
type call struct {
	kind        *kind
	workspace   int
	fingerprint uint64
	start       time.Time // first arrival
	isRetry     bool
	inBurst     bool
}

type event struct {
	at  time.Time
	run func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is an instance in front of servers whose free slots it knows, and its clients.
type model struct {
	scenario
	// fifo sends in the order of arrival, as the baseline.
	fifo     bool
	random   *rand.Rand // of the load
	jitter   *rand.Rand
	now      time.Time
	events   events
	queue    *Queue[*call]
	refusals RefusalHistory
	busy     [2]int // slots, slow ones last
	value    float64
	offered  map[string]float64 // in the burst, by kind and by workspace
	served   map[string]float64
}

var modelStart = time.Unix(1000, 0)

func newModel(s scenario, fifo bool, seed uint64) *model {
	return &model{
		scenario: s, fifo: fifo, random: rand.New(rand.NewPCG(seed, 1)), jitter: rand.New(rand.NewPCG(seed, 2)), now: modelStart, queue: NewQueue[*call](Config{MaxRequests: 64, MaxBytes: 1 << 20}),
		offered: make(map[string]float64), served: make(map[string]float64),
	}
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now.Add(d), run}) }

func (m *model) changed() bool {
	t := m.now.Sub(modelStart)
	return t >= 20*time.Second && t < 40*time.Second
}

func (m *model) run() {
	for i := range kinds {
		for w := range modelWorkspaces {
			m.arrivals(&kinds[i], w)
		}
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// arrivals schedules the next request of a kind and workspace.
func (m *model) arrivals(k *kind, workspace int) {
	rate := k.rate / modelWorkspaces
	if m.changed() {
		rate *= m.load
		if workspace == 0 {
			rate *= m.workspaceFactor
		}
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now.Sub(modelStart) > modelTime {
			return
		}
		c := &call{kind: k, workspace: workspace, fingerprint: m.random.Uint64() | 1, start: m.now, inBurst: m.changed()}
		m.count(m.offered, c)
		m.arrive(c)
		m.arrivals(k, workspace)
	})
}

func (m *model) count(counts map[string]float64, c *call) {
	if c.inBurst {
		counts[c.kind.name]++
		counts[fmt.Sprint("workspace ", c.workspace)]++
	}
}

func (m *model) arrive(c *call) {
	r := Request{
		Workspace: fmt.Sprint(c.workspace), Urgency: c.kind.urgency, Arrival: m.now, Objective: c.start.Add(c.kind.objective),
		Deadline: c.start.Add(c.kind.limit), ServiceTime: c.kind.first, Work: c.kind.work, Retried: m.refusals.Retried(c.fingerprint, m.now),
	}
	if m.fifo {
		r.Workspace, r.Urgency, r.ServiceTime, r.Objective, r.Retried = "", 0, 0, m.now.Add(c.kind.objective), false
	}
	hold := r.HoldUntil(time.Time{})
	if m.fifo {
		r.Objective, r.Deadline = time.Time{}, m.now // the least slack is that of the first to arrive
	}
	e, shed := m.queue.Offer(r, c, hold, m.now)
	for _, other := range shed {
		m.refuse(other)
	}
	m.dispatch()
	m.after(max(0, hold.Sub(m.now)), func() {
		if m.queue.Remove(e) {
			m.refuse(e)
		}
	})
}

func (m *model) refuse(e *Entry[*call]) {
	c := e.Value
	refusal := Refusal{Request: e.Request, PerSecond: m.refusals.PerSecond(m.now), Random: m.jitter.Float64()}
	wait := refusal.RetryAfter(m.now)
	if m.fifo {
		wait = defaultRetryAfter
	}
	m.refusals.Add(c.fingerprint, m.now.Add(wait), m.now)
	if !c.isRetry {
		c.isRetry = true
		m.after(wait, func() { m.arrive(c) })
	}
}

func (m *model) dispatch() {
	slots := [2]int{modelSlots, 0}
	if m.changed() {
		slots = [2]int{m.slots - m.slowSlots, m.slowSlots}
	}
	for pace := range slots {
		for m.busy[pace] < slots[pace] {
			e := m.queue.Next(m.now)
			if e == nil {
				return
			}
			m.queue.Sent(e, m.now)
			m.serve(e.Value, pace)
		}
	}
}

func (m *model) serve(c *call, pace int) {
	slowness := time.Duration(1 + 2*pace)
	m.busy[pace]++
	switch first := m.now.Add(slowness * c.kind.first).Sub(c.start); {
	case first <= c.kind.objective:
		m.value += c.kind.onTime
		m.count(m.served, c)
	case first <= c.kind.limit:
		m.value += c.kind.late
		m.count(m.served, c)
	}
	m.after(slowness*c.kind.total, func() {
		m.busy[pace]--
		m.dispatch()
	})
}

func (m *model) share(name string) float64 { return m.served[name] / m.offered[name] }

// Guards against a queue that wastes scarce servers on what costs callers least, or
// starves a kind, a size or a workspace.
func TestOverloadCostsCallersLittle(t *testing.T) {
	for _, s := range []scenario{
		{"calm", 1, 1, modelSlots, 0},
		{"burst of six times", 6, 1, modelSlots, 0},
		{"workspace at six times", 1.2, 6, modelSlots, 0},
		{"domain lost", 1.4, 1, modelSlots * 3 / 4, 0},
		{"a fifth of the servers slow", 1.3, 1, modelSlots, modelSlots / 5},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			m, baseline := newModel(s, false, 1), newModel(s, true, 1)
			m.run()
			baseline.run()
			gain := m.value / baseline.value
			t.Logf("value %.0f, in order of arrival %.0f (%+.1f%%)", m.value, baseline.value, 100*(gain-1))
			for i, k := range kinds {
				t.Logf("%-10s served %5.1f%%, in order of arrival %5.1f%%", k.name, 100*m.share(k.name), 100*baseline.share(k.name))
				if i > 0 && m.share(kinds[i-1].name) < m.share(k.name)-0.05 && kinds[i-1].urgency < k.urgency {
					t.Errorf("%s is served less often than %s", kinds[i-1].name, k.name)
				}
				if m.share(k.name) < 0.25*m.share(kinds[0].name) {
					t.Errorf("%s is starved", k.name)
				}
			}
			if small, large := m.share("note"), m.share("large note"); large < small/2 {
				t.Errorf("large requests are starved: served %.1f%%, small ones %.1f%%", 100*large, 100*small)
			}
			for w := range modelWorkspaces {
				if got, other := m.share(fmt.Sprint("workspace ", w)), m.share("workspace 0"); w > 0 && m.workspaceFactor > 1 && got < other {
					t.Errorf("workspace %d is served %.1f%%, the largest one %.1f%%", w, 100*got, 100*other)
				}
			}
			if gain < 0.999 {
				t.Errorf("value is %.1f%% of that in the order of arrival", 100*gain)
			}
		})
	}
}
