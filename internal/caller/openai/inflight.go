package openai

import (
	"sync"
	"time"
)

// inFlight tracks the attempts that run on each backend server. It is safe for
// concurrent use; the zero value is empty.
type inFlight struct {
	mu      sync.Mutex
	servers map[string]*serverAttempts
	// losses holds the recent losses, at most one of each server.
	losses []loss
}

// serverAttempts holds the attempts that run on one server, and the number of
// suspects among them.
type serverAttempts struct {
	attempts map[*driver]*activeAttempt
	suspects int
}

// activeAttempt is one attempt that runs on a server.
type activeAttempt struct {
	fingerprint uint64
	// reported is true once the attempt has been reported as part of a crash.
	reported bool
}

// loss records when the connection to a server was lost during an attempt.
type loss struct {
	serverID string
	at       time.Time
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

// add registers an attempt of d on a server. It returns false for a suspect if
// another suspect runs on the server.
func (f *inFlight) add(serverID string, d *driver, fingerprint uint64, suspect bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[serverID]
	if !ok {
		if f.servers == nil {
			f.servers = make(map[string]*serverAttempts)
		}
		s = &serverAttempts{attempts: make(map[*driver]*activeAttempt)}
		f.servers[serverID] = s
	}
	if suspect {
		if s.suspects > 0 {
			return false
		}
		s.suspects++
	}
	s.attempts[d] = &activeAttempt{fingerprint: fingerprint}
	return true
}

// remove unregisters the attempt of d on a server.
func (f *inFlight) remove(serverID string, d *driver, suspect bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[serverID]
	if !ok {
		return
	}
	delete(s.attempts, d)
	if suspect {
		s.suspects--
	}
	if len(s.attempts) == 0 {
		delete(f.servers, serverID)
	}
}

// recordCrash records that d lost its server, and returns the fingerprints of the
// attempts on that server that were not returned before, or none if the loss is
// correlated with others. The fingerprint of an attempt is returned only once
// because the other attempts on the server observe the same crash and may
// attribute it to another incarnation of the server, as load reports lag.
func (f *inFlight) recordCrash(serverID string, d *driver, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[serverID]
	if !ok || s.attempts[d] == nil || s.attempts[d].reported || f.correlated(serverID, now) {
		return nil
	}
	fps := make([]uint64, 0, len(s.attempts))
	for _, a := range s.attempts {
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
func (f *inFlight) correlated(serverID string, now time.Time) bool {
	kept, known := f.losses[:0], false
	for _, l := range f.losses {
		if now.Sub(l.at) < correlatedWithin {
			kept = append(kept, l)
			known = known || l.serverID == serverID
		}
	}
	f.losses = kept
	if known {
		return false
	}
	if len(f.losses) >= correlatedServers {
		return true
	}
	f.losses = append(f.losses, loss{serverID, now})
	return false
}
