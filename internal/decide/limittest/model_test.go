package limittest

import (
	"os"
	"testing"
)

// Guards against a shedder that lets queues grow, leaves capacity unused, or lets
// the large workspace delay or displace the small ones.
func TestOverload(t *testing.T) {
	const seed = 5
	t.Logf("seed %d", seed)
	for _, load := range []float64{1, 2, 4} {
		r := Simulate(load, true, seed)
		if got := r.Goodput(); got < 0.8 {
			t.Errorf("at %vx: goodput is %.2f of the capacity, want at least 0.8", load, got)
		}
		if got := percent(r.Small.InTime, &r.Small); got < 97 {
			t.Errorf("at %vx: %.1f%% of small workspaces' requests in time, want at least 97%%", load, got)
		}
		if got := r.Small.WaitP95(); got > 0.1 {
			t.Errorf("at %vx: small workspaces wait %.2f s, want at most 0.1 s", load, got)
		}
		if batch, large := percent(r.Batch.Rejected, &r.Batch), percent(r.Large.Rejected, &r.Large); batch <= large {
			t.Errorf("at %vx: %.1f%% of batch and %.1f%% of interactive requests rejected, want more batch", load, batch, large)
		}
	}
}

// BenchmarkOverload prints the table of docs/decisions/overload.md.
func BenchmarkOverload(b *testing.B) {
	for range b.N {
		if err := WriteTable(os.Stdout, 1); err != nil {
			b.Fatal(err)
		}
	}
}
