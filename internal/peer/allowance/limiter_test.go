package allowance

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	domains   = 4
	perDomain = 4
	rate      = 50_000.0 // units a second
	slack     = 190_000.0
	// window and overrun are those in which the sum over all instances is
	// bounded.
	window  = 8 * time.Second
	overrun = 0.1
	step    = 20 * time.Millisecond
)

var errCut = errors.New("no answer")

// world is a fleet with one workspace in simulated time.
type world struct {
	t        *testing.T
	now      time.Time
	table    *routes.Table
	limiters map[string]*Limiter
	counters map[string]*evidence.Table
	names    []string
	silent   map[string]bool // do not answer
	cut      string          // failure domain that the others do not reach
	notified bool            // an instance asked for an exchange at once
	admitted []use
}

type use struct {
	at    time.Time
	units float64
}

func domainOf(i int) string { return fmt.Sprint("domain-", i/perDomain) }

func newWorld(t *testing.T, limitRate float64) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), limiters: make(map[string]*Limiter), counters: make(map[string]*evidence.Table),
		silent: make(map[string]bool),
		table: routes.New(routes.Table{Version: 1, Workspaces: []routes.Workspace{
			{Name: "fairs", Allowance: routes.Allowance{Rate: limitRate, Burst: limitRate, Tokens: true}},
		}}),
	}
	for i := range domains * perDomain {
		name := fmt.Sprint("instance-", i)
		w.names = append(w.names, name)
	}
	w.start()
	return w
}

// start starts all instances, which know nothing of before.
func (w *world) start() {
	for i, name := range w.names {
		w.counters[name] = new(evidence.Table)
		l, err := New(Config{
			Instance: name, Node: name + "/1", Counters: w.counters[name], Slack: slack,
			Fleet: func() Fleet { return w.fleet(i) }, Table: func() *routes.Table { return w.table },
			Ask: func(_ context.Context, peer, workspace string, units float64) (limit.Admission, error) {
				if w.silent[peer] {
					return limit.Admission{}, errCut
				}
				return w.limiters[peer].Serve(workspace, units)
			},
			Notify: func() { w.notified = true }, Now: func() time.Time { return w.now }, Wall: func() time.Time { return w.now },
		})
		if err != nil {
			w.t.Fatal(err)
		}
		w.limiters[name] = l
	}
}

func (w *world) reaches(a, b string) bool { return (a == w.cut) == (b == w.cut) }

func (w *world) fleet(i int) Fleet {
	f := Fleet{Instances: len(w.names)}
	for j, name := range w.names {
		switch {
		case domainOf(i) == domainOf(j):
			f.Local = append(f.Local, name)
		case !w.reaches(domainOf(i), domainOf(j)):
			f.Unheard++
		}
	}
	return f
}

// run passes time: the instances learn of each other's counters every two
// seconds, or in the next step if one of them asks for it, and uses arrive at
// random instances. It returns the units asked for, and the
// part of them that was refused.
func (w *world) run(d time.Duration, demand, size float64, r *rand.Rand) (asked, refused float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		passed := w.now.UnixNano()
		if passed%int64(RefreshPeriod) == 0 {
			for _, name := range w.names {
				w.limiters[name].Refresh()
			}
		}
		if w.notified || passed%int64(2*time.Second) == 0 {
			w.notified = false
			w.exchange()
		}
		for due := demand * step.Seconds(); due > 0 && r.Float64() < due/size; due -= size {
			asked += size
			name := w.names[r.IntN(len(w.names))]
			if w.limiters[name].Take(w.t.Context(), &w.table.Workspaces[0], size).Admitted {
				w.admitted = append(w.admitted, use{w.now, size})
			} else {
				refused += size
			}
		}
	}
	return asked, refused / math.Max(1, asked)
}

func (w *world) exchange() {
	for i, from := range w.names {
		records, _ := w.counters[from].Since(0)
		for j, to := range w.names {
			if i != j && w.reaches(domainOf(i), domainOf(j)) {
				w.counters[to].Merge(records)
			}
		}
	}
}

// most returns the most that was admitted in a window.
func (w *world) most() (units float64) {
	for i := range w.admitted {
		sum := 0.0
		for _, u := range w.admitted[i:] {
			if u.at.Sub(w.admitted[i].at) >= window {
				break
			}
			sum += u.units
		}
		units = math.Max(units, sum)
	}
	return units
}

// Guards against large uses that are refused although little of the allowance
// is used, because each instance may use only a small part of it.
func TestUsesBelowTheAllowanceAreAdmitted(t *testing.T) {
	const size = 17_000
	for _, tt := range []struct {
		name    string
		prepare func(w *world)
		refused float64
	}{
		{"in touch", func(*world) {}, 0.02},
		{"owners that do not answer", func(w *world) {
			for d := range domains {
				for _, id := range w.limiters[w.names[d*perDomain]].owners("fairs")[:1] {
					w.silent[id] = true
				}
			}
		}, 0.05},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, rate)
			r := rand.New(rand.NewPCG(1, 2))
			w.run(joining+time.Second, 0, size, r)
			tt.prepare(w)
			asked, refused := w.run(time.Minute, 0.55*rate, size, r)
			if asked < 0.4*rate*60 || refused > tt.refused {
				t.Errorf("%.0f units asked for, %.1f%% of them refused, want at most %.1f%%", asked, 100*refused, 100*tt.refused)
			}
		})
	}
}

// Guards against a fleet that admits more than the allowance and what is
// tolerated beyond it: together, while a failure domain is cut off, and while
// owners fall silent.
func TestAllowanceHoldsForAllInstances(t *testing.T) {
	for _, limitRate := range []float64{rate, 730_000} {
		for _, tt := range []struct {
			name   string
			events []func(w *world)
		}{
			{"in touch", []func(w *world){func(*world) {}}},
			{"a failure domain is cut off and comes back", []func(w *world){
				func(*world) {}, func(w *world) { w.cut = "domain-1" }, func(w *world) { w.cut = "" },
			}},
			{"all are killed at once", []func(w *world){func(*world) {}, func(w *world) { w.start() }}},
			{"instances fall silent one after the other", []func(w *world){
				func(*world) {}, func(w *world) { w.silent[w.names[0]] = true }, func(w *world) { w.silent[w.names[1]] = true },
			}},
		} {
			t.Run(fmt.Sprintf("%s, %.0f a second", tt.name, limitRate), func(t *testing.T) {
				w := newWorld(t, limitRate)
				r := rand.New(rand.NewPCG(3, 4))
				w.run(joining+time.Second, 0, 1, r)
				for _, event := range tt.events {
					event(w)
					w.run(12*time.Second, 4*limitRate, limitRate/50, r)
				}
				bound := (limitRate*window.Seconds()+limitRate)*(1+overrun) + slack
				if got := w.most(); got > bound {
					t.Errorf("%.0f units admitted in %v, want at most %.0f", got, window, bound)
				}
			})
		}
	}
}

// Guards against peers that make the owner of an allowance admit nonsense.
func TestServeRejectsInvalidUses(t *testing.T) {
	w := newWorld(t, rate)
	l := w.limiters[w.names[0]]
	for _, units := range []float64{-1, math.NaN(), math.Inf(1)} {
		if a, err := l.Serve("fairs", units); a.Admitted || err == nil {
			t.Errorf("use of %v units: got %+v and error %v, want an error", units, a, err)
		}
	}
	if _, err := l.Serve("nobody", 1); err == nil {
		t.Error("unknown workspace: got no error")
	}
}
