package journal

// Where is where an attempt tries to reserve its key.
type Where int

// Places to reserve a key.
const (
	// AtOwner is the shard's owner, which batches.
	AtOwner Where = iota
	// AtSelf is the instance that received the call.
	AtSelf
)

// Action is what the instance that received a call does next.
type Action int

// Actions of the instance that received a call.
const (
	// Use acts on the answer: runs the call if it is Reserved, and otherwise
	// answers the client from it.
	Use Action = iota
	// TrySelf reserves at the instance itself, with the same attempt.
	TrySelf
	// Reject tells the client that this attempt did not run.
	Reject
	// RejectAndRemove also removes the reservation, in the background, since it
	// may have been recorded. Only the instance that received the call may do
	// so: any other one does not know whether the call is running.
	RejectAndRemove
)

// Next decides on the answer to a reservation; answered is false if there was
// none before the deadline.
func Next(w Where, answered bool, s Status) Action {
	switch {
	case answered && s != Unavailable && s != Full:
		return Use
	case w == AtOwner:
		return TrySelf
	case answered && s == Full:
		return Reject
	}
	return RejectAndRemove
}
