package serverlimit

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/pacing"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// maxDigestLimits bounds the limits in one digest, about 64 KB.
	maxDigestLimits = 512
	// maxNameBytes bounds the name of a process in a peer's digest.
	maxNameBytes = 256
)

// Reports is the source and sink of the limits of servers.
type Reports struct {
	Limits *pacing.Limits
	// Now is the wall clock.
	Now func() time.Time
}

// Digest implements exchange.Source.
func (r Reports) Digest(_ membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	limits, next := r.Limits.Since(since, maxDigestLimits)
	for _, l := range limits {
		d.ServerLimits = append(d.ServerLimits, &peerpb.ServerLimit{Process: l.Process, Rate: l.Rate, ObservedAt: l.ObservedAt.UnixNano()})
	}
	return next
}

// Merge implements exchange.Sink. Changes are urgent: until an instance knows of a limit, it
// sends as many requests as before.
func (r Reports) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	limits := make([]pacing.Limit, 0, min(len(d.GetServerLimits()), maxDigestLimits))
	for _, w := range d.GetServerLimits() {
		if len(limits) < maxDigestLimits && len(w.GetProcess()) <= maxNameBytes && w.GetRate() >= 0 && w.GetRate() <= pacing.MaxRate {
			limits = append(limits, pacing.Limit{Process: w.GetProcess(), Rate: w.GetRate(), ObservedAt: time.Unix(0, w.GetObservedAt())})
		}
	}
	return r.Limits.Merge(limits, r.Now())
}
