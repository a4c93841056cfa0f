package reply

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a cache that exceeds its bounds or returns expired values.
func TestCacheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		cache := Cache[int, int]{MaxEntries: 8, MaxWeight: 100, TTL: time.Minute}
		stored := make(map[int]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			key := rapid.IntRange(0, 20).Draw(t, "key")
			if v, loaded := cache.LoadOrStore(key, key, int64(rapid.SampledFrom([]int{0, 1, 1, 5, 5, 5, 20, 20, 120}).Draw(t, "weight")), now); v != key {
				t.Fatalf("key %d: got value %d", key, v)
			} else if !loaded {
				stored[key] = now
			} else if now.Sub(stored[key]) >= time.Minute {
				t.Fatalf("key %d: got a value of age %s, want at most 1 min", key, now.Sub(stored[key]))
			}
			if len(cache.byKey) > 8 || cache.order.Len() != len(cache.byKey) || cache.weight > 100 || cache.weight < 0 {
				t.Fatalf("got %d keys, %d values and weight %d, want at most 8, as many, and at most 100", len(cache.byKey), cache.order.Len(), cache.weight)
			}
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				cache.Delete(key)
			}
		}
	})
}
