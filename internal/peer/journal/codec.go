package journal

import (
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Encode returns the store value for a shard.
func Encode(s *journal.Shard) ([]byte, error) {
	m := &peerpb.JournalShard{Writer: s.Writer, Batch: s.Batch, Entries: make([]*peerpb.JournalEntry, 0, len(s.Entries))}
	for k, e := range s.Entries {
		m.Entries = append(m.Entries, &peerpb.JournalEntry{
			Key:         k[:],
			Attempt:     e.Attempt,
			Fingerprint: e.Fingerprint,
			Deadline:    e.ExpiresAt.Unix(),
			Done:        e.Done,
			Response:    responseToProto(e.Response),
		})
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, Corrupt.Wrap(err, "encode a journal shard")
	}
	return data, nil
}

// Decode returns the shard encoded in a store value. Its errors have the type
// Corrupt.
func Decode(data []byte) (*journal.Shard, error) {
	var m peerpb.JournalShard
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, Corrupt.Wrap(err, "decode a journal shard")
	}
	s := &journal.Shard{Writer: m.Writer, Batch: m.Batch}
	for _, e := range m.Entries {
		k, err := decodeKey(e.Key)
		if err != nil {
			return nil, err
		}
		s.Add(k, journal.Entry{
			Attempt:     e.Attempt,
			Fingerprint: e.Fingerprint,
			ExpiresAt:   time.Unix(e.Deadline, 0),
			Done:        e.Done,
			Response:    responseFromProto(e.Response),
		})
	}
	return s, nil
}

func decodeKey(b []byte) (k journal.Key, err error) {
	if len(b) != len(k) {
		return k, errorx.Decorate(Corrupt.New("key has %d bytes, want %d", len(b), len(k)), "journal key")
	}
	return journal.Key(b), nil
}

func responseToProto(r *journal.Response) *peerpb.Response {
	if r == nil {
		return nil
	}
	return &peerpb.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

func responseFromProto(r *peerpb.Response) *journal.Response {
	if r == nil {
		return nil
	}
	return &journal.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

// protoStatuses maps each status to its status in the protocol. journal.Full has
// none of its own and is sent as unavailable.
var protoStatuses = map[journal.Status]peerpb.Status{
	journal.Unavailable:         peerpb.Status_STATUS_UNAVAILABLE,
	journal.Reserved:            peerpb.Status_STATUS_RESERVED,
	journal.Pending:             peerpb.Status_STATUS_PENDING,
	journal.Done:                peerpb.Status_STATUS_DONE,
	journal.DoneWithoutResponse: peerpb.Status_STATUS_DONE_WITHOUT_RESPONSE,
	journal.Mismatch:            peerpb.Status_STATUS_MISMATCH,
	journal.Full:                peerpb.Status_STATUS_UNAVAILABLE,
}

// statusFromProto converts a peer's status; it never returns journal.Full. An
// unknown status becomes journal.Unavailable, which does not allow the call to
// run.
func statusFromProto(s peerpb.Status) journal.Status {
	for status, protoStatus := range protoStatuses {
		if protoStatus == s && status != journal.Full {
			return status
		}
	}
	return journal.Unavailable
}
