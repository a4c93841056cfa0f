package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// ListedServer is a backend server as the instance list describes it.
type ListedServer struct {
	ID, Address, Entry, FailureDomain, Class string
	// Polled is true for a server that offers a load report.
	Polled  bool
	Leaving bool
	// Price is per hour.
	Price float64
}

// Report is a backend server's load report.
type Report struct {
	Backend, Incarnation      string
	Running, Queued, Capacity int
	Versions                  []string
	At                        time.Time
	Leaving                   bool
}

// LeavingMark is the leaving mark of a backend server, which gets no new work while the
// mark is active.
type LeavingMark struct {
	Backend string
	// Expires is when the mark expires, not when the server is reclaimed.
	Expires time.Time
}

// Poller fetches the load report of the backend server at an address. Load leaves
// Report.Backend empty.
type Poller interface {
	Load(ctx context.Context, address string) (Report, error)
}

// Config configures a Fleet. Zero values select the defaults where noted.
type Config struct {
	Poller Poller
	// ShouldPoll reports whether this instance polls the backend server. Nil means
	// that it polls all.
	ShouldPoll func(id string) bool
	// OnLeaving is called, without locks held, when a reclaim notice, a
	// rejection or a load report shows that a server is leaving. It is not
	// called for marks of peers or for the instance list.
	OnLeaving func(LeavingMark)
	// OnReport is called with each report of a server that this instance polls.
	OnReport func(Report)
	// Instances returns the number of instances that choose among the same
	// servers, this one included. Nil means one.
	Instances func() int
	Now       func() time.Time
	// Interval is the time between polls, 500 ms by default.
	Interval time.Duration
	// PollTimeout is the timeout of a poll, 300 ms by default.
	PollTimeout time.Duration
	// MaxConcurrentPolls is the maximum number of concurrent polls, 16 by
	// default.
	MaxConcurrentPolls int
	// MarkTTL is how long a leaving mark is kept, 1 h by default. It must be
	// longer than the lag of the instance list.
	MarkTTL time.Duration
	// Backoff is how long a server is avoided after a failure, 1 s by default.
	// It doubles with each consecutive failure, up to 30 times Backoff. A server
	// that rejects an attempt because it is overloaded counts as full for one
	// Backoff, or until its next report.
	Backoff time.Duration
}

// Fleet tracks the state of the backend servers from the sources that the package
// comment lists. It is safe for concurrent use.
type Fleet struct {
	config  Config
	entries atomic.Pointer[map[string]*entry]
	servers atomic.Pointer[map[string]*server]

	mu     sync.Mutex // guards the fields below and changes to the maps above
	listed map[string]ListedServer
	marks  map[string]leavingMark
	// clearedMarks maps servers to the expiry of a mark that was cleared because
	// the process was replaced or the server has left, so that a peer that still
	// has the mark cannot restore it.
	clearedMarks map[string]time.Time
}

// maxRequestWeight bounds requestWeight. A higher weight would make a server look
// full after a single request.
const maxRequestWeight = 5

// requestWeight estimates how many requests a server gets between two load
// reports, from all instances together, for each one from this instance. Instances
// route alike, so others send to the same server in the meantime; each counts
// half, because not all of them do.
func (f *Fleet) requestWeight() int { return min(maxRequestWeight, (f.config.Instances()+1)/2) }

// entry holds the view of the servers of one catalogue entry.
type entry struct {
	requestWeight func() int
	view          atomic.Pointer[[]route.Backend]
	// stale is true if a server has changed since view was made. allStale is
	// true if all servers must be recomputed, because state that depends on the
	// time (avoidUntil, fullUntil) may have changed.
	stale, allStale atomic.Bool
	refreshMu       sync.Mutex
	// members are the servers that are not leaving, sorted by ID like view.
	members []*server
}

// New returns an empty Fleet.
func New(c Config) *Fleet {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Instances == nil {
		c.Instances = func() int { return 1 }
	}
	if c.ShouldPoll == nil {
		c.ShouldPoll = func(string) bool { return true }
	}
	if c.Interval == 0 {
		c.Interval = 500 * time.Millisecond
	}
	if c.PollTimeout == 0 {
		c.PollTimeout = 300 * time.Millisecond
	}
	if c.MaxConcurrentPolls == 0 {
		c.MaxConcurrentPolls = 16
	}
	if c.MarkTTL == 0 {
		c.MarkTTL = time.Hour
	}
	if c.Backoff == 0 {
		c.Backoff = time.Second
	}
	f := &Fleet{config: c, listed: make(map[string]ListedServer), marks: make(map[string]leavingMark), clearedMarks: make(map[string]time.Time)}
	f.entries.Store(&map[string]*entry{})
	f.servers.Store(&map[string]*server{})
	return f
}

