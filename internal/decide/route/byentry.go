package route

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// ByEntry uses a separate policy P for each catalogue entry, so that the round
// robin of one entry doesn't depend on the requests of another. The zero value
// is ready to use; a ByEntry must not be copied.
type ByEntry[P any, PP interface {
	*P
	Policy
}] struct {
	// policies is replaced as a whole when an entry is added, so that readers
	// need no lock.
	policies atomic.Pointer[map[string]PP]
	mu       sync.Mutex // serializes additions
}

// Pick picks a backend server with the policy of the request's entry.
func (p *ByEntry[P, PP]) Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool) {
	return p.policyFor(r.Entry).Pick(bs, r, now, random)
}

func (p *ByEntry[P, PP]) policyFor(entry string) PP {
	if m := p.policies.Load(); m != nil {
		if policy, ok := (*m)[entry]; ok {
			return policy
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]PP)
	if m := p.policies.Load(); m != nil {
		if policy, ok := (*m)[entry]; ok {
			return policy
		}
		next = maps.Clone(*m)
	}
	policy := PP(new(P))
	next[entry] = policy
	p.policies.Store(&next)
	return policy
}
