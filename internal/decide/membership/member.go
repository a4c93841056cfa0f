package membership

import (
	"cmp"
	"time"
)

// Member describes one entry instance.
type Member struct {
	ID string
	// Incarnation is the start time in nanoseconds since the Unix epoch; 0
	// means that the member is known from the instance list only.
	Incarnation       int64
	FailureDomain     string
	PeerAddress       string
	OperationsAddress string
	// Leaving never reverts within an incarnation.
	Leaving bool
	// Beat counts the heartbeats of this incarnation.
	Beat uint64
	// Suspect is the deadline after which silence makes the member a suspect.
	Suspect time.Time
	// Forget is the deadline after which the member is dropped.
	Forget time.Time
}

// Join merges two descriptions of the same member. It is commutative,
// associative and idempotent, so the order in which lists arrive is
// irrelevant. A higher incarnation replaces a lower one, deadlines included.
func Join(a, b Member) Member {
	if a.Incarnation > b.Incarnation {
		return a
	}
	if a.Incarnation < b.Incarnation {
		return b
	}
	joined := a
	if describes(b, a) > 0 {
		joined = b
	}
	joined.Beat = max(a.Beat, b.Beat)
	joined.Leaving = a.Leaving || b.Leaving
	joined.Suspect = later(a.Suspect, b.Suspect)
	joined.Forget = later(a.Forget, b.Forget)
	return joined
}

// describes orders the fields that are constant within an incarnation. Only a
// misconfigured or hostile peer makes them differ; the order then decides the
// same way everywhere.
func describes(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.OperationsAddress, b.OperationsAddress),
	)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
