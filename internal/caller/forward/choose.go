package forward

import (
	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// target is the server to send a request to.
type target struct {
	worker *pool.Worker
	// unread are the prompt tokens that it is expected to read.
	unread int64
	// source has read a part of the prompt that worker should fetch; it may be
	// nil.
	source *pool.Worker
}

// choose returns the server to send the request to, or none.
func (e *exchange) choose() (t target, ok bool) {
	ws := e.config.Pool.Service(e.service)
	now := e.config.Now()
	candidates := make([]route.Candidate, 0, len(ws))
	servers := make([]*pool.Worker, 0, len(ws))
	for _, w := range ws {
		may, preferred := e.choice.takes(w.Version)
		if !may {
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
		return target{worker: servers[i], unread: int64(e.prompt.Tokens)}, true
	}
	p := route.ChoosePrompt(candidates, e.prompt)
	if p.Index < 0 || e.tried(servers[p.Index]) {
		return target{}, false
	}
	t = target{worker: servers[p.Index], unread: max(0, int64(e.prompt.Tokens-p.Cached-p.Fetched))}
	if p.Source >= 0 {
		t.source = servers[p.Source]
	}
	return t, true
}
