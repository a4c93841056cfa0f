package movetest

import (
	"os"
	"testing"

	"wasabiworks.example/wasabiworks/internal/decide/move"
)

// Guards against a policy that misses a kind of faulty version, affects many
// clients before it detects one, or rolls good versions back.
func TestSequentialRollsBackDefects(t *testing.T) {
	const seed, rate = 11, 8
	t.Logf("seed %d, %d requests/s", seed, rate)
	// maxAffected is the limit on affected requests per move: twice the measured
	// mean.
	tests := []struct {
		defect      string
		moves       int
		maxAffected float64
	}{
		{"good", 16, 0},
		{"fails at once", 3, 12},
		{"fails later", 3, 115},
		{"fails after it is done", 3, 51},
		{"fails under load", 3, 19},
		{"fails on one route", 3, 30},
		{"slow at once", 3, 25},
		{"slow later", 3, 335},
	}
	for _, test := range tests {
		for _, d := range Defects {
			if d.Name != test.defect {
				continue
			}
			s := Scenario{Defect: d, Rate: rate, MaxWaves: 3, FullLoadFactor: 1.3}
			m := Measure(move.Sequential{}, s, seed, test.moves)
			wantRolledBack := m.Moves
			if d.Name == "good" {
				wantRolledBack = 0
			}
			if m.RolledBack != wantRolledBack || m.Done != m.Moves-wantRolledBack {
				t.Errorf("%s: %d of %d rolled back and %d done in time, want %d and %d", d.Name, m.RolledBack, m.Moves, m.Done, wantRolledBack, m.Moves-wantRolledBack)
			}
			t.Logf("%s: %.1f requests affected per move", d.Name, m.Affected/float64(m.Moves))
			if got := m.Affected / float64(m.Moves); got > test.maxAffected {
				t.Errorf("%s: %.1f requests affected per move, want at most %v", d.Name, got, test.maxAffected)
			}
		}
	}
}

// BenchmarkMoves prints the table in docs/decisions/move-test.md.
func BenchmarkMoves(b *testing.B) {
	policies := map[string]move.Policy{
		"Sequential":         move.Sequential{},
		"FixedSteps 5%, 20%": move.FixedSteps{},
		"FixedSteps 2%, 10%": move.FixedSteps{MaxFailureRate: 0.02, MaxSlowRate: 0.1},
	}
	for range b.N {
		if err := Table(os.Stdout, policies, []float64{0.5, 5, 50}, 1, 100); err != nil {
			b.Fatal(err)
		}
	}
}
