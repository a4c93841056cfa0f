package route

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Part is a section of a prompt that other requests may share.
type Part struct {
	// ID identifies the part, whatever comes before it. Chain identifies the part
	// together with all parts before it.
	ID, Chain uint64
	Tokens    int
}

// Prompt describes a request to a language model.
type Prompt struct {
	// Tokens is the length of the prompt. MaxTotalTokens is Tokens plus the
	// maximum length of the output.
	Tokens, MaxTotalTokens int
	Parts                  []Part
	// Tracked is true if the instance can ask what others have sent to a server. The
	// first choice among equal servers then depends on the prompt, so that instances ask
	// about different ones, and only prefixes that are known to be cached are fetched.
	Tracked bool
}

// tieBreak returns the number that decides among equal servers.
func (p Prompt) tieBreak() uint64 {
	if !p.Tracked {
		return 0
	}
	return p.Parts[len(p.Parts)-1].Chain
}

// Shared returns the number of tokens in all parts but the last, which is
// specific to the request, and the chain that identifies them. A single part
// counts as shared.
func (p Prompt) Shared() (tokens int, chain uint64) {
	if len(p.Parts) == 0 {
		return 0, 0
	}
	last := max(1, len(p.Parts)-1)
	for _, part := range p.Parts[:last] {
		tokens += part.Tokens
		chain = part.Chain
	}
	return tokens, chain
}

// Candidate is what an instance knows about a server that may run a request.
type Candidate struct {
	ID string
	// PendingTokens is the number of prompt tokens that the server still has to
	// process, and Running the number of requests in progress, both as far as
	// this instance knows.
	PendingTokens float64
	Running       int
	// CachedTokens is the number of tokens of the prompt that the server is known to
	// have processed.
	CachedTokens int
	// Slots is the number of requests that run at once.
	Slots int
	// Local servers are in the failure domain of the instance.
	Local bool
	// Suspect servers are used only if there are no others.
	Suspect bool
	// New servers joined recently: they may be the preferred servers of prompts
	// that other servers have processed. Excluded servers get no requests, but
	// the tokens that they have processed can still be fetched.
	New, Excluded bool
	// Speed is the speed relative to the mean of the service; 0 counts as 1.
	Speed float64
	// Known is true if PendingTokens holds the requests of all instances.
	Known bool
	// Uncached servers are known not to have processed the shared parts, although
	// another server has.
	Uncached bool
}

// speed returns the speed of the server relative to the mean of the service.
func (c *Candidate) speed() float64 {
	if c.Speed <= 0 {
		return 1
	}
	return c.Speed
}

const (
	// expectedCachedFraction is the fraction of the shared tokens that the
	// preferred server is expected to have processed for other instances.
	expectedCachedFraction = 0.9
	// runningCostTokens is the delay that one running request causes to
	// another, as the number of prompt tokens processed in the same time.
	runningCostTokens = 150
	// pendingWeight scales the pending tokens to account for the prompts that
	// other instances have sent.
	pendingWeight = 1.5
	// fetchCostRatio is the time to fetch tokens from another server divided by
	// the time to process them.
	fetchCostRatio = 0.5
	// minFetchTokens is the smallest number of tokens that are worth a fetch.
	minFetchTokens = 2000
	// remoteCostTokens is the cost of a server in another failure domain for a
	// language model, in prompt tokens.
	remoteCostTokens = 100
	// remoteCostSlots is the cost of a server in another failure domain for a
	// plain service, as a fraction of the server's slots.
	remoteCostSlots = 0.2
	// knownPendingWeight scales the pending tokens of all instances. A wait costs only the
	// request itself time, but processing a prefix again also delays others.
	knownPendingWeight = 0.35
	// minMarginTokens is the least MaxPending beyond what is known to be pending. A wait
	// of so few tokens is not worth asking about another server.
	minMarginTokens = 500
	// tieCostSlots scales the random number that breaks ties, as a fraction of the
	// server's slots. It is too small to outweigh a request.
	tieCostSlots = 1e-4
)

// Placement is the server chosen for a prompt.
type Placement struct {
	// Index is the index of the server, or -1 if there is none.
	Index int
	// CachedTokens is the number of tokens of the prompt that the server is expected to
	// have processed.
	CachedTokens int
	// Source is the index of a server from which the chosen one should fetch
	// TokensToFetch more tokens instead of processing them again, or -1.
	Source, TokensToFetch int
	// MaxPending is the number of pending tokens of all instances up to which the
	// chosen server is still the best choice.
	MaxPending float64
}

