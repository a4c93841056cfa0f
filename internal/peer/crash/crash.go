package crash

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// RecordTTL is how long a crash record is valid.
	RecordTTL = time.Hour
	// MaxDigestRecords limits the requests in the crash records of one digest, about 20 KB.
	MaxDigestRecords = 512
	// maxNameBytes limits the length of a backend name in a peer's digest.
	maxNameBytes = 256
)

// Records is the source and sink of crash records.
type Records struct {
	Set *poison.Set
	Now func() time.Time
}

// clampDeadline returns a peer's deadline, limited to the latest one that this
// node would set.
func clampDeadline(nanoseconds int64, latest time.Time) time.Time {
	return time.Unix(0, min(nanoseconds, latest.UnixNano()))
}

// Digest implements exchange.Source.
func (r Records) Digest(_ membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	rs, next := r.Set.Since(since, MaxDigestRecords)
	for _, v := range rs {
		d.Crashes = append(d.Crashes, &peerpb.Crash{
			Backend: v.Process, Fingerprints: []uint64{v.Fingerprint}, Deadline: v.Deadline.UnixNano(), Cleared: v.Cleared,
		})
	}
	return next
}

// Merge implements exchange.Sink. Crashes are urgent: a client that retries its
// request must not reach an instance that does not have the record.
func (r Records) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	var rs []poison.Record
	for _, w := range d.GetCrashes() {
		for _, fp := range w.GetFingerprints() {
			if len(rs) < 2*MaxDigestRecords && len(w.GetBackend()) <= maxNameBytes {
				rs = append(rs, poison.Record{
					Fingerprint: fp, Process: w.GetBackend(), Deadline: clampDeadline(w.GetDeadline(), r.Now().Add(RecordTTL)), Cleared: w.GetCleared(),
				})
			}
		}
	}
	return r.Set.Merge(rs) > 0
}
