package journal

import "time"

// Kind is what an operation does to its key.
type Kind int

// Kinds of operations.
const (
	Reserve Kind = iota
	Complete
	Remove
)

// Op is one operation on a shard.
type Op struct {
	Kind        Kind
	Key         Key
	Attempt     string
	Fingerprint uint64
	Response    *Response
}

// Result is the answer to an operation, valid once the shard that it was
// computed on is durable.
type Result struct {
	Status   Status
	Response *Response
	// Recorded answers Complete and Remove.
	Recorded bool
}

// Apply applies the operations to a copy of the shard, marked with writer and
// batch, and returns the copy and the results. If changed is false, the results
// hold for the shard as it is, and no write is needed.
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

// Outcome is how a write of a batch ended.
type Outcome int

// Outcomes of a write.
const (
	// Landed means that the write took effect; the results are valid.
	Landed Outcome = iota
	// Again means that the batch must be applied to the value that was read.
	Again
)

// Settle decides what became of a write after a conflict or a lost answer,
// from the value read back. If the value carries the writer and the batch, the
// write took effect. Otherwise it either did not, or others have written since;
// in both cases the batch is applied to the value that was read. That is safe
// because operations are idempotent for an attempt, and because a delayed write
// of the same batch fails its compare-and-swap once any other write has taken
// effect.
func Settle(read *Shard, writer string, batch uint64) Outcome {
	if read.Writer == writer && read.Batch == batch {
		return Landed
	}
	return Again
}
