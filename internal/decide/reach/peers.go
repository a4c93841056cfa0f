package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// failedPeerPause is how long other peers are preferred to one after a stream to it broke
	// or could not be opened.
	failedPeerPause = 2 * time.Second
	// unablePeerPause is how long a peer is not asked after it said that it cannot send.
	unablePeerPause = time.Second
	// peerProbeDelay is how long a peer may be silent while requests are in progress through
	// it before it is probed.
	peerProbeDelay = 200 * time.Millisecond
	// PeerProbeTimeout is the time for a peer to reply to a probe.
	PeerProbeTimeout = 250 * time.Millisecond
	// silentProbes is the number of probes in a row without a reply from which on a peer is
	// silent. The first one may be late because this process was paused.
	silentProbes = 2
	// silentPeerPause is the time between two probes of a silent peer.
	silentPeerPause = 400 * time.Millisecond
	// silentPeerPeriod is how long a silent peer is probed after the last request through it.
	silentPeerPeriod = 10 * time.Second
	// remoteFactor is how much more load a peer in another failure domain counts as having.
	remoteFactor = 2
)

// Peer is an instance through which requests can be sent.
type Peer struct {
	ID string
	// Capacity is its processor time, in thousandths of a core; 0 means unknown.
	Capacity int64
	// IsLocal reports whether it is in the failure domain of the instance that sends.
	IsLocal bool
}

// Peers chooses among the instances through which requests can be sent. Only what a peer says,
// or its silence, speaks against it: how long a request lasts, or that its client leaves, does
// not. The zero value is ready to use. It is safe for concurrent use.
type Peers struct {
	mu     sync.Mutex
	states map[string]*peerState
}

// peerState is what is known of a peer.
type peerState struct {
	sending int // requests in progress
	// awaitedSince is since when the peer has said nothing although requests were sent
	// through it; zero if nothing is awaited. A request whose client leaves changes nothing.
	awaitedSince time.Time
	repliedAt    time.Time
	failedUntil  time.Time // others are preferred until then
	unableUntil  time.Time // it is not asked until then
	probing      bool
	unanswered   int // probes in a row
	nextProbe    time.Time
}

func (s peerState) isSilent() bool { return s.unanswered >= silentProbes }

// known returns what is known of a peer. The caller holds p.mu.
func (p *Peers) known(id string) peerState {
	if s, ok := p.states[id]; ok {
		return *s
	}
	return peerState{}
}

// state returns the state of a peer, to change it. The caller holds p.mu.
func (p *Peers) state(id string) *peerState {
	s, ok := p.states[id]
	if !ok {
		if p.states == nil {
			p.states = make(map[string]*peerState)
		}
		s = new(peerState)
		p.states[id] = s
	}
	return s
}

// Choose returns the better of two random peers, none of which is in tried or has failed
// recently, and counts a request that is sent through it; End must follow. If there is no such
// peer, it returns the one whose failure is longest ago. It returns false if all others are
// silent or cannot send. random returns a random number below n.
func (p *Peers) Choose(peers []Peer, tried []string, random func(n int) int, now time.Time) (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool {
		s := p.known(peer.ID)
		return s.isSilent() || now.Before(s.unableUntil) || slices.Contains(tried, peer.ID)
	})
	if len(usable) == 0 {
		return "", false
	}
	best := p.best(usable, random, now)
	s := p.state(best)
	s.sending++
	if s.awaitedSince.IsZero() {
		s.awaitedSince = now
	}
	return best, true
}

// best returns the ID of the peer to send a request through. The caller holds p.mu.
func (p *Peers) best(usable []Peer, random func(n int) int, now time.Time) string {
	sound := slices.DeleteFunc(slices.Clone(usable), func(peer Peer) bool { return now.Before(p.known(peer.ID).failedUntil) })
	if len(sound) == 0 {
		return slices.MinFunc(usable, func(a, b Peer) int { return p.known(a.ID).failedUntil.Compare(p.known(b.ID).failedUntil) }).ID
	}
	best := sound[random(len(sound))]
	if other := sound[random(len(sound))]; p.load(other) < p.load(best) {
		best = other
	}
	return best.ID
}

// load returns the requests that would be in progress through a peer, relative to its
// capacity. The caller holds p.mu.
func (p *Peers) load(peer Peer) float64 {
	load := float64(p.known(peer.ID).sending+1) / float64(max(1, peer.Capacity))
	if !peer.IsLocal {
		load *= remoteFactor
	}
	return load
}

// End records the end of a request that was sent through a peer, whatever ended it.
func (p *Peers) End(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	s.sending = max(0, s.sending-1)
	if s.sending == 0 && s.awaitedSince.Equal(s.repliedAt) {
		s.awaitedSince = time.Time{}
	}
}

// Replied records that a peer has sent something.
func (p *Peers) Replied(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).replied(now)
}

func (s *peerState) replied(now time.Time) {
	s.repliedAt, s.failedUntil, s.awaitedSince, s.unanswered = now, time.Time{}, time.Time{}, 0
	if s.sending > 0 {
		s.awaitedSince = now
	}
}

// HasReplied reports whether a peer has sent something since a time, and has not been silent
// after that.
func (p *Peers) HasReplied(id string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known(id)
	return !s.repliedAt.Before(since) && s.unanswered == 0
}

// Failed records that a stream to a peer broke or could not be opened. It reports whether the
// peer had not failed before.
func (p *Peers) Failed(id string, now time.Time) (begins bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	begins = !now.Before(s.failedUntil)
	s.failedUntil = now.Add(failedPeerPause)
	return begins
}

// Unable records that a peer has said that it cannot send requests.
func (p *Peers) Unable(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	s.replied(now)
	s.unableUntil = now.Add(unablePeerPause)
}

// BeginProbes returns the peers to probe at now: those that have been silent for a while
// although requests were sent through them. EndProbe must follow for each. It reports whether
// some peer is awaited still, so that further calls are due.
func (p *Peers) BeginProbes(now time.Time) (ids []string, awaited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.isForgotten(now) {
			delete(p.states, id)
			continue
		}
		if s.awaitedSince.IsZero() {
			continue
		}
		awaited = true
		if !s.probing && now.Sub(s.awaitedSince) >= peerProbeDelay && !now.Before(s.nextProbe) {
			s.probing = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, awaited
}

// isForgotten reports whether the state of a peer no longer matters. A peer that stays silent is
// tried again in the end.
func (s *peerState) isForgotten(now time.Time) bool {
	if s.sending > 0 || s.probing || now.Before(s.failedUntil) || now.Before(s.unableUntil) {
		return false
	}
	return s.awaitedSince.IsZero() || now.Sub(s.awaitedSince) >= silentPeerPeriod
}

// EndProbe records whether a peer has replied to a probe. It reports whether the peer has become
// silent, or is no longer so.
func (p *Peers) EndProbe(id string, replied bool, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	before := s.isSilent()
	s.probing = false
	if replied {
		s.replied(now)
		return before
	}
	s.unanswered++
	if s.isSilent() {
		s.nextProbe = now.Add(silentPeerPause)
	}
	return before != s.isSilent()
}
