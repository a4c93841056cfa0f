package soak

import (
	"net/http"
	"slices"
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
		if n.serverID != s.ID || n.instance.lastStopAt.After(n.at) {
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
