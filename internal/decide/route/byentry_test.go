package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a round robin that skips servers because it also counts the
// requests of other entries, and against allocations in Pick.
func TestByEntryIsolatesRoundRobin(t *testing.T) {
	is := is.New(t)
	var p ByEntry[RoundRobin, *RoundRobin]
	servers := []Backend{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}}
	picked := make(map[int]int)
	for range 10 {
		i, ok := p.Pick(servers, Request{Entry: "first"}, time.Time{}, 0)
		is.True(ok)
		picked[i]++
		_, ok = p.Pick(servers, Request{Entry: "second"}, time.Time{}, 0)
		is.True(ok)
	}
	is.Equal(picked[0], 5)
	is.Equal(picked[1], 5)
	allocations := testing.AllocsPerRun(100, func() {
		p.Pick(servers, Request{Entry: "first"}, time.Time{}, 0)
	})
	is.Equal(allocations, 0.0)
}
