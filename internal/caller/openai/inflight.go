package openai

import (
	"sync"
	"time"
)

// inFlight knows which requests run on which backend servers.
type inFlight struct {
	mu      sync.Mutex
	servers map[string]*occupancy
	// lost holds the times of the latest losses of different servers.
	lost []loss
}

type occupancy struct {
	requests map[*run]uint64 // fingerprints
	suspects int
}

type loss struct {
	backend string
	at      time.Time
}

// Correlated losses are a failed rack or failure domain rather than a request
// that crashes servers: more than correlatedServers of them within
// correlatedWithin are not reported. The first ones are, so a request that
// crashes several servers at once is still found.
const (
	correlatedServers = 3
	correlatedWithin  = 2 * time.Second
)

// begin adds a request. A suspect is refused where another one runs.
func (f *inFlight) begin(backend string, r *run, fingerprint uint64, suspect bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.servers[backend]
	if !ok {
		if f.servers == nil {
			f.servers = make(map[string]*occupancy)
		}
		o = &occupancy{requests: make(map[*run]uint64)}
		f.servers[backend] = o
	}
	if suspect {
		if o.suspects > 0 {
			return false
		}
		o.suspects++
	}
	o.requests[r] = fingerprint
	return true
}

func (f *inFlight) end(backend string, r *run, suspect bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.servers[backend]
	if !ok {
		return
	}
	delete(o.requests, r)
	if suspect {
		o.suspects--
	}
	if len(o.requests) == 0 {
		delete(f.servers, backend)
	}
}

// crashed returns the fingerprints of the requests on a server that was lost,
// or none if the loss is one of many at the same time.
func (f *inFlight) crashed(backend string, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.correlated(backend, now) {
		return nil
	}
	o, ok := f.servers[backend]
	if !ok {
		return nil
	}
	fps := make([]uint64, 0, len(o.requests))
	for _, fp := range o.requests {
		fps = append(fps, fp)
	}
	return fps
}

func (f *inFlight) correlated(backend string, now time.Time) bool {
	kept, known := f.lost[:0], false
	for _, l := range f.lost {
		if now.Sub(l.at) < correlatedWithin {
			kept = append(kept, l)
			known = known || l.backend == backend
		}
	}
	f.lost = kept
	if known {
		return false
	}
	if len(f.lost) >= correlatedServers {
		return true
	}
	f.lost = append(f.lost, loss{backend, now})
	return false
}
