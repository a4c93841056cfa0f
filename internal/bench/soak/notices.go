package soak

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// leavingNotice is an answer with which an instance passed on to a client that a
// server is leaving.
type leavingNotice struct {
	instance *instance
	serverID string
	at       time.Time
}

// anyBetween reports whether any of the times is between from and to.
func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// recordLeavingNotice records an answer of an instance if it says that its server
// is leaving.
func (r *soakRun) recordLeavingNotice(i *instance, header http.Header) {
	id, ok := strings.CutPrefix(header.Get("X-Wasabiworks-Server-Seal"), "seal-of-")
	if !ok || header.Get("Server-Leaving") != "1" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingNotices = append(r.leavingNotices, leavingNotice{i, id, time.Now()})
}

// checkLeavingNotices checks that no request that a client sent more than
// leaveWithin after an instance passed on a notice of a server reached that server
// from that instance. Only a restart or freeze of the instance since then excuses
// it. The notices of the server are removed.
func (r *soakRun) checkLeavingNotices(s *server) {
	arrivals := s.Arrivals()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.leavingNotices {
		if n.serverID != s.ID || anyBetween(n.instance.stops, n.at, time.Now()) {
			continue
		}
		for _, a := range arrivals {
			q, ok := r.requests[a.AttemptID]
			if ok && q.instance == n.instance && q.sent.Sub(n.at) > leaveWithin {
				r.result.Violations = append(r.result.Violations, "request "+a.AttemptID+" reached server "+s.ID+" from "+n.instance.name+" "+a.At.Sub(n.at).String()+" after it passed on that the server leaves")
			}
		}
	}
	r.leavingNotices = slices.DeleteFunc(r.leavingNotices, func(n leavingNotice) bool { return n.serverID == s.ID })
}

const (
	// refusalGrace is the time after a refusal with Retry-After in which requests
	// may still be on their way to the server.
	refusalGrace = 500 * time.Millisecond
	// maxRequestsWhileRefusing is the number of requests that may reach a server
	// from an instance between refusalGrace and the end of the time for which the
	// server asked that instance for none.
	maxRequestsWhileRefusing = 2
)

// checkRefusals checks, for each refusal with Retry-After, that the instance sent
// the server at most maxRequestsWhileRefusing requests before the end of that time. Only a
// restart or freeze of the instance, or a new process of the server, excuses it. The
// caller must hold r.mu.
func (r *soakRun) checkRefusals(s *server) {
	arrivals := s.Arrivals()
	for _, refusal := range arrivals {
		i := r.requests[refusal.AttemptID].instance
		if refusal.RetryAt.IsZero() || i == nil || anyBetween(i.stops, refusal.At, refusal.RetryAt) {
			continue
		}
		if anyBetween(s.starts, refusal.At, refusal.RetryAt) {
			continue // another process
		}
		n := 0
		for _, a := range arrivals {
			if r.requests[a.AttemptID].instance == i && a.At.Sub(refusal.At) > refusalGrace && a.At.Before(refusal.RetryAt) {
				n++
			}
		}
		if n > maxRequestsWhileRefusing {
			r.result.Violations = append(r.result.Violations, strconv.Itoa(n)+" requests reached server "+s.ID+" from "+i.name+" in the time for which it refused them with "+refusal.AttemptID)
		}
	}
}
