package move

import (
	"math/rand/v2"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

// shortMove simulates the move of a service with two routes within 12 s. One request in
// rareEvery is on the route "rare"; on it, one answer in failEvery of the new version
// fails, or none if failEvery is 0.
type shortMove struct {
	rareEvery, failEvery int
	// crashAt is when a server of the new version crashes with crashed requests at work;
	// zero means never.
	crashAt time.Duration
	crashed int
}

const (
	// shortLimit is the time limit of a short move, of which the gateway keeps the last
	// part for the report.
	shortLimit  = 12 * time.Second
	shortPeriod = time.Second / 60 // between two requests
	// evidenceDelay is the time after which an instance has the evidence of others.
	evidenceDelay = 400 * time.Millisecond
	decidePeriod  = 200 * time.Millisecond
)

// run returns the last decision before the time limit, how many requests there were and
// how many of them went to the new version.
func (m shortMove) run(seed uint64) (last Decision, total, exposed int) {
	random := rand.New(rand.NewPCG(seed, 0))
	p := Plan{ID: "m", From: "v1", To: "v2", Start: epoch, Deadline: epoch.Add(8200 * time.Millisecond), KeepUntil: epoch.Add(11200 * time.Millisecond)}
	type outcome struct {
		at    time.Duration
		key   evidence.Key
		count evidence.Count
	}
	var pending []outcome
	known, onRare, decided, crashed := make(counts), 0, time.Duration(-1), false
	for at := time.Duration(0); at < shortLimit; at += shortPeriod {
		for len(pending) > 0 && pending[0].at+evidenceDelay <= at {
			known = accumulate(known, counts{pending[0].key: pending[0].count})
			pending = pending[1:]
		}
		if at/decidePeriod != decided {
			decided = at / decidePeriod
			last = Sequential{}.Decide(State{Plan: p, Evidence: known, Previous: last}, epoch.Add(at))
		}
		k := evidence.Key{Move: "m", Version: "v1", Route: "frequent", Step: last.Step}
		if total++; total%m.rareEvery == 0 {
			k.Route = "rare"
		}
		c := evidence.Count{Answered: 1}
		if UsesNewVersion(last.ShareOn(k.Route), random.Uint64()) {
			exposed++
			k.Version = "v2"
			if k.Route == "rare" {
				if onRare++; m.failEvery > 0 && onRare%m.failEvery == 0 {
					c = evidence.Count{Failed: 1}
				}
			}
		}
		pending = append(pending, outcome{at, k, c})
		if m.crashAt > 0 && at >= m.crashAt && !crashed {
			crashed = true
			k.Version, k.Route = "v2", "frequent"
			pending = append(pending, outcome{at, k, evidence.Count{Failed: uint64(m.crashed)}})
		}
	}
	return last, total, exposed
}

// Guards against a version that fails on a route with little traffic, and is completed
// at the deadline because there is no proof against it yet (EXPOSURE).
func TestVersionThatFailsOnRareRouteIsNotCompleted(t *testing.T) {
	for seed := range uint64(50) {
		last, total, exposed := shortMove{rareEvery: 18, failEvery: 2}.run(seed)
		if allowed := total/10 + 50; last.Phase != RolledBack || exposed > allowed {
			t.Errorf("seed %d: got phase %v, %q, with %d of %d requests, want rolled back with at most %d", seed, last.Phase, last.Reason, exposed, total, allowed)
		}
	}
}

// Guards against a good version that is late or rolled back because one of its servers
// crashed during the move.
func TestGoodVersionCompletesInTime(t *testing.T) {
	for name, m := range map[string]shortMove{
		"without failures": {rareEvery: 18},
		"server crashes":   {rareEvery: 18, crashAt: 3 * time.Second, crashed: 3},
	} {
		for seed := range uint64(50) {
			if last, _, _ := m.run(seed); last.Phase != Done || last.Share != 1 {
				t.Errorf("%s, seed %d: got phase %v, %q, share %v, want done", name, seed, last.Phase, last.Reason, last.Share)
			}
		}
	}
}
