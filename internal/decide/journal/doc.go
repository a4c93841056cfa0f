// Package journal implements the decisions of the at-most-once journal: whether a
// call may run, what a shard of the journal holds, and whether a write to the
// store took effect after a conflict or a lost response.
//
// A call is what a client requests under an idempotency key. An attempt is one
// request to run the call; a client that repeats the call makes another attempt.
// The keys are distributed over shards, each of which is one value in the store.
// An Entry is the record of one key in a shard, not an entry of the catalogue.
package journal
