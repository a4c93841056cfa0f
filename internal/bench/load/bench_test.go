package load

import "testing"

// BenchmarkGenerator measures the rate at which the load tool can generate
// requests, so that the limit of the load tool is not mistaken for the limit of
// the system under test.
func BenchmarkGenerator(b *testing.B) {
	for _, name := range []string{"kuttanad", "dvorak"} {
		b.Run(name, func(b *testing.B) {
			m, err := MixNamed(name)
			if err != nil {
				b.Fatal(err)
			}
			g := newGenerator(Config{Mix: m, Rate: 1, TokenScale: 1, KeyPrefix: "r"})
			for b.Loop() {
				g.next()
			}
		})
	}
}
