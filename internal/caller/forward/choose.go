package forward

import (
	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/route"
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
}

// coldLoad is the number of running requests that a cold server counts as having more
// than it has, so that it is used when the others are busier.
const coldLoad = 2

// chooseServer returns the server for the next attempt. It returns false if no
// server is usable or the best choice was tried before. Servers that were tried
// count as suspect, so they are chosen only if all usable servers are suspect.
func (e *exchange) chooseServer() (t target, ok bool) {
	all := e.config.Pool.Service(e.service)
	now := e.config.Now()
	candidates := make([]route.Candidate, 0, len(all))
	servers := make([]*pool.Worker, 0, len(all))
	for _, s := range all {
		eligible, preferred := e.versionChoice.accepts(s.Version)
		if !eligible || s.Evacuated() {
			continue
		}
		servers = append(servers, s)
		running := s.Running()
		if s.Cold(now) {
			running += coldLoad
		}
		candidates = append(candidates, route.Candidate{
			ID: s.ID, PendingTokens: float64(s.PendingTokens()), Running: running, Slots: s.Slots,
			CachedTokens: s.Prompts.CachedTokens(e.prompt.Parts, now),
			Local:        s.FailureDomain == e.config.FailureDomain,
			Suspect:      s.Suspect(now) || e.tried(s) || !preferred || s.Ramps(now, e.config.Random),
			New:          s.RecentlyJoined(now), Excluded: !s.Accepts(now),
			Speed: s.Speed.At(now),
		})
	}
	if len(e.prompt.Parts) == 0 {
		i := route.ChooseService(candidates, e.config.Random())
		if i < 0 || e.tried(servers[i]) {
			return target{}, false
		}
		return target{server: servers[i], uncachedTokens: int64(e.prompt.Tokens)}, true
	}
	p := route.ChoosePrompt(candidates, e.prompt)
	if p.Index < 0 || e.tried(servers[p.Index]) {
		return target{}, false
	}
	t = target{server: servers[p.Index], uncachedTokens: max(0, int64(e.prompt.Tokens-p.CachedTokens-p.TokensToFetch))}
	if p.Source >= 0 {
		t.cacheSource = servers[p.Source]
	}
	return t, true
}
