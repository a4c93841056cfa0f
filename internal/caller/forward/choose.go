package forward

import (
	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// choose returns the server to send the request to, or nil, and the prompt
// tokens that it is expected to read.
func (e *exchange) choose() (w *pool.Worker, unread int64) {
	ws := e.config.Pool.Service(e.service)
	now := e.config.Now()
	candidates := make([]route.Candidate, 0, len(ws))
	usable := make([]*pool.Worker, 0, len(ws))
	for _, w := range ws {
		may, preferred := e.choice.takes(w.Version)
		if !may || !w.Usable() {
			continue
		}
		usable = append(usable, w)
		candidates = append(candidates, route.Candidate{
			ID: w.ID, Pending: float64(w.Pending()), Running: w.Running(), Slots: w.Slots,
			Cached:  w.Prompts.Cached(e.prompt.Parts, now),
			Local:   w.FailureDomain == e.config.FailureDomain,
			Suspect: w.Suspect(now) || e.tried(w) || !preferred,
		})
	}
	var i, cached int
	if len(e.prompt.Parts) > 0 {
		i, cached = route.ChoosePrompt(candidates, e.prompt)
	} else {
		i = route.ChooseService(candidates, e.config.Random())
	}
	if i < 0 || e.tried(usable[i]) {
		return nil, 0
	}
	return usable[i], max(0, int64(e.prompt.Tokens-cached))
}
