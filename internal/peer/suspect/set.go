package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// avoidFirst is how long a server is avoided after it was found silent. Each
	// further time within again doubles it up to avoidMost.
	avoidFirst = 2 * time.Second
	avoidMost  = 8 * time.Second
	again      = 10 * time.Second
	// news is by how much a report must lengthen the time of the last one to be
	// passed on.
	news = 500 * time.Millisecond
	// batch bounds the reports in one digest, and maxRows those that are kept.
	batch   = 256
	maxRows = 4096
	// maxName bounds the names that a peer's digest may bring, in bytes.
	maxName = 256
)

// Report says that a lifetime of a server has sent nothing since a time, and
// until when to avoid it, both on this instance's boot clock.
type Report struct {
	Server       string
	Incarnation  int64
	Since, Until time.Time
}

// Config configures a Set. All fields are required.
type Config struct {
	FailureDomain string
	// Now reads the boot clock.
	Now func() time.Time
	// Apply takes each report that is new. It must not block.
	Apply func(Report)
	// Notify tells the peers at once.
	Notify func()
}

// Set holds the latest report on each server. It is a source and sink of the
// exchange, and its methods are safe for concurrent use.
type Set struct {
	config Config

	mu      sync.Mutex
	version uint64
	rows    map[string]*row
}

type row struct {
	Report
	times   int // in a row that this instance found the server silent
	changed uint64
}

// New returns an empty set.
func New(c Config) *Set { return &Set{config: c, rows: make(map[string]*row)} }

// Found records that this instance has heard nothing of a server since a time,
// and tells the peers. It reports whether that is new.
func (s *Set) Found(server string, incarnation int64, since time.Time) bool {
	now := s.config.Now()
	s.mu.Lock()
	times := 0
	if r, ok := s.rows[server]; ok && r.Incarnation == incarnation && now.Sub(r.Until) < again {
		if now.Before(r.Until) {
			s.mu.Unlock()
			return false
		}
		times = r.times + 1
	}
	r := Report{Server: server, Incarnation: incarnation, Since: since, Until: now.Add(min(avoidMost, avoidFirst<<min(times, 8)))}
	s.put(r, times)
	s.mu.Unlock()
	s.config.Apply(r)
	s.config.Notify()
	return true
}

// put stores a report. The caller holds mu.
func (s *Set) put(r Report, times int) {
	if len(s.rows) >= maxRows {
		s.expire()
	}
	if _, ok := s.rows[r.Server]; !ok && len(s.rows) >= maxRows {
		return
	}
	s.version++
	s.rows[r.Server] = &row{Report: r, times: times, changed: s.version}
}

// expire drops the reports that no longer matter. The caller holds mu.
func (s *Set) expire() {
	now := s.config.Now()
	for server, r := range s.rows {
		if now.Sub(r.Until) >= again {
			delete(s.rows, server)
		}
	}
}

// Digest implements exchange.Source.
func (s *Set) Digest(_ membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []*row
	for _, r := range s.rows {
		if r.changed > since && now.Before(r.Until) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *row) int { return cmp.Compare(a.changed, b.changed) })
	next = s.version
	if len(changed) > batch {
		changed = changed[:batch]
		next = changed[batch-1].changed
	}
	for _, r := range changed {
		d.Suspects = append(d.Suspects, &peerpb.Suspect{
			Backend: r.Server, Incarnation: r.Incarnation, Silence: now.Sub(r.Since).Milliseconds(), Left: r.Until.Sub(now).Milliseconds(),
		})
	}
	return next
}

// Merge implements exchange.Sink. The instance that found a server silent tells
// all its links at once; what comes from another failure domain is urgent, since
// only some of the instances here are among them.
func (s *Set) Merge(from membership.Member, d *peerpb.Digest) (urgent bool) {
	for i, w := range d.GetSuspects() {
		if i >= batch || len(w.GetBackend()) > maxName || w.GetLeft() <= 0 || w.GetSilence() < 0 {
			continue
		}
		now := s.config.Now()
		r := Report{
			Server: w.GetBackend(), Incarnation: w.GetIncarnation(),
			Since: now.Add(-milliseconds(w.GetSilence())),
			Until: now.Add(min(avoidMost, milliseconds(w.GetLeft()))),
		}
		if s.merge(r) {
			s.config.Apply(r)
			urgent = urgent || from.FailureDomain != s.config.FailureDomain
		}
	}
	return urgent
}

// milliseconds converts a number from the wire; an hour stands for more.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(n, time.Hour.Milliseconds())) * time.Millisecond
}

// merge stores a peer's report and reports whether it is new.
func (s *Set) merge(r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, ok := s.rows[r.Server]
	if ok && have.Incarnation == r.Incarnation && r.Until.Sub(have.Until) < news {
		return false
	}
	times := 0
	if ok && have.Incarnation == r.Incarnation {
		times = have.times
	}
	s.put(r, times)
	return true
}
