package pool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Pool is the set of known backend servers. Its methods are safe for concurrent
// use; readers load an immutable view.
type Pool struct {
	mu      sync.Mutex
	workers map[string]*Worker
	states  processStates
	// removeAt maps the ID of each server whose registration disappeared during
	// or shortly after a store outage to the time of its removal. A new
	// registration cancels the removal.
	removeAt map[string]time.Time
	// batching is set while Batch runs, and changed if the view must be published
	// at its end.
	batching, changed bool
	view              atomic.Pointer[map[string][]*Worker]
	shared            sharedState
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{workers: make(map[string]*Worker), removeAt: make(map[string]time.Time)}
	p.states.states = make(map[processKey]*processState)
	p.publish()
	return p
}

// Service returns the servers of a service, leaving ones included, sorted by ID.
// The caller must not modify the result.
func (p *Pool) Service(name string) []*Worker { return (*p.view.Load())[name] }

// Find returns the server whose Process has a name, or nil if there is none.
func (p *Pool) Find(process string) *Worker {
	for _, servers := range p.Services() {
		for _, w := range servers {
			if w.processID == process {
				return w
			}
		}
	}
	return nil
}

// BusySince returns the time since which some server has had requests of this instance, and
// false if none has any.
func (p *Pool) BusySince() (since time.Time, isBusy bool) {
	var busy int64
	for _, servers := range p.Services() {
		for _, w := range servers {
			if at := w.busySince.Load(); w.running.Load() > 0 && (busy == 0 || at < busy) {
				busy = at
			}
		}
	}
	return time.Unix(0, busy), busy > 0
}

// LastReceived returns when something last arrived from any server.
func (p *Pool) LastReceived() time.Time {
	var received int64
	for _, servers := range p.Services() {
		for _, w := range servers {
			received = max(received, w.lastReceived.Load())
		}
	}
	return time.Unix(0, received)
}

// ForgetFailures lets no server be avoided because of earlier failures.
func (p *Pool) ForgetFailures() {
	for _, servers := range p.Services() {
		for _, w := range servers {
			w.failures.Store(0)
			w.avoidUntil.Store(0)
		}
	}
}

// Services returns all servers by service. The caller must not modify the result.
func (p *Pool) Services() map[string][]*Worker { return *p.view.Load() }

// Batch calls change, and publishes its changes to readers once, at the end. A view
// takes time in proportion to the number of servers, so that publishing each of many
// changes would take the square of it.
func (p *Pool) Batch(change func()) {
	p.mu.Lock()
	p.batching = true
	p.mu.Unlock()
	change()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batching = false
	if p.changed {
		p.publish()
	}
}

// Len returns the number of servers.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.workers)
}

// Put adds or updates a server. It reports whether the change may affect requests. An
// update without the incarnation that the server is known to have is not the server's
// own, and is ignored.
func (p *Pool) Put(s Registration, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.workers[s.ID]
	if ok && current.Incarnation != 0 && s.Incarnation == 0 {
		return false
	}
	delete(p.removeAt, s.ID)
	turnedCold := ok && current.process() == s.process() && current.state.cold.applyEntry(&s, now) && current.Cold(now)
	if ok && current.process() == s.process() && current.Service == s.Service && current.Version == s.Version && current.FailureDomain == s.FailureDomain {
		// A process that is leaving never becomes usable again.
		return s.Leaving && current.MarkLeaving() || turnedCold
	}
	if ok {
		current.retire()
	}
	w := newWorker(s, p.states.get(&s), &p.shared, now)
	w.state.cold.applyEntry(&s, now)
	p.workers[s.ID] = w
	if ok && current.process() != s.process() {
		p.forget(current)
	}
	if s.Leaving {
		w.MarkLeaving()
	}
	p.publish()
	return true
}

// Remove removes a server: at once if until is zero, otherwise at until, unless
// Put is called for the server first. It reports whether the server was removed
// at once.
func (p *Pool) Remove(id string, until time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.workers[id]; !ok {
		return false
	}
	if !until.IsZero() {
		p.removeAt[id] = until
		return false
	}
	p.remove(id)
	p.publish()
	return true
}

// Expire removes the servers that did not register again in time, and returns
// their IDs.
func (p *Pool) Expire(now time.Time) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, until := range p.removeAt {
		if !now.Before(until) {
			p.remove(id)
			ids = append(ids, id)
		}
	}
	if ids != nil {
		p.publish()
	}
	return ids
}

// IDs returns the IDs of all servers.
func (p *Pool) IDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	return ids
}

func (p *Pool) remove(id string) {
	w := p.workers[id]
	w.retire()
	delete(p.workers, id)
	delete(p.removeAt, id)
	p.forget(w)
}

// forget records that the process of w is no longer registered.
func (p *Pool) forget(w *Worker) {
	p.states.remove(&w.Registration, func(key processKey) bool {
		current, ok := p.workers[key.id]
		return ok && current.process() == key
	})
}

// retire ends the use of a Worker that is no longer in the pool.
func (w *Worker) retire() {
	w.retired.Store(true)
	w.Transport.CloseIdleConnections()
}

func (p *Pool) publish() {
	if p.changed = p.batching; p.changed {
		return
	}
	view := make(map[string][]*Worker)
	for _, w := range p.workers {
		view[w.Service] = append(view[w.Service], w)
	}
	for _, ws := range view {
		slices.SortFunc(ws, func(a, b *Worker) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	p.view.Store(&view)
}
