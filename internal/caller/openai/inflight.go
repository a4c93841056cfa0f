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
	requests map[*run]*flight
	suspects int
}

// flight is one attempt on a server.
type flight struct {
	fingerprint uint64
	// reported is true once the attempt was part of a crash.
	reported bool
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
		o = &occupancy{requests: make(map[*run]*flight)}
		f.servers[backend] = o
	}
	if suspect {
		if o.suspects > 0 {
			return false
		}
		o.suspects++
	}
	o.requests[r] = &flight{fingerprint: fingerprint}
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

// crashed returns the fingerprints of the requests on a server that r has
// lost, or none if the loss is one of many at the same time. Each attempt is
// returned once: the others on the server lose it too, and may know it by
// another incarnation, because load reports lag.
func (f *inFlight) crashed(backend string, r *run, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.servers[backend]
	if !ok || o.requests[r] == nil || o.requests[r].reported || f.correlated(backend, now) {
		return nil
	}
	fps := make([]uint64, 0, len(o.requests))
	for _, l := range o.requests {
		if !l.reported {
			l.reported = true
			fps = append(fps, l.fingerprint)
		}
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
