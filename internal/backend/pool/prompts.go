package pool

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	// maxPrompts bounds the parts that are remembered of one server, and
	// fewPrompts is the number below which old ones are not looked for.
	maxPrompts = 4096
	fewPrompts = 64
	// promptKept is how long a part counts as cached after its last use. The
	// least recently used parts yield, which this instance does not see.
	promptKept = 30 * time.Second
)

// Prompts remembers which parts of prompts a server has read. The zero value is
// ready; its methods are safe for concurrent use.
type Prompts struct {
	mu    sync.Mutex
	parts map[uint64]time.Time
	sweep int // the number of parts at which old ones are dropped
}

// Cached returns the tokens of the leading parts that the server has read.
func (p *Prompts) Cached(parts []route.Part, now time.Time) (tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if used, ok := p.parts[part.Chain]; !ok || now.Sub(used) > promptKept {
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
	if len(p.parts) <= max(fewPrompts, p.sweep) {
		return
	}
	for chain, used := range p.parts {
		if now.Sub(used) > promptKept || len(p.parts) > maxPrompts {
			delete(p.parts, chain)
		}
	}
	// Each part is looked at once for each that is added, on average.
	p.sweep = 2 * len(p.parts)
}