// View returns the backend servers of a catalogue entry that may get new work.
// The caller must not modify the slice. Its load counts include this instance's
// own requests.
func (f *Fleet) View(name string) []route.Backend {
	e, ok := (*f.entries.Load())[name]
	if !ok {
		return nil
	}
	if e.stale.Load() && e.refreshMu.TryLock() {
		if e.stale.Swap(false) {
			e.refreshChanged(f.config.Now())
		}
		e.refreshMu.Unlock()
	}
	return *e.view.Load()
}

// refreshChanged updates view for the servers that have changed, and only for
// these, because each request changes one. The caller holds refreshMu.
func (e *entry) refreshChanged(now time.Time) {
	old := *e.view.Load()
	if e.allStale.Swap(false) || len(old) != len(e.members) {
		e.refreshAll(now)
		return
	}
	bs := slices.Clone(old)
	for i, s := range e.members {
		if !s.changed.Load() || !s.changed.Swap(false) {
			continue
		}
		if s.avoided(now) {
			e.refreshAll(now)
			return
		}
		bs[i] = s.backend(now, e.requestWeight())
	}
	e.view.Store(&bs)
}

// refreshAll updates view for all servers. Servers that are avoided after
// failures are left out, unless all servers of the entry are avoided.
func (e *entry) refreshAll(now time.Time) {
	bs := make([]route.Backend, 0, len(e.members))
	for _, s := range e.members {
		if !s.avoided(now) {
			bs = append(bs, s.backend(now, e.requestWeight()))
		}
	}
	if len(bs) == 0 {
		for _, s := range e.members {
			bs = append(bs, s.backend(now, e.requestWeight()))
		}
	}
	e.view.Store(&bs)
}

// AttemptStarted counts a request that this instance sends to a server. The returned
// channel is closed once the server is known to be leaving; it is nil for an
// unknown server.
func (f *Fleet) AttemptStarted(id string) <-chan struct{} {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return nil
	}
	s.inFlight.Add(1)
	s.markChanged()
	return s.leaving
}

// AttemptEnded removes a request that AttemptStarted counted.
func (f *Fleet) AttemptEnded(id string) {
	if s, ok := (*f.servers.Load())[id]; ok {
		s.inFlight.Add(-1)
		s.markChanged()
	}
}

// Deadline returns when a leaving server is reclaimed, or the zero time if that is
// not known.
func (f *Fleet) Deadline(id string) time.Time {
	if s, ok := (*f.servers.Load())[id]; ok {
		if d := s.deadline.Load(); d != 0 {
			return time.Unix(0, d)
		}
	}
	return time.Time{}
}

// rebuild recomputes the maps of servers and entries and their views from listed
// and marks. The caller holds mu.
func (f *Fleet) rebuild() {
	now := f.config.Now()
	old := *f.servers.Load()
	servers := make(map[string]*server, len(f.listed))
	byEntry := make(map[string]*entry)
	for id, listing := range f.listed {
		s, ok := old[id]
		if !ok || s.loadListing().Address != listing.Address || s.loadListing().Entry != listing.Entry {
			s = newServer(listing, now)
		}
		s.listing.Store(&listing) // the price may have changed
		servers[id] = s
	}
	for id, s := range servers {
		e, ok := byEntry[s.loadListing().Entry]
		if !ok {
			e = &entry{requestWeight: f.requestWeight}
			byEntry[s.loadListing().Entry] = e
		}
		s.entry.Store(e)
		if m := f.marks[id]; m.active(now, s.loadListing().Address) {
			s.signalLeaving(m.deadline)
		} else {
			e.members = append(e.members, s)
		}
	}
	for _, e := range byEntry {
		sortServers(e.members)
		e.refreshAll(now)
	}
	f.servers.Store(&servers)
	f.entries.Store(&byEntry)
}
