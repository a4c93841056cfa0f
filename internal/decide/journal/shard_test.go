package journal

import (
	"encoding/binary"
	"testing"
	"time"
)

func fill(s *Shard, response *Response, now time.Time) (n int) {
	for ; n < 40_000; n++ { // far more than fit in a shard
		var k Key
		binary.BigEndian.PutUint32(k[:], uint32(n))
		if status, _ := s.Reserve(k, "attempt", 1, now); status != Reserved {
			break
		}
		s.Complete(k, "attempt", response)
	}
	return n
}

// Guards against a full shard that drops an unexpired entry, which would let the
// call run again, or that exceeds the store's size limit.
func TestFullShardRejectsNewCallsAndKeepsEntries(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, response := range map[string]*Response{"without responses": nil, "with responses": {Body: make([]byte, 1000)}} {
		s := new(Shard)
		n := fill(s, response, now)
		if len(s.Entries) != n || n < 10_000 || s.Size() > MaxEntriesBytes {
			t.Errorf("%s: got %d entries of %d calls in %d bytes, want all of at least 10000 calls within the size limit of a shard", name, len(s.Entries), n, s.Size())
		}
		if status, _ := s.Reserve(Key{0xff}, "late", 1, now); status != Full {
			t.Errorf("%s: new call: got %v, want %v", name, status, Full)
		}
		if status, _ := s.Reserve(Key{}, "again", 1, now); status != DoneWithoutResponse {
			t.Errorf("%s: repeated first call: got %v, want %v", name, status, DoneWithoutResponse)
		}
		later := now.Add(Retention + 2*time.Second)
		next, results, _ := Apply(s, []Op{{Key: Key{0xff}, Attempt: "late"}}, "w", 1, later)
		if results[0].Status != Reserved || len(next.Entries) != 1 {
			t.Errorf("%s: after expiry: got %v and %d entries, want %v and 1", name, results[0].Status, len(next.Entries), Reserved)
		}
	}
}

// Guards against a status that lets a repeated call run again, or that returns
// the response of a different request.
func TestRepeatedReservationStatus(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := Key{1}
	response := &Response{Status: 200, Body: []byte("paid")}
	done := func(r *Response) func(*Shard) {
		return func(s *Shard) { s.Complete(k, "a", r) }
	}
	for _, c := range []struct {
		name        string
		change      func(*Shard)
		attempt     string
		fingerprint uint64
		want        Status
	}{
		{"same attempt", func(*Shard) {}, "a", 1, Reserved},
		{"other attempt", func(*Shard) {}, "b", 1, Pending},
		{"different request", func(*Shard) {}, "b", 2, Mismatch},
		{"done", done(response), "b", 1, Done},
		{"done, different request", done(response), "b", 2, Mismatch},
		{"done, same attempt", done(response), "a", 1, Done},
		{"response over the size limit", done(&Response{Body: make([]byte, MaxResponseBytes+1)}), "b", 1, DoneWithoutResponse},
		{"completed by another attempt", func(s *Shard) { s.Complete(k, "x", response) }, "b", 1, Pending},
		{"removed", func(s *Shard) { s.Remove(k, "a") }, "b", 1, Reserved},
		{"removed by another attempt", func(s *Shard) { s.Remove(k, "x") }, "b", 1, Pending},
		{"removed after completion", func(s *Shard) { s.Complete(k, "a", nil); s.Remove(k, "a") }, "b", 1, DoneWithoutResponse},
		{"empty attempt ID", func(*Shard) {}, "", 1, Unavailable},
		{"attempt ID too long", func(*Shard) {}, string(make([]byte, MaxAttemptBytes+1)), 1, Unavailable},
	} {
		s := new(Shard)
		s.Reserve(k, "a", 1, now)
		c.change(s)
		if got, _ := s.Reserve(k, c.attempt, c.fingerprint, now.Add(Retention-time.Second)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
