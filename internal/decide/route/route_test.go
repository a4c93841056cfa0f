package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func servers(n int) []Backend {
	bs := make([]Backend, n)
	for i := range bs {
		bs[i] = Backend{ID: fmt.Sprintf("worker-%d", i), FailureDomain: "brno-a", Versions: []string{"v1"}, Price: 1, Capacity: 16, Reported: epoch}
	}
	return bs
}

// Guards against a policy that picks a server that is leaving, excluded or
// without the version, or that picks none although one is eligible.
func TestPickEligible(t *testing.T) {
	policies := map[string]Policy{"affinity": Affinity{}, "round robin": &RoundRobin{}, "least loaded": LeastLoaded{}}
	bs := servers(4)
	bs[0].Leaving = true
	bs[1].Versions = []string{"v2"}
	bs[3].Queued, bs[3].Running = 9, 16
	for name, p := range policies {
		for i := range uint64(100) {
			r := Request{Version: "v1", Prefix: i, Interactive: true, Exclude: []string{"worker-2"}}
			if got, ok := p.Pick(bs, r, epoch, i); !ok || got != 3 {
				t.Fatalf("%s: Pick = %d, %v; want 3, true", name, got, ok)
			}
			r.Version = "v3"
			if got, ok := p.Pick(bs, r, epoch, i); ok {
				t.Fatalf("%s: Pick for a version that no server has = %d, want none", name, got)
			}
		}
		if _, ok := p.Pick(nil, Request{}, epoch, 0); ok {
			t.Errorf("%s: Pick without servers succeeds", name)
		}
	}
}

// Guards against affinity that depends on anything but the prefix while loads
// are even, and against a loaded server that keeps its prefixes.
func TestAffinity(t *testing.T) {
	is := is.New(t)
	bs := servers(20)
	r := Request{Version: "v1", Prefix: 42}
	first, ok := Affinity{}.Pick(bs, r, epoch, 1)
	is.True(ok)
	second, _ := Affinity{}.Pick(bs, r, epoch, 2)
	is.Equal(first, second)
	bs[first].Running, bs[first].Queued = 16, 8
	third, _ := Affinity{}.Pick(bs, r, epoch, 3)
	is.True(third != first) // a loaded server is passed over
}
