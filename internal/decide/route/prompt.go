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
	// New servers joined lately: they are at home for prompts that others have
	// read. Leaving ones get no requests, but what they have read can still be
	// fetched.
	New, Leaving bool
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
	// fetchCost is the time to fetch tokens from another server, in parts of the
	// time to read them.
	fetchCost = 0.5
	// minFetch is the number of tokens that are worth a fetch.
	minFetch = 2000
	// remoteTokens is what a server of another failure domain costs, in prompt
	// tokens.
	remoteTokens = 100
	// remoteSlots is the same for a plain service, in parts of a server's slots.
	remoteSlots = 0.2
)

// Placement is the choice of a server for a prompt.
type Placement struct {
	// Index is that of the server, or -1 if there is none.
	Index int
	// Cached are the tokens of the prompt that it is expected to have read.
	Cached int
	// Source is the index of a server from which it should fetch the tokens up
	// to Fetched instead of reading them again, or -1.
	Source, Fetched int
}

// ChoosePrompt returns the server that is expected to answer the prompt first.
// Each shared prefix has a home, the server with the highest hash, which all
// instances agree on without messages; a request leaves it when the wait there
// exceeds fetching the prefix, or reading it again.
func ChoosePrompt(cs []Candidate, p Prompt) Placement {
	shared, chain := p.Shared()
	home := homeOf(cs, chain, func(c *Candidate) bool { return !c.Leaving })
	expected := func(i int) int {
		if i == home {
			return max(cs[i].Cached, int(homeCached*float64(shared)))
		}
		return cs[i].Cached
	}
	source := -1
	for i := range cs {
		if !cs[i].Suspect && expected(i) > 0 && (source < 0 || expected(i) > expected(source)) {
			source = i
		}
	}
	fetched := func(i int) int {
		if source < 0 || source == i || expected(source)-expected(i) < minFetch {
			return 0
		}
		return expected(source) - expected(i)
	}
	index := least(cs, func(i int) float64 {
		c := &cs[i]
		own := max(0, float64(p.Tokens-expected(i))-(1-fetchCost)*float64(fetched(i)))
		cost := pendingWeight*c.Pending + runningTokens*float64(c.Running) + own
		if !c.Local {
			cost += remoteTokens
		}
		if c.Slots > 0 && c.Running >= c.Slots {
			cost *= 2
		}
		return cost
	})
	if index < 0 {
		return Placement{Index: -1, Source: -1}
	}
	placement := Placement{Index: index, Cached: expected(index), Source: -1}
	if n := fetched(index); n > 0 {
		placement.Source, placement.Fetched = source, n
	}
	if missing := expected(index) - cs[index].Cached; index == home && cs[index].New && missing >= minFetch {
		// Another instance may have made it fetch the prefix before; then there is
		// nothing left to fetch.
		if before := homeOf(cs, chain, func(c *Candidate) bool { return !c.New }); before >= 0 {
			placement.Source, placement.Cached, placement.Fetched = before, cs[index].Cached, missing
		}
	}
	return placement
}

// homeOf returns the index of the server with the highest hash for a chain
// among those that may be one. Suspects are passed over.
func homeOf(cs []Candidate, chain uint64, may func(*Candidate) bool) int {
	home, best := -1, uint64(0)
	for i := range cs {
		if cs[i].Suspect || !may(&cs[i]) {
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
			if cs[i].Suspect != suspects || cs[i].Leaving {
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
