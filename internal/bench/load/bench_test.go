package load

import "testing"

// BenchmarkGenerator shows how many requests the tool can prepare, so that a
// measurement does not take its limit for that of the system.
func BenchmarkGenerator(b *testing.B) {
	for _, name := range []string{"kuttanad", "dvorak"} {
		b.Run(name, func(b *testing.B) {
			m, err := MixNamed(name)
			if err != nil {
				b.Fatal(err)
			}
			g := newGenerator(Config{Mix: m, Rate: 1, TokenScale: 1, Run: "r"})
			for b.Loop() {
				g.next()
			}
		})
	}
}
