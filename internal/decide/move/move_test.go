package move

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func plan() Plan {
	return Plan{ID: "m", From: "v1", To: "v2", Start: epoch, Deadline: epoch.Add(time.Hour), KeepUntil: epoch.Add(2 * time.Hour)}
}

// Guards against a choice that isn't proportional to the share, or that returns
// a conversation to the old version as the share grows.
func TestChoose(t *testing.T) {
	is := is.New(t)
	is.True(!UsesNewVersion(0, 0))
	is.True(UsesNewVersion(1, math.MaxUint64))
	chosen := 0
	for i := range uint64(10000) {
		hash := i * (math.MaxUint64 / 10000)
		if UsesNewVersion(0.2, hash) {
			chosen++
			is.True(UsesNewVersion(0.5, hash))
		}
	}
	is.True(chosen >= 1999 && chosen <= 2001)
}

// Guards against a policy that starts early, completes late, lowers the share
// as time passes or ignores a veto.
func TestSchedule(t *testing.T) {
	for _, p := range []Policy{Sequential{}, FixedSteps{}} {
		is := is.New(t)
		is.Equal(p.Decide(State{Plan: plan()}, epoch.Add(-time.Second)).Share, 0.0)
		last := 0.02
		for at := time.Duration(0); at <= 3*time.Hour; at += time.Second {
			d := p.Decide(State{Plan: plan()}, epoch.Add(at))
			if d.Share < last {
				t.Fatalf("%T: share at %v is %v, want at least %v", p, at, d.Share, last)
			}
			last = d.Share
		}
		is.Equal(p.Decide(State{Plan: plan()}, epoch).Share, 0.02)
		is.Equal(p.Decide(State{Plan: plan()}, epoch.Add(55*time.Minute)).Phase, Done)
		is.Equal(p.Decide(State{Plan: plan(), Vetoed: true}, epoch).Phase, RolledBack)
	}
}
