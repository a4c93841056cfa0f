package instance

import (
	"math"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// reportTTL is how long a load report is valid, and reportRepeatInterval the
	// time after which a report is sent even if the load has hardly changed.
	reportTTL            = 10 * time.Second
	reportRepeatInterval = 4 * time.Second
	// loadChangeThreshold is a fraction of a server's capacity. A load report is
	// sent immediately if the load has changed by more than this fraction.
	loadChangeThreshold = 0.1
	// crossDomainServerLimit is the number of backend servers up to which load
	// reports are sent to other failure domains. With more servers the reports
	// would exceed the budget of 22 KB/s for control traffic.
	crossDomainServerLimit = 200
	// maxVersions limits the number of versions in a load report from a peer.
	maxVersions = 64
	// maxNameBytes limits the length of the names in a digest from a peer.
	maxNameBytes = 256
)

// leavingMark marks a backend server that must get no new work.
type leavingMark struct {
	backend string
	// expiresAt is when the mark expires, not when the server stops.
	expiresAt time.Time
	// reclaimAt is the deadline of the reclaim notice, or zero if there is none.
	reclaimAt time.Time
}

// newLeavingMarks returns the set of leaving marks, which is replicated to all
// peers. Of two marks for one server, the later times are kept.
func newLeavingMarks(changed func(leavingMark), now func() time.Time) *exchange.Set[string, leavingMark] {
	return exchange.NewSet(exchange.SetConfig[string, leavingMark]{
		Key: func(l leavingMark) string { return l.backend },
		Join: func(have, offered leavingMark) (leavingMark, bool) {
			joined := have
			if offered.expiresAt.After(have.expiresAt) {
				joined.expiresAt = offered.expiresAt
			}
			if offered.reclaimAt.After(have.reclaimAt) {
				joined.reclaimAt = offered.reclaimAt
			}
			return joined, joined != have
		},
		Deadline: func(l leavingMark) time.Time { return l.expiresAt },
		Add: func(d *peerpb.Digest, l leavingMark) {
			wire := &peerpb.Leaving{Backend: l.backend, Deadline: l.expiresAt.UnixNano()}
			if !l.reclaimAt.IsZero() {
				wire.Reclaim = l.reclaimAt.UnixNano()
			}
			d.Leaving = append(d.Leaving, wire)
		},
		Extract: func(d *peerpb.Digest) (ls []leavingMark) {
			for _, w := range d.GetLeaving() {
				l := leavingMark{backend: w.GetBackend(), expiresAt: time.Unix(0, w.GetDeadline())}
				if w.GetReclaim() != 0 {
					l.reclaimAt = time.Unix(0, w.GetReclaim())
				}
				if validNames(l.backend) {
					ls = append(ls, l)
				}
			}
			return ls
		},
		Urgent:   true,
		OnChange: changed,
		Now:      now,
	})
}

// newLoadReports returns the set of load reports. The function relay reports
// whether a load report is sent to a peer; nil sends every report to every peer.
// The latest report of each server is kept.
func newLoadReports(relay func(membership.Member, fleet.Report) bool, changed func(fleet.Report), now func() time.Time) *exchange.Set[string, fleet.Report] {
	return exchange.NewSet(exchange.SetConfig[string, fleet.Report]{
		Key: func(r fleet.Report) string { return r.Backend },
		Join: func(have, offered fleet.Report) (fleet.Report, bool) {
			if offered.At.After(have.At) {
				return offered, true
			}
			return have, false
		},
		Deadline: func(r fleet.Report) time.Time { return r.At.Add(reportTTL) },
		Add: func(d *peerpb.Digest, r fleet.Report) {
			d.Loads = append(d.Loads, &peerpb.Load{
				Backend: r.Backend, Incarnation: r.Incarnation, Running: uint32(r.Running), Queued: uint32(r.Queued),
				Capacity: uint32(r.Capacity), Versions: r.Versions, At: r.At.UnixNano(), Leaving: r.Leaving,
			})
		},
		Extract: func(d *peerpb.Digest) (rs []fleet.Report) {
			for _, l := range d.GetLoads() {
				if !validNames(l.GetBackend(), l.GetIncarnation()) || len(l.GetVersions()) > maxVersions || !validNames(l.GetVersions()...) {
					continue
				}
				rs = append(rs, fleet.Report{
					Backend: l.GetBackend(), Incarnation: l.GetIncarnation(), Running: int(l.GetRunning()), Queued: int(l.GetQueued()),
					Capacity: int(l.GetCapacity()), Versions: l.GetVersions(), At: time.Unix(0, l.GetAt()), Leaving: l.GetLeaving(),
				})
			}
			return rs
		},
		Relay:    relay,
		OnChange: changed,
		Now:      now,
	})
}

// sameLoad reports whether two load reports of a server are equivalent for
// routing.
func sameLoad(a, b fleet.Report) bool {
	change := math.Abs(float64(a.Running + a.Queued - b.Running - b.Queued))
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Capacity == b.Capacity &&
		slices.Equal(a.Versions, b.Versions) && change <= loadChangeThreshold*float64(a.Capacity)
}

// validNames reports whether none of the names from a peer exceeds maxNameBytes.
func validNames(names ...string) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return len(n) > maxNameBytes })
}
