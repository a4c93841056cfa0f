package forward

import (
	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// target is the server chosen for an attempt.
type target struct {
	server *pool.Worker
	// uncachedTokens is the number of prompt tokens that the server is expected
	// to process, as they are neither cached nor fetched.
	uncachedTokens int64
	// cacheSource is a server from which the chosen one should fetch the cache
	// of a part of the prompt; it may be nil.
	cacheSource *pool.Worker
}

// chooseServer returns the server for the next attempt. It returns false if
// there is no usable server that the request was not sent to before.
func (e *exchange) chooseServer() (t target, ok bool) {
	ws := e.config.Pool.Service(e.service)
	now := e.config.Now()
	candidates := make([]route.Candidate, 0, len(ws))
	servers := make([]*pool.Worker, 0, len(ws))
	for _, w := range ws {
		eligible, preferred := e.versionChoice.accepts(w.Version)
		if !eligible {
			continue
		}
		servers = append(servers, w)
		candidates = append(candidates, route.Candidate{
			ID: w.ID, Pending: float64(w.Pending()), Running: w.Running(), Slots: w.Slots,
			Cached:  w.Prompts.Cached(e.prompt.Parts, now),
			Local:   w.FailureDomain == e.config.FailureDomain,
			Suspect: w.Suspect(now) || e.tried(w) || !preferred,
			New:     w.New(now), Leaving: !w.Usable(),
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
	t = target{server: servers[p.Index], uncachedTokens: max(0, int64(e.prompt.Tokens-p.Cached-p.Fetched))}
	if p.Source >= 0 {
		t.cacheSource = servers[p.Source]
	}
	return t, true
}
