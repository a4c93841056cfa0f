package crash

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// Kept is how long a crash record counts.
	Kept = time.Hour
	// Batch bounds the requests in the crash records of one digest, about 20 KB.
	Batch = 512
	// maxName bounds the names that a peer's digest may bring, in bytes.
	maxName = 256
)

// Records is the source and sink of the crash records.
type Records struct {
	Set *poison.Set
	Now func() time.Time
}

// deadline returns a peer's deadline, but none later than this node would set.
func (r Records) deadline(nanoseconds int64) time.Time {
	return time.Unix(0, min(nanoseconds, r.Now().Add(Kept).UnixNano()))
}

// Digest implements exchange.Source.
func (r Records) Digest(_ membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	rs, next := r.Set.Since(since, Batch)
	for _, v := range rs {
		d.Crashes = append(d.Crashes, &peerpb.Crash{
			Backend: v.Process, Fingerprints: []uint64{v.Fingerprint}, Deadline: v.Deadline.UnixNano(),
		})
	}
	return next
}

// Merge implements exchange.Sink. A crash is urgent: a client that sends its
// request again must not reach an instance that does not know of it.
func (r Records) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	var rs []poison.Record
	for _, w := range d.GetCrashes() {
		for _, fp := range w.GetFingerprints() {
			if len(rs) < 2*Batch && len(w.GetBackend()) <= maxName {
				rs = append(rs, poison.Record{Fingerprint: fp, Process: w.GetBackend(), Deadline: r.deadline(w.GetDeadline())})
			}
		}
	}
	return r.Set.Merge(rs) > 0
}
