package journal

// Location is the instance at which an attempt tries to reserve its key.
type Location int

const (
	// AtOwner is the shard's owner, which batches reservations.
	AtOwner Location = iota
	// AtSelf is the instance that received the call.
	AtSelf
)

// Action is the next step of the instance that received a call.
type Action int

const (
	// UseResult acts on the result of the reservation: the instance runs the call if
	// the status is Reserved, and otherwise derives the client's response from
	// the result.
	UseResult Action = iota
	// TrySelf repeats the reservation at the instance itself, with the same
	// attempt ID.
	TrySelf
	// Reject tells the client that this attempt did not run.
	Reject
	// RejectAndRemove rejects like Reject, and removes the reservation in the
	// background, since it may have been recorded. Only the instance that
	// received the call may do so, because no other instance knows whether the
	// call is running.
	RejectAndRemove
)

// NextAction returns the action for the status s of a reservation at l. If answered is
// false, the reservation failed or its result did not arrive before the deadline,
// and s is ignored.
func NextAction(l Location, answered bool, s Status) Action {
	switch {
	case answered && s != Unavailable && s != Full:
		return UseResult
	case l == AtOwner:
		return TrySelf
	case answered && s == Full:
		return Reject
	}
	return RejectAndRemove
}
