package exchange

import (
	"math"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Evidence is the Source and Sink of the evidence on moves.
type Evidence struct {
	Table *evidence.Table
	// Domain is the failure domain of the instance. Members of others are sent
	// sums over it, so that what crosses does not grow with its nodes.
	Domain string
	// Known reports whether a move is in the catalogue; counters of others are
	// dropped, which bounds the table. Nil takes all.
	Known func(move string) bool
}

// Digest implements Source.
func (e Evidence) Digest(to membership.Member, since uint64, d *peerpb.Digest) (next uint64) {
	changes := e.Table.Since
	if e.Domain != "" && to.FailureDomain != e.Domain {
		changes = e.Table.SinceDomains
	}
	rs, next := changes(since)
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
