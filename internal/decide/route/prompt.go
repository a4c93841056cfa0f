package route

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt that other requests may share.
type Part struct {
	// Chain identifies the part with all parts before it.
	Chain  uint64
	Tokens int
}

// Prompt describes a request to a language model.
type Prompt struct {
	// Tokens is the length of the prompt, and Total includes the longest output.
	Tokens, Total int
	Parts         []Part
}

// Shared returns the tokens of all parts but the last, which is the request's
// own, and the chain that identifies them.
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

// Candidate is a server as a request sees it.
type Candidate struct {
	ID string
	// Pending are the prompt tokens that it still has to read, and Running the
	// requests in progress, both as far as this instance knows.
	Pending float64
	Running int
	// Cached are the tokens of the prompt that it is known to have read.
	Cached int
	// Slots is the number of requests that run at once.
	Slots int
	// Local servers are in the failure domain of the instance.
	Local bool
	// Suspect servers are used only if there is no other.
	Suspect bool
}

const (
	// homeCached is the part of the shared tokens that the server at home for
	// them is expected to have read for another instance.
	homeCached = 0.9
	// runningTokens is what a running request delays another, in prompt tokens
	// that are read in the same time.
	runningTokens = 150
	// pendingWeight accounts for the prompts that other instances have sent.
	pendingWeight = 1.5
	// remoteTokens is what a server of another failure domain costs, in prompt
	// tokens.
	remoteTokens = 100
	// remoteSlots is the same for a plain service, in parts of a server's slots.
	remoteSlots = 0.2
)

// ChoosePrompt returns the index of the server that is expected to answer the
// prompt first, or -1 if there is none, and the tokens that it is expected to
// have cached. Each shared prefix has a home, the
// server with the highest hash, which all instances agree on without messages;
// a request leaves it when the wait there exceeds reading the prefix again.
func ChoosePrompt(cs []Candidate, p Prompt) (index, cached int) {
	shared, chain := p.Shared()
	home := homeOf(cs, chain)
	expected := func(i int) int {
		if i == home {
			return max(cs[i].Cached, int(homeCached*float64(shared)))
		}
		return cs[i].Cached
	}
	index = least(cs, func(i int) float64 {
		c := &cs[i]
		cost := pendingWeight*c.Pending + runningTokens*float64(c.Running) + max(0, float64(p.Tokens-expected(i)))
		if !c.Local {
			cost += remoteTokens
		}
		if c.Slots > 0 && c.Running >= c.Slots {
			cost *= 2
		}
		return cost
	})
	if index < 0 {
		return index, 0
	}
	return index, expected(index)
}

// homeOf returns the index of the server with the highest hash for a chain.
// Suspects are passed over.
func homeOf(cs []Candidate, chain uint64) int {
	home, best := -1, uint64(0)
	for i := range cs {
		if cs[i].Suspect {
			continue
		}
		if s := mixPair(chain, xxhash.Sum64String(cs[i].ID)); home < 0 || s > best {
			home, best = i, s
		}
	}
	return home
}

// mixPair combines two hashes into a third.
func mixPair(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ChooseService returns the index of the server of a plain service with the
// fewest requests for its slots, or -1 if there is none; random breaks ties.
func ChooseService(cs []Candidate, random uint64) int {
	return least(cs, func(i int) float64 {
		c := &cs[i]
		cost := float64(c.Running) / float64(max(1, c.Slots))
		if !c.Local {
			cost += remoteSlots
		}
		return cost + float64(mixPair(random, uint64(i))%1000)*1e-6
	})
}

// least returns the index of the candidate with the least cost; suspects only
// if there are no others.
func least(cs []Candidate, cost func(i int) float64) int {
	for _, suspects := range []bool{false, true} {
		best, lowest := -1, math.Inf(1)
		for i := range cs {
			if cs[i].Suspect != suspects {
				continue
			}
			if v := cost(i); v < lowest {
				best, lowest = i, v
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}
