package routetest

import (
	"container/list"
	"math"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	slots = 16
	// cacheTokens is the memory for prefixes, 20 long documents.
	cacheTokens = 120000
	// prefill is the time to compute a prompt token. Prompts are computed one
	// at a time; tokens are generated for all slots at once.
	prefill = 1.0 / 20000
	// token and batching give the time to generate a token: the first in an
	// idle worker, their sum in a full one.
	token    = 0.02
	batching = 0.02
)

// worker models a model engine.
type worker struct {
	backend route.Backend
	queue   []*job // interactive ones first
	running int
	// prefilled is the time at which all prompts so far have been computed.
	prefilled float64
	cache     map[uint64]*list.Element
	used      float64
	recent    *list.List // of *prefix, the last used first
	// computing is the recent part of the time spent on prompts, at a time.
	computing   float64
	computingAt float64
}

type prefix struct {
	hash   uint64
	tokens float64
}

// job is a request on its way.
type job struct {
	arrived     float64
	node        int
	request     route.Request
	prefix      float64 // tokens
	prompt      float64
	output      float64
	interactive bool
}

// reuse returns the cached tokens of j's prefix and keeps the prefix.
func (w *worker) reuse(j *job) float64 {
	if j.prefix == 0 {
		return 0
	}
	if e, ok := w.cache[j.request.Prefix]; ok {
		w.recent.MoveToFront(e)
		return j.prefix
	}
	w.cache[j.request.Prefix] = w.recent.PushFront(&prefix{j.request.Prefix, j.prefix})
	for w.used += j.prefix; w.used > cacheTokens; {
		last := w.recent.Back()
		p := w.recent.Remove(last).(*prefix)
		delete(w.cache, p.hash)
		w.used -= p.tokens
	}
	return 0
}

// enqueue adds j behind the jobs of its class.
func (w *worker) enqueue(j *job) {
	at := len(w.queue)
	if j.interactive {
		for at = 0; at < len(w.queue) && w.queue[at].interactive; at++ {
		}
	}
	w.queue = append(w.queue, nil)
	copy(w.queue[at+1:], w.queue[at:])
	w.queue[at] = j
}

// start begins the next job and returns it with the time of its first token, the
// time between tokens and the tokens of its prefix that were computed.
func (w *worker) start(now float64) (j *job, first, between, computed float64) {
	j, w.queue = w.queue[0], w.queue[1:]
	w.running++
	computed = j.prefix - w.reuse(j)
	w.prefilled = max(w.prefilled, now) + (computed+j.prompt)*prefill
	first = w.prefilled
	between = (token + batching*float64(w.running)/slots) / (1 - w.share(now, (computed+j.prompt)*prefill))
	return j, first, between, computed
}

// share adds work on a prompt and returns the part of the last seconds spent on
// prompts; tokens are not generated meanwhile.
func (w *worker) share(now, work float64) float64 {
	const window = 5.0
	w.computing *= math.Exp((w.computingAt - now) / window)
	w.computing += work / window
	w.computingAt = now
	return min(w.computing, 0.9)
}
