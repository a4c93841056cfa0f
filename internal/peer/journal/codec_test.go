package journal_test

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	decide "wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
)

// The seed is fixed so that every run gives the same result. Use -rapid.seed and
// -rapid.checks to try other cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a shard that changes when it is encoded and decoded, and
// against an encoded size above the estimate (Shard.Size) that decides whether a
// shard is full.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &decide.Shard{Writer: "entry-1/1", Batch: rapid.Uint64().Draw(t, "batch")}
		for range rapid.IntRange(0, 20).Draw(t, "entries") {
			e := decide.Entry{
				Attempt:     rapid.StringN(0, decide.MaxAttemptBytes, decide.MaxAttemptBytes).Draw(t, "attempt"),
				Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
				ExpiresAt:   time.Unix(rapid.Int64Range(0, 1<<40).Draw(t, "deadline"), 0),
				Done:        rapid.Bool().Draw(t, "done"),
			}
			if rapid.Bool().Draw(t, "kept") {
				e.Response = &decide.Response{
					Status:      rapid.Uint32().Draw(t, "status"),
					ContentType: rapid.StringN(0, 40, 40).Draw(t, "type"),
					Body:        rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body"),
				}
			}
			s.Add(decide.Key(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key")), e)
		}
		data, err := journal.Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > s.Size()+64 {
			t.Errorf("%d entries: got %d bytes, want at most the bound %d plus 64 for the header", len(s.Entries), len(data), s.Size())
		}
		got, err := journal.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s, got, cmpopts.IgnoreUnexported(decide.Shard{})); diff != "" {
			t.Errorf("decoded shard differs (-want +got):\n%s", diff)
		}
	})
}

// Guards against a corrupt value that makes Decode or Clone panic.
func TestDecodeOfArbitraryDataDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		if s, err := journal.Decode(data); err == nil {
			_ = s.Clone()
		}
	})
}
