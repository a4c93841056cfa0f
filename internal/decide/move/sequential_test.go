package move

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

type counts = map[evidence.Key]evidence.Count

func key(version string, step uint8) evidence.Key {
	return evidence.Key{Move: "m", Version: version, Route: "chat", Step: step}
}

// Guards against a move without evidence that stalls, is not complete by the
// margin before the deadline, or skips steps.
func TestDeadlineWithoutEvidence(t *testing.T) {
	last := uint8(0)
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		d := Sequential{}.Decide(State{Plan: plan()}, epoch.Add(at))
		step := d.Step
		if step >= probeStep {
			step = probeStep
		}
		if step != last && step != last+1 {
			t.Fatalf("step at %v is %d after %d, want the same or the next", at, d.Step, last)
		}
		last = step
		if done := at >= 54*time.Minute; (d.Phase == Done) != done || (d.Share == 1) != done {
			t.Fatalf("decision at %v is %+v, want done: %v", at, d, done)
		}
	}
}

// Guards against an isolated instance that raises its share with time, at the
// deadline, or on evidence it already has.
func TestIsolatedInstanceHoldsShare(t *testing.T) {
	tests := []struct {
		name     string
		last     Decision
		evidence counts
		want     float64
	}{
		{"nothing known", Decision{}, nil, 0},
		{"last decision", Decision{Share: 0.1, Step: 3}, nil, 0.1},
		{"evidence only", Decision{}, counts{key("v2", 2): {Answered: 5}, key("v1", 4): {Answered: 900}}, 0.05},
		{"last decision takes precedence over evidence", Decision{Share: 0.02, Step: 1}, counts{key("v2", 3): {Answered: 5}}, 0.02},
		{"complete", Decision{Share: 1, Step: observationStep}, nil, 1},
	}
	for _, test := range tests {
		last := test.last
		for at := 50 * time.Minute; at < 2*time.Hour; at += time.Minute {
			s := State{Plan: plan(), Evidence: test.evidence, Isolated: true, Previous: last}
			d := Sequential{}.Decide(s, epoch.Add(at))
			if d.Share != test.want {
				t.Fatalf("%s: share at %v is %v, want %v", test.name, at, d.Share, test.want)
			}
			if last.Step != 0 {
				last = d
			}
		}
	}
}

// Guards against a veto that is withdrawn when the evidence improves, at the
// deadline, or after the old version is removed.
func TestVetoSticky(t *testing.T) {
	is := is.New(t)
	bad := counts{key("v1", 1): {Answered: 980}, key("v2", 1): {Answered: 10, Failed: 10}}
	d := Sequential{}.Decide(State{Plan: plan(), Evidence: bad}, epoch.Add(time.Minute))
	is.True(d.Veto) // ten failures of twenty against none of 980
	for at := time.Duration(0); at < 3*time.Hour; at += 10 * time.Minute {
		for _, s := range []State{{Plan: plan(), Vetoed: true}, {Plan: plan(), Previous: d}, {Plan: plan(), Previous: d, Isolated: true}} {
			got := Sequential{}.Decide(s, epoch.Add(at))
			is.True(got.Veto)
			is.Equal(got.Phase, RolledBack)
			is.Equal(got.Share, 0.0)
		}
	}
}

// Guards against a rollback to a version that is no longer retained.
func TestNoVetoAfterKeepUntil(t *testing.T) {
	is := is.New(t)
	bad := counts{key("v1", 1): {Answered: 980}, key("v2", 1): {Answered: 10, Failed: 10}}
	is.True(Sequential{}.Decide(State{Plan: plan(), Evidence: bad}, epoch.Add(2*time.Hour-1)).Veto)
	is.True(!Sequential{}.Decide(State{Plan: plan(), Evidence: bad}, epoch.Add(2*time.Hour)).Veto)
}

// Guards against missing a version that turns bad at share 1, where nothing is
// compared, and against keeping the share down when a reclaim wave affects both
// versions during the observation.
func TestRegressionDuringObservation(t *testing.T) {
	is := is.New(t)
	e := counts{
		key("v1", 1): {Answered: 9980, Failed: 20}, key("v2", 1): {Answered: 10000, Failed: 20},
		key("v2", observationStep): {Answered: 100, Failed: 30},
	}
	decide := func() Decision {
		return Sequential{}.Decide(State{Plan: plan(), Evidence: e}, epoch.Add(39*time.Minute))
	}
	is.Equal(decide().Step, uint8(observationStep+1)) // compared again
	is.Equal(decide().Phase, Done)
	e[key("v1", observationStep+1)] = evidence.Count{Answered: 70, Failed: 25}
	e[key("v2", observationStep+1)] = evidence.Count{Answered: 24, Failed: 6}
	is.Equal(decide().Step, uint8(observationStep)) // both versions are affected alike
	e[key("v1", observationStep+1)] = evidence.Count{Answered: 95}
	e[key("v2", observationStep+1)] = evidence.Count{Answered: 50, Failed: 20}
	is.True(decide().Veto)
}

// Guards against rollbacks of good versions by a test that is not valid under
// repeated evaluation, drifting rates, growing shares, reclaim waves, lagging
// counters or many routes: at most one in 20 such moves may reach an e-value of
// 20.
func TestFalseAlarmRate(t *testing.T) {
	const moves, seed = 140, 7
	t.Logf("seed %d", seed)
	alarms := 0
	for i := range uint64(moves) {
		if maxLogEForGoodMove(rand.New(rand.NewPCG(seed, i))) >= math.Log(20) {
			alarms++
		}
	}
	if limit := moves / 20; alarms > limit {
		t.Errorf("%d of %d good versions reach an e-value of 20, want at most %d", alarms, moves, limit)
	}
}

