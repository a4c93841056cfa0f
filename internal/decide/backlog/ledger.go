package backlog

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// maxClaims bounds the claims of a Ledger, so that peers cannot fill the memory.
	maxClaims = 1 << 16
	// maxTokens bounds the tokens of a claim, so that their sum cannot overflow.
	maxTokens = 1 << 32
	// promptLifetime bounds the time for which a claim counts as prompt tokens to be
	// processed. The message that ends it can be lost.
	promptLifetime = 3 * time.Second
	// prefixLifetime is the time for which a prefix that was sent to a server is
	// assumed to be in its cache.
	prefixLifetime = 30 * time.Second
	// maxPrefixes bounds the prefixes of a Ledger.
	maxPrefixes = 1 << 16
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
	// Prefix identifies the shared parts of the prompt; 0 if there are none.
	Prefix uint64
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Reading is what a Ledger knows about a server and a prefix before a claim.
type Reading struct {
	Backlog
	// Cached is true if the server was sent a request with the prefix before.
	Cached bool
	// Holder is the last other server that was sent one, as far as the Ledger was told,
	// or empty.
	Holder string
}

// Ledger holds the claims on the servers that an instance tracks. The zero value is
// empty. Its methods are safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	servers  map[string]*server
	claims   int
	prefixes map[prefixKey]prefix
}

// prefixKey identifies a prefix at a server.
type prefixKey struct {
	server string
	prefix uint64
}

// prefix says until when a server is assumed to have a prefix, and which other server
// has it.
type prefix struct {
	cachedUntil time.Time
	holder      string
	holderUntil time.Time
}

// server holds the claims on one server.
type server struct {
	backlog Backlog
	claims  map[uint64]*claim
	// nextExpiry is when the first of the deadlines passes, or earlier.
	nextExpiry time.Time
}

type claim struct {
	tokens                   int64 // 0 once the prompt is processed
	promptDeadline, deadline time.Time
}

// Add adds a claim if the backlog of the earlier claims is within limit. It returns what
// was known before.
func (l *Ledger) Add(c Claim, limit Backlog, now time.Time) (earlier Reading, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[c.Server]; s != nil {
		l.expire(c.Server, s, now)
	}
	key := prefixKey{c.Server, c.Prefix}
	earlier = l.reading(key, now)
	s := l.servers[c.Server] // expire removes a server without claims
	if !earlier.Within(limit) || l.claims >= maxClaims || s != nil && s.claims[c.Request] != nil {
		return earlier, false
	}
	l.add(c, now)
	if c.Prefix != 0 {
		p := l.prefixes[key]
		p.cachedUntil = now.Add(prefixLifetime)
		l.setPrefix(key, p)
	}
	return earlier, true
}

// reading returns what is known about a server and a prefix.
func (l *Ledger) reading(key prefixKey, now time.Time) (r Reading) {
	if s := l.servers[key.server]; s != nil {
		r.Backlog = s.backlog
	}
	p := l.prefixes[key]
	r.Cached = now.Before(p.cachedUntil)
	if now.Before(p.holderUntil) {
		r.Holder = p.holder
	}
	return r
}

// add adds a claim to those on its server.
func (l *Ledger) add(c Claim, now time.Time) {
	s := l.servers[c.Server]
	if s == nil {
		s = &server{claims: make(map[uint64]*claim)}
		if l.servers == nil {
			l.servers = make(map[string]*server)
		}
		l.servers[c.Server] = s
	}
	tokens := min(max(0, c.Tokens), maxTokens)
	added := &claim{tokens: tokens, promptDeadline: now.Add(promptLifetime), deadline: earliest(c.Deadline, now.Add(maxLifetime))}
	s.claims[c.Request] = added
	s.expectExpiry(added)
	s.backlog.Pending += tokens
	s.backlog.Running++
	l.claims++
}

// SetHolder records that a request with a prefix was sent to the server holder instead of
// another.
func (l *Ledger) SetHolder(server string, prefix uint64, holder string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := prefixKey{server, prefix}
	p := l.prefixes[key]
	p.holder, p.holderUntil = holder, now.Add(prefixLifetime)
	l.setPrefix(key, p)
}

// setPrefix stores p unless there are too many prefixes.
func (l *Ledger) setPrefix(key prefixKey, p prefix) {
	if l.prefixes == nil {
		l.prefixes = make(map[prefixKey]prefix)
	}
	if _, ok := l.prefixes[key]; ok || len(l.prefixes) < maxPrefixes {
		l.prefixes[key] = p
	}
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
	maps.DeleteFunc(l.prefixes, func(_ prefixKey, p prefix) bool {
		return !now.Before(p.cachedUntil) && !now.Before(p.holderUntil)
	})
}

// Len returns the number of claims.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims
}

// expire removes the expired claims on one server.
func (l *Ledger) expire(id string, s *server, now time.Time) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	for request, c := range s.claims {
		if !now.Before(c.promptDeadline) {
			s.processed(c)
		}
		if !now.Before(c.deadline) {
			l.remove(id, s, request)
			continue
		}
		s.expectExpiry(c)
	}
}

// expectExpiry brings nextExpiry forward to the next deadline of c.
func (s *server) expectExpiry(c *claim) {
	next := c.deadline
	if c.tokens > 0 {
		next = earliest(next, c.promptDeadline)
	}
	if s.nextExpiry.IsZero() || next.Before(s.nextExpiry) {
		s.nextExpiry = next
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

// remove removes a claim on s, and s if it has no other.
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
