package propagation

import "time"

const (
	// HolderSilence is how long an instance without news of a watch holder waits
	// before it reads the store itself. It covers the takeover of the watch
	// after the holder crashes: 3 s until the holder is suspected, and one
	// heartbeat.
	HolderSilence = 4 * time.Second
	// ReadSpread is the interval over which the direct reads of the instances
	// of a failure domain are spread at random.
	ReadSpread = 4 * time.Second
	// HolderReadPeriod is the interval between the watch holder's reads. They show
	// that the store still answers while its watch is pending.
	HolderReadPeriod = 2 * time.Second
	// startReadPeriod is the minimum interval between the reads of an instance
	// that is not ready.
	startReadPeriod = 500 * time.Millisecond
	// maxOffers is the maximum number of peers whose offers are remembered.
	maxOffers = 4096
)

// Version identifies one value of the catalogue.
type Version struct {
	Revision int64
	// Hash is the hash of the encoded catalogue.
	Hash uint64
}

// Accept reports whether offered replaces have. Only a higher revision does:
// the store's revisions are global and increase, so an equal revision is the
// same value and a lower one is outdated.
func Accept(have, offered Version) bool { return offered.Revision > have.Revision }

// State is one instance's state in the distribution of the catalogue. It is a
// state machine without I/O: the caller reports events to it and carries out
// the decisions that it returns. The zero value is the state of an instance
// that has just started. State is not safe for concurrent use.
type State struct {
	Have Version
	// Rejected is the highest revision that did not decode. It is not
	// requested again, but lower revisions above Have still are: an instance
	// that starts while the store holds a malformed value takes the catalogue
	// of its peers.
	Rejected int64
	// Ready is true once the instance has queried the store and its peers and
	// has a catalogue. It never becomes false again.
	Ready bool
	// ReadAt is the time of the next direct read of the store.
	ReadAt time.Time
	offers map[string]int64 // revision offered by each peer
}

// Received records a value from the store or a peer and reports whether it is
// accepted, in which case the caller publishes it. The argument decodes tells
// whether the value is well formed.
func (s *State) Received(offered Version, decodes bool) (accepted bool) {
	if !s.Wanted(offered.Revision) {
		return false
	}
	if !decodes {
		s.Rejected = max(s.Rejected, offered.Revision)
		s.pruneOffers()
		return false
	}
	s.Have = offered
	s.pruneOffers()
	return true
}

// Wanted reports whether to request a revision: it would be accepted and is not
// known to be malformed.
func (s *State) Wanted(revision int64) bool {
	return Accept(s.Have, Version{Revision: revision}) && revision != s.Rejected
}

// WatchAfter returns the revision after which to watch the store: the highest that
// the instance has received, whether it was accepted or rejected.
func (s *State) WatchAfter() int64 { return max(s.Have.Revision, s.Rejected) }

// Offered records that peer has revision and reports whether to pull it from a
// peer.
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

// PullSource returns the peer to pull from, one that offered the highest revision.
// If ok is false, no offered revision is wanted.
func (s *State) PullSource() (peer string, ok bool) {
	var best int64
	for p, r := range s.offers {
		if r > best || r == best && p < peer {
			peer, best = p, r
		}
	}
	return peer, s.Wanted(best)
}

// PullFailed drops the offer of a peer after a failed pull: the peer could not be
// reached, or returned something other than what it offered. The peer's next
// heartbeat renews the offer.
func (s *State) PullFailed(peer string) { delete(s.offers, peer) }

// HolderHeard records that a member of the instance's own failure domain is
// known to be watching the store, and postpones the next direct read by
// HolderSilence plus a random part of ReadSpread, which the random number in
// [0, 1) selects. The call has no effect until the instance is ready, because an
// instance that is not ready reads the store itself.
func (s *State) HolderHeard(now time.Time, random float64) {
	if !s.Ready {
		return
	}
	s.ReadAt = now.Add(HolderSilence + time.Duration(random*float64(ReadSpread)))
}

// ReadDue reports whether to read the store directly now, and if so schedules
// the next read. An instance that is not ready reads every 0.5 to 1.5 s, and the
// watch holder every HolderReadPeriod. Any other instance reads only after it has
// had no news of a watch holder for HolderSilence. The random number is in [0, 1).
func (s *State) ReadDue(now time.Time, holder bool, random float64) bool {
	if now.Before(s.ReadAt) {
		return false
	}
	switch {
	case !s.Ready:
		s.ReadAt = now.Add(startReadPeriod + time.Duration(random*float64(2*startReadPeriod)))
	case holder:
		s.ReadAt = now.Add(HolderReadPeriod)
	default:
		s.ReadAt = now.Add(ReadSpread/2 + time.Duration(random*float64(ReadSpread)))
	}
	return true
}

// SourcesQueried makes the instance ready if it has a catalogue, and reports whether it has
// become ready as a result. The caller calls it after it queried the store and
// some peers.
func (s *State) SourcesQueried() (becameReady bool) {
	if s.Ready || s.Have.Revision == 0 {
		return false
	}
	s.Ready = true
	return true
}

// pruneOffers drops the offers that are no longer wanted.
func (s *State) pruneOffers() {
	for p, r := range s.offers {
		if !s.Wanted(r) {
			delete(s.offers, p)
		}
	}
}
