package limit

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against a bucket that admits more requests than its rate and burst allow,
// or that rejects requests within them.
func TestBucketLimitsRate(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 10, 250} {
		var b Bucket
		b.SetRate(rate, 0)
		admitted := 0
		for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
			if b.Admit(epoch.Add(at)) {
				admitted++
			}
		}
		least, most := 20*rate, 20*rate+max(rate, 1)+1
		if got := float64(admitted); got < least || got > most {
			t.Errorf("rate %v: admitted %v in 20 s, want %v to %v", rate, got, least, most)
		}
	}
}

// Guards against concurrent callers that together exceed the concurrency limit.
func TestBucketLimitsConcurrency(t *testing.T) {
	is := is.New(t)
	var b Bucket
	b.SetRate(0, 3)
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if b.Admit(epoch) {
				admitted.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(admitted.Load(), int64(3))
	b.Release()
	is.True(b.Admit(epoch)) // a released slot can be taken again
	is.True(!b.Admit(epoch))
}

// Guards against a zero Bucket that rejects requests to an entry without limits.
func TestZeroBucketAdmitsAll(t *testing.T) {
	is := is.New(t)
	var b Bucket
	for range 1000 {
		is.True(b.Admit(epoch))
	}
}

// Guards against batch requests that displace interactive ones, and against one
// workspace that takes the capacity of the others.
func TestShedderLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	var s Shedder
	s.SetCapacity(100)
	fill := func(workspace string, c Class) (n int) {
		for s.Admit(workspace, c) {
			n++
		}
		return n
	}
	is.Equal(fill("large", Batch), 80)
	is.True(fill("large", Interactive) >= 10) // batch leaves capacity for interactive requests
	is.True(fill("small", Interactive) >= 5)  // one workspace leaves capacity for another
	is.True(s.Load() <= 1)
}

// Guards against shares whose sum exceeds the limit, that leave demand unmet while
// part of the limit is unused, or that are below both the instance's demand and an
// equal share of the limit.
func TestSharesUseLimitFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 1000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 300), 1, 12).Draw(t, "demands")
		sum, totalDemand := 0.0, 0.0
		for i, own := range demands {
			others := append(append([]float64{}, demands[:i]...), demands[i+1:]...)
			share := Share(limit, own, others)
			sum += share
			if share < min(own, limit/float64(len(demands)))-1e-9 {
				t.Fatalf("Share(%v, %v, %v) = %v, want at least an equal share or the demand", limit, own, others, share)
			}
			totalDemand += min(own, limit)
		}
		if sum > limit*(1+1e-9)+1e-9 {
			t.Fatalf("shares of %v sum to %v, want at most %v", demands, sum, limit)
		}
		if want := min(limit, totalDemand); sum < want*(1-1e-9)-1e-9 {
			t.Fatalf("shares of %v sum to %v, want at least %v", demands, sum, want)
		}
	})
}
