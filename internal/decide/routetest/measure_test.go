package routetest

import (
	"os"
	"testing"
)

// BenchmarkRouting prints the table of docs/decisions/routing.md.
func BenchmarkRouting(b *testing.B) {
	for range b.N {
		if err := Table(os.Stdout, 20, []uint64{1, 2, 3}); err != nil {
			b.Fatal(err)
		}
	}
}
