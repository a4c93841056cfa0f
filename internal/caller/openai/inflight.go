package openai

import (
	"sync"
	"time"
)

// inFlight tracks the attempts that run on each backend server. It is safe for
// concurrent use; the zero value is empty.
type inFlight struct {
	mu      sync.Mutex
	servers map[string]*occupancy
	// losses holds the recent losses, at most one of each server.
	losses []loss
}

// occupancy holds the attempts on one server.
type occupancy struct {
	attempts map[*driver]*activeAttempt
	suspects int
}

// activeAttempt is one attempt that runs on a server.
type activeAttempt struct {
	fingerprint uint64
	// reported is true once the attempt has been reported as part of a crash.
	reported bool
}

// loss is the loss of the connection to a server that ran an attempt.
type loss struct {
	backend string
	at      time.Time
}

// Losses of several servers at the same time indicate a failed rack or failure
// domain rather than a request that crashes servers. After correlatedServers
// servers were lost within correlatedWithin, losses of further servers are not
// reported as crashes. The first ones are reported, so that a request that
// crashes several servers at once is still detected.
const (
	correlatedServers = 3
	correlatedWithin  = 2 * time.Second
)

// add registers an attempt of r on a server. It returns false for a suspect if
// another suspect runs on the server.
func (f *inFlight) add(backend string, r *driver, fingerprint uint64, suspect bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.servers[backend]
	if !ok {
		if f.servers == nil {
			f.servers = make(map[string]*occupancy)
		}
		o = &occupancy{attempts: make(map[*driver]*activeAttempt)}
		f.servers[backend] = o
	}
	if suspect {
		if o.suspects > 0 {
			return false
		}
		o.suspects++
	}
	o.attempts[r] = &activeAttempt{fingerprint: fingerprint}
	return true
}

// remove unregisters the attempt of r on a server.
func (f *inFlight) remove(backend string, r *driver, suspect bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.servers[backend]
	if !ok {
		return
	}
	delete(o.attempts, r)
	if suspect {
		o.suspects--
	}
	if len(o.attempts) == 0 {
		delete(f.servers, backend)
	}
}

// recordCrash records that r lost its server, and returns the fingerprints of the
// requests on that server, or none if the loss is correlated with others. Each
// attempt is returned only once: the other attempts on the server observe the
// same crash and may attribute it to another incarnation of the server, because
// load reports lag.
func (f *inFlight) recordCrash(backend string, r *driver, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.servers[backend]
	if !ok || o.attempts[r] == nil || o.attempts[r].reported || f.correlated(backend, now) {
		return nil
	}
	fps := make([]uint64, 0, len(o.attempts))
	for _, a := range o.attempts {
		if !a.reported {
			a.reported = true
			fps = append(fps, a.fingerprint)
		}
	}
	return fps
}

// correlated reports whether the loss of a server is correlated with the recent
// losses of other servers; if not, it records the loss. A server that is among
// the recorded losses is not counted again. The caller holds mu.
func (f *inFlight) correlated(backend string, now time.Time) bool {
	kept, known := f.losses[:0], false
	for _, l := range f.losses {
		if now.Sub(l.at) < correlatedWithin {
			kept = append(kept, l)
			known = known || l.backend == backend
		}
	}
	f.losses = kept
	if known {
		return false
	}
	if len(f.losses) >= correlatedServers {
		return true
	}
	f.losses = append(f.losses, loss{backend, now})
	return false
}
