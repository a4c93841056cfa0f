package instance

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
)

// recorder takes the outcomes of the request path and adds them to the
// evidence and to the counters.
type recorder struct {
	// node is the instance ID, a slash and the incarnation.
	node     string
	evidence *evidence.Table
	metrics  *burn.Metrics

	prices sync.Map // backend server ID to price per hour
	mu     sync.Mutex
	cost   float64 // of the time that attempts took on backend servers
}

// Attempt records an attempt that an engine ran.
func (r *recorder) Attempt(a *openai.Attempt) {
	if a.Tokens > 0 {
		r.metrics.FirstToken(a.FirstToken.Seconds())
	}
	if a.Tokens > 1 {
		r.metrics.BetweenTokens(a.Between.Seconds())
	}
	r.charge(a.Backend, a.FirstToken+time.Duration(max(0, a.Tokens-1))*a.Between)
	if a.Excused != "" {
		return
	}
	r.count(evidence.Key{Move: a.Move, Version: a.Version, Route: a.Route, Load: a.Load, Step: a.Step}, a.Failed, a.Slow)
}

// Request records a request of a language entry.
func (r *recorder) Request(q *openai.Request) {
	r.metrics.Tokens(q.Generated, q.Cached, q.Recomputed)
	r.metrics.Finished(q.Entry, q.Workspace, burn.Request{Outcome: q.Outcome, Code: q.Code, Slow: q.Slow, Canceled: q.Canceled})
}

// Call records a call of a plain service.
func (r *recorder) Call(c *services.Call) {
	r.metrics.Finished(c.Entry, c.Workspace, burn.Request{
		Outcome: c.Outcome, Code: c.Code, Slow: c.Slow, Canceled: c.Canceled, Reclaimed: c.Excused == services.ExcusedReclaim,
	})
	if !c.Ran || c.Excused != "" || c.Canceled {
		return
	}
	r.charge(c.Backend, c.Duration)
	r.count(evidence.Key{Move: c.Move, Version: c.Version, Route: c.Route, Load: c.Load, Step: c.Step}, c.Failed, c.Slow)
}

// count adds an outcome to the evidence on a move.
func (r *recorder) count(k evidence.Key, failed, slow bool) {
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
	r.evidence.Add(r.node, k, c)
}

// setPrice sets the price per hour of a backend server.
func (r *recorder) setPrice(backend string, price float64) { r.prices.Store(backend, price) }

// charge adds the price of d on a backend server to the cost.
func (r *recorder) charge(backend string, d time.Duration) {
	price, ok := r.prices.Load(backend)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost += price.(float64) * d.Hours()
}

func (r *recorder) total() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cost
}
