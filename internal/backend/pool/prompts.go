package pool

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	// A sweep leaves at most maxPartsAfterSweep parts of a server, so that at most
	// twice as many are kept between sweeps. With up to minSweepParts parts there
	// is no sweep.
	maxPartsAfterSweep = 4096
	minSweepParts      = 64
	// promptTTL is how long a part counts as cached after its last use. Servers
	// evict the least recently used parts, which this instance cannot see.
	promptTTL = 30 * time.Second
)

// Prompts records which parts of prompts a server has read and so may have
// cached. The zero value is ready to use; its methods are safe for concurrent
// use.
type Prompts struct {
	mu             sync.Mutex
	parts          map[uint64]time.Time
	sweepThreshold int // the number of parts up to which no sweep takes place
}

// CachedTokens returns the number of tokens of the leading parts that the server has
// read and probably still has cached.
func (p *Prompts) CachedTokens(parts []route.Part, now time.Time) (tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if used, ok := p.parts[part.Chain]; !ok || now.Sub(used) > promptTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// Add records that the server has read parts.
func (p *Prompts) Add(parts []route.Part, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.parts == nil {
		p.parts = make(map[uint64]time.Time)
	}
	for _, part := range parts {
		p.parts[part.Chain] = now
	}
	if len(p.parts) <= max(minSweepParts, p.sweepThreshold) {
		return
	}
	for chain, used := range p.parts {
		if now.Sub(used) > promptTTL || len(p.parts) > maxPartsAfterSweep {
			delete(p.parts, chain)
		}
	}
	// Sweeping again only at twice the size keeps the cost of Add constant on
	// average: at most two parts are examined for each part that was added.
	p.sweepThreshold = 2 * len(p.parts)
}
