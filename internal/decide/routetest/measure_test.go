package routetest

import (
	"os"
	"testing"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// Guards against routing that recomputes long prefixes, or that makes short
// questions slower than round robin does.
func TestCombinedAgainstRoundRobin(t *testing.T) {
	const seed, servers = 4, 20
	t.Logf("seed %d", seed)
	tests := []struct {
		mix                Mix
		rate               float64
		maxRecomputedRatio float64 // relative to round robin
	}{
		{LongPrefixes, 15, 0.25},
		{ShortQuestions, 60, 1},
	}
	for _, test := range tests {
		base := Simulate(new(route.RoundRobin), test.mix, servers, test.rate, seed)
		got := Simulate(new(route.Combined), test.mix, servers, test.rate, seed)
		if limit := test.maxRecomputedRatio * base.Recomputed; got.Recomputed > limit {
			t.Errorf("%s: %.0f tokens recomputed per request, want at most %.0f", test.mix.Name, got.Recomputed, limit)
		}
		if got.FirstTokenP95 > 1.1*base.FirstTokenP95 || got.TokenIntervalP95 > 1.1*base.TokenIntervalP95 {
			t.Errorf("%s: latencies are %.3f s and %.4f s, want at most a tenth above %.3f s and %.4f s",
				test.mix.Name, got.FirstTokenP95, got.TokenIntervalP95, base.FirstTokenP95, base.TokenIntervalP95)
		}
	}
}

// BenchmarkRouting prints the table in docs/decisions/routing.md.
func BenchmarkRouting(b *testing.B) {
	for range b.N {
		if err := Table(os.Stdout, 20, []uint64{1, 2, 3}); err != nil {
			b.Fatal(err)
		}
	}
}
