package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// failedPeerPause is how long a peer is not asked after a call to it failed, and
	// partitionedPeerPause the same for one that reaches no server either.
	failedPeerPause      = 2 * time.Second
	partitionedPeerPause = time.Second
)

// Peer is an instance through which requests can be sent.
type Peer struct {
	ID string
	// Capacity is its processor time, in thousandths of a core; 0 means unknown.
	Capacity int64
	// IsLocal reports whether it is in the failure domain of the instance that sends.
	IsLocal bool
}

// Peers chooses among the instances through which requests can be sent. The zero value is
// ready to use. It is safe for concurrent use.
type Peers struct {
	mu         sync.Mutex
	sending    map[string]int
	avoidUntil map[string]time.Time
}

// Choose returns the better of two random peers, none of which is in tried or avoided, and
// counts a request that is sent through it; End must follow. It returns false if there is no
// such peer. random returns a random number below n.
func (p *Peers) Choose(peers []Peer, tried []string, random func(n int) int, now time.Time) (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool {
		return now.Before(p.avoidUntil[peer.ID]) || slices.Contains(tried, peer.ID)
	})
	if len(usable) == 0 {
		return "", false
	}
	best := usable[random(len(usable))]
	if other := usable[random(len(usable))]; p.load(other) < p.load(best) {
		best = other
	}
	if p.sending == nil {
		p.sending = make(map[string]int)
	}
	p.sending[best.ID]++
	return best.ID, true
}

// remoteFactor is how much more load a peer in another failure domain counts as having.
const remoteFactor = 2

// load returns the requests that would be in progress through a peer, relative to its
// capacity.
func (p *Peers) load(peer Peer) float64 {
	load := float64(p.sending[peer.ID]+1) / float64(max(1, peer.Capacity))
	if !peer.IsLocal {
		load *= remoteFactor
	}
	return load
}

// End records the end of a request that was sent through a peer.
func (p *Peers) End(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sending[id]--; p.sending[id] <= 0 {
		delete(p.sending, id)
	}
}

// Failed records that a call to a peer failed, or that the peer reaches no server either. It
// reports whether the peer was not avoided before.
func (p *Peers) Failed(id string, isPartitioned bool, now time.Time) (begins bool) {
	pause := failedPeerPause
	if isPartitioned {
		pause = partitionedPeerPause
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidUntil == nil {
		p.avoidUntil = make(map[string]time.Time)
	}
	begins = !now.Before(p.avoidUntil[id])
	p.avoidUntil[id] = now.Add(pause)
	return begins
}
