package routetest

import (
	"container/list"
	"math"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	slotsPerWorker = 16
	// cacheTokens is the size of the prefix cache: 20 long documents.
	cacheTokens = 120000
	// prefillTime is the time in seconds to compute a prompt token. Prompts are
	// computed one at a time; tokens are generated for all slots at once.
	prefillTime = 1.0 / 20000
	// idleTokenTime is the time in seconds to generate a token on an idle
	// worker. On a full one batchingDelay is added.
	idleTokenTime = 0.02
	batchingDelay = 0.02
)

// worker models a model-serving engine.
type worker struct {
	backend route.Backend
	queue   []*job // interactive jobs first
	running int
	// prefillDone is the time at which all prompts so far have been computed.
	prefillDone float64
	cache       map[uint64]*list.Element
	usedTokens  float64
	lru         *list.List // of *prefix, most recently used first
	// prefillLoad is the fraction of recent time spent on prompts, as an
	// exponential average updated at prefillLoadAt.
	prefillLoad   float64
	prefillLoadAt float64
}

type prefix struct {
	hash   uint64
	tokens float64
}

// job is a request in progress.
type job struct {
	arrived     float64
	node        int
	request     route.Request
	prefix      float64 // tokens
	prompt      float64
	output      float64
	interactive bool
}

// lookupOrInsert returns the number of cached tokens of j's prefix and marks
// the prefix as the most recently used, inserting it if it is not cached.
func (w *worker) lookupOrInsert(j *job) float64 {
	if j.prefix == 0 {
		return 0
	}
	if e, ok := w.cache[j.request.Prefix]; ok {
		w.lru.MoveToFront(e)
		return j.prefix
	}
	w.cache[j.request.Prefix] = w.lru.PushFront(&prefix{j.request.Prefix, j.prefix})
	for w.usedTokens += j.prefix; w.usedTokens > cacheTokens; {
		last := w.lru.Back()
		p := w.lru.Remove(last).(*prefix)
		delete(w.cache, p.hash)
		w.usedTokens -= p.tokens
	}
	return 0
}

// enqueue adds j behind the jobs of its priority class.
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

// start begins the next job and returns it with the time of its first token,
// the time between tokens and the number of prefix tokens that were computed.
func (w *worker) start(now float64) (j *job, first, between, computed float64) {
	j, w.queue = w.queue[0], w.queue[1:]
	w.running++
	computed = j.prefix - w.lookupOrInsert(j)
	w.prefillDone = max(w.prefillDone, now) + (computed+j.prompt)*prefillTime
	first = w.prefillDone
	between = (idleTokenTime + batchingDelay*float64(w.running)/slotsPerWorker) / (1 - w.prefillShare(now, (computed+j.prompt)*prefillTime))
	return j, first, between, computed
}

// prefillShare adds work on a prompt and returns the fraction of the last
// seconds spent on prompts, during which no tokens are generated.
func (w *worker) prefillShare(now, work float64) float64 {
	const window = 5.0
	w.prefillLoad *= math.Exp((w.prefillLoadAt - now) / window)
	w.prefillLoad += work / window
	w.prefillLoadAt = now
	return min(w.prefillLoad, 0.9)
}
