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
// the fake key-value service of this package: both must return the same results
// for the same calls.
func TestFakeMatchesInMemoryStore(t *testing.T) {
	_, address := start(t, Config{})
	client := kv.New(platform.NewStore(address))
	// All checks share the fake and the in-memory store, so that each check
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
				got, gotErr := client.Get(ctx, key)
				want, wantErr := memory.Get(ctx, key)
				if errorIndex(gotErr) != errorIndex(wantErr) || string(got.Data) != string(want.Data) || got.Revision != want.Revision {
					t.Fatalf("Get(%q) = %v, %v, in memory %v, %v", key, got, gotErr, want, wantErr)
				}
			case "put":
				data := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "data")
				got, gotErr := client.Put(ctx, key, data, revision)
				want, wantErr := memory.Put(ctx, key, data, revision)
				if errorIndex(gotErr) != errorIndex(wantErr) || got != want {
					t.Fatalf("Put(%q, %d) = %d, %v, in memory %d, %v", key, revision, got, gotErr, want, wantErr)
				}
				if gotErr == nil {
					revisions[key] = got
				}
			case "watch":
				if revisions[key] == 0 {
					continue // the key does not exist, so that a watch would wait
				}
				got, gotErr := client.Watch(ctx, key, revisions[key]-1)
				want, wantErr := memory.Watch(ctx, key, revisions[key]-1)
				if gotErr != nil || wantErr != nil || got.Revision != want.Revision || string(got.Data) != string(want.Data) {
					t.Fatalf("Watch(%q) = %v, %v, in memory %v, %v", key, got, gotErr, want, wantErr)
				}
			}
		}
	})
}
