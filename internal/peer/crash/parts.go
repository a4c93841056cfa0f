package crash

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// maxDigestParts limits the parts in the reports of one digest, about 32 KB, to
	// which the last report may add its parts.
	maxDigestParts = 4096
	// maxReports limits the reports that are merged from one digest.
	maxReports = 4096
)

// PartRecords is the source and sink of reports of the parts of prompts that were in
// flight at crashes.
type PartRecords struct {
	Set *poison.PartSet
	Now func() time.Time
}

// Digest implements exchange.Source.
func (p PartRecords) Digest(_ membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	reports, next := p.Set.Since(since, maxDigestParts)
	for _, r := range reports {
		d.PartCrashes = append(d.PartCrashes, &peerpb.PartCrash{
			Process: r.Process, Parts: r.Parts, Cleared: r.Cleared, Deadline: r.Deadline.UnixNano(),
		})
	}
	return next
}

// Merge implements exchange.Sink. Changes are urgent: until an instance has them, it
// sends requests with a part that crashes servers, or rejects those with a part that
// was cleared.
func (p PartRecords) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	now := p.Now()
	reports := make([]poison.PartCrash, 0, len(d.GetPartCrashes()))
	for _, w := range d.GetPartCrashes() {
		if len(reports) < maxReports && len(w.GetProcess()) <= maxNameBytes {
			reports = append(reports, poison.PartCrash{
				Process: w.GetProcess(), Parts: w.GetParts(), Cleared: w.GetCleared(), Deadline: clampDeadline(w.GetDeadline(), now.Add(poison.PartRetention)),
			})
		}
	}
	return p.Set.Merge(reports, now) > 0
}
