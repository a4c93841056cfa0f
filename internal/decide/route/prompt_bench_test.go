package route

import (
	"fmt"
	"testing"
)

// The cost of a choice limits the rate of an instance with a fraction of a core.
func BenchmarkChoosePrompt(b *testing.B) {
	for _, servers := range []int{60, 140, 2000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			cs := idleCandidates(servers)
			for n := 0; b.Loop(); n++ {
				ChoosePrompt(cs, testPrompt(n))
			}
		})
	}
}

func BenchmarkChooseService(b *testing.B) {
	cs := idleCandidates(2000)
	for n := uint64(0); b.Loop(); n++ {
		ChooseService(cs, n)
	}
}
