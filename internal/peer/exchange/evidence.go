package exchange

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// maxCounters limits the counters in one digest, about 100 KB.
const maxCounters = 1024

// Evidence is the Source and Sink of the evidence on moves.
type Evidence struct {
	Table *evidence.Table
	// Domain is the failure domain of the instance. Members of others are sent
	// sums over it, so that what crosses does not grow with its nodes.
	Domain string
	// Known reports whether a move is in the catalogue; counters of others are
	// dropped, which bounds the table. Nil takes all.
	Known func(move string) bool
	// Self is the ID of the instance. Without it, all counters are sent to all
	// members.
	Self string
}

// owns reports whether a node is this instance in any incarnation.
func (e Evidence) owns(node string) bool {
	id, _, _ := strings.Cut(node, "/")
	return e.Self == "" || id == e.Self
}

// sums reports whether a node stands for the sums over the failure domain.
func (e Evidence) sums(node string) bool { return node == evidence.DomainNode(e.Domain) }

// Digest implements Source. The members of the failure domain are sent what
// this node counted, since they hear the others themselves; other failure
// domains are sent the sums over this one. If more counters changed than fit,
// the version stays, and each digest holds a random choice of them until all
// have arrived or fit.
func (e Evidence) Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	changes, mine := e.Table.Since, e.owns
	if e.Domain != "" && to.FailureDomain != e.Domain {
		changes, mine = e.Table.SinceDomains, e.sums
	}
	rs, next := changes(since)
	rs = slices.DeleteFunc(rs, func(r evidence.Record) bool { return !mine(r.Node) })
	if len(rs) > maxCounters {
		rand.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
		rs, next = rs[:maxCounters], since
	}
	for _, r := range rs {
		d.Counters = append(d.Counters, &peerpb.Counter{
			Node:     r.Node,
			Move:     r.Key.Move,
			Version:  r.Key.Version,
			Route:    r.Key.Route,
			Load:     uint32(r.Key.Load),
			Answered: r.Count.Answered,
			Failed:   r.Count.Failed,
			Slow:     r.Count.Slow,
			Step:     uint32(r.Key.Step),
		})
	}
	return next
}

// Merge implements Sink. Evidence travels with the heartbeats; the veto that
// follows from it is what is urgent.
func (e Evidence) Merge(_ membership.Member, d *peerpb.Digest) (urgent bool) {
	rs := make([]evidence.Record, 0, len(d.Counters))
	for _, c := range d.Counters {
		if c.GetLoad() > uint32(evidence.LoadFull) || c.GetStep() > math.MaxUint8 || e.Known != nil && !e.Known(c.GetMove()) {
			continue
		}
		rs = append(rs, evidence.Record{
			Node:  c.GetNode(),
			Key:   evidence.Key{Move: c.GetMove(), Version: c.GetVersion(), Route: c.GetRoute(), Load: uint8(c.GetLoad()), Step: uint8(c.GetStep())},
			Count: evidence.Count{Answered: c.GetAnswered(), Failed: c.GetFailed(), Slow: c.GetSlow()},
		})
	}
	e.Table.Merge(rs)
	return false
}
