package config

import "time"

const (
	// HolderSilence is how long a node that hears of no watch holder waits
	// before it reads the store itself. It covers the takeover of the watch
	// after a crash: 3 s until the holder is suspected and one heartbeat.
	HolderSilence = 4 * time.Second
	// ReadSpread is the span over which the reads of the nodes of a failure
	// domain are spread.
	ReadSpread = 4 * time.Second
	// HolderPeriod is the time between two reads of the watch holder. They show
	// that the store still answers while its watch is pending.
	HolderPeriod = 2 * time.Second
	// startPeriod is the least time between two reads of a node that is not
	// ready.
	startPeriod = 500 * time.Millisecond
	// maxOffers bounds the peers whose offers are remembered.
	maxOffers = 4096
)

// Version identifies a value of the catalogue.
type Version struct {
	Revision int64
	// Hash is the hash of the encoded catalogue.
	Hash uint64
}

// Accept reports whether offered replaces have. Only a higher revision does:
// revisions of the store are global and increase, so that an equal revision is
// the same value and a lower one is old.
func Accept(have, offered Version) bool { return offered.Revision > have.Revision }

// State is what one node knows about the spread of the catalogue. It is a
// plain state machine: the shell calls it with what happened and performs what
// it returns. The zero value is a node that has just started.
type State struct {
	Have Version
	// Rejected is the highest revision that did not decode. It is not
	// requested again. A lower one still is: a node that starts while the
	// store holds a value that does not decode takes its peers' catalogue.
	Rejected int64
	// Ready is true once the node has asked the store and its peers and has a
	// catalogue. It never reverts.
	Ready bool
	// ReadAt is when to read the store directly.
	ReadAt time.Time
	offers map[string]int64
}

// Received decides on a value from the store or a peer. The caller publishes
// the value if accepted is true; decodes tells whether it is well formed.
func (s *State) Received(offered Version, decodes bool) (accepted bool) {
	if !s.Wanted(offered.Revision) {
		return false
	}
	if !decodes {
		s.Rejected = max(s.Rejected, offered.Revision)
		s.settle()
		return false
	}
	s.Have = offered
	s.settle()
	return true
}

// Wanted reports whether a revision is worth a request: it would be accepted,
// and it is not known to be malformed.
func (s *State) Wanted(revision int64) bool {
	return Accept(s.Have, Version{Revision: revision}) && revision != s.Rejected
}

// WatchAfter returns the revision after which to watch the store, whose value
// is Have, Rejected or newer.
func (s *State) WatchAfter() int64 { return max(s.Have.Revision, s.Rejected) }

// Offered records that peer has revision and reports whether to pull it.
func (s *State) Offered(peer string, revision int64) (pull bool) {
	if !s.Wanted(revision) {
		return false
	}
	if s.offers == nil {
		s.offers = make(map[string]int64)
	}
	if _, ok := s.offers[peer]; !ok && len(s.offers) >= maxOffers {
		return false
	}
	s.offers[peer] = max(s.offers[peer], revision)
	return true
}

// Source returns the peer to pull from: one that offered the highest revision.
func (s *State) Source() (peer string, ok bool) {
	var best int64
	for p, r := range s.offers {
		if r > best || r == best && p < peer {
			peer, best = p, r
		}
	}
	return peer, s.Wanted(best)
}

// Failed forgets the offer of a peer after a pull from it: it could not be
// reached, or what it returned was not what it offered. The peer's next
// heartbeat offers again.
func (s *State) Failed(peer string) { delete(s.offers, peer) }

// HolderHeard records that a watch holder of the own failure domain is known
// to be watching. The random number in [0, 1) spreads the direct reads.
func (s *State) HolderHeard(now time.Time, random float64) {
	if !s.Ready {
		return
	}
	s.ReadAt = now.Add(HolderSilence + time.Duration(random*float64(ReadSpread)))
}

// ReadDue reports whether to read the store directly, and schedules the next
// read. A node that is not ready reads at once, the holder of the watch
// regularly, and any other node once it hears of no holder. The random number
// is in [0, 1).
func (s *State) ReadDue(now time.Time, holder bool, random float64) bool {
	if now.Before(s.ReadAt) {
		return false
	}
	switch {
	case !s.Ready:
		s.ReadAt = now.Add(startPeriod + time.Duration(random*float64(2*startPeriod)))
	case holder:
		s.ReadAt = now.Add(HolderPeriod)
	default:
		s.ReadAt = now.Add(ReadSpread/2 + time.Duration(random*float64(ReadSpread)))
	}
	return true
}

// Asked records that the store and some peers were asked, and reports whether
// the node has become ready.
func (s *State) Asked() (became bool) {
	if s.Ready || s.Have.Revision == 0 {
		return false
	}
	s.Ready = true
	return true
}

// settle drops the offers that are not worth a pull any more.
func (s *State) settle() {
	for p, r := range s.offers {
		if !s.Wanted(r) {
			delete(s.offers, p)
		}
	}
}
