package pool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Pool is the set of known backend servers. Readers take an immutable view;
// its methods are safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	workers map[string]*Worker
	// expires holds the servers whose entries went away while the store had
	// trouble; they are dropped then unless they register again.
	expires map[string]time.Time
	view    atomic.Pointer[map[string][]*Worker]
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{workers: make(map[string]*Worker), expires: make(map[string]time.Time)}
	p.publish()
	return p
}

// Service returns the servers of a service, leaving ones included, in the order
// of their IDs. The result must not be changed.
func (p *Pool) Service(name string) []*Worker { return (*p.view.Load())[name] }

// Services returns all servers by service. The result must not be changed.
func (p *Pool) Services() map[string][]*Worker { return *p.view.Load() }

// Len returns the number of servers.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.workers)
}

// Put adds or updates a server and reports whether requests may notice.
func (p *Pool) Put(s Server, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.expires, s.ID)
	have, ok := p.workers[s.ID]
	if ok && have.Address == s.Address && have.Incarnation == s.Incarnation && have.Service == s.Service && have.Version == s.Version {
		// A lifetime that is leaving stays so.
		if s.Leaving {
			return !have.leaving.Swap(true)
		}
		return false
	}
	if ok {
		have.retire()
	}
	p.workers[s.ID] = newWorker(s, now)
	p.publish()
	return true
}

// Remove drops a server, at once if until is zero, and otherwise at until
// unless it is put again before.
func (p *Pool) Remove(id string, until time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.workers[id]; !ok {
		return false
	}
	if !until.IsZero() {
		p.expires[id] = until
		return false
	}
	p.remove(id)
	p.publish()
	return true
}

// Expire drops the servers that did not register again, and returns their IDs.
func (p *Pool) Expire(now time.Time) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, until := range p.expires {
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
	p.workers[id].retire()
	delete(p.workers, id)
	delete(p.expires, id)
}

func (w *Worker) retire() {
	w.leaving.Store(true)
	w.Transport.CloseIdleConnections()
}

func (p *Pool) publish() {
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
