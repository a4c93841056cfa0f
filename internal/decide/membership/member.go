package membership

import (
	"cmp"
	"time"
)

// Member describes an entry instance.
type Member struct {
	ID string
	// Incarnation is the instance's start time in nanoseconds since the Unix
	// epoch, or 0 if the member is known only from the instance list.
	Incarnation       int64
	FailureDomain     string
	PeerAddress       string
	OperationsAddress string
	// Leaving is true once the instance is shutting down. It never becomes
	// false again within an incarnation.
	Leaving bool
	// Capacity is the processor time that the instance may use, in thousandths of
	// a core, or 0 if it is unknown.
	Capacity int64
	// Beat counts the heartbeats of this incarnation.
	Beat uint64
	// Suspected reports whether a member that should have heard from this one has
	// received nothing since the heartbeat Beat.
	Suspected bool
	// SuspectAt is the time from which the member is a suspect unless it is
	// heard from before.
	SuspectAt time.Time
	// ForgetAt is the time after which a suspect is dropped from the table.
	ForgetAt time.Time
}

// Join merges two descriptions of the same member. It is commutative, associative
// and idempotent, so the result does not depend on the order in which descriptions
// arrive. A higher incarnation replaces a lower one, including its deadlines.
func Join(a, b Member) Member {
	if a.Incarnation > b.Incarnation {
		return a
	}
	if a.Incarnation < b.Incarnation {
		return b
	}
	joined := a
	if compareDescriptions(b, a) > 0 {
		joined = b
	}
	joined.Beat = max(a.Beat, b.Beat)
	switch {
	case a.Beat > b.Beat:
		joined.Suspected = a.Suspected
	case a.Beat < b.Beat:
		joined.Suspected = b.Suspected
	default:
		joined.Suspected = a.Suspected || b.Suspected
	}
	joined.Leaving = a.Leaving || b.Leaving
	joined.SuspectAt = later(a.SuspectAt, b.SuspectAt)
	joined.ForgetAt = later(a.ForgetAt, b.ForgetAt)
	return joined
}

// compareDescriptions compares the fields that are constant within an incarnation.
// They differ only if a peer is misconfigured or malicious; the order then makes
// all instances choose the same description.
func compareDescriptions(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.OperationsAddress, b.OperationsAddress),
		cmp.Compare(a.Capacity, b.Capacity),
	)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
