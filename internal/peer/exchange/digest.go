package exchange

import (
	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// maxMessage limits a message in bytes: a catalogue of 1 MiB and its head.
	maxMessage = 1<<20 + 64<<10
	// maxDigest limits a digest in bytes. A contribution that does not fit is
	// left out, so that heartbeats always travel.
	maxDigest = 512 << 10
	// maxMembers limits the members in one digest, about 20 KB.
	maxMembers = 256
)

// Source contributes to digests.
type Source interface {
	// Digest adds to d what changed after version since and returns the version
	// to ask from next for the same peer. Versions start at 0 and belong to
	// this process. A source with more than about 64 KiB returns the version
	// up to which it added. Since the peer may be sent the
	// same change twice, merging must be idempotent.
	Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64)
}

// Sink takes what peers sent.
type Sink interface {
	// Merge merges d, which came from a peer, and reports whether it changed
	// something that the other peers must learn at once. It must not keep d.
	Merge(from membership.Member, d *peerpb.Digest) (urgent bool)
}

// SourceFunc is a function as a Source.
type SourceFunc func(to membership.Member, since uint64, d *peerpb.Digest) (next uint64)

// Digest calls f.
func (f SourceFunc) Digest(to membership.Member, since uint64, d *peerpb.Digest) uint64 {
	return f(to, since, d)
}

// SinkFunc is a function as a Sink.
type SinkFunc func(from membership.Member, d *peerpb.Digest) (urgent bool)

// Merge calls f.
func (f SinkFunc) Merge(from membership.Member, d *peerpb.Digest) bool { return f(from, d) }

// members is the source and sink of the membership table.
type members struct{ table *membership.Table }

func (m members) Digest(_ membership.Member, since uint64, d *peerpb.Digest) uint64 {
	ms, next := m.table.Since(since, maxMembers)
	for _, v := range ms {
		d.Members = append(d.Members, memberToWire(v))
	}
	return next
}

// digest returns the digest for a member and the versions that it brings the
// member to. The caller holds p.mu.
func (n *Node) digest(to membership.Member, p *peer) (*peerpb.Digest, []uint64) {
	d := &peerpb.Digest{Sender: memberToWire(n.config.Members.Self()), Acknowledged: p.received}
	if n.config.Revision != nil {
		d.CatalogueRevision = n.config.Revision()
	}
	if n.config.Watching != nil {
		d.Watching = n.config.Watching()
	}
	versions := make([]uint64, len(n.sources))
	for i, s := range n.sources {
		if i < len(p.delivered) {
			versions[i] = p.delivered[i]
		}
		part := new(peerpb.Digest)
		next := s.Digest(to, versions[i], part)
		if proto.Size(d)+proto.Size(part) > maxDigest {
			// The source keeps its version, and the next exchange tries again.
			n.metrics.oversize.Inc()
			continue
		}
		proto.Merge(d, part)
		versions[i] = next
	}
	return d, versions
}

// merge hands a peer's digest to the sinks and passes on at once what is
// urgent.
func (n *Node) merge(from membership.Member, d *peerpb.Digest) {
	now := n.config.Now()
	urgent := n.config.Members.Heard(from, now)
	if len(d.Members) > maxMembers {
		d.Members = d.Members[:maxMembers]
	}
	ms := make([]membership.Member, 0, len(d.Members))
	for _, m := range d.Members {
		ms = append(ms, memberFromWire(m))
	}
	urgent = n.config.Members.Merge(ms, now) || urgent
	for _, s := range n.config.Sinks {
		urgent = s.Merge(from, d) || urgent
	}
	if n.config.Heard != nil {
		n.config.Heard(from, d.CatalogueRevision, d.Watching)
	}
	if urgent {
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
	}
}
