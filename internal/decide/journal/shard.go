package journal

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxEntriesBytes is the maximum size in bytes of a shard's encoded entries. The
	// store allows 1 MiB, and the remaining 1 KiB is for the header of the
	// encoded value.
	MaxEntriesBytes = 1<<20 - 1<<10
	// MaxResponseBytes is the maximum size in bytes of a response that is kept, body
	// and content type.
	MaxResponseBytes = 4 << 10
	// MaxAttemptBytes is the maximum length of an attempt ID in bytes.
	MaxAttemptBytes = 64
	// Retention is how long an entry is kept. The at-most-once guarantee covers
	// calls that are repeated within that time.
	Retention = 24 * time.Hour
	// entryBytes, attemptBytes and responseBytes are upper bounds of the
	// encoding overhead. An entry takes 4 bytes for its frame, 18 for the key, 9
	// for the fingerprint, 7 for the deadline and 2 for the done flag; the other
	// fields take their tags and lengths, and a response 5 more for its status.
	entryBytes    = 40
	attemptBytes  = 2
	responseBytes = 15
)

// Key is the hash of a workspace, a catalogue entry and an idempotency key.
type Key [16]byte

// ShardOf returns the index of a key's shard among n shards.
func ShardOf(k Key, n uint32) uint32 {
	// The key is a hash, so 4 of its bytes distribute keys as evenly as all 16.
	return (uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])) % n
}

// Status is the result of a reservation.
type Status int

// Results of a reservation. Only Reserved allows the caller to run the call.
const (
	// Unavailable means that the reservation could not be made, or that its
	// outcome is unknown. Shard.Reserve returns it only for an invalid attempt
	// ID, and then records nothing.
	Unavailable Status = iota
	// Reserved means that the attempt holds the key.
	Reserved
	// Pending means that another attempt holds the key.
	Pending
	// Done means that the call ran and its response is available.
	Done
	// DoneWithoutResponse means that the call ran and its response was not kept.
	DoneWithoutResponse
	// Mismatch means that the key was used before with a different request.
	Mismatch
	// Full means that the shard has no space left; nothing is recorded.
	Full
)

// String returns the name of the status for logs.
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

// Entry is the record of one key in a shard.
type Entry struct {
	// Attempt is the ID of the attempt that holds the key. It is empty once the
	// call is done.
	Attempt     string
	Fingerprint uint64    // hash of the request
	ExpiresAt   time.Time // when the entry expires
	Done        bool
	// Response is nil if the call is not done or its response is not kept.
	Response *Response
}

// Shard is the value of one shard of the journal. The zero value is an empty
// shard. A Shard is not safe for concurrent use.
type Shard struct {
	// Writer and Batch identify the write that produced the value.
	Writer  string
	Batch   uint64
	Entries map[Key]Entry
	size    int // upper bound on the size of the encoded entries in bytes
}

// Reserve records that attempt is about to run the call of key k. It is
// idempotent for an attempt, so it can be repeated after a conflict or a lost
// response. The response is nil unless the status is Done.
func (s *Shard) Reserve(k Key, attempt string, fingerprint uint64, now time.Time) (Status, *Response) {
	if attempt == "" || len(attempt) > MaxAttemptBytes {
		return Unavailable, nil
	}
	if e, ok := s.Entries[k]; ok && now.Before(e.ExpiresAt) {
		return e.reservationResult(attempt, fingerprint)
	}
	// Entries are encoded with their deadline in whole seconds. Rounding up keeps
	// an entry from expiring before the end of Retention.
	e := Entry{Attempt: attempt, Fingerprint: fingerprint, ExpiresAt: time.Unix(now.Unix()+1, 0).Add(Retention)}
	if !s.makeRoom(e.size()) {
		return Full, nil
	}
	s.put(k, e)
	return Reserved, nil
}

// reservationResult returns the result of a reservation of a key that e already
// records.
func (e *Entry) reservationResult(attempt string, fingerprint uint64) (Status, *Response) {
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
// whether the shard has the call as done. A response that is larger than
// MaxResponseBytes or does not fit in the shard is not kept.
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
	if response == nil || len(response.Body)+len(response.ContentType) > MaxResponseBytes {
		return true
	}
	before := e.size()
	e.Response = response
	if s.makeRoom(e.size() - before) {
		s.put(k, e)
	}
	return true
}

// Remove drops the reservation of an attempt that provably did not run, and
// reports whether the shard no longer contains it.
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

// Expire drops the expired entries and returns their number.
func (s *Shard) Expire(now time.Time) (dropped int) {
	for k, e := range s.Entries {
		if !now.Before(e.ExpiresAt) {
			s.drop(k)
			dropped++
		}
	}
	return dropped
}

// Size returns an upper bound on the size of the encoded entries in bytes.
func (s *Shard) Size() int { return s.size }

// Clone returns a copy of the shard. Only the responses are shared, which are
// never modified.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Entries = make(map[Key]Entry, len(s.Entries))
	for k, e := range s.Entries {
		c.Entries[k] = e
	}
	return &c
}

// Add sets the entry of a key, for use by decoders.
func (s *Shard) Add(k Key, e Entry) { s.put(k, e) }

// makeRoom frees space for n more bytes if necessary and reports whether it
// succeeded. It drops responses, oldest first, because a repeated call can be
// answered without its response. It never drops an entry, because a repeated call
// would then run again.
func (s *Shard) makeRoom(n int) bool {
	if s.size+n <= MaxEntriesBytes {
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
	if s.size-kept+n > MaxEntriesBytes {
		return false
	}
	slices.SortFunc(ks, func(a, b Key) int {
		return cmp.Or(s.Entries[a].ExpiresAt.Compare(s.Entries[b].ExpiresAt), slices.Compare(a[:], b[:]))
	})
	// Free an additional eighth of the space, so that the entries of a full
	// shard are not sorted for every call.
	for _, k := range ks {
		if s.size+n <= MaxEntriesBytes-MaxEntriesBytes/8 {
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
