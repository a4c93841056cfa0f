package routetest

import (
	"container/list"
	"math"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	slotsPerServer = 16
	// cacheTokens is the size of the prefix cache: 20 long documents.
	cacheTokens = 120000
	// prefillTime is the time in seconds to compute a prompt token. Prompts are
	// computed one at a time; tokens are generated for all slots at once.
	prefillTime = 1.0 / 20000
	// idleTokenTime is the time in seconds to generate a token on an idle
	// server; batchingDelay is added in proportion to the busy slots.
	idleTokenTime = 0.02
	batchingDelay = 0.02
)

// server models a backend server that serves a language model.
type server struct {
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
	instance    int
	request     route.Request
	prefix      float64 // tokens
	suffix      float64
	output      float64
	interactive bool
}

// lookupOrInsert returns the number of cached tokens of j's prefix and marks
// the prefix as the most recently used, inserting it if it is not cached.
func (s *server) lookupOrInsert(j *job) float64 {
	if j.prefix == 0 {
		return 0
	}
	if e, ok := s.cache[j.request.Prefix]; ok {
		s.lru.MoveToFront(e)
		return j.prefix
	}
	s.cache[j.request.Prefix] = s.lru.PushFront(&prefix{j.request.Prefix, j.prefix})
	for s.usedTokens += j.prefix; s.usedTokens > cacheTokens; {
		last := s.lru.Back()
		p := s.lru.Remove(last).(*prefix)
		delete(s.cache, p.hash)
		s.usedTokens -= p.tokens
	}
	return 0
}

// enqueue adds j behind the jobs of its priority class.
func (s *server) enqueue(j *job) {
	at := len(s.queue)
	if j.interactive {
		for at = 0; at < len(s.queue) && s.queue[at].interactive; at++ {
		}
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = j
}

// start begins the next job and returns it with the time of its first token,
// the time between tokens and the number of prefix tokens that were computed.
func (s *server) start(now float64) (j *job, first, interval, computed float64) {
	j, s.queue = s.queue[0], s.queue[1:]
	s.running++
	computed = j.prefix - s.lookupOrInsert(j)
	s.prefillDone = max(s.prefillDone, now) + (computed+j.suffix)*prefillTime
	first = s.prefillDone
	interval = (idleTokenTime + batchingDelay*float64(s.running)/slotsPerServer) / (1 - s.addPrefill(now, (computed+j.suffix)*prefillTime))
	return j, first, interval, computed
}

// addPrefill adds work on a prompt and returns the fraction of recent time spent
// on prompts, during which no tokens are generated. The fraction is an average
// with exponential decay over a window of 5 s.
func (s *server) addPrefill(now, work float64) float64 {
	const window = 5.0
	s.prefillLoad *= math.Exp((s.prefillLoadAt - now) / window)
	s.prefillLoad += work / window
	s.prefillLoadAt = now
	return min(s.prefillLoad, 0.9)
}
