package crash

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// maxDigestCauses limits the requests and parts in the reports of one digest, about
	// 32 KB, to which the last report may add its own.
	maxDigestCauses = 4096
	// maxReports limits the reports that are merged from one digest.
	maxReports = 4096
)

// Reports is the source and sink of reports of the requests, and the parts of prompts,
// that were in flight at crashes.
type Reports struct {
	Set *poison.CauseSet
	Now func() time.Time
}

// Digest implements exchange.Source.
func (p Reports) Digest(_ membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	reports, next := p.Set.Since(since, maxDigestCauses)
	for _, r := range reports {
		d.PartCrashes = append(d.PartCrashes, &peerpb.PartCrash{
			Process: r.Process, Requests: r.Requests, ClearedRequests: r.ClearedRequests, Parts: r.Parts, Cleared: r.ClearedParts,
			Deadline: r.Deadline.UnixNano(),
		})
	}
	return next
}

// Merge implements exchange.Sink. Changes are urgent: until an instance has them, it
// sends requests that crash servers, or rejects those that were cleared.
func (p Reports) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	now := p.Now()
	latest := now.Add(poison.CrashRetention)
	reports := make([]poison.CrashReport, 0, len(d.GetPartCrashes()))
	for _, w := range d.GetPartCrashes() {
		if len(reports) < maxReports && len(w.GetProcess()) <= maxNameBytes {
			reports = append(reports, poison.CrashReport{
				Process: w.GetProcess(), Requests: w.GetRequests(), ClearedRequests: w.GetClearedRequests(),
				Parts: w.GetParts(), ClearedParts: w.GetCleared(), Deadline: clampDeadline(w.GetDeadline(), latest),
			})
		}
	}
	return p.Set.Merge(reports, now) > 0
}