// maxLogEForGoodMove returns the highest logarithm of the e-value in the move of
// a version whose failure rate equals the old one's, while both drift and rise
// tenfold in waves. Counters of three instances arrive up to three batches late.
func maxLogEForGoodMove(r *rand.Rand) (highest float64) {
	highest = math.Inf(-1)
	total := make(counts)
	var delayed [4]counts
	for batch := range 40 {
		step := uint8(firstStep + batch/5)
		rate := 0.01 * math.Pow(1.08, float64(batch))
		if r.IntN(8) == 0 {
			rate = min(10*rate, 0.5)
		}
		for range 3 {
			seen := make(counts)
			for range 40 {
				k := key("v1", step)
				k.Route, k.Load = string(rune('a'+r.IntN(12))), uint8(r.IntN(numLoads))
				if UsesNewVersion(ShareOf(step), r.Uint64()) {
					k.Version = "v2"
				}
				c := seen[k]
				if r.Float64() < rate {
					c.Failed++
				} else {
					c.Answered++
				}
				seen[k] = c
			}
			i := (batch + r.IntN(4)) % 4
			delayed[i] = accumulate(delayed[i], seen)
		}
		total = accumulate(total, delayed[batch%4])
		delayed[batch%4] = nil
		logE, _ := score(tabulate(&State{Plan: plan(), Evidence: total}))
		highest = max(highest, logE)
	}
	return highest
}

func accumulate(total, added counts) counts {
	if total == nil {
		total = make(counts)
	}
	for k, c := range added {
		total[k] = evidence.Count{Answered: total[k].Answered + c.Answered, Failed: total[k].Failed + c.Failed, Slow: total[k].Slow + c.Slow}
	}
	return total
}

// Guards against evidence from peers that leads to an invalid decision: unknown
// steps, loads and versions, huge or inconsistent counts.
func TestDecideArbitrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := make(counts)
		for range rapid.IntRange(0, 30).Draw(t, "keys") {
			k := evidence.Key{
				Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
				Route:   rapid.StringN(0, 3, 9).Draw(t, "route"),
				Load:    rapid.Uint8Range(0, 4).Draw(t, "load"),
				Step:    rapid.Uint8Range(0, lastStep+2).Draw(t, "step"),
			}
			e[k] = evidence.Count{
				Answered: rapid.Uint64().Draw(t, "answered"),
				Failed:   rapid.Uint64().Draw(t, "failed"),
				Slow:     rapid.Uint64().Draw(t, "slow"),
			}
		}
		at := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(3*time.Hour)).Draw(t, "at"))
		s := State{Plan: plan(), Evidence: e, Isolated: rapid.Bool().Draw(t, "isolated")}
		d := Sequential{}.Decide(s, epoch.Add(at))
		if math.IsNaN(d.LogE) || d.Share != ShareOf(d.Step) || d.Veto != (d.Phase == RolledBack) {
			t.Fatalf("Decide(%v) = %+v, want a defined LogE, the share of the step, and a veto exactly on rollback", s, d)
		}
	})
}

// benchmarkState returns a state with evidence for every step, four routes and
// all loads.
func benchmarkState() State {
	e := make(counts)
	for step := uint8(firstStep); step <= lastStep; step++ {
		for _, route := range []string{"chat", "report", "search", "export"} {
			for load := range uint8(numLoads) {
				for _, v := range []string{"v1", "v2"} {
					e[evidence.Key{Version: v, Route: route, Load: load, Step: step}] = evidence.Count{Answered: 1000, Failed: 3, Slow: 40}
				}
			}
		}
	}
	return State{Plan: plan(), Evidence: e}
}

func BenchmarkDecide(b *testing.B) {
	s := benchmarkState()
	b.ReportAllocs()
	for b.Loop() {
		Sequential{}.Decide(s, epoch.Add(100*time.Minute))
	}
}

// Guards against missing a version that turns bad after a long good period
// because the earlier evidence outweighs the later failures.
func TestLateRegressionVetoed(t *testing.T) {
	is := is.New(t)
	e := counts{
		key("v1", 4): {Answered: 84000, Failed: 840}, key("v2", 4): {Answered: 14850, Failed: 150},
		key("v1", 5): {Answered: 742, Failed: 8}, key("v2", 5): {Answered: 210, Failed: 40},
	}
	is.True(Sequential{}.Decide(State{Plan: plan(), Evidence: e}, epoch.Add(30*time.Minute)).Veto)
}

// Guards against a version that turns bad late, or shows it late, and has had more
// than a tenth of all requests by then because it looked good or because time passed.
func TestSmallShareUntilTheLastSteps(t *testing.T) {
	const lastStepsFrom = 42 * time.Minute // of 60 to the deadline
	good := make(counts)
	for step := uint8(firstStep); step < probeStep; step++ {
		good[key("v1", step)] = evidence.Count{Answered: 98000}
		good[key("v2", step)] = evidence.Count{Answered: 2000}
	}
	for name, e := range map[string]counts{"no evidence": nil, "good evidence": good} {
		requests := 0.0 // to the new version, as a part of all until the deadline
		for at := time.Duration(0); at < lastStepsFrom; at += time.Second {
			requests += Sequential{}.Decide(State{Plan: plan(), Evidence: e}, epoch.Add(at)).Share / 3600
		}
		if requests > 0.1 {
			t.Errorf("%s: the new version has had %.3f of all requests by %v, want at most 0.1", name, requests, lastStepsFrom)
		}
	}
}
