package gateway

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/move"
)

// maxPaces bounds the routes whose paces are known; beyond it, all paces are
// measured anew.
const maxPaces = 4096

// paces holds the paces of the services' current versions by route.
type paces struct {
	mu      sync.Mutex
	byRoute map[paceKey]*move.Pace
}

type paceKey struct{ service, route string }

// add adds the pace of an answer of the current version.
func (p *paces) add(k paceKey, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byRoute[k]
	if known == nil {
		if p.byRoute == nil || len(p.byRoute) >= maxPaces {
			p.byRoute = make(map[paceKey]*move.Pace)
		}
		known = new(move.Pace)
		p.byRoute[k] = known
	}
	known.Add(d)
}

// isSlow reports whether the pace of an answer is more than ratio times that of the
// current version.
func (p *paces) isSlow(k paceKey, d time.Duration, ratio int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byRoute[k]
	return known != nil && known.IsSlow(d, ratio)
}
