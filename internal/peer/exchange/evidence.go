package exchange

import (
	"math"
	"strings"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// maxDigestCounters limits the counters in one digest, about 100 KB.
const maxDigestCounters = 1024

// Evidence is the Source and Sink of the evidence counters of moves.
type Evidence struct {
	Table *evidence.Table
	// Domain is the failure domain of the instance. Members of other failure
	// domains are sent sums over it, so that the traffic between failure domains
	// does not grow with the number of nodes.
	Domain string
	// Known reports whether a move is in the catalogue. Counters of unknown moves
	// are dropped, which bounds the table. Nil accepts all moves.
	Known func(move string) bool
	// Self is the ID of the instance. If it is empty, all counters are sent to
	// all members.
	Self string
	// Hub reports whether members of this failure domain receive the counters of
	// the others through this instance. Nil means that they do not.
	Hub func() bool
}

// isOwnNode reports whether a node is this instance in any incarnation. If Self
// is empty, it reports true for all nodes.
func (e Evidence) isOwnNode(node string) bool {
	id, _, _ := strings.Cut(node, "/")
	return e.Self == "" || id == e.Self
}

// Digest implements Source. Members of other failure domains are sent the sums over
// this failure domain. Members of the same failure domain are sent the counters of
// this node, and the sums over all nodes if this instance is a hub; without hubs
// they receive the others directly. Changes that do not fit follow in the next
// digests, oldest first.
func (e Evidence) Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	if e.Domain != "" && to.FailureDomain != e.Domain {
		rs, next := e.Table.SinceDomain(since, maxDigestCounters)
		addCounters(d, rs)
		return next
	}
	rs, next := e.Table.Since(since, maxDigestCounters/2, e.isOwnNode)
	addCounters(d, rs)
	if e.Hub == nil || !e.Hub() {
		return next
	}
	totals, nextTotal := e.Table.SinceTotal(since, maxDigestCounters/2)
	addCounters(d, totals)
	return min(next, nextTotal)
}

func addCounters(d *peerpb.Digest, rs []evidence.Record) {
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
}

// Merge implements Sink. Evidence is never urgent and is sent with the
// heartbeats; only the veto that may follow from it is urgent.
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
