package journal_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	decide "wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
)

// Guards against a stored value that causes a panic, that changes when it is
// encoded again, or that lets two attempts reserve the same key.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	s := &decide.Shard{Writer: "entry-1/1", Batch: 3}
	s.Reserve(decide.Key{1}, "a-1", 7, now)
	s.Reserve(decide.Key{2}, "a-2", 7, now)
	s.Complete(decide.Key{2}, "a-2", &decide.Response{Status: 200, ContentType: "text/plain", Body: []byte("x")})
	data, err := journal.Encode(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(append(data, data...)) // each key twice
	f.Add(data[:len(data)-3])
	f.Add([]byte{0x1a, 0x02, 0x0a, 0x00}) // an entry with an empty key
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := journal.Decode(data)
		if err != nil {
			return
		}
		reencoded, err := journal.Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := journal.Decode(reencoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s, got, cmpopts.IgnoreUnexported(decide.Shard{}), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("shard differs after encoding it again (-want +got):\n%s", diff)
		}
		key := decide.Key{1}
		first, _ := s.Reserve(key, "first", 7, now)
		second, _ := s.Reserve(key, "second", 7, now)
		if first == decide.Reserved && second == decide.Reserved {
			t.Errorf("both attempts reserved the key")
		}
		s.Expire(now)
	})
}
