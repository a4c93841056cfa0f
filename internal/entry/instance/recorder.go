package instance

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
)

// recorder records the outcomes of the request path as evidence on version
// moves, in the metrics and in the cost.
type recorder struct {
	// instanceIncarnation is the instance ID and the incarnation, separated by a
	// slash.
	instanceIncarnation string
	evidence            *evidence.Table
	metrics             *burn.Metrics

	prices sync.Map // backend server ID to price per hour
	mu     sync.Mutex
	cost   float64 // accumulated cost of backend server time
}

// Attempt records an attempt of a language entry's request that ran on a backend
// server.
func (r *recorder) Attempt(a *openai.AttemptRecord) {
	if a.Tokens > 0 {
		r.metrics.ObserveFirstToken(a.FirstToken.Seconds())
	}
	if a.Tokens > 1 {
		r.metrics.ObserveBetweenTokens(a.BetweenTokens.Seconds())
	}
	r.addCost(a.Backend, a.FirstToken+time.Duration(max(0, a.Tokens-1))*a.BetweenTokens)
	if a.Excused != "" {
		return
	}
	r.addEvidence(evidence.Key{Move: a.Move, Version: a.Version, Route: a.Route, Load: a.Load, Step: a.Step}, a.Failed, a.Slow)
}

// Request records a request of a language entry.
func (r *recorder) Request(request *openai.RequestRecord) {
	r.metrics.AddTokens(request.GeneratedTokens, request.CachedTokens, request.RecomputedTokens)
	r.metrics.AddRequest(request.Entry, request.Workspace, burn.Request{Outcome: request.Outcome, Code: request.Code, Slow: request.Slow, Canceled: request.Canceled})
}

// Call records a call of a plain service.
func (r *recorder) Call(c *services.CallResult) {
	r.metrics.AddRequest(c.Entry, c.Workspace, burn.Request{
		Outcome: c.Outcome, Code: c.Code, Slow: c.Slow, Canceled: c.Canceled, Reclaimed: c.Excused == services.ExcusedReclaim,
	})
	if !c.Ran || c.Excused != "" || c.Canceled {
		return
	}
	r.addCost(c.Backend, c.Duration)
	r.addEvidence(evidence.Key{Move: c.Move, Version: c.Version, Route: c.Route, Load: c.Load, Step: c.Step}, c.Failed, c.Slow)
}

// addEvidence adds an outcome to the evidence on a move. Outcomes outside of a
// move are not counted.
func (r *recorder) addEvidence(k evidence.Key, failed, slow bool) {
	if k.Move == "" {
		return
	}
	var c evidence.Count
	switch {
	case failed:
		c.Failed = 1
	case slow:
		c.Answered, c.Slow = 1, 1
	default:
		c.Answered = 1
	}
	r.evidence.Add(r.instanceIncarnation, k, c)
}

// setPrice sets the price per hour of a backend server.
func (r *recorder) setPrice(backend string, price float64) { r.prices.Store(backend, price) }

// addCost adds the price of using a backend server for d to the cost. The use of
// a server without a known price is not counted.
func (r *recorder) addCost(backend string, d time.Duration) {
	price, ok := r.prices.Load(backend)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost += price.(float64) * d.Hours()
}

func (r *recorder) totalCost() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cost
}
