package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testServers(n int) []Backend {
	bs := make([]Backend, n)
	for i := range bs {
		bs[i] = Backend{ID: fmt.Sprintf("worker-%d", i), FailureDomain: "brno-a", Versions: []string{"v1"}, Price: 1, Capacity: 16, Reported: epoch}
	}
	return bs
}

// Guards against a policy that picks a server that is leaving, excluded or
// without the version, or that picks none although one is eligible.
func TestPickEligible(t *testing.T) {
	policies := map[string]Policy{"affinity": Affinity{}, "combined": new(Combined), "round robin": &RoundRobin{}, "least loaded": LeastLoaded{}}
	bs := testServers(4)
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

// Guards against a choice that depends on more than the prefix while loads are
// even, and against a loaded server that still gets the requests of its
// prefixes.
func TestAffinityKeepsPrefixUnlessLoaded(t *testing.T) {
	is := is.New(t)
	bs := testServers(20)
	r := Request{Version: "v1", Prefix: 42}
	first, ok := Affinity{}.Pick(bs, r, epoch, 1)
	is.True(ok)
	second, _ := Affinity{}.Pick(bs, r, epoch, 2)
	is.Equal(first, second)
	bs[first].Running, bs[first].Queued = 16, 8
	third, _ := Affinity{}.Pick(bs, r, epoch, 3)
	is.True(third != first) // a loaded server is skipped
}

// countPicks returns the number of requests that two servers get, after change
// has been applied to the first.
func countPicks(change func(*Backend)) (first, second float64) {
	bs := testServers(2)
	change(&bs[0])
	for i := range uint64(2000) {
		r := Request{Version: "v1", FailureDomain: "brno-a", Prefix: splitMix64(i)}
		if j, _ := (Affinity{}).Pick(bs, r, epoch, i); j == 0 {
			first++
		} else {
			second++
		}
	}
	return first, second
}

// Guards against too many requests to a server that has just joined, against
// prices and failure domains that are ignored, and against an old report that
// counts as much as a new one.
func TestAffinityWeights(t *testing.T) {
	tests := []struct {
		name     string
		change   func(*Backend)
		min, max float64 // of the first server's requests per the second's
	}{
		{"equal", func(*Backend) {}, 0.8, 1.2},
		{"joined 2 s ago", func(b *Backend) { b.Joined = epoch.Add(-2 * time.Second) }, 0.1, 0.35},
		{"half the price", func(b *Backend) { b.Price = 0.5 }, 1.5, 2.6},
		{"other failure domain", func(b *Backend) { b.FailureDomain = "zlin" }, 0.7, 0.88},
		{"loaded", func(b *Backend) { b.Running = 12 }, 0, 0},
		{"loaded a minute ago", func(b *Backend) { b.Running, b.Reported = 12, epoch.Add(-time.Minute) }, 0.5, 1.5},
	}
	for _, test := range tests {
		first, second := countPicks(test.change)
		if got := first / second; got < test.min || got > test.max {
			t.Errorf("%s: ratio of requests is %.2f, want %v to %v", test.name, got, test.min, test.max)
		}
	}
}

// Guards against interactive requests that wait in a queue while another server
// is free, even if their prefix is cached at the server with the queue.
func TestInteractiveAvoidsQueues(t *testing.T) {
	is := is.New(t)
	bs := testServers(20)
	r := Request{Version: "v1", Prefix: 42}
	for i := range bs {
		bs[i].Running = 14
	}
	preferred, _ := Affinity{}.Pick(bs, r, epoch, 0)
	bs[preferred].Queued = 1
	batch, _ := Affinity{}.Pick(bs, r, epoch, 0)
	is.Equal(batch, preferred)
	r.Interactive = true
	interactive, _ := Affinity{}.Pick(bs, r, epoch, 0)
	is.True(interactive != preferred)
}

// Guards against a round robin that skips servers or favours those that follow
// an ineligible one.
func TestCombinedRoundRobin(t *testing.T) {
	is := is.New(t)
	bs := testServers(10)
	bs[0].Leaving, bs[1].Leaving, bs[2].Leaving = true, true, true
	var p Combined
	var picked [10]int
	for i := range uint64(700) {
		j, ok := p.Pick(bs, Request{Version: "v1", Prefix: 42, PrefixTokens: 100}, epoch, i)
		is.True(ok)
		picked[j]++
	}
	is.Equal(picked, [10]int{3: 100, 100, 100, 100, 100, 100, 100})
}

// Guards against a pick that is not eligible, or none although one is, for any
// state of the servers.
func TestPickArbitrary(t *testing.T) {
	policies := []Policy{Affinity{}, new(Combined), new(RoundRobin), LeastLoaded{}}
	rapid.Check(t, func(t *rapid.T) {
		bs := testServers(rapid.IntRange(0, 6).Draw(t, "servers"))
		anyEligible := false
		r := Request{
			Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"), Prefix: rapid.Uint64Range(0, 2).Draw(t, "prefix"),
			PrefixTokens: rapid.IntRange(0, 2000).Draw(t, "tokens"), Interactive: rapid.Bool().Draw(t, "interactive"),
			FailureDomain: "zlin", Exclude: []string{"worker-1"},
		}
		for i := range bs {
			b := &bs[i]
			b.Versions = []string{rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "has")}
			b.Leaving = rapid.Bool().Draw(t, "leaving")
			b.Running, b.Queued, b.Capacity = rapid.IntRange(0, 40).Draw(t, "running"), rapid.IntRange(0, 4).Draw(t, "queued"), rapid.IntRange(0, 16).Draw(t, "capacity")
			b.Price = rapid.Float64Range(0, 2).Draw(t, "price")
			b.Joined = epoch.Add(time.Duration(rapid.Int64Range(-20, 5).Draw(t, "joined")) * time.Second)
			b.Reported = epoch.Add(time.Duration(rapid.Int64Range(-20, 5).Draw(t, "reported")) * time.Second)
			anyEligible = anyEligible || eligible(b, &r)
		}
		for _, p := range policies {
			i, ok := p.Pick(bs, r, epoch, rapid.Uint64().Draw(t, "random"))
			if ok != anyEligible || ok && !eligible(&bs[i], &r) {
				t.Fatalf("%T: Pick(%+v, %+v) = %d, %v; want ok: %v", p, bs, r, i, ok, anyEligible)
			}
		}
	})
}

// Guards against allocations on the request path.
func TestPickDoesNotAllocate(t *testing.T) {
	bs := testServers(200)
	for _, p := range []Policy{Affinity{}, new(Combined), new(RoundRobin), LeastLoaded{}} {
		for _, prefix := range []uint64{0, 42} {
			r := Request{Version: "v1", Prefix: prefix, Interactive: true}
			if n := testing.AllocsPerRun(100, func() { p.Pick(bs, r, epoch, 1) }); n != 0 {
				t.Errorf("%T: Pick with prefix %d allocates %v times, want 0", p, prefix, n)
			}
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		bs := testServers(n)
		for _, prefix := range []uint64{0, 42} {
			b.Run(fmt.Sprintf("servers=%d/prefix=%v", n, prefix != 0), func(b *testing.B) {
				var p Combined
				random := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					random++
					p.Pick(bs, Request{Version: "v1", FailureDomain: "brno-a", Prefix: prefix * random, Interactive: true}, epoch, random)
				}
			})
		}
	}
}
