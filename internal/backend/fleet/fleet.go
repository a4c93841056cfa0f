package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// Instance is a backend server as the instance list has it.
type Instance struct {
	ID, Address, Entry, FailureDomain, Class string
	// Polled is true for a server that has a load report.
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

// Mark says that a backend server gets no new work until Deadline.
type Mark struct {
	Backend  string
	Deadline time.Time
}

// Poller fetches the load report of the server at an address. Its result
// names no backend server.
type Poller interface {
	Load(ctx context.Context, address string) (Report, error)
}

// Config configures a Fleet; zero values have defaults where noted.
type Config struct {
	Poller Poller
	// Share reports whether this node polls the backend server. Nil means
	// that it polls all.
	Share func(id string) bool
	// OnLeaving is called, without locks held, when this node learns by
	// itself that a server is leaving.
	OnLeaving func(Mark)
	// OnReport is called with each report of a server that this node polls.
	OnReport func(Report)
	// Nodes returns the number of nodes that choose among the same servers,
	// this one included; nil means one.
	Nodes func() int
	Now   func() time.Time
	// Interval is the time between polls, 500 ms by default.
	Interval time.Duration
	// PollTimeout bounds one poll, 300 ms by default.
	PollTimeout time.Duration
	// Parallel bounds the polls at one time, 16 by default.
	Parallel int
	// Keep is how long a leaving mark without a deadline is kept, 1 h by
	// default. It must be longer than the instance list lags.
	Keep time.Duration
	// Backoff is how long a server that failed is avoided, 1 s by default;
	// it doubles with each failure in a row, up to 30 times as long.
	Backoff time.Duration
}

// Fleet is the view of the backend servers. It is safe for concurrent use.
type Fleet struct {
	c       Config
	entries atomic.Pointer[map[string]*entry]
	servers atomic.Pointer[map[string]*server]

	mu     sync.Mutex // guards changes to everything below
	listed map[string]Instance
	marks  map[string]mark
	// cleared holds the ends of marks that a new process has made void, so
	// that a peer which does not know yet cannot bring them back.
	cleared map[string]time.Time
}

// maxWeight bounds what one request of this node stands for. More would make a
// server look full after a single request.
const maxWeight = 5

// weight returns the number of requests that one of this node stands for
// between two load reports. Nodes route alike, so that others send to the same
// server meanwhile; not all do, so that each counts half.
func (f *Fleet) weight() int { return min(maxWeight, (f.c.Nodes()+1)/2) }

// entry holds the published slice of one catalogue entry.
type entry struct {
	weight func() int
	view   atomic.Pointer[[]route.Backend]
	// stale is true if a server has changed since view was made, and expired
	// if time has passed that may change any server.
	stale, expired atomic.Bool
	copy           sync.Mutex
	// members are the servers that are not leaving, in the order of the slice.
	members []*server
}

// New returns an empty Fleet.
func New(c Config) *Fleet {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Nodes == nil {
		c.Nodes = func() int { return 1 }
	}
	if c.Share == nil {
		c.Share = func(string) bool { return true }
	}
	if c.Interval == 0 {
		c.Interval = 500 * time.Millisecond
	}
	if c.PollTimeout == 0 {
		c.PollTimeout = 300 * time.Millisecond
	}
	if c.Parallel == 0 {
		c.Parallel = 16
	}
	if c.Keep == 0 {
		c.Keep = time.Hour
	}
	if c.Backoff == 0 {
		c.Backoff = time.Second
	}
	f := &Fleet{c: c, listed: make(map[string]Instance), marks: make(map[string]mark), cleared: make(map[string]time.Time)}
	f.entries.Store(&map[string]*entry{})
	f.servers.Store(&map[string]*server{})
	return f
}

// View returns the backend servers of an entry that may get work. The slice
// must not be changed. Its load counts include this node's own requests.
func (f *Fleet) View(name string) []route.Backend {
	e, ok := (*f.entries.Load())[name]
	if !ok {
		return nil
	}
	if e.stale.Load() && e.copy.TryLock() {
		if e.stale.Swap(false) {
			e.refresh(f.c.Now())
		}
		e.copy.Unlock()
	}
	return *e.view.Load()
}

// refresh makes the slice anew for the servers that changed only, because
// each request changes one. The caller holds copy.
func (e *entry) refresh(now time.Time) {
	old := *e.view.Load()
	if e.expired.Swap(false) || len(old) != len(e.members) {
		e.publish(now)
		return
	}
	bs := slices.Clone(old)
	for i, s := range e.members {
		if !s.dirty.Load() || !s.dirty.Swap(false) {
			continue
		}
		if s.avoided(now) {
			e.publish(now)
			return
		}
		bs[i] = s.backend(now, e.weight())
	}
	e.view.Store(&bs)
}

// publish makes the slice anew. Servers that failed are left out, unless all
// have.
func (e *entry) publish(now time.Time) {
	bs := make([]route.Backend, 0, len(e.members))
	for _, s := range e.members {
		if !s.avoided(now) {
			bs = append(bs, s.backend(now, e.weight()))
		}
	}
	if len(bs) == 0 {
		for _, s := range e.members {
			bs = append(bs, s.backend(now, e.weight()))
		}
	}
	e.view.Store(&bs)
}

// Began counts a request of this node on a server. The channel is closed when
// the server is found to be leaving; it is nil for an unknown server.
func (f *Fleet) Began(id string) <-chan struct{} {
	s, ok := (*f.servers.Load())[id]
	if !ok {
		return nil
	}
	s.inFlight.Add(1)
	s.touch()
	return s.leaving
}

// Ended undoes the count of Began.
func (f *Fleet) Ended(id string) {
	if s, ok := (*f.servers.Load())[id]; ok {
		s.inFlight.Add(-1)
		s.touch()
	}
}

// Deadline returns when a leaving server is taken away, or the zero time if
// that is not known.
func (f *Fleet) Deadline(id string) time.Time {
	if s, ok := (*f.servers.Load())[id]; ok {
		if d := s.deadline.Load(); d != 0 {
			return time.Unix(0, d)
		}
	}
	return time.Time{}
}

// rebuild makes the maps and slices from what is known. The caller holds mu.
func (f *Fleet) rebuild() {
	now := f.c.Now()
	old := *f.servers.Load()
	servers := make(map[string]*server, len(f.listed))
	byEntry := make(map[string]*entry)
	for id, in := range f.listed {
		s, ok := old[id]
		if !ok || s.in().Address != in.Address || s.in().Entry != in.Entry {
			s = newServer(in, now)
		}
		s.instance.Store(&in) // the price may have changed
		servers[id] = s
	}
	for id, s := range servers {
		e, ok := byEntry[s.in().Entry]
		if !ok {
			e = &entry{weight: f.weight}
			byEntry[s.in().Entry] = e
		}
		s.entry.Store(e)
		if m := f.marks[id]; m.active(now, s.in().Address) {
			s.leave(m.deadline)
		} else {
			e.members = append(e.members, s)
		}
	}
	for _, e := range byEntry {
		sortServers(e.members)
		e.publish(now)
	}
	f.servers.Store(&servers)
	f.entries.Store(&byEntry)
}
