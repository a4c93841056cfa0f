// Package journal ensures that a non-idempotent call runs at most once.
//
// An instance reserves the call's idempotency key in the store before it sends
// the call to a backend server. The keys are divided into shards, and the
// instance that owns a shard batches the reservations of all instances into one
// compare-and-swap write.
package journal