// ChoosePrompt returns the server that is expected to answer the prompt first.
// Each shared prefix has a preferred server: the one with the highest rendezvous
// hash, on which all instances agree without exchanging messages. A server is
// preferred for a part of the prefixes in proportion to its speed. A request goes
// to another server if waiting at the preferred one takes longer than fetching
// the prefix or processing it again.
//
// Costs are times, in prompt tokens of a server of mean speed. The speed of a server
// scales the wait for earlier requests, but not the time for this one: all instances
// would then send the requests without a preferred server to the fastest one.
func ChoosePrompt(cs []Candidate, p Prompt) Placement {
	shared, chain := p.Shared()
	preferred := preferredServer(cs, chain, func(c *Candidate) bool { return !c.Excluded })
	expected := func(i int) int {
		if i == preferred && !cs[i].Uncached {
			return max(cs[i].CachedTokens, int(expectedCachedFraction*float64(shared)))
		}
		return cs[i].CachedTokens
	}
	source := -1
	for i := range cs {
		if !cs[i].Suspect && expected(i) > 0 && (source < 0 || expected(i) > expected(source)) {
			source = i
		}
	}
	fetched := func(i int) int {
		if source < 0 || source == i || expected(source)-expected(i) < minFetchTokens {
			return 0
		}
		return expected(source) - expected(i)
	}
	index, margin := cheapest(cs, p.tieBreak(), func(i int) float64 {
		c := &cs[i]
		promptCost := float64(max(0, p.Tokens-expected(i)))
		if source >= 0 && (!p.Tracked || cs[source].CachedTokens > 0) {
			promptCost = max(0, promptCost-(1-fetchCostRatio)*float64(fetched(i)))
		}
		weight := pendingWeight
		if c.Known {
			weight = knownPendingWeight
		}
		cost := (weight*c.PendingTokens+runningCostTokens*float64(c.Running))/c.speed() + promptCost
		if !c.Local {
			cost += remoteCostTokens
		}
		if c.Slots > 0 && c.Running >= c.Slots {
			cost *= 2
		}
		return cost
	})
	if index < 0 {
		return Placement{Index: -1, Source: -1}
	}
	placement := Placement{
		Index: index, CachedTokens: expected(index), Source: -1,
		MaxPending: cs[index].PendingTokens + max(margin, minMarginTokens)*cs[index].speed()/knownPendingWeight,
	}
	if n := fetched(index); n > 0 {
		placement.Source, placement.TokensToFetch = source, n
	}
	if missing := expected(index) - cs[index].CachedTokens; index == preferred && cs[index].New && missing >= minFetchTokens {
		// Another instance may have made the new preferred server fetch the
		// prefix already; then there is nothing left to fetch.
		if previous := preferredServer(cs, chain, func(c *Candidate) bool { return !c.New }); previous >= 0 {
			placement.Source, placement.CachedTokens, placement.TokensToFetch = previous, cs[index].CachedTokens, missing
		}
	}
	return placement
}

// preferredServer returns the index of the server with the highest rendezvous
// hash for a chain, weighted by speed, among those for which mayBePreferred is true
// and that are not suspect, or -1 if there are none. Among servers of equal speed it is
// the one with the highest hash.
func preferredServer(cs []Candidate, chain uint64, mayBePreferred func(*Candidate) bool) int {
	preferred, best := -1, math.Inf(-1)
	for i := range cs {
		if cs[i].Suspect || !mayBePreferred(&cs[i]) {
			continue
		}
		u, speed := unitInterval(combineHashes(chain, xxhash.Sum64String(cs[i].ID))), cs[i].speed()
		if u-1 <= best*speed { // log(u) <= u-1
			continue
		}
		if score := math.Log(u) / speed; score > best {
			preferred, best = i, score
		}
	}
	return preferred
}

// unitInterval maps a hash to a number above 0 and below 1.
func unitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// combineHashes combines a and b as Boost's hash_combine does and applies the
// 64-bit finalizer of MurmurHash3.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ChooseService returns the index of the server of a plain service with the
// lowest number of requests per slot and speed, or -1 if there is none. Servers in
// other failure domains are charged remoteCostSlots; random breaks ties, in proportion
// to the speeds.
func ChooseService(cs []Candidate, random uint64) int {
	index, _ := cheapest(cs, 0, func(i int) float64 {
		c := &cs[i]
		cost := float64(c.Running) / (float64(max(1, c.Slots)) * c.speed())
		if !c.Local {
			cost += remoteCostSlots
		}
		return cost + tieCostSlots*exponential(combineHashes(random, uint64(i)))/c.speed()
	})
	return index
}

// exponential maps a hash to an exponentially distributed number of mean 1. The least
// of such numbers, each divided by a speed, belongs to a server with a probability in
// proportion to its speed.
func exponential(hash uint64) float64 { return exponentials[hash%uint64(len(exponentials))] }

// exponentials are quantiles of the exponential distribution. A logarithm for each server
// and request takes six times as long as all else that ChooseService does.
var exponentials = func() (quantiles [1024]float64) {
	for i := range quantiles {
		quantiles[i] = -math.Log1p(-(float64(i) + 0.5) / float64(len(quantiles)))
	}
	return quantiles
}()

// cheapest returns the index of the candidate with the lowest cost, or -1 if
// there is none, and by how much the second lowest cost is higher. Excluded candidates
// are never chosen, and suspects only if there are no others. The first of equal ones from
// a position that depends on random is chosen.
func cheapest(cs []Candidate, random uint64, cost func(i int) float64) (index int, margin float64) {
	for _, suspect := range []bool{false, true} {
		best, lowest, second := -1, math.Inf(1), math.Inf(1)
		for n := range cs {
			i := int((random%uint64(len(cs)) + uint64(n)) % uint64(len(cs)))
			if cs[i].Suspect != suspect || cs[i].Excluded {
				continue
			}
			switch v := cost(i); {
			case v < lowest:
				best, lowest, second = i, v, lowest
			case v < second:
				second = v
			}
		}
		if best >= 0 {
			return best, second - lowest
		}
	}
	return -1, 0
}
