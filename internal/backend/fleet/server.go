package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// server is the state of one backend server as this instance knows it.
type server struct {
	listing   atomic.Pointer[ListedServer] // its address and entry never change
	joined    time.Time
	inFlight  *atomic.Int64 // shared by the incarnations of the server
	entry     atomic.Pointer[entry]
	changed   atomic.Bool // since the entry's view was made
	leaving   chan struct{}
	leaveOnce sync.Once
	deadline  atomic.Int64 // nanoseconds since the Unix epoch, or 0

	mu     sync.Mutex
	report Report
	// inFlightAtReport is the value of inFlight when report arrived.
	inFlightAtReport int64
	failures         int
	missedPolls      int // consecutive polls without a report
	avoidUntil       time.Time
	failedAt         time.Time
	// fullUntil is the time until which the server counts as full, because it
	// rejected an attempt after its last report.
	fullUntil time.Time
	// rejectedVersions lists versions that the server rejected since its last report.
	rejectedVersions []string
}

// leavingMark records that a server is leaving.
type leavingMark struct {
	// incarnation identifies the process that is leaving. A different
	// incarnation means a new process, which may get work.
	incarnation string
	// address is that of the server when it was marked. A different address
	// means a different process.
	address string
	// expires is when the mark is dropped. deadline is when the server is
	// reclaimed; it is zero if unknown.
	expires, deadline time.Time
}

func (m leavingMark) active(now time.Time, address string) bool {
	return now.Before(m.expires) && (m.address == "" || m.address == address)
}

func newServer(listing ListedServer, now time.Time) *server {
	s := &server{joined: now, inFlight: new(atomic.Int64), leaving: make(chan struct{})}
	s.listing.Store(&listing)
	return s
}

func (s *server) loadListing() *ListedServer { return s.listing.Load() }

func sortServers(ss []*server) {
	slices.SortFunc(ss, func(a, b *server) int { return cmp.Compare(a.loadListing().ID, b.loadListing().ID) })
}

func (s *server) markChanged() {
	s.changed.Store(true)
	if e := s.entry.Load(); e != nil {
		e.stale.Store(true)
	}
}

// signalLeaving notifies the running attempts that the server is leaving. A later
// call can only make the deadline earlier.
func (s *server) signalLeaving(deadline time.Time) {
	if !deadline.IsZero() {
		if current := s.deadline.Load(); current == 0 || deadline.UnixNano() < current {
			s.deadline.Store(deadline.UnixNano())
		}
	}
	s.leaveOnce.Do(func() { close(s.leaving) })
}

// backend returns the server as the routing policies see it. The report lags, so
// the change in this instance's requests in flight since the report is added to
// the reported running count, multiplied by weight to account for other
// instances. The sum is never below this instance's own requests in flight.
func (s *server) backend(now time.Time, weight int) route.Backend {
	own := s.inFlight.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := s.report.Queued
	if now.Before(s.fullUntil) {
		queued = max(queued, s.report.Capacity, 1)
	}
	reported := s.report.At
	if !s.loadListing().Polled {
		reported = now // there is no report, only this instance's own requests
	}
	return route.Backend{
		ID: s.loadListing().ID, Address: s.loadListing().Address, FailureDomain: s.loadListing().FailureDomain,
		Class: s.loadListing().Class, Price: s.loadListing().Price, Versions: s.versions(),
		Running: max(s.report.Running+weight*int(own-s.inFlightAtReport), int(own)), Queued: queued, Capacity: s.report.Capacity,
		Reported: reported, Joined: s.joined, Incarnation: s.report.Incarnation,
	}
}

// versions returns the reported versions without the rejected ones.
func (s *server) versions() []string {
	if len(s.rejectedVersions) == 0 {
		return s.report.Versions
	}
	vs := make([]string, 0, len(s.report.Versions)+1)
	for _, v := range s.report.Versions {
		if !slices.Contains(s.rejectedVersions, v) {
			vs = append(vs, v)
		}
	}
	if len(vs) == 0 {
		return []string{""} // an empty list would mean any version
	}
	return vs
}

// setReport stores a report unless a newer one of the same process is stored.
func (s *server) setReport(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Incarnation == s.report.Incarnation && r.At.Before(s.report.At) {
		return
	}
	r.Running, r.Queued, r.Capacity = max(r.Running, 0), max(r.Queued, 0), max(r.Capacity, 0)
	s.report = r
	s.inFlightAtReport = s.inFlight.Load()
	s.rejectedVersions, s.fullUntil = nil, time.Time{}
	s.missedPolls = 0
	if r.At.After(s.failedAt) {
		s.failures, s.avoidUntil = 0, time.Time{}
	}
}

// recordFailure avoids the server for a time that doubles with each consecutive
// failure.
func (s *server) recordFailure(now time.Time, backoff time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.failedAt = now
	s.avoidUntil = now.Add(min(backoff<<min(s.failures-1, 5), 30*backoff))
}

func (s *server) avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil)
}

// recordMissedPoll counts a poll without a report. Two consecutive ones are a
// failure.
func (s *server) recordMissedPoll(now time.Time, backoff time.Duration) {
	s.mu.Lock()
	s.missedPolls++
	failed := s.missedPolls >= 2
	s.mu.Unlock()
	if failed {
		s.recordFailure(now, backoff)
	}
}

// setFullUntil makes the server look full until the given time or its next report,
// whichever is earlier.
func (s *server) setFullUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullUntil = until
}
