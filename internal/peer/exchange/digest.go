package exchange

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// maxMessageBytes limits a message: a catalogue of 1 MiB and 64 KiB for the
	// other fields.
	maxMessageBytes = 1<<20 + 64<<10
	// maxDigestBytes limits a digest. A contribution that does not fit is
	// omitted, so that heartbeats can always be sent.
	maxDigestBytes = 512 << 10
	// maxDigestMembers limits the members in one digest, about 20 KB.
	maxDigestMembers = 256
	// maxHeardMillis limits the times in Digest.HeardMillis, so that converting
	// one does not overflow.
	maxHeardMillis = 60_000
)

// Source contributes changes to digests.
type Source interface {
	// Digest adds to d the changes after version since and returns the version
	// to pass as since in the next call for the same peer. Versions start at 0
	// and are only valid in this process. A source with more than about 64 KiB
	// of changes adds only some of them and returns the version up to which it
	// added all. A change may be sent to the same peer twice, so merging must be
	// idempotent.
	Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64)
}

// Sink merges digests received from peers.
type Sink interface {
	// Merge merges d, received from a peer, and reports whether it changed
	// anything that the other peers must learn immediately. It must not retain d.
	Merge(from membership.Member, d *peerpb.Digest) (urgent bool)
}

// SourceFunc adapts a function to a Source.
type SourceFunc func(to membership.Member, since uint64, d *peerpb.Digest) (next uint64)

// Digest calls f.
func (f SourceFunc) Digest(to membership.Member, since uint64, d *peerpb.Digest) uint64 {
	return f(to, since, d)
}

// SinkFunc adapts a function to a Sink.
type SinkFunc func(from membership.Member, d *peerpb.Digest) (urgent bool)

// Merge calls f.
func (f SinkFunc) Merge(from membership.Member, d *peerpb.Digest) bool { return f(from, d) }

// membershipSource is the Source of the membership table; Node.merge merges
// received members.
type membershipSource struct{ table *membership.Table }

func (m membershipSource) Digest(_ membership.Member, since uint64, d *peerpb.Digest) uint64 {
	ms, next := m.table.Since(since, maxDigestMembers)
	for _, v := range ms {
		d.Members = append(d.Members, memberToWire(v))
	}
	return next
}

// buildDigest returns the digest for a member, the versions that the member has after
// merging it, and whether it holds anything that the member does not have. The caller
// holds p.mu.
func (n *Node) buildDigest(to membership.Member, p *peer) (d *peerpb.Digest, versions []uint64, news bool) {
	d = &peerpb.Digest{Sender: memberToWire(n.config.Members.Self()), Acknowledged: p.receivedSequence}
	if n.config.Revision != nil {
		d.CatalogueRevision = n.config.Revision()
	}
	if n.config.Watching != nil {
		d.Watching = n.config.Watching()
	}
	if to.FailureDomain == n.self.FailureDomain {
		for domain, rest := range n.config.Members.HeardFor(n.config.Now()) {
			if d.HeardMillis == nil {
				d.HeardMillis = make(map[string]int64)
			}
			d.HeardMillis[domain] = rest.Milliseconds()
		}
	}
	versions, news = make([]uint64, len(n.sources)), stateOf(d) != p.sent
	for i, s := range n.sources {
		if i < len(p.delivered) {
			versions[i] = p.delivered[i]
		}
		contribution := new(peerpb.Digest)
		next := s.Digest(to, versions[i], contribution)
		size := proto.Size(contribution)
		if size == 0 {
			versions[i] = next
			continue
		}
		if proto.Size(d)+size > maxDigestBytes {
			// The version stays unchanged, so the next exchange tries again.
			n.metrics.oversize.Inc()
			continue
		}
		proto.Merge(d, contribution)
		versions[i], news = next, true
	}
	return d, versions, news
}

// merge passes a peer's digest to the sinks and starts an urgent exchange with
// all links if the digest held an urgent change that others receive through this
// instance.
func (n *Node) merge(from membership.Member, d *peerpb.Digest) {
	now := n.config.Now()
	urgent := n.config.Members.Heard(from, now)
	if len(d.Members) > maxDigestMembers {
		d.Members = d.Members[:maxDigestMembers]
	}
	ms := make([]membership.Member, 0, len(d.Members))
	for _, m := range d.Members {
		ms = append(ms, memberFromWire(m))
	}
	urgent = n.config.Members.Merge(ms, now) || urgent
	for _, s := range n.config.Sinks {
		urgent = s.Merge(from, d) || urgent
	}
	if n.config.OnDigest != nil {
		n.config.OnDigest(from, d.CatalogueRevision, d.Watching)
	}
	if from.FailureDomain == n.self.FailureDomain && len(d.HeardMillis) > 0 {
		heard := make(map[string]time.Duration, len(d.HeardMillis))
		for domain, millis := range d.HeardMillis {
			heard[domain] = time.Duration(min(max(0, millis), maxHeardMillis)) * time.Millisecond
		}
		n.config.Members.MergeHeard(heard, now)
	}
	if urgent && n.config.Members.IsHub() {
		n.Notify()
	}
}

func memberToWire(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:                m.ID,
		Incarnation:       m.Incarnation,
		FailureDomain:     m.FailureDomain,
		PeerAddress:       m.PeerAddress,
		Leaving:           m.Leaving,
		Beat:              m.Beat,
		OperationsAddress: m.OperationsAddress,
		Capacity:          m.Capacity,
		Suspected:         m.Suspected,
	}
}

func memberFromWire(m *peerpb.Member) membership.Member {
	return membership.Member{
		ID:                m.GetId(),
		Incarnation:       m.GetIncarnation(),
		FailureDomain:     m.GetFailureDomain(),
		PeerAddress:       m.GetPeerAddress(),
		Leaving:           m.GetLeaving(),
		Beat:              m.GetBeat(),
		OperationsAddress: m.GetOperationsAddress(),
		Capacity:          m.GetCapacity(),
		Suspected:         m.GetSuspected(),
	}
}
