package pool

import (
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/coldstart"
)

const (
	// maxColdTime bounds the time for which a server can say that it is cold, so that an
	// invalid number does not limit it permanently.
	maxColdTime = 10 * time.Minute
	// maxEntryDelay is how old a server's entry may be when it is applied. An entry that
	// says that the server is warm does not contradict a response of that time.
	maxEntryDelay = 2500 * time.Millisecond
)

// ColdStart is what the use of cold servers depends on. It is not modified after it is
// passed to SetColdStart.
type ColdStart struct {
	// Limits are the limits of the services that have one, by name.
	Limits map[string]coldstart.Limit
	// Self is the ID of this instance.
	Self    string
	Rosters *coldstart.Rosters
	// Confirmed returns when Rosters was last known to be complete.
	Confirmed func() time.Time
	// IsLive reports whether an instance is live.
	IsLive func(id string) bool
}

// SetColdStart replaces what the use of cold servers depends on. Without it there are no
// limits.
func (p *Pool) SetColdStart(c *ColdStart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared.cold.Store(c)
	for _, w := range p.workers {
		w.setColdLimit()
	}
}

// setColdLimit copies the limit of the server's service.
func (w *Worker) setColdLimit() {
	var l coldstart.Limit
	if c := w.shared.cold.Load(); c != nil {
		l = c.Limits[w.Service]
	}
	w.coldLimit.Store(&l)
}

// ColdServers returns the number of cold servers of the services with a limit.
func (p *Pool) ColdServers(now time.Time) (servers int) {
	for _, ws := range p.Services() {
		for _, w := range ws {
			if w.Cold(now) {
				servers++
			}
		}
	}
	return servers
}

// ColdSends returns the number of requests that this instance has sent to cold servers.
func (p *Pool) ColdSends() int64 { return p.shared.coldSends.Load() }

// coldState holds what a server process reported about its cold time. Times are on the clock of package boottime, in nanoseconds.
type coldState struct {
	// entryUntil is the end of the cold time according to the entry at entryRevision.
	// Only Put writes these.
	entryUntil    atomic.Int64
	entryRevision int64
	// responseUntil is the end according to the responses, the last of which with a cold
	// time arrived at respondedAt.
	responseUntil, respondedAt atomic.Int64
	owners                     atomic.Pointer[knownOwners]
}

// knownOwners are the owners of a server by rosters.
type knownOwners struct {
	rosters *coldstart.Rosters
	owners  coldstart.Owners
}

// applyEntry records the cold time of an entry that was applied at now. An entry that
// was applied before has no effect. turnedCold reports whether the server was not known
// to be cold and is now.
func (c *coldState) applyEntry(s *Registration, now time.Time) (turnedCold bool) {
	if s.Revision != 0 && s.Revision <= c.entryRevision {
		return false
	}
	c.entryRevision = s.Revision
	if s.ColdLeft > 0 {
		turnedCold = now.UnixNano() >= c.until()
		c.entryUntil.Store(now.Add(min(s.ColdLeft, maxColdTime)).UnixNano())
		return turnedCold
	}
	// The end stays known, because the ramp begins with it.
	c.entryUntil.Store(min(c.entryUntil.Load(), now.UnixNano()))
	if now.UnixNano()-c.respondedAt.Load() > int64(maxEntryDelay) {
		c.responseUntil.Store(min(c.responseUntil.Load(), now.UnixNano()))
	}
	return false
}

// until returns when the cold time ends or has ended, or 0.
func (c *coldState) until() int64 { return max(c.entryUntil.Load(), c.responseUntil.Load()) }

// SetColdLeft records that a response which arrived at now says for how long the server
// stays cold. A shorter time than that known has no effect, since responses may arrive
// out of order. turnedCold reports whether the server was not known to be cold before.
func (w *Worker) SetColdLeft(left time.Duration, now time.Time) (turnedCold bool) {
	if left <= 0 {
		return false
	}
	c := &w.state.cold
	turnedCold = now.UnixNano() >= c.until()
	storeMax(&c.respondedAt, now.UnixNano())
	storeMax(&c.responseUntil, now.Add(min(left, maxColdTime)).UnixNano())
	return turnedCold
}

// storeMax sets v to n if n is greater.
func storeMax(v *atomic.Int64, n int64) {
	for {
		current := v.Load()
		if n <= current || v.CompareAndSwap(current, n) {
			return
		}
	}
}

// coldUntil returns when the server's cold time ends or has ended, or the zero time. A
// server whose failure domain is returned to service counts as cold from then on, because
// its entry does not yet say whether taking traffic again made it cold.
func (w *Worker) coldUntil(l coldstart.Limit) time.Time {
	var until time.Time
	if n := w.state.cold.until(); n != 0 {
		until = time.Unix(0, n)
	}
	if at := w.shared.domains.Load().ReturnedAt(w.FailureDomain); !at.IsZero() && at.Add(l.ColdTime).After(until) {
		until = at.Add(l.ColdTime)
	}
	return until
}

// isCold reports whether the server is cold and limited by l at now.
func (w *Worker) isCold(l coldstart.Limit, now time.Time) bool {
	return l.Rate > 0 && now.Before(w.coldUntil(l))
}

// Cold reports whether the requests to the server are limited because it is cold.
func (w *Worker) Cold(now time.Time) bool { return w.isCold(*w.coldLimit.Load(), now) }

// coldQuery asks whether this instance may send to the server while it is cold.
func (w *Worker) coldQuery(l coldstart.Limit) coldstart.Query {
	c := w.shared.cold.Load()
	state := &w.state.cold
	known := state.owners.Load()
	if known == nil || known.rosters != c.Rosters {
		known = &knownOwners{c.Rosters, c.Rosters.Owners(coldstart.Server{ID: w.ID, FailureDomain: w.FailureDomain})}
		state.owners.Store(known)
	}
	q := coldstart.Query{Limit: l, Self: c.Self, Owners: known.owners, Confirmed: c.Confirmed(), LastSend: time.Unix(0, w.state.lastSend.Load())}
	q.SecondMaySend = c.Self == q.Owners.Second && !c.IsLive(q.Owners.First)
	return q
}

// admitsCold reports whether the server's cold time permits a request at now.
func (w *Worker) admitsCold(now time.Time) bool {
	l := *w.coldLimit.Load()
	return !w.isCold(l, now) || w.coldQuery(l).MaySend(now)
}

// coldRetryAt returns the time before which the server's cold time permits no request of
// this instance, or the zero time.
func (w *Worker) coldRetryAt(now time.Time) time.Time {
	l := *w.coldLimit.Load()
	if !w.isCold(l, now) {
		return time.Time{}
	}
	if at, ok := w.coldQuery(l).NextSend(now); ok {
		return at
	}
	return w.coldUntil(l)
}

// Ramps reports whether a request should go to another server, because this one was cold
// until lately. random returns a random number; it is called only for such a server.
func (w *Worker) Ramps(now time.Time, random func() uint64) bool {
	l := *w.coldLimit.Load()
	if l.Rate <= 0 {
		return false
	}
	until := w.coldUntil(l)
	share := l.Ramp(until, now)
	if share >= 1 || now.Before(until) {
		return false
	}
	const resolution = 1 << 20
	return float64(random()%resolution) >= share*resolution
}
