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
	// reportKept is how long a load report counts, and reportRepeat after what
	// time it is sent again though the load hardly changed.
	reportKept   = 10 * time.Second
	reportRepeat = 4 * time.Second
	// loadChange is the part of a server's capacity by which its load must
	// change to be sent at once.
	loadChange = 0.1
	// relayLimit is the number of backend servers up to which load reports
	// travel to other failure domains; above it they would exceed the budget of
	// 22 KB/s for control.
	relayLimit = 200
	// maxVersions bounds the versions in a load report.
	maxVersions = 64
	// maxName bounds the names that a peer's digest may bring, in bytes.
	maxName = 256
)

// leaving is the mark of a backend server that gets no new work.
type leaving struct {
	backend string
	until   time.Time
	// reclaim is the deadline of the reclaim notice, or zero.
	reclaim time.Time
}

func newLeavings(changed func(leaving), now func() time.Time) *exchange.Set[string, leaving] {
	return exchange.NewSet(exchange.SetConfig[string, leaving]{
		Key: func(l leaving) string { return l.backend },
		Join: func(have, offered leaving) (leaving, bool) {
			joined := have
			if offered.until.After(have.until) {
				joined.until = offered.until
			}
			if offered.reclaim.After(have.reclaim) {
				joined.reclaim = offered.reclaim
			}
			return joined, joined != have
		},
		Deadline: func(l leaving) time.Time { return l.until },
		Add: func(d *peerpb.Digest, l leaving) {
			wire := &peerpb.Leaving{Backend: l.backend, Deadline: l.until.UnixNano()}
			if !l.reclaim.IsZero() {
				wire.Reclaim = l.reclaim.UnixNano()
			}
			d.Leaving = append(d.Leaving, wire)
		},
		Take: func(d *peerpb.Digest) (ls []leaving) {
			for _, w := range d.GetLeaving() {
				l := leaving{backend: w.GetBackend(), until: time.Unix(0, w.GetDeadline())}
				if w.GetReclaim() != 0 {
					l.reclaim = time.Unix(0, w.GetReclaim())
				}
				if named(l.backend) {
					ls = append(ls, l)
				}
			}
			return ls
		},
		Urgent:  true,
		Changed: changed,
		Now:     now,
	})
}

// newReports spreads load reports.
func newReports(relay func(membership.Member, fleet.Report) bool, changed func(fleet.Report), now func() time.Time) *exchange.Set[string, fleet.Report] {
	return exchange.NewSet(exchange.SetConfig[string, fleet.Report]{
		Key: func(r fleet.Report) string { return r.Backend },
		Join: func(have, offered fleet.Report) (fleet.Report, bool) {
			if offered.At.After(have.At) {
				return offered, true
			}
			return have, false
		},
		Deadline: func(r fleet.Report) time.Time { return r.At.Add(reportKept) },
		Add: func(d *peerpb.Digest, r fleet.Report) {
			d.Loads = append(d.Loads, &peerpb.Load{
				Backend: r.Backend, Incarnation: r.Incarnation, Running: uint32(r.Running), Queued: uint32(r.Queued),
				Capacity: uint32(r.Capacity), Versions: r.Versions, At: r.At.UnixNano(), Leaving: r.Leaving,
			})
		},
		Take: func(d *peerpb.Digest) (rs []fleet.Report) {
			for _, l := range d.GetLoads() {
				if !named(l.GetBackend(), l.GetIncarnation()) || len(l.GetVersions()) > maxVersions || !named(l.GetVersions()...) {
					continue
				}
				rs = append(rs, fleet.Report{
					Backend: l.GetBackend(), Incarnation: l.GetIncarnation(), Running: int(l.GetRunning()), Queued: int(l.GetQueued()),
					Capacity: int(l.GetCapacity()), Versions: l.GetVersions(), At: time.Unix(0, l.GetAt()), Leaving: l.GetLeaving(),
				})
			}
			return rs
		},
		Relay:   relay,
		Changed: changed,
		Now:     now,
	})
}

// sameLoad reports whether two reports of a server lead to the same choices.
func sameLoad(a, b fleet.Report) bool {
	change := math.Abs(float64(a.Running + a.Queued - b.Running - b.Queued))
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Capacity == b.Capacity &&
		slices.Equal(a.Versions, b.Versions) && change <= loadChange*float64(a.Capacity)
}

// named reports whether names that a peer sent are of a usual length.
func named(names ...string) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return len(n) > maxName })
}
