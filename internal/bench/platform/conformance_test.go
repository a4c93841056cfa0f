package platform

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
	"wasabiworks.example/wasabiworks/platform"
)

var kvErrors = []error{kv.ErrAbsent, kv.ErrConflict, kv.ErrUnavailable, kv.ErrUnknown, kv.ErrTooLarge}

// errorIndex returns the index of an error in kvErrors, or -1.
func errorIndex(err error) int {
	return slices.IndexFunc(kvErrors, func(e error) bool { return errors.Is(err, e) })
}

// Guards against tests that pass with the in-memory store and would fail with
// the key-value service: both must return the same results for the same calls.
func TestServiceMatchesInMemoryStore(t *testing.T) {
	_, address := start(t, Config{})
	client := kv.New(platform.NewStore(address))
	// All checks share the service and the in-memory store, so that each check
	// continues with the values of the previous one.
	memory := kvtest.New()
	keys := rapid.SampledFrom([]string{"catalogue", "journal/1", "vetoes/a b", "vetoes/ä%2F"})
	revisions := make(map[string]int64)
	ctx := t.Context()
	rapid.Check(t, func(t *rapid.T) {
		for range 10 {
			key := keys.Draw(t, "key")
			revision := rapid.SampledFrom([]int64{0, revisions[key], revisions[key] + 1}).Draw(t, "revision")
			switch op := rapid.SampledFrom([]string{"get", "put", "watch"}).Draw(t, "op"); op {
			case "get":
				a, errA := client.Get(ctx, key)
				b, errB := memory.Get(ctx, key)
				if errorIndex(errA) != errorIndex(errB) || string(a.Data) != string(b.Data) || a.Revision != b.Revision {
					t.Fatalf("Get(%q) = %v, %v, in memory %v, %v", key, a, errA, b, errB)
				}
			case "put":
				data := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "data")
				a, errA := client.Put(ctx, key, data, revision)
				b, errB := memory.Put(ctx, key, data, revision)
				if errorIndex(errA) != errorIndex(errB) || a != b {
					t.Fatalf("Put(%q, %d) = %d, %v, in memory %d, %v", key, revision, a, errA, b, errB)
				}
				if errA == nil {
					revisions[key] = a
				}
			case "watch":
				if revisions[key] == 0 {
					continue // the key does not exist, so that a watch would wait
				}
				a, errA := client.Watch(ctx, key, revisions[key]-1)
				b, errB := memory.Watch(ctx, key, revisions[key]-1)
				if errA != nil || errB != nil || a.Revision != b.Revision || string(a.Data) != string(b.Data) {
					t.Fatalf("Watch(%q) = %v, %v, in memory %v, %v", key, a, errA, b, errB)
				}
			}
		}
	})
}
