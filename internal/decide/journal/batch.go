package journal

import "time"

// OpKind is the kind of an operation on a key.
type OpKind int

const (
	// Reserve records that an attempt is about to run a call.
	Reserve OpKind = iota
	// Complete records the response to a call that ran.
	Complete
	// Remove drops the reservation of an attempt that did not run.
	Remove
)

// Op is one operation on a shard.
type Op struct {
	Kind        OpKind
	Key         Key
	Attempt     string
	Fingerprint uint64
	Response    *Response
}

// Result is the result of an operation. It is valid once the shard that Apply
// returned with it is durable.
type Result struct {
	Status   Status
	Response *Response
	// Recorded is the result of Complete and Remove. Status and Response are
	// the result of Reserve.
	Recorded bool
}

// Apply applies the operations to a copy of the shard and returns the copy and
// the results, one per operation. Expired entries are dropped first. The copy
// carries writer and batch if an operation changed it. If changed is false, the
// results hold for the stored shard, and no write is needed.
func Apply(s *Shard, ops []Op, writer string, batch uint64, now time.Time) (next *Shard, results []Result, changed bool) {
	next = s.Clone()
	next.Expire(now)
	results = make([]Result, len(ops))
	for i, op := range ops {
		before, had := next.Entries[op.Key]
		results[i] = next.apply(op, now)
		after, has := next.Entries[op.Key]
		changed = changed || had != has || before != after
	}
	if changed {
		next.Writer, next.Batch = writer, batch
	}
	return next, results, changed
}

func (s *Shard) apply(op Op, now time.Time) Result {
	switch op.Kind {
	case Reserve:
		status, response := s.Reserve(op.Key, op.Attempt, op.Fingerprint, now)
		return Result{Status: status, Response: response}
	case Complete:
		return Result{Recorded: s.Complete(op.Key, op.Attempt, op.Response)}
	case Remove:
		return Result{Recorded: s.Remove(op.Key, op.Attempt)}
	}
	return Result{}
}

// WriteOutcome is the outcome of writing a batch.
type WriteOutcome int

const (
	// TookEffect means that the write took effect and the results are valid.
	TookEffect WriteOutcome = iota
	// Reapply means that the batch must be applied again, to the value that was
	// read back.
	Reapply
)

// ResolveWrite determines from the value read back whether a write took effect. It is
// for writes that ended with a conflict or a lost response. If the value carries
// the writer and the batch, the write took effect. Otherwise the write did not take
// effect, or another write has taken effect since; in both cases the batch is
// applied to the value read back. That is safe because operations are idempotent
// for an attempt, and because a delayed write of the same batch fails its
// compare-and-swap once any other write has taken effect.
func ResolveWrite(read *Shard, writer string, batch uint64) WriteOutcome {
	if read.Writer == writer && read.Batch == batch {
		return TookEffect
	}
	return Reapply
}
