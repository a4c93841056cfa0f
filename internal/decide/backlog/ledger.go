package backlog

import (
	"math"
	"sync"
	"time"
)

const (
	// maxClaims bounds the claims of a Ledger, so that peers cannot fill the memory.
	maxClaims = 1 << 16
	// promptLifetime bounds the time for which a claim counts as prompt tokens to be
	// processed. The message that ends it can be lost.
	promptLifetime = 3 * time.Second
	// maxLifetime bounds the time for which a claim counts at all.
	maxLifetime = time.Minute
)

// Backlog is the work of a server.
type Backlog struct {
	// Pending is the number of prompt tokens that the server still has to process.
	Pending int64
	// Running is the number of requests.
	Running int64
}

// Unlimited is a limit that every backlog is within.
var Unlimited = Backlog{Pending: math.MaxInt64, Running: math.MaxInt64}

// Within reports whether b does not exceed a limit.
func (b Backlog) Within(limit Backlog) bool {
	return b.Pending <= limit.Pending && b.Running <= limit.Running
}

// Claim is a request that an instance is about to send to a server.
type Claim struct {
	// Server identifies a process of a server.
	Server string
	// Request is a random number that identifies the claim.
	Request uint64
	// Tokens is the number of prompt tokens that the server will have to process.
	Tokens int64
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Ledger holds the claims on the servers that an instance tracks. The zero value is
// empty. Its methods are safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	servers map[string]*server
	claims  int
}

// server holds the claims on one server.
type server struct {
	backlog Backlog
	claims  map[uint64]*claim
}

type claim struct {
	tokens                   int64 // 0 once the prompt is processed
	promptDeadline, deadline time.Time
}

// Add adds a claim if the backlog of the earlier claims is within limit. It returns that
// backlog.
func (l *Ledger) Add(c Claim, limit Backlog, now time.Time) (earlier Backlog, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[c.Server]
	if s != nil {
		l.expire(c.Server, s, now)
		earlier = s.backlog
	}
	if !earlier.Within(limit) || l.claims >= maxClaims || s != nil && s.claims[c.Request] != nil {
		return earlier, false
	}
	if l.servers[c.Server] == nil { // expire removes a server without claims
		s = &server{claims: make(map[uint64]*claim)}
		if l.servers == nil {
			l.servers = make(map[string]*server)
		}
		l.servers[c.Server] = s
	}
	tokens := max(0, c.Tokens)
	s.claims[c.Request] = &claim{tokens: tokens, promptDeadline: now.Add(promptLifetime), deadline: earliest(c.Deadline, now.Add(maxLifetime))}
	s.backlog.Pending += tokens
	s.backlog.Running++
	l.claims++
	return earlier, true
}

// Processed records that a server has processed the prompt of a claim.
func (l *Ledger) Processed(serverID string, request uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[serverID]; s != nil {
		s.processed(s.claims[request])
	}
}

// End removes a claim.
func (l *Ledger) End(serverID string, request uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[serverID]; s != nil {
		l.remove(serverID, s, request)
	}
}

// Expire removes the claims whose deadline has passed.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.servers {
		l.expire(id, s, now)
	}
}

// Len returns the number of claims.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims
}

// expire removes the expired claims on one server.
func (l *Ledger) expire(id string, s *server, now time.Time) {
	for request, c := range s.claims {
		if !now.Before(c.promptDeadline) {
			s.processed(c)
		}
		if !now.Before(c.deadline) {
			l.remove(id, s, request)
		}
	}
}

// processed removes the prompt of a claim, which may be nil, from the backlog.
func (s *server) processed(c *claim) {
	if c == nil {
		return
	}
	s.backlog.Pending -= c.tokens
	c.tokens = 0
}

func (l *Ledger) remove(id string, s *server, request uint64) {
	c := s.claims[request]
	if c == nil {
		return
	}
	s.processed(c)
	s.backlog.Running--
	delete(s.claims, request)
	l.claims--
	if len(s.claims) == 0 {
		delete(l.servers, id)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
