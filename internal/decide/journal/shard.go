package journal

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxValue is the limit of a shard's encoded value in bytes; the store
	// allows 1 MiB, and the rest is for the value's head.
	MaxValue = 1<<20 - 1<<10
	// MaxResponse is the size in bytes up to which a response is kept.
	MaxResponse = 4 << 10
	// MaxAttempt is the limit of an attempt's ID in bytes.
	MaxAttempt = 64
	// Keep is how long an entry is kept; the guarantee covers resends within
	// that time.
	Keep = 24 * time.Hour
	// entryBytes, attemptBytes and responseBytes are upper bounds of the bytes
	// that the encoding adds: 4 for the frame, 18 for the key, 9 for the
	// fingerprint, 7 for the deadline and 2 for the mark of an entry; the tags
	// and lengths of the other fields, and 5 for the status of a response.
	entryBytes    = 40
	attemptBytes  = 2
	responseBytes = 15
)

// Key is the hash of workspace, entry and idempotency key.
type Key [16]byte

// ShardOf returns the shard of a key among n shards.
func ShardOf(k Key, n uint32) uint32 {
	// The key is a hash; 4 of its bytes are as good as all.
	return (uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])) % n
}

// Status is the answer to a reservation.
type Status int

// Answers to a reservation. Only Reserved allows the caller to run the call.
const (
	// Unavailable means that nothing is recorded for this attempt.
	Unavailable Status = iota
	// Reserved means that the attempt holds the key.
	Reserved
	// Pending means that another attempt holds the key.
	Pending
	// Done means that the call ran and its response is kept.
	Done
	// DoneWithoutResponse means that the call ran and its response is not kept.
	DoneWithoutResponse
	// Mismatch means that the key was used with another request.
	Mismatch
	// Full means that the shard has no room; nothing is recorded.
	Full
)

// String returns the status as logs show it.
func (s Status) String() string {
	names := [...]string{"unavailable", "reserved", "pending", "done", "done-without-response", "mismatch", "full"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Response is the response to a call.
type Response struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// Entry is one key of a shard.
type Entry struct {
	// Attempt holds the key; it is empty once the call is done.
	Attempt     string
	Fingerprint uint64
	Deadline    time.Time
	Done        bool
	// Response is nil if the call is not done or its response is not kept.
	Response *Response
}

// Shard is the value of one shard of the journal. The zero value is an empty
// shard.
type Shard struct {
	// Writer and Batch identify the write that produced the value.
	Writer  string
	Batch   uint64
	Entries map[Key]Entry
	size    int
}

// Reserve records that attempt is about to run the call of key. It is
// idempotent for an attempt, so that it can be repeated after a conflict or a
// lost answer.
func (s *Shard) Reserve(k Key, attempt string, fingerprint uint64, now time.Time) (Status, *Response) {
	if attempt == "" || len(attempt) > MaxAttempt {
		return Unavailable, nil
	}
	if e, ok := s.Entries[k]; ok && now.Before(e.Deadline) {
		return e.answer(attempt, fingerprint)
	}
	e := Entry{Attempt: attempt, Fingerprint: fingerprint, Deadline: time.Unix(now.Unix()+1, 0).Add(Keep)}
	if !s.room(e.size()) {
		return Full, nil
	}
	s.put(k, e)
	return Reserved, nil
}

func (e *Entry) answer(attempt string, fingerprint uint64) (Status, *Response) {
	switch {
	case e.Fingerprint != fingerprint:
		return Mismatch, nil
	case e.Done && e.Response != nil:
		return Done, e.Response
	case e.Done:
		return DoneWithoutResponse, nil
	case e.Attempt == attempt:
		return Reserved, nil
	}
	return Pending, nil
}

// Complete records the response to the call that attempt ran and reports
// whether the shard holds it as done. A response over MaxResponse, or one that
// finds no room, is not kept.
func (s *Shard) Complete(k Key, attempt string, response *Response) (recorded bool) {
	e, ok := s.Entries[k]
	if !ok {
		return false
	}
	if e.Done {
		return true
	}
	if e.Attempt != attempt {
		return false
	}
	e.Done, e.Attempt, e.Response = true, "", nil
	s.put(k, e)
	if response == nil || len(response.Body)+len(response.ContentType) > MaxResponse {
		return true
	}
	before := e.size()
	e.Response = response
	if s.room(e.size() - before) {
		s.put(k, e)
	}
	return true
}

// Remove drops the reservation of an attempt that was proved not to have run
// and reports whether the shard is free of it.
func (s *Shard) Remove(k Key, attempt string) (removed bool) {
	e, ok := s.Entries[k]
	if !ok || !e.Done && e.Attempt != attempt {
		return true
	}
	if e.Done {
		return false
	}
	s.drop(k)
	return true
}

// Expire drops the entries whose deadline has passed and reports how many.
func (s *Shard) Expire(now time.Time) (dropped int) {
	for k, e := range s.Entries {
		if !now.Before(e.Deadline) {
			s.drop(k)
			dropped++
		}
	}
	return dropped
}

// Size returns an upper bound of the encoded entries' size in bytes.
func (s *Shard) Size() int { return s.size }

// Clone returns a copy that shares only the responses, which are never
// changed.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Entries = make(map[Key]Entry, len(s.Entries))
	for k, e := range s.Entries {
		c.Entries[k] = e
	}
	return &c
}

// Add sets an entry; decoders use it.
func (s *Shard) Add(k Key, e Entry) { s.put(k, e) }

// room makes room for n more bytes and reports whether it succeeded. It gives
// up kept responses, oldest first, because a repeated call can do without its
// response; it never gives up an entry, because a repeated call would run.
func (s *Shard) room(n int) bool {
	if s.size+n <= MaxValue {
		return true
	}
	kept := 0
	var ks []Key
	for k, e := range s.Entries {
		if e.Response != nil {
			ks = append(ks, k)
			kept += e.Response.size()
		}
	}
	if s.size-kept+n > MaxValue {
		return false
	}
	slices.SortFunc(ks, func(a, b Key) int {
		return cmp.Or(s.Entries[a].Deadline.Compare(s.Entries[b].Deadline), slices.Compare(a[:], b[:]))
	})
	// An eighth more is freed, so that a full shard is not sorted for each
	// call.
	for _, k := range ks {
		if s.size+n <= MaxValue-MaxValue/8 {
			break
		}
		e := s.Entries[k]
		e.Response = nil
		s.put(k, e)
	}
	return true
}

func (s *Shard) put(k Key, e Entry) {
	if s.Entries == nil {
		s.Entries = make(map[Key]Entry)
	}
	if old, ok := s.Entries[k]; ok {
		s.size -= old.size()
	}
	s.Entries[k] = e
	s.size += e.size()
}

func (s *Shard) drop(k Key) {
	e := s.Entries[k]
	s.size -= e.size()
	delete(s.Entries, k)
}

func (e *Entry) size() int {
	n := entryBytes
	if e.Attempt != "" {
		n += attemptBytes + len(e.Attempt)
	}
	if e.Response != nil {
		n += e.Response.size()
	}
	return n
}

func (r *Response) size() int { return responseBytes + len(r.Body) + len(r.ContentType) }
