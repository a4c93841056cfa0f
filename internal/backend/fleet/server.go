package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// server is what the node knows about one backend server.
type server struct {
	instance atomic.Pointer[Instance] // its address and entry never change
	joined   time.Time
	inFlight *atomic.Int64 // shared by the incarnations of the server
	entry    atomic.Pointer[entry]
	dirty    atomic.Bool // changed since the entry's slice was made
	leaving  chan struct{}
	left     sync.Once
	deadline atomic.Int64 // nanoseconds since the Unix epoch, or 0

	mu     sync.Mutex
	report Report
	// counted is inFlight when the report arrived.
	counted    int64
	failures   int
	missed     int // polls in a row without a report
	avoidUntil time.Time
	failedAt   time.Time
	// fullUntil is set while a rejection is newer than the reported load.
	fullUntil time.Time
	// without lists versions that the server rejected since its last report.
	without []string
}

// mark records that a server is leaving.
type mark struct {
	// incarnation is the one that is leaving; a different one is a new
	// process, which may get work.
	incarnation string
	// address is the server's when it was marked; another one is another
	// process.
	address string
	// until is when the mark is dropped, deadline when the server goes.
	until, deadline time.Time
}

func (m mark) active(now time.Time, address string) bool {
	return now.Before(m.until) && (m.address == "" || m.address == address)
}

func newServer(in Instance, now time.Time) *server {
	s := &server{joined: now, inFlight: new(atomic.Int64), leaving: make(chan struct{})}
	s.instance.Store(&in)
	return s
}

func (s *server) in() *Instance { return s.instance.Load() }

func sortServers(ss []*server) {
	slices.SortFunc(ss, func(a, b *server) int { return cmp.Compare(a.in().ID, b.in().ID) })
}

func (s *server) touch() {
	s.dirty.Store(true)
	if e := s.entry.Load(); e != nil {
		e.stale.Store(true)
	}
}

// leave tells the running attempts. A later call can only bring the deadline
// forward.
func (s *server) leave(deadline time.Time) {
	if !deadline.IsZero() {
		if have := s.deadline.Load(); have == 0 || deadline.UnixNano() < have {
			s.deadline.Store(deadline.UnixNano())
		}
	}
	s.left.Do(func() { close(s.leaving) })
}

// backend returns the server as the routing policies see it. The report lags,
// so the node's own requests since the report are added to it, times others for
// those of other nodes, and the sum is never below the node's own requests in
// flight.
func (s *server) backend(now time.Time, others int) route.Backend {
	own := s.inFlight.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := s.report.Queued
	if now.Before(s.fullUntil) {
		queued = max(queued, s.report.Capacity, 1)
	}
	reported := s.report.At
	if !s.in().Polled {
		reported = now // the node's own requests are all that is known
	}
	return route.Backend{
		ID: s.in().ID, Address: s.in().Address, FailureDomain: s.in().FailureDomain,
		Class: s.in().Class, Price: s.in().Price, Versions: s.versions(),
		Running: max(s.report.Running+others*int(own-s.counted), int(own)), Queued: queued, Capacity: s.report.Capacity,
		Reported: reported, Joined: s.joined, Incarnation: s.report.Incarnation,
	}
}

// versions returns the reported versions without the rejected ones.
func (s *server) versions() []string {
	if len(s.without) == 0 {
		return s.report.Versions
	}
	vs := make([]string, 0, len(s.report.Versions)+1)
	for _, v := range s.report.Versions {
		if !slices.Contains(s.without, v) {
			vs = append(vs, v)
		}
	}
	if len(vs) == 0 {
		return []string{""} // an empty list would mean any version
	}
	return vs
}

// take stores a report unless a newer one of the same process is known.
func (s *server) take(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Incarnation == s.report.Incarnation && r.At.Before(s.report.At) {
		return
	}
	r.Running, r.Queued, r.Capacity = max(r.Running, 0), max(r.Queued, 0), max(r.Capacity, 0)
	s.report = r
	s.counted = s.inFlight.Load()
	s.without, s.fullUntil = nil, time.Time{}
	s.missed = 0
	if r.At.After(s.failedAt) {
		s.failures, s.avoidUntil = 0, time.Time{}
	}
}

// fail avoids the server for a time that doubles with each failure in a row.
func (s *server) fail(now time.Time, backoff time.Duration) {
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

// miss counts a poll without a report; two in a row are a failure.
func (s *server) miss(now time.Time, backoff time.Duration) {
	s.mu.Lock()
	s.missed++
	failed := s.missed >= 2
	s.mu.Unlock()
	if failed {
		s.fail(now, backoff)
	}
}

// full makes the server look full until its next report, at most for the time
// of one backoff.
func (s *server) full(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullUntil = until
}
