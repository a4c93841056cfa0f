package forward

import (
	"context"
	"math"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/backlog"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/peer/claim"
)

// target is the server chosen for an attempt.
type target struct {
	server *pool.Worker
	// uncachedTokens is the number of prompt tokens that the server is expected
	// to process: those that are neither cached nor fetched, or all of them if the
	// request lists no parts.
	uncachedTokens int64
	// cacheSource is a server from which the chosen server should fetch the cache
	// of a part of the prompt; it may be nil.
	cacheSource *pool.Worker
	// limit is the backlog, of all instances, up to which the server remains the best
	// choice. A claim is added only within it.
	limit backlog.Backlog
	// claim is the claim on the server; it may be nil.
	claim *claim.Claim
}

// coldLoad is the number of running requests that a cold server counts as having more
// than it has, so that it is used when the others are busier.
const coldLoad = 2

// choices are the servers that may run a request, and what is known of them.
type choices struct {
	servers    []*pool.Worker
	candidates []route.Candidate
}

// chooseServer returns the server for the next attempt by what this instance knows. It
// returns false if no server is usable or the best choice was tried before.
func (e *exchange) chooseServer() (t target, ok bool) {
	c := e.choices(e.config.Now())
	i, t := e.choose(&c)
	return t, i >= 0
}

// choices returns the servers that may run the request. Servers that were tried count as
// suspect, so they are chosen only if all usable servers are suspect.
func (e *exchange) choices(now time.Time) choices {
	all := e.config.Pool.Service(e.service)
	c := choices{candidates: make([]route.Candidate, 0, len(all)), servers: make([]*pool.Worker, 0, len(all))}
	for _, s := range all {
		eligible, preferred := e.versionChoice.accepts(s.Version)
		if !eligible || s.Evacuated() {
			continue
		}
		c.servers = append(c.servers, s)
		running := s.Running()
		if s.Cold(now) {
			running += coldLoad
		}
		c.candidates = append(c.candidates, route.Candidate{
			ID: s.ID, PendingTokens: float64(s.PendingTokens()), Running: running, Slots: s.Slots,
			CachedTokens: s.Prompts.CachedTokens(e.prompt.Parts, now),
			Local:        s.FailureDomain == e.config.FailureDomain,
			Suspect:      e.suspects(s, now) || e.tried(s) || !preferred || s.Ramps(now, e.config.Random),
			New:          s.RecentlyJoined(now), Excluded: !s.Accepts(now),
			Speed: s.Speed.At(now),
		})
	}
	return c
}

// choose returns the best of the choices, and its index. The index is -1 if no server is
// usable or the best choice was tried before.
func (e *exchange) choose(c *choices) (index int, t target) {
	if len(e.prompt.Parts) == 0 {
		i := route.ChooseService(c.candidates, e.config.Random())
		if i < 0 || e.tried(c.servers[i]) {
			return -1, target{}
		}
		return i, target{server: c.servers[i], uncachedTokens: int64(e.prompt.Tokens), limit: backlog.Unlimited}
	}
	p := route.ChoosePrompt(c.candidates, e.prompt)
	if p.Index < 0 || e.tried(c.servers[p.Index]) {
		return -1, target{}
	}
	t = target{
		server: c.servers[p.Index], uncachedTokens: max(0, int64(e.prompt.Tokens-p.CachedTokens-p.TokensToFetch)),
		limit: backlog.Backlog{Pending: int64(min(p.MaxPending, math.MaxInt32)), Running: math.MaxInt64},
	}
	if p.Source >= 0 {
		t.cacheSource = c.servers[p.Source]
	}
	return p.Index, t
}

// maxClaims bounds the servers whose trackers are asked for one attempt whether the servers
// are busier than this instance knows.
const maxClaims = 3

// placeRequest returns the server for the next attempt, by what all instances have sent to
// the best choices. It returns false if chooseServer does. It claims a place at the best
// choice, and chooses again whenever the tracker's response makes another server the best.
// A claim has no limit once the server's backlog is known or maxClaims servers were asked.
func (e *exchange) placeRequest(ctx context.Context) (t target, ok bool) {
	e.prompt.Tracked = len(e.prompt.Parts) > 0 && e.config.Claims != nil && e.config.Claims.Enabled()
	c := e.choices(e.config.Now())
	i, t := e.choose(&c)
	if i >= 0 && t.server.Brittle() {
		return e.placeAtBrittle(ctx, &c, i, t)
	}
	if i < 0 || !e.prompt.Tracked {
		return t, i >= 0
	}
	shared, prefix := e.prompt.Shared()
	first := claimedServer(t.server)
	for n := 1; ; n++ {
		if c.candidates[i].Known || n > maxClaims {
			t.limit = backlog.Unlimited
		}
		earlier, claimed, err := e.config.Claims.Add(ctx, claimedServer(t.server), claim.Request{Tokens: t.uncachedTokens, Prefix: prefix, Deadline: e.deadline}, t.limit)
		if err != nil {
			return t, true
		}
		if !c.candidates[i].Known {
			c.learn(i, earlier, shared)
			if n == maxClaims {
				c.excludeUnknown()
			}
			next, better := e.choose(&c)
			if next < 0 {
				next, better = i, t
			}
			if next != i || claimed == nil {
				claimed.End()
				i, t = next, better
				continue
			}
			t = better
		}
		t.claim = claimed
		if server := claimedServer(t.server); server != first {
			e.config.Claims.ReportHolder(first, prefix, server.Process)
		}
		return t, true
	}
}

// excludeUnknown excludes the servers whose tracker was not asked.
func (c *choices) excludeUnknown() {
	for i := range c.candidates {
		c.candidates[i].Excluded = c.candidates[i].Excluded || !c.candidates[i].Known
	}
}

// claimedServer returns the server as it is named in claims.
func claimedServer(s *pool.Worker) claim.Server {
	return claim.Server{Process: s.Process(), FailureDomain: s.FailureDomain}
}

// learn adds what the tracker of the i-th choice knows. shared is the number of tokens of
// the prefix.
func (c *choices) learn(i int, r backlog.Reading, shared int) {
	known := &c.candidates[i]
	known.PendingTokens, known.Known = float64(r.Pending), true
	if r.Cached {
		known.CachedTokens = max(known.CachedTokens, shared)
		return
	}
	if r.Holder == "" {
		return
	}
	for j, s := range c.servers {
		if s.Process() == r.Holder {
			known.Uncached = true
			c.candidates[j].CachedTokens = max(c.candidates[j].CachedTokens, shared)
		}
	}
}
